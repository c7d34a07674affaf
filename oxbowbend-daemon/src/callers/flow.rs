//! The steps that all requests share, whatever they ask for.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use http_types::{Request, Response, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_core::ids::{EndpointId, PoolId};
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_http::body;
use oxbowbend_http::problem;
use oxbowbend_http::server;
use oxbowbend_store::kv::KeyValue;

use super::{admission, keyed, settle, OpenGuard, Service, COME_BACK};
use crate::config;
use crate::hub;
use crate::ids;
use crate::observe;

/// Time after which a grant that was accepted is too old to be dispatched.
const DISPATCH_WITHIN: Duration = Duration::from_secs(2);
/// Runs that one request may have, if it is repeatable.
const MAX_RUNS: u32 = 3;

/// A request on its way through this instance.
pub(crate) struct Flow<K> {
    pub(crate) service: Arc<Service<K>>,
    pub(crate) current: Arc<config::Current>,
    pub(crate) admitted: admission::Admitted,
    pub(crate) caller: server::Caller,
    /// Id that the caller is told.
    pub(crate) id: String,
    runs: u32,
    granted_at: std::sync::Mutex<Instant>,
    _open: OpenGuard,
}

/// How much work a request is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work {
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Vec<u64>,
}

/// A grant that may be dispatched now.
pub(crate) struct Granted {
    pub(crate) ticket: hub::Ticket,
    pub(crate) run: String,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: std::net::SocketAddr,
}

impl<K: KeyValue> Flow<K> {
    /// Admits a request, or refuses it before anything is done.
    pub(crate) fn begin(
        service: &Arc<Service<K>>,
        req: &Request,
        caller: &server::Caller,
    ) -> Result<Flow<K>, Response> {
        let id = ids::request();
        let refuse = |problem: problem::Problem| {
            problem.outcome(problem::Outcome::NotRun).request_id(&id).into_response()
        };
        let Some(current) = service.config.current() else { return Err(super::not_ready()) };
        let admitted = super::admission::admit(&current, &service.settings.zone, req);
        let admitted = admitted.map_err(refuse)?;
        let (bound, total) = (admitted.max_open, service.settings.max_open);
        let open = service.open.enter(&admitted.account, bound, total);
        let open = open.map_err(|p| refuse(p.retry_after(COME_BACK)))?;
        service.retries.lock().expect("no panic under lock").deposit();
        let (service, caller) = (service.clone(), caller.clone());
        let granted_at = std::sync::Mutex::new(admitted.arrived);
        Ok(Flow { service, current, admitted, caller, id, runs: 0, granted_at, _open: open })
    }

    /// Reads the request's body, and charges what is made of it besides.
    pub(crate) async fn read_body(
        &self,
        req: &mut Request,
        made_of: impl Fn(&[u8]) -> usize,
    ) -> Result<body::RequestBody, Response> {
        let settings = &self.service.settings;
        let (limit, time) = (settings.max_body, settings.body_time);
        let read = body::read_charged(req, limit, time, self.caller.handle()).await;
        let charged = read.and_then(|mut body| {
            body.charge_more(made_of(&body.bytes))?;
            Ok(body)
        });
        charged.map_err(|e| self.refuse(e.to_problem(), problem::Outcome::NotRun))
    }

    /// A refusal with its outcome, noted in the metrics.
    pub(crate) fn refuse(&self, problem: problem::Problem, outcome: problem::Outcome) -> Response {
        self.note(outcome);
        problem.outcome(outcome).request_id(&self.id).into_response()
    }

    /// Notes in the metrics that the request has been answered.
    pub(crate) fn note(&self, outcome: problem::Outcome) {
        let time = clock::now().saturating_duration_since(self.admitted.arrived);
        observe::answered(&self.admitted.tier, &self.admitted.account, outcome.name(), time);
    }

    /// When the latest grant was accepted.
    pub(crate) fn granted_at(&self) -> Instant {
        *self.granted_at.lock().expect("no panic under lock")
    }

    /// Whether the request may be run once more after a run that failed.
    pub(crate) fn may_repeat(&self) -> bool {
        self.admitted.repeatable
            && self.admitted.key.is_none()
            && self.runs < MAX_RUNS
            && self.service.retries.lock().expect("no panic under lock").try_withdraw()
    }

    /// The id of the request's next run; the first has the request's own.
    pub(crate) fn next_run(&mut self) -> String {
        self.runs += 1;
        match self.runs {
            1 => self.id.clone(),
            n => format!("{}-{n}", self.id),
        }
    }

    /// Puts the request into the queue and waits for a grant that may be dispatched.
    ///
    /// A keyed request is entered into the ledger as dispatched before this returns.
    pub(crate) async fn wait(
        &self,
        run: String,
        pool: &PoolId,
        work: &Work,
        keyed: Option<&keyed::Keyed<K>>,
    ) -> Result<Granted, Response> {
        let record = message::RequestInfo {
            id: run.as_str().into(),
            attempt: 1,
            pool: pool.clone(),
            account: self.admitted.account.as_str().into(),
            tier: self.admitted.level,
            weight: self.admitted.weight,
            prompt_tokens: work.prompt_tokens,
            output_tokens: work.output_tokens,
            prefix: work.prefix.clone(),
            due_in_ms: self.admitted.left().as_millis() as u64,
        };
        let ticket = self.service.hub.arrive(record);
        let endpoint = self.next_grant(&ticket, keyed).await?;
        let waited = clock::now().saturating_duration_since(self.admitted.arrived);
        observe::granted(&self.admitted.tier, &self.admitted.account, waited);
        let Some(address) = self.service.config.address(&endpoint) else {
            ticket.finish(settle::cancelled());
            return Err(self.not_run(keyed, unavailable()).await);
        };
        Ok(Granted { ticket, run, endpoint, address })
    }

    /// Waits for the next grant, while the caller is there.
    pub(crate) async fn next_grant(
        &self,
        ticket: &hub::Ticket,
        keyed: Option<&keyed::Keyed<K>>,
    ) -> Result<EndpointId, Response> {
        let decision = Box::pin(ticket.decision());
        let gone = Box::pin(self.caller.gone());
        let decision = match future::select(decision, gone).await {
            Either::Left((decision, _)) => decision,
            Either::Right(_) => {
                if !ticket.withdraw() {
                    ticket.finish(settle::cancelled());
                }
                let problem =
                    problem::Problem::new(StatusCode::BadRequest, "the caller has hung up");
                return Err(self.not_run(keyed, problem).await);
            }
        };
        match decision {
            hub::Decision::Refuse { reason, retry_after } => {
                Err(self.not_run(keyed, refusal(reason, retry_after)).await)
            }
            hub::Decision::Dispatch { grant, at } => {
                if !self.service.hub.node().may_dispatch(&grant.endpoint) {
                    return self.requeue(ticket, keyed, settle::cancelled()).await;
                }
                if let Some(keyed) = keyed {
                    if let Err(problem) = keyed.dispatch(&grant.endpoint).await {
                        ticket.finish(settle::cancelled());
                        return Err(self.refuse(problem, problem::Outcome::Unknown));
                    }
                }
                // An instance that was paused may have been dropped from the list, and its grants
                // with it.
                if clock::now().saturating_duration_since(at) >= DISPATCH_WITHIN {
                    return self.again(ticket, keyed, settle::cancelled()).await;
                }
                *self.granted_at.lock().expect("no panic under lock") = clock::now();
                Ok(grant.endpoint)
            }
        }
    }

    /// Goes back into the queue, because the run never began.
    async fn again(
        &self,
        ticket: &hub::Ticket,
        keyed: Option<&keyed::Keyed<K>>,
        report: message::RunReport,
    ) -> Result<EndpointId, Response> {
        if let Some(keyed) = keyed {
            if let Err(problem) = keyed.undo().await {
                ticket.finish(settle::cancelled());
                return Err(self.refuse(problem, problem::Outcome::Unknown));
            }
        }
        self.requeue(ticket, keyed, report).await
    }

    async fn requeue(
        &self,
        ticket: &hub::Ticket,
        keyed: Option<&keyed::Keyed<K>>,
        report: message::RunReport,
    ) -> Result<EndpointId, Response> {
        ticket.requeue(report);
        Box::pin(self.next_grant(ticket, keyed)).await
    }

    /// Goes back into the queue after an endpoint took no new work.
    pub(crate) async fn elsewhere(
        &self,
        granted: Granted,
        keyed: Option<&keyed::Keyed<K>>,
        leaving: bool,
    ) -> Result<Granted, Response> {
        if leaving {
            self.service.hub.feed(node::Event::EndpointLeaving(granted.endpoint.clone()));
        }
        // One that is leaving has not failed.
        let report = if leaving { settle::cancelled() } else { settle::failed() };
        let endpoint = self.again(&granted.ticket, keyed, report).await?;
        let Some(address) = self.service.config.address(&endpoint) else {
            granted.ticket.finish(settle::cancelled());
            return Err(self.not_run(keyed, unavailable()).await);
        };
        Ok(Granted { endpoint, address, ..granted })
    }

    /// Says that the request was not run, which holds for a keyed one only if its entry in the
    /// ledger could be released.
    async fn not_run(
        &self,
        keyed: Option<&keyed::Keyed<K>>,
        problem: problem::Problem,
    ) -> Response {
        let released = match keyed {
            None => true,
            Some(keyed) => keyed.release().await,
        };
        let outcome = if released { problem::Outcome::NotRun } else { problem::Outcome::Unknown };
        self.refuse(problem, outcome)
    }
}

/// A refusal because nothing can serve the request now.
pub(crate) fn unavailable() -> problem::Problem {
    let problem = problem::Problem::new(StatusCode::ServiceUnavailable, "no endpoint");
    problem.detail("no endpoint can serve this at present").retry_after(COME_BACK)
}

fn refusal(reason: message::RefusalReason, retry_after: Duration) -> problem::Problem {
    let problem = match reason {
        message::RefusalReason::Shed => {
            let problem = problem::Problem::new(StatusCode::TooManyRequests, "shed");
            problem.detail("more work waits than can be served in time")
        }
        message::RefusalReason::Deadline => {
            let problem =
                problem::Problem::new(StatusCode::GatewayTimeout, "the deadline cannot be met");
            problem.detail("the answer would come too late")
        }
        message::RefusalReason::Unavailable => return unavailable(),
    };
    problem.retry_after(retry_after)
}
