//! What requests and endpoints do that the quarantine is decided from, and its gate before each send.

use std::time::Duration;

use async_std::{future, task};
use oxbowbend_clock as clock;
use oxbowbend_core::quarantine::{InterruptedAttempt, SendPermission};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_http::h1;

use super::job::Job;
use super::run::Failure;
use super::{until, Relay};
use crate::observe;
use crate::shared::Shared;

/// Time for which an answer is waited for. A new connection takes some 4 ms across zones; whoever was
/// served there is sent elsewhere after it.
const LIMIT: Duration = Duration::from_millis(100);

impl<W> Relay<W> {
    /// Lets a request pass to an endpoint, or not; `true` if that is the trial of its quarantine. Its time may have
    /// run out in a suspension, which no timer has told.
    pub(super) fn pass_gate(&self, job: &Job) -> Result<bool, Failure> {
        if until(job.limit).is_zero() {
            return Err(Failure::Timeout);
        }
        let gate = self.shared.gate(job.fingerprint);
        if let SendPermission::Blocked(left) = gate {
            observe::send_held();
            log::info!(
                "event=send_held id={} fingerprint={:016x} left_ms={}",
                job.ask.id,
                job.fingerprint,
                left.as_millis()
            );
            return Err(Failure::Quarantined(left));
        }
        Ok(gate == SendPermission::Trial)
    }

    /// Notes that a request had a whole answer: it does not end endpoints.
    pub(super) fn note_answer(&self, job: &Job) {
        self.shared.request_answered(job.fingerprint);
    }

    /// Finds out whether an endpoint at which a run broke off has ended, or only a connection to it: an endpoint that
    /// has ended refuses a new one. One that is accepted is kept for the next request.
    ///
    /// It goes on if the caller leaves meanwhile.
    pub(super) async fn check_end(&self, job: &Job, endpoint: &Endpoint, is_quiet: bool) {
        let run = InterruptedAttempt { fingerprint: job.fingerprint, awaiting_response: is_quiet };
        if self.shared.run_broke_off(endpoint, run) {
            let (shared, pool) = (self.shared.clone(), self.pool.clone());
            task::spawn(check(shared, pool, endpoint.clone())).await;
        }
    }
}

async fn check(shared: Shared, pool: h1::Pool, endpoint: Endpoint) {
    let began = clock::now();
    let verdict = match future::timeout(LIMIT, pool.connect(endpoint.address)).await {
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
        clock::since(began).as_millis()
    );
}
