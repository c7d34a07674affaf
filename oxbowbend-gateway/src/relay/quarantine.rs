//! What requests and endpoints do that the quarantine is decided from, and its gate before each send.

use std::time::Duration;

use async_std::{future, task};
use oxbowbend_clock as clock;
use oxbowbend_core::quarantine::{Gate, Run};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_http::h1;

use super::attempt::AttemptError;
use super::request::AdmittedRequest;
use super::{time_until, Relay};
use crate::observe;
use crate::shared::Shared;

/// Time for which an answer is waited for. A new connection takes some 4 ms across zones; whoever was
/// served there is sent elsewhere after it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

impl<W> Relay<W> {
    /// Lets a request pass to an endpoint, or not; `true` if that is the trial of its quarantine. Its time may have
    /// run out in a suspension, which no timer has told.
    pub(super) fn check_send_permission(
        &self,
        request: &AdmittedRequest,
    ) -> Result<bool, AttemptError> {
        if time_until(request.deadline).is_zero() {
            return Err(AttemptError::DeadlineExceeded);
        }
        let permission = self.shared.gate(request.fingerprint);
        if let Gate::Closed(remaining) = permission {
            observe::send_held();
            log::info!(
                "event=send_held id={} fingerprint={:016x} left_ms={}",
                request.metadata.id,
                request.fingerprint,
                remaining.as_millis()
            );
            return Err(AttemptError::Quarantined(remaining));
        }
        Ok(permission == Gate::Trial)
    }

    /// Notes that a request had a whole answer: it does not end endpoints.
    pub(super) fn record_success(&self, request: &AdmittedRequest) {
        self.shared.request_answered(request.fingerprint);
    }

    /// Finds out whether an endpoint at which a run broke off has ended, or only a connection to it: an endpoint that
    /// has ended refuses a new one. One that is accepted is kept for the next request.
    ///
    /// It goes on if the caller leaves meanwhile.
    pub(super) async fn check_for_crash(
        &self,
        request: &AdmittedRequest,
        endpoint: &Endpoint,
        is_quiet: bool,
    ) {
        let run = Run { fingerprint: request.fingerprint, is_quiet };
        if self.shared.run_broke_off(endpoint, run) {
            let (shared, pool) = (self.shared.clone(), self.pool.clone());
            task::spawn(probe_endpoint(shared, pool, endpoint.clone())).await;
        }
    }
}

async fn probe_endpoint(shared: Shared, pool: h1::Pool, endpoint: Endpoint) {
    let started_at = clock::now();
    let verdict = match future::timeout(PROBE_TIMEOUT, pool.connect(endpoint.address)).await {
        Ok(Ok(conn)) => {
            pool.put(conn);
            "accepted"
        }
        Ok(Err(e)) if e.is_refused() => {
            pool.forget(endpoint.address);
            shared.endpoint_ended(&endpoint);
            "refused"
        }
        Ok(Err(_)) => "failed",
        Err(_) => "silent",
    };
    log::info!(
        "event=endpoint_checked endpoint={} start={:08x} verdict={verdict} took_ms={}",
        endpoint.id,
        endpoint.key(),
        clock::since(started_at).as_millis()
    );
}
