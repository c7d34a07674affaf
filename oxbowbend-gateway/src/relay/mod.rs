//! The way of a request: admission, a place, the endpoint, the answer.
//!
//! A request belongs to the future that serves it. When its caller leaves, that future is dropped,
//! and with it go its place in the queue, its connection to the endpoint and its count as running;
//! no cancellation has to be passed on.

mod admit;
mod events;
mod job;
mod quarantine;
mod refusal;
mod run;
mod stream;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response};
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::{Assignment, Outcome, Patience, Want};
use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::shutdown::Shutdown;
use oxbowbend_http::h1;

use crate::observe;
use crate::seam::Wire;
use crate::shared::Shared;
use job::Job;
use refusal::Refusal;
use run::{Failure, Sent};

/// Sends of one request that ended with the word, or the certainty, that it did not run. Each is a
/// repeat at the service, so this bounds what one request may use of the allowance.
const MAX_UNRUN: u32 = 3;
/// Part of the objective for which a request waits for a place.
const HOLD_SHARE: f64 = 0.8;
/// Least time for which a request that was sent before waits for another place.
const HOLD_AGAIN: Duration = Duration::from_millis(200);

/// Part of the time that a caller has left up to which it waits when told to come back.
const HONOURED_SHARE: f64 = 0.33;

/// Body of an answer: whole, or a stream as it comes.
pub(crate) type Body<S> = Either<h1::Whole, StreamBody<S>>;

/// Serves callers' requests; clones share everything.
#[derive(Clone)]
pub(crate) struct Relay<W> {
    wire: W,
    shared: Shared,
    pool: h1::Pool,
}

/// What has been tried for a request.
#[derive(Default)]
pub(crate) struct Tries {
    avoid: Vec<EndpointId>,
    unrun: u32,
    maybe_run: u32,
    /// The endpoint's own failure, if there was one: better than one of ours.
    kept: Option<Response<Bytes>>,
}

impl<W: Wire> Relay<W> {
    pub(crate) fn new(wire: W, shared: Shared, pool: h1::Pool) -> Relay<W> {
        Relay { wire, shared, pool }
    }

    /// Answers one request.
    pub(crate) async fn serve(
        self,
        req: Request<Incoming>,
    ) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, stream::BrokenOff>>>> {
        let arrived = clock::now();
        let job = match self.admit(req, arrived).await {
            Ok(job) => Arc::new(job),
            Err((id, refusal)) => {
                refusal.log(&id, "-", arrived);
                observe::answered("-", refusal.outcome(), clock::since(arrived));
                return refusal.into_answer().map(Either::Left);
            }
        };
        match self.clone().fulfil(&job).await {
            Ok(Sent::Whole(answer)) => answer.map(|body| Either::Left(h1::Whole::new(body))),
            Ok(Sent::Stream(head, streaming)) => {
                let body = StreamBody::new(stream::frames(self, job, streaming));
                Response::from_parts(head, Either::Right(body))
            }
            Err(refusal) => {
                if refusal.is_not_run() {
                    self.give_back(&job);
                }
                refusal.log(&job.ask.id, &job.route.name, arrived);
                observe::answered(&job.route.name, refusal.outcome(), clock::since(arrived));
                refusal.into_answer().map(Either::Left)
            }
        }
    }

    /// Sends a request to endpoints until one has answered or no more may be tried.
    async fn fulfil(self, job: &Arc<Job>) -> Result<Sent, Refusal> {
        let mut tries = Tries::default();
        loop {
            let place =
                match self.place(job, &tries).await.and_then(|p| self.check_shutdown(job, p)) {
                    Ok(place) => place,
                    Err(refusal) => return tries.settle(refusal),
                };
            let endpoint = place.endpoint.id.clone();
            match self.send(job, place, job.ask.after).await {
                Ok(Sent::Whole(answer)) if self.is_worth_another(job, &answer, &mut tries) => {
                    tries.kept = Some(answer);
                }
                Ok(sent) => return Ok(sent),
                Err(Failure::Quarantined(left)) => {
                    let fingerprint = job.fingerprint;
                    let refusal = Refusal::Quarantined { fingerprint, retry_after: left };
                    return tries.settle(refusal);
                }
                Err(failure) if failure.is_not_run() => {
                    tries.unrun += 1;
                    let may = tries.unrun < MAX_UNRUN
                        && (!failure.has_arrived() || self.may_repeat(job, "not_run"));
                    if !may {
                        return tries.settle(self.busy(job, false));
                    }
                }
                Err(failure) => {
                    tries.maybe_run += 1;
                    let may = job.is_repeatable()
                        && !failure.is_timeout()
                        && tries.maybe_run < job.route.max_attempts
                        && self.may_repeat(job, "failed");
                    if !may {
                        return tries.settle(failure.into_refusal());
                    }
                }
            }
            tries.avoid.push(endpoint);
        }
    }

    /// Whether an endpoint's own failure should be tried elsewhere; it is kept meanwhile.
    fn is_worth_another(&self, job: &Job, answer: &Response<Bytes>, tries: &mut Tries) -> bool {
        if !answer.status().is_server_error() || !job.is_repeatable() || tries.kept.is_some() {
            return false;
        }
        tries.maybe_run += 1;
        tries.maybe_run < job.route.max_attempts && self.may_repeat(job, "error")
    }

    /// Whether the allowance has a repeat left; takes it.
    fn may_repeat(&self, job: &Job, why: &'static str) -> bool {
        let mut state = self.shared.lock();
        let instances = state.instances;
        let may = state.repeats.try_retry(clock::now(), &job.service, instances);
        drop(state);
        if may {
            observe::sent_again(why);
        }
        log::info!(
            "event=repeat id={} service={} why={why} allowed={may} instances={instances}",
            job.ask.id,
            job.service
        );
        may
    }

    /// Waits for a place.
    async fn place(&self, job: &Job, tries: &Tries) -> Result<Assignment, Refusal> {
        let now = clock::now();
        let left = job.limit.saturating_duration_since(now);
        let earliest = if tries.avoid.is_empty() { now } else { now + HOLD_AGAIN };
        let objective = job.route.objective;
        let in_time = objective.saturating_sub(job.age).mul_f64(HOLD_SHARE);
        let hold = (job.arrived + in_time.max(objective / 8)).max(earliest);
        let hold = hold.saturating_duration_since(now).min(left);
        // A stop ends whatever waits; without an answer the caller could not tell that it has not run.
        let shutdown = self.shared.lock().shutdown;
        let hold = shutdown.map_or(hold, |s| s.cap_wait(now, hold));
        let service = self.shared.lock().deal(&job.service, tries.avoid.is_empty());
        // Waiting is of no use where no endpoint wants a request in time.
        if self.shared.lock().cell.opens_in(now, &service).is_some_and(|opens_in| opens_in > hold) {
            return Err(self.busy(job, true));
        }
        let waiting = self.shared.arrive(Want {
            service,
            rank: job.rank,
            prompt: job.ask.prompt,
            output: job.ask.output.unwrap_or(0),
            stall: job.stall,
            arrived: job.arrived,
            objective: job.route.objective.saturating_sub(job.age),
            avoid: tries.avoid.clone(),
        });
        if waiting.should_shed() {
            return Err(self.busy(job, true));
        }
        let place = waiting.place(hold).await.ok_or_else(|| self.busy(job, false))?;
        let waited = clock::since(now);
        observe::placed(&job.route.name, waited, place.withheld > 0);
        log::info!(
            "event=placed id={} endpoint={} load={} slots={} backlog={} expected_ms={} \
             waited_ms={} withheld={}",
            job.ask.id,
            place.endpoint.id,
            place.load,
            place.endpoint.slots,
            place.backlog,
            place.expected.as_millis(),
            waited.as_millis(),
            place.withheld
        );
        Ok(place)
    }

    /// Makes sure that a request is not begun that a stop would cut off. Streams that have begun are
    /// continued in any case.
    fn check_shutdown(&self, job: &Job, place: Assignment) -> Result<Assignment, Refusal> {
        let now = clock::now();
        let state = self.shared.lock();
        let expected = if job.route.stream { place.whole } else { Some(job.route.objective) };
        let admits = |s: Shutdown| s.admits(now, expected, state.are_others_ready(now));
        if state.shutdown.is_none_or(admits) {
            return Ok(place);
        }
        drop(state);
        self.shared.finish(place.endpoint.key(), place.prompt, Outcome::Neutral);
        Err(Refusal::Stopping)
    }

    fn busy(&self, job: &Job, on_arrival: bool) -> Refusal {
        let now = clock::now();
        let patience = Patience {
            objective: job.route.objective,
            longest: job.limit.saturating_duration_since(now).mul_f64(HONOURED_SHARE),
            spread: rand::random(),
        };
        let mut state = self.shared.lock();
        let retry_after = state.cell.refuse(now, &job.service, job.rank, patience);
        drop(state);
        if retry_after.is_withheld {
            observe::withheld("refused");
        }
        Refusal::Busy { retry_after, on_arrival }
    }

    fn give_back(&self, job: &Job) {
        if let Some(account) = &job.account {
            self.shared.lock().admission.refund(account, job.units);
        }
    }
}

impl Tries {
    /// The last word on a request that may not be tried any more: the endpoint's own failure if
    /// there is one, and "not run" only if that is certain.
    fn settle(&mut self, refusal: Refusal) -> Result<Sent, Refusal> {
        if let Some(answer) = self.kept.take() {
            return Ok(Sent::Whole(answer));
        }
        if self.maybe_run > 0 && refusal.is_not_run() {
            return Err(Refusal::Failed);
        }
        Err(refusal)
    }
}

/// Time left until an instant.
pub(crate) fn until(limit: Instant) -> Duration {
    limit.saturating_duration_since(clock::now())
}
