//! Requests with an idempotency key, and their entries in the ledger.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use http_types::StatusCode;
use oxbowbend_core::ids;
use oxbowbend_core::ledger;
use oxbowbend_http::problem;
use oxbowbend_store::kv::KeyValue;
use oxbowbend_store::ledger::LedgerError;

use super::{Service, COME_BACK};

/// Times that a held request is tried to be taken over before the caller is told to come back.
const MAX_TAKEOVERS: u32 = 3;

/// A request's entry in the ledger, held under one run.
pub(crate) struct Keyed<K> {
    service: Arc<Service<K>>,
    key: ledger::LedgerKey,
    run: String,
}

/// Where a keyed request stands when it arrives.
pub(crate) enum Standing<K> {
    /// It is this run's to serve.
    Mine(Keyed<K>),
    /// It runs, or has run, elsewhere; its answer is to be had there.
    Elsewhere {
        /// Run to pick up.
        run: String,
        /// Address of the endpoint that has it, if it is still declared.
        address: Option<SocketAddr>,
        /// Whether its whole answer has been read once.
        done: bool,
    },
    /// The caller gets its final answer at once.
    Refused(problem::Problem, problem::Outcome),
}

impl<K: KeyValue> Keyed<K> {
    /// Enters a request into the ledger, or finds out what has become of it.
    pub(crate) async fn hold(
        service: &Arc<Service<K>>,
        account: &str,
        idempotency_key: &str,
        run: &str,
        body_digest: u64,
    ) -> Standing<K> {
        let key = ledger::ledger_key(account, idempotency_key);
        let keyed = Keyed { service: service.clone(), key, run: run.to_owned() };
        // Noted before the ledger says so: a copy that arrives elsewhere in between must find it.
        service.held.enter(&keyed.key);
        let mut takeover = false;
        for _ in 0..MAX_TAKEOVERS {
            match keyed.take(keyed.hold_step(body_digest, takeover)).await {
                Ok(ledger::StepResult::Applied) => return Standing::Mine(keyed),
                Ok(ledger::StepResult::HeldBy { holder }) if keyed.is_alive(&holder).await => {
                    return Standing::Refused(in_progress(), problem::Outcome::Unknown);
                }
                Ok(ledger::StepResult::HeldBy { .. }) => takeover = true,
                Ok(ledger::StepResult::Dispatched { endpoint, run }) => {
                    return keyed.elsewhere(endpoint, &run, false);
                }
                Ok(ledger::StepResult::Done { endpoint, run }) => {
                    return keyed.elsewhere(endpoint, &run, true)
                }
                Ok(ledger::StepResult::BodyMismatch) => {
                    return Standing::Refused(other_body(), problem::Outcome::NotRun);
                }
                Ok(ledger::StepResult::NotOwner) => break,
                Err(e) => return Standing::Refused(no_ledger(&e), problem::Outcome::Unknown),
            }
        }
        Standing::Refused(in_progress(), problem::Outcome::Unknown)
    }

    fn hold_step(&self, body_digest: u64, takeover: bool) -> ledger::StepAction {
        let retention_s = self.service.settings.ledger_window.as_secs();
        ledger::StepAction::Hold {
            holder: self.service.hub.me().clone(),
            body_digest,
            takeover,
            retention_s,
        }
    }

    async fn take(&self, action: ledger::StepAction) -> Result<ledger::StepResult, LedgerError> {
        let step = ledger::Step { key: self.key.clone(), run: self.run.as_str().into(), action };
        self.service.ledger.take(step).await
    }

    /// Whether the holder of the entry lives and still has the request. Taking over is safe all
    /// the same; this only spares the caller that is waiting there.
    async fn is_alive(&self, holder: &ids::InstanceId) -> bool {
        if *holder == *self.service.hub.me() {
            // One of them is this request itself.
            return self.service.held.count(&self.key) > 1;
        }
        self.service.peers.holds(holder, &self.key).await.unwrap_or(false)
    }

    fn elsewhere(&self, endpoint: ids::EndpointId, run: &str, done: bool) -> Standing<K> {
        let address = self.service.config.address(&endpoint);
        Standing::Elsewhere { run: run.to_owned(), address, done }
    }

    /// Enters that the request is about to be dispatched. Nothing may be sent unless this
    /// succeeds.
    pub(crate) async fn dispatch(
        &self,
        endpoint: &ids::EndpointId,
    ) -> Result<(), problem::Problem> {
        match self.take(ledger::StepAction::Dispatch { endpoint: endpoint.clone() }).await {
            Ok(ledger::StepResult::Applied) => Ok(()),
            Ok(_) => Err(taken_over()),
            Err(e) => Err(no_ledger(&e)),
        }
    }

    /// Takes the dispatch back, because no byte was sent.
    pub(crate) async fn undo(&self) -> Result<(), problem::Problem> {
        let holder = self.service.hub.me().clone();
        match self.take(ledger::StepAction::Undo { holder }).await {
            Ok(ledger::StepResult::Applied) => Ok(()),
            Ok(_) => Err(taken_over()),
            Err(e) => Err(no_ledger(&e)),
        }
    }

    /// Gives the request up; `false` if it may be somebody else's by now.
    pub(crate) async fn release(&self) -> bool {
        matches!(self.take(ledger::StepAction::Release).await, Ok(ledger::StepResult::Applied))
    }

    /// Enters, without waiting, that the whole answer has been read.
    pub(crate) fn finish(&self) {
        let step = ledger::Step {
            key: self.key.clone(),
            run: self.run.as_str().into(),
            action: ledger::StepAction::Finish,
        };
        let ledger = self.service.ledger.clone();
        task::spawn(async move {
            if let Err(e) = ledger.take(step).await {
                log::warn!("ledger: Cannot note that a request is done: {e}.");
            }
        });
    }
}

impl<K> Drop for Keyed<K> {
    fn drop(&mut self) {
        self.service.held.leave(&self.key);
    }
}

fn in_progress() -> problem::Problem {
    let problem = problem::Problem::new(StatusCode::Conflict, "in progress");
    let detail = "a request with this idempotency key is being served";
    problem.detail(detail).retry_after(COME_BACK)
}

fn other_body() -> problem::Problem {
    let problem = problem::Problem::new(StatusCode::UnprocessableEntity, "another request's key");
    problem.detail("this idempotency key was used for a request with another body")
}

fn taken_over() -> problem::Problem {
    let problem = problem::Problem::new(StatusCode::Conflict, "taken over");
    let detail = "a copy of this request is being served elsewhere";
    problem.detail(detail).retry_after(COME_BACK)
}

fn no_ledger(e: &LedgerError) -> problem::Problem {
    let problem =
        problem::Problem::new(StatusCode::ServiceUnavailable, "the ledger cannot be used");
    let detail = format!("whether a request with this key has run cannot be told: {e}");
    problem.detail(detail).retry_after(COME_BACK)
}
