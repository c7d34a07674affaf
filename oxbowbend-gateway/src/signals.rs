//! What endpoints say of themselves in their answers, and its lines in the log.

use std::collections::HashMap;

use oxbowbend_core::cell::{Said, Signals};
use oxbowbend_core::ids::EndpointKey;
use oxbowbend_core::routes::Endpoint;

use crate::observe;
use crate::shared::Shared;

/// What endpoints said last.
pub(crate) type LastSaid = HashMap<EndpointKey, Signals>;

impl Shared {
    /// Notes what an answer to a request says of its endpoint. The log tells what is new, and each rest.
    pub(crate) fn endpoint_said(&self, endpoint: &Endpoint, id: &str, signals: Signals) {
        let said = &mut self.lock().said;
        let before = said.insert(endpoint.key(), signals).unwrap_or_default();
        if before == signals && signals.backoff == Said::Nothing {
            return;
        }
        observe::endpoint_said(&signals);
        log::info!(
            "event=endpoint_said endpoint={} start={:08x} id={id} rate_limit={:?} draining={} backoff={:?} before=\"{:?} \
             {}\"",
            endpoint.id,
            endpoint.key(),
            signals.rate_limit,
            signals.is_draining,
            signals.backoff,
            before.rate_limit,
            before.is_draining
        );
    }
}
