//! What endpoints say of themselves in their answers, and what is believed of it, in the log.

use std::time::Instant;

use oxbowbend_clock as clock;
use oxbowbend_core::cell::{LimitChange, Said, Signals};
use oxbowbend_core::routes::Endpoint;

use crate::observe;
use crate::shared::{Shared, State};

impl Shared {
    /// Takes in what an answer to a request, sent at `sent`, says of its endpoint.
    pub(crate) fn endpoint_said(
        &self,
        endpoint: &Endpoint,
        id: &str,
        sent: Instant,
        signals: Signals,
    ) {
        if signals.rate_limit == Said::Unreadable || signals.backoff == Said::Unreadable {
            log::warn!(
                "event=endpoint_said_unreadable endpoint={} id={id} {signals:?}",
                endpoint.id
            );
        }
        let mut state = self.lock();
        state.cell.endpoint_said(clock::now(), endpoint.key(), sent, signals);
        if state.log_limits() {
            drop(state);
            self.tell_others();
        }
    }
}

impl State {
    /// Logs what is newly believed of limits; `true` if there is anything.
    pub(crate) fn log_limits(&mut self) -> bool {
        let changes = self.cell.take_limit_changes();
        if changes.is_empty() {
            return false;
        }
        observe::limited(self.cell.limited());
        for change in changes {
            self.log_limit(&change);
        }
        true
    }

    fn log_limit(&self, change: &LimitChange) {
        let LimitChange { endpoint, per_s, before, origin, age } = change;
        let entry = self.world.endpoints().find(|e| e.key() == *endpoint);
        log::info!(
            "event=endpoint_limit endpoint={} start={endpoint:08x} per_s={per_s:?} before={before:?} from={origin:?} \
             age_ms={}",
            entry.map_or("-", |e| &e.id),
            age.as_millis()
        );
    }
}
