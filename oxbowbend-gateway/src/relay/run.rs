//! One exchange with one endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use bytes::Bytes;
use futures::pin_mut;
use http::{response, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::{Assignment, Outcome, FIXED_UNITS};
use oxbowbend_core::rollout::responses::ResponseOutcome;
use oxbowbend_core::routes::{Endpoint, Route};
use oxbowbend_core::silence::{self, Silence};
use oxbowbend_http::h1;
use thiserror::Error;

use super::job::Job;
use super::refusal::Refusal;
use super::stream::Streaming;
use super::{until, Relay};
use crate::observe;
use crate::seam::{Onward, Verdict, Wire};
use crate::shared::Shared;

/// Units of work of an event of a stream, roughly: what is compared are answers on the same route.
const EVENT_UNITS: u32 = 1000;

/// An endpoint's answer.
pub(crate) enum Sent {
    /// All of it.
    Whole(Response<Bytes>),
    /// Its head, and the stream that has begun.
    Stream(response::Parts, Box<Streaming>),
}

/// Why an exchange brought no answer.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// It ends the endpoints that run it, and was not sent; it may be for this long.
    #[error("in quarantine for {0:?}")]
    Quarantined(Duration),
    /// The endpoint has said since the request got its place that it leaves, or wants rest; nothing was sent.
    #[error("the endpoint wants no request any more")]
    Unwanted,
    /// No connection; nothing was sent.
    #[error("not sent: {0}")]
    Unsent(h1::CallError),
    /// The endpoint did not run it.
    #[error("not run: {0:?}")]
    NotRun(Verdict),
    /// The endpoint did not run it, and wants nothing from this instance for so long.
    #[error("turned away: wants rest for {0:?}")]
    TurnedAway(Duration),
    /// It may have run: a broken connection, or bytes that are no answer to it.
    #[error("broken: {0}")]
    Broken(String),
    /// The endpoint is suspected to hang.
    #[error("no event for too long")]
    Hanging,
    /// The request's time is over.
    #[error("the request's time is over")]
    Timeout,
}

impl Failure {
    /// Whether the request has certainly not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(
            self,
            Failure::Unsent(_)
                | Failure::NotRun(_)
                | Failure::TurnedAway(_)
                | Failure::Quarantined(_)
                | Failure::Unwanted
        )
    }

    /// Whether the request has reached the endpoint.
    pub(crate) fn has_arrived(&self) -> bool {
        !matches!(self, Failure::Unsent(_) | Failure::Quarantined(_) | Failure::Unwanted)
    }

    /// Whether the request's time is over.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self, Failure::Timeout)
    }

    /// The final answer that follows if nothing else may be tried.
    pub(crate) fn into_refusal(self) -> Refusal {
        match self {
            Failure::Timeout | Failure::Hanging => Refusal::TimedOut,
            _ => Refusal::Failed,
        }
    }
}

/// A request at an endpoint. Dropping it closes the connection and ends the run.
pub(crate) struct Run {
    shared: Shared,
    id: String,
    pub(crate) endpoint: Endpoint,
    conn: Option<h1::Conn>,
    began: Instant,
    /// Tokens of the prompt, and of those that the endpoint had to read before.
    prompt: u32,
    backlog: u32,
    /// Time to the first event, or to the whole answer; zero before that.
    first: Duration,
    /// Longest time between two events.
    pause: Duration,
    last_event: Instant,
    /// Events so far.
    events: u32,
    /// Name of its route.
    route: Arc<Route>,
    is_over: bool,
}

impl Run {
    fn new(shared: &Shared, job: &Job, place: Assignment) -> Run {
        let (shared, id) = (shared.clone(), job.ask.id.clone());
        shared.run_began(&place.endpoint);
        Run {
            shared,
            id,
            endpoint: place.endpoint,
            prompt: place.prompt,
            backlog: place.backlog,
            conn: None,
            began: clock::now(),
            first: Duration::ZERO,
            pause: Duration::ZERO,
            last_event: clock::now(),
            events: 0,
            route: job.route.clone(),
            is_over: false,
        }
    }

    /// Notes an event of the stream.
    pub(crate) fn note_event(&mut self) {
        let now = clock::now();
        if !self.first.is_zero() {
            self.pause = self.pause.max(now.duration_since(self.last_event));
        }
        self.last_event = now;
        self.events += 1;
    }

    /// Ends the run after a clean end of its answer, and keeps the connection.
    pub(crate) fn end_clean(mut self, pool: &h1::Pool, outcome: Outcome) {
        if let Some(conn) = self.conn.take() {
            pool.put(conn);
        }
        self.end(outcome);
    }

    /// Ends the run, and its connection with it.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.is_over = true;
        self.conn = None;
        let unread = if self.first.is_zero() { self.prompt } else { 0 };
        let answer = match outcome {
            Outcome::Good => Some(self.took()),
            Outcome::Bad => Some(ResponseOutcome::Failure),
            Outcome::Neutral | Outcome::Absent => None,
        };
        self.shared.run_ended(&self.endpoint, &self.route.name, answer);
        self.shared.finish(self.endpoint.key(), unread, outcome);
    }

    /// The time that it has taken, for each unit of work.
    fn took(&self) -> ResponseOutcome {
        let units = self.prompt.saturating_add(self.backlog).saturating_add(FIXED_UNITS);
        let units = units.saturating_add(self.events.saturating_mul(EVENT_UNITS));
        let ns = clock::since(self.began).as_nanos() as f64;
        ResponseOutcome::Success { ns_per_unit: ns / f64::from(units) }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        log::info!(
            "event=caller_left id={} endpoint={} after_ms={}",
            self.id,
            self.endpoint.id,
            clock::since(self.began).as_millis()
        );
        self.end(Outcome::Neutral);
    }
}

impl<W: Wire> Relay<W> {
    /// Sends a request to the endpoint that it was given.
    pub(super) async fn send(
        &self,
        job: &Job,
        place: Assignment,
        after: Option<u64>,
    ) -> Result<Sent, Failure> {
        let (load, expected) = (place.load, place.expected);
        let mut run = Run::new(&self.shared, job, place);
        let is_crowded = load > run.endpoint.slots;
        let result = self.exchange(job, &mut run, expected, after).await;
        let failure = match result {
            Ok(Begun::Whole(answer)) => {
                let is_bad = answer.status().is_server_error();
                let outcome = if is_bad { Outcome::Bad } else { Outcome::Good };
                log_answered(job, &run, answer.status().as_u16(), answer.body().len());
                self.note_answer(job);
                run.end_clean(&self.pool, outcome);
                return Ok(Sent::Whole(answer));
            }
            Ok(Begun::Stream(head, first, body)) => {
                let streaming = Box::new(Streaming::new(run, first, body));
                return Ok(Sent::Stream(head, streaming));
            }
            Err(failure) => failure,
        };
        let outcome = match &failure {
            Failure::NotRun(Verdict::NotThere) => Outcome::Absent,
            Failure::Timeout
            | Failure::Quarantined(_)
            | Failure::TurnedAway(_)
            | Failure::Unwanted => Outcome::Neutral,
            Failure::NotRun(_) if is_crowded => Outcome::Neutral,
            _ => Outcome::Bad,
        };
        log::warn!(
            "event=send_failed id={} fingerprint={:016x} endpoint={} load={load} after_ms={} \
             blame={outcome:?} failure=\"{failure}\"",
            job.ask.id,
            job.fingerprint,
            run.endpoint.id,
            clock::since(run.began).as_millis()
        );
        if matches!(failure, Failure::Unsent(_)) {
            self.pool.forget(run.endpoint.address);
        }
        run.end(outcome);
        match &failure {
            Failure::Broken(_) => self.check_end(job, &run.endpoint, true).await,
            Failure::Unsent(e) if e.is_refused() => self.shared.endpoint_ended(&run.endpoint),
            _ => {}
        }
        Err(failure)
    }

    async fn exchange(
        &self,
        job: &Job,
        run: &mut Run,
        expected: Duration,
        after: Option<u64>,
    ) -> Result<Begun, Failure> {
        let due = silence::due(expected, job.route.objective);
        let limit = until(job.limit);
        let (endpoint, began) = (run.endpoint.key(), run.began);
        let beginning = self.begin(job, run, after);
        pin_mut!(beginning);
        if let Ok(begun) = future::timeout(due.min(limit), &mut beginning).await {
            return begun;
        }
        match silence::judge(due, limit, job.is_repeatable()) {
            Silence::TimedOut => return Err(Failure::Timeout),
            Silence::GivenUp => return Err(Failure::Hanging),
            Silence::Suspected => {
                self.shared.lock().cell.suspect(clock::now(), endpoint, began);
            }
        }
        match future::timeout(until(job.limit), beginning).await {
            Ok(begun) => begun,
            Err(_) => Err(Failure::Timeout),
        }
    }

    /// Sends the request; returns with the whole answer, or with the first event of a stream.
    async fn begin(&self, job: &Job, run: &mut Run, after: Option<u64>) -> Result<Begun, Failure> {
        let answer = self.ask(job, run, after).await?;
        let (mut head, mut body) = answer.into_parts();
        let verdict = self.wire.judge(&head, &job.ask.id);
        if matches!(verdict, Verdict::Answer | Verdict::NotRun) {
            let signals = self.wire.signals(&head);
            self.shared.endpoint_said(&run.endpoint, &job.ask.id, run.began, signals);
            if let (Verdict::NotRun, Some(rest)) = (verdict, signals.backoff.value()) {
                return Err(Failure::TurnedAway(rest));
            }
        }
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => {
                let status = head.status;
                return Err(Failure::Broken(format!("no answer to this request: {status}")));
            }
            verdict => return Err(Failure::NotRun(verdict)),
        }
        self.wire.back(&mut head.headers);
        let broken = |e: hyper::Error| Failure::Broken(e.to_string());
        if job.route.stream && head.status.is_success() {
            let first = match body.frame().await {
                Some(frame) => Some(frame.map_err(broken)?),
                None => None,
            };
            run.note_event();
            run.first = clock::since(run.began);
            self.shared.began(run.endpoint.key(), run.prompt, run.backlog, run.first);
            observe::began(&job.route.name, clock::since(job.arrived));
            return Ok(Begun::Stream(head, first, body));
        }
        let whole = body.collect().await.map_err(broken)?.to_bytes();
        if head.status.is_success() {
            run.first = clock::since(run.began);
            self.shared.began(run.endpoint.key(), run.prompt, run.backlog, run.first);
        }
        Ok(Begun::Whole(Response::from_parts(head, whole)))
    }

    async fn ask(
        &self,
        job: &Job,
        run: &mut Run,
        after: Option<u64>,
    ) -> Result<Response<Incoming>, Failure> {
        let address = run.endpoint.address;
        let mut conn = self.pool.get(address).await.map_err(Failure::Unsent)?;
        // A new connection takes up to a second, in which other answers come.
        if !self.shared.lock().cell.may_send(clock::now(), run.endpoint.key()) {
            self.pool.put(conn);
            return Err(Failure::Unwanted);
        }
        let is_trial = self.pass_gate(job)?;
        let mut result = conn.send(self.request(job, run, after)).await;
        if conn.is_reused() && matches!(&result, Err(e) if e.is_unsent()) {
            conn = self.pool.connect(address).await.map_err(Failure::Unsent)?;
            if !is_trial {
                self.pass_gate(job)?;
            }
            result = conn.send(self.request(job, run, after)).await;
        }
        run.conn = Some(conn);
        result.map_err(|e| match e.is_unsent() {
            true => Failure::Unsent(e),
            false => Failure::Broken(e.to_string()),
        })
    }

    fn request(&self, job: &Job, run: &Run, after: Option<u64>) -> Request<Bytes> {
        let onward = Onward {
            left: until(job.limit),
            endpoint: &run.endpoint.id,
            account: job.account.as_ref(),
            after,
        };
        let mut req = Request::new(job.body.clone());
        *req.method_mut() = job.method.clone();
        *req.uri_mut() = path_only(&job.uri);
        *req.headers_mut() = self.wire.forward(&job.headers, onward);
        req
    }
}

/// What an exchange has brought so far.
enum Begun {
    Whole(Response<Bytes>),
    Stream(response::Parts, Option<hyper::body::Frame<Bytes>>, Incoming),
}

/// Path and query, as endpoints expect them.
fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Logs an answer that is complete.
pub(crate) fn log_answered(job: &Job, run: &Run, status: u16, bytes: usize) {
    observe::answered(&job.route.name, "answered", clock::since(job.arrived));
    log::info!(
        "event=answered id={} endpoint={} status={status} bytes={bytes} first_ms={} pause_ms={} at_endpoint_ms={} \
         total_ms={}",
        job.ask.id,
        run.endpoint.id,
        run.first.as_millis(),
        run.pause.as_millis(),
        clock::since(run.began).as_millis(),
        clock::since(job.arrived).as_millis()
    );
}
