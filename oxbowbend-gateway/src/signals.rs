//! What endpoints say of themselves in their answers, and what is believed of it, in the log.

use std::time::Instant;

use oxbowbend_clock as clock;
use oxbowbend_core::cell::{DrainNotice, LimitChange, SignalValue, Signals};
use oxbowbend_core::ids::EndpointKey;
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
        if signals.rate_limit == SignalValue::Unreadable
            || signals.backoff == SignalValue::Unreadable
            || signals.rejection_tolerance == SignalValue::Unreadable
        {
            log::warn!(
                "event=endpoint_said_unreadable endpoint={} id={id} {signals:?}",
                endpoint.id
            );
        }
        if let Some(rest) = signals.backoff.value() {
            log::info!(
                "event=endpoint_rest endpoint={} start={:08x} id={id} for_ms={}",
                endpoint.id,
                endpoint.key(),
                rest.as_millis()
            );
        }
        let mut state = self.lock();
        state.cell.apply_signals(clock::now(), endpoint.key(), sent, signals);
        let is_brittle = signals.rejection_tolerance.value().is_some();
        if is_brittle && signals.is_rejection {
            observe::turned_away_by_brittle();
        }
        if state.log_said() || is_brittle && signals.is_rejection {
            drop(state);
            self.tell_others();
        }
    }
}

impl State {
    /// Logs what is newly believed of endpoints' words; `true` if there is anything.
    pub(crate) fn log_said(&mut self) -> bool {
        let (limits, notices) = (self.cell.take_limit_changes(), self.cell.take_drain_notices());
        for change in &limits {
            self.log_limit(change);
        }
        for notice in &notices {
            self.log_drain_notice(notice);
        }
        let brittle = self.cell.take_brittle_changes();
        for change in &brittle {
            self.log_brittle(change);
        }
        let is_news = !limits.is_empty() || !notices.is_empty() || !brittle.is_empty();
        if is_news {
            observe::brittle(self.cell.brittle_count());
            observe::limited(self.cell.limited_count());
            observe::leaving(self.cell.draining_count());
        }
        is_news
    }

    fn log_limit(&self, change: &LimitChange) {
        let LimitChange { endpoint, per_s, previous, origin, age } = change;
        log::info!(
            "event=endpoint_limit endpoint={} start={endpoint:08x} per_s={per_s:?} before={previous:?} from={origin:?} \
             age_ms={}",
            self.name_of(*endpoint),
            age.as_millis()
        );
    }

    fn log_brittle(&self, change: &LimitChange) {
        let LimitChange { endpoint, per_s, previous, origin, age } = change;
        log::info!(
            "event=endpoint_brittle endpoint={} start={endpoint:08x} bears_per_s={per_s:?} before={previous:?} \
             from={origin:?} age_ms={}",
            self.name_of(*endpoint),
            age.as_millis()
        );
    }

    fn log_drain_notice(&self, notice: &DrainNotice) {
        let DrainNotice { endpoint, origin } = notice;
        let name = self.name_of(*endpoint);
        log::info!("event=endpoint_leaving endpoint={name} start={endpoint:08x} from={origin:?}");
    }

    fn name_of(&self, endpoint: EndpointKey) -> &str {
        let entry = self.world.endpoints().find(|e| e.key() == endpoint);
        entry.map_or("-", |e| &e.id)
    }
}
