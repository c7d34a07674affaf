//! Quarantine checks before each send, and reports of successes and crashes to the quarantine.

use std::time::{Duration, Instant};

use async_std::{future, task};
use oxbowbend_clock as clock;
use oxbowbend_core::ids::ServiceId;
use oxbowbend_core::isolation::PathFailure;
use oxbowbend_core::quarantine::{InterruptedAttempt, SendPermission};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_http::h1;

use super::attempt_error::AttemptError;
use super::request::AdmittedRequest;
use super::{time_until, Relay};
use crate::observe;
use crate::shared::Shared;

/// Timeout for connecting to an endpoint that may have crashed. It delays the retry of the
/// interrupted request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why the response of an endpoint that has ended is not complete.
pub(super) const ENDED_WITH_RESPONSE: &str = "endpoint ended with its connection";

impl<W> Relay<W> {
    /// Checks whether a request may be sent to an endpoint. Returns `true` if the send is the trial
    /// of its quarantine.
    ///
    /// The deadline is checked here because timers do not advance while the machine is suspended.
    pub(super) fn check_send_permission(
        &self,
        request: &AdmittedRequest,
    ) -> Result<bool, AttemptError> {
        if time_until(request.deadline).is_zero() {
            return Err(AttemptError::DeadlineExceeded);
        }
        let permission = self.shared.gate(request.fingerprint, &request.metadata.shared_parts);
        if let SendPermission::Blocked(remaining) = permission {
            observe::send_held();
            log::info!(
                "event=send_held id={} fingerprint={:016x} left_ms={}",
                request.metadata.id,
                request.fingerprint,
                remaining.as_millis()
            );
            return Err(AttemptError::Quarantined(remaining));
        }
        Ok(permission == SendPermission::Trial)
    }

    /// Records that a request was answered completely and thus did not crash the endpoint.
    pub(super) fn record_success(&self, request: &AdmittedRequest) {
        self.shared.request_answered(request.fingerprint);
    }

    /// Records that an endpoint wrote a response to a request, so that none of its parts crashes
    /// endpoints that begin to write on it.
    pub(super) fn record_written(&self, request: &AdmittedRequest) {
        self.shared.parts_answered(&request.metadata.shared_parts);
    }

    /// Determines whether an interrupted attempt was caused by a crash of the endpoint or by a
    /// connection failure. A crashed endpoint refuses new connections; an accepted connection is
    /// returned to the pool.
    ///
    /// The check continues if the client disconnects.
    pub(super) async fn check_for_crash(
        &self,
        request: &AdmittedRequest,
        endpoint: &Endpoint,
        is_quiet: bool,
    ) {
        let run =
            InterruptedAttempt { fingerprint: request.fingerprint, awaiting_response: is_quiet };
        if self.shared.run_broke_off(endpoint, run, &request.metadata.shared_parts) {
            let (shared, pool) = (self.shared.clone(), self.pool.clone());
            let service = request.service.clone();
            task::spawn(probe_endpoint(shared, pool, service, endpoint.clone())).await;
        }
    }

    /// Returns whether the endpoint accepts no connections any more, so that the end of its connection,
    /// where nothing else marks the end of the response, may be that of its process. One that leaves
    /// ends its responses after that.
    pub(super) async fn has_ended_with_response(
        &self,
        endpoint: &Endpoint,
        framing: h1::Framing,
    ) -> bool {
        let is_leaving = self.shared.lock().cell.has_drain_notice(endpoint.key());
        if framing != h1::Framing::UntilClose || is_leaving {
            return false;
        }
        match future::timeout(PROBE_TIMEOUT, self.pool.connect(endpoint.address)).await {
            Ok(Ok(conn)) => {
                // The next request needs one, since that of the response has ended.
                self.pool.put(conn);
                false
            }
            Ok(Err(e)) => e.is_refused(),
            Err(_) => false,
        }
    }
}

async fn probe_endpoint(shared: Shared, pool: h1::Pool, service: ServiceId, endpoint: Endpoint) {
    let started_at = clock::now();
    let verdict = match future::timeout(PROBE_TIMEOUT, pool.connect(endpoint.address)).await {
        Ok(Ok(conn)) => {
            pool.put(conn);
            "accepted"
        }
        Ok(Err(e)) if e.is_refused() => {
            let failure = PathFailure::Connect;
            if shared.is_path_lost(&pool, &service, &endpoint, failure).await {
                return log_checked(&endpoint, "path_lost", started_at);
            }
            pool.forget(endpoint.address);
            shared.endpoint_ended(&endpoint);
            "refused"
        }
        Ok(Err(_)) => "failed",
        Err(_) => "silent",
    };
    log_checked(&endpoint, verdict, started_at);
}

fn log_checked(endpoint: &Endpoint, verdict: &str, started_at: Instant) {
    log::info!(
        "event=endpoint_checked endpoint={} start={:08x} verdict={verdict} took_ms={}",
        endpoint.id,
        endpoint.key(),
        clock::since(started_at).as_millis()
    );
}
