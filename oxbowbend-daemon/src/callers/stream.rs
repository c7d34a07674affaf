//! A run's events on their way to the caller.

use async_std::channel::{bounded, Sender};
use async_std::task;
use futures::future::{self, Either};
use futures::TryStreamExt;
use http_types::{Body, Mime, Response, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_core::message;
use oxbowbend_endpoint::events;
use oxbowbend_endpoint::run;
use oxbowbend_http::problem;
use oxbowbend_store::kv::KeyValue;

use super::flow;
use super::keyed;
use super::models::report;
use super::settle::{cancelled, failed, settle};
use super::COME_BACK;
use crate::observe;

/// Events that may wait for a slow caller.
const MAX_AHEAD: usize = 64;

type Pieces = Sender<Result<Vec<u8>, std::io::Error>>;

/// Streams an answer; the stream goes on after this returns.
pub(super) fn answer_stream<K: KeyValue>(
    flow: flow::Flow<K>,
    granted: Option<flow::Granted>,
    keyed: Option<keyed::Keyed<K>>,
    run: run::Run,
) -> Response {
    let (tx, rx) = bounded(MAX_AHEAD);
    let mut res = Response::new(StatusCode::Ok);
    res.set_content_type(Mime::from("text/event-stream"));
    res.insert_header("Cache-Control", "no-cache");
    res.insert_header(problem::REQUEST_ID, flow.id.as_str());
    res.set_body(Body::from_reader(rx.into_async_read(), None));
    task::spawn(Pump { flow, granted, keyed, run, pieces: Some(tx) }.run());
    res
}

/// Moves the events of a run to the caller.
struct Pump<K> {
    flow: flow::Flow<K>,
    granted: Option<flow::Granted>,
    keyed: Option<keyed::Keyed<K>>,
    run: run::Run,
    pieces: Option<Pieces>,
}

enum Next {
    Event(events::Event),
    End,
    Cut(String),
    CallerGone,
}

impl<K: KeyValue> Pump<K> {
    async fn run(mut self) {
        loop {
            match self.next().await {
                Next::Event(event) => self.pass_on(event).await,
                Next::End => return self.end(),
                Next::Cut(reason) => return self.cut(reason).await,
                Next::CallerGone if self.must_go_on() => self.pieces = None,
                Next::CallerGone => return self.abandon(),
            }
        }
    }

    /// The caller of a keyed request may come back for the answer, so the run is kept; one that
    /// was only picked up here belongs to another instance.
    fn must_go_on(&self) -> bool {
        self.keyed.is_some()
    }

    async fn next(&mut self) -> Next {
        let next = Box::pin(self.run.next());
        let next = match &self.pieces {
            None => next.await,
            Some(_) => {
                let gone = Box::pin(self.flow.caller.gone());
                match future::select(next, gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return Next::CallerGone,
                }
            }
        };
        match next {
            Ok(Some(event)) => Next::Event(event),
            Ok(None) => Next::End,
            Err(e) => Next::Cut(e.to_string()),
        }
    }

    async fn pass_on(&mut self, event: events::Event) {
        if self.run.observed().events == 1 {
            let admitted = &self.flow.admitted;
            let time = clock::now().saturating_duration_since(admitted.arrived);
            observe::first_token(&admitted.tier, &admitted.account, time);
        }
        let Some(pieces) = &self.pieces else { return };
        // A caller that is gone shows at the next event.
        pieces.send(Ok(event.encode())).await.ok();
    }

    fn end(self) {
        let observed = self.run.observed();
        observe::resumed(observed.resumes);
        if let Some(granted) = &self.granted {
            granted.ticket.finish(report(&self.flow, &observed));
        }
        if let Some(keyed) = &self.keyed {
            keyed.finish();
        }
        self.flow.note(problem::Outcome::Done);
    }

    async fn cut(self, reason: String) {
        log::warn!("caller: The answer of {} was cut: {reason}.", self.flow.id);
        if let Some(pieces) = &self.pieces {
            let problem = problem::Problem::new(StatusCode::BadGateway, "the answer was cut");
            let problem = problem.detail(reason).outcome(problem::Outcome::Unknown);
            let problem = problem.request_id(&self.flow.id).retry_after(COME_BACK);
            let data = serde_json::json!({ "error": problem }).to_string();
            let event = events::Event { name: "error".to_owned(), data };
            pieces.send(Ok(event.encode())).await.ok();
            // Broken off, so that the transport too shows that the answer is not whole.
            let cut = std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "cut");
            pieces.send(Err(cut)).await.ok();
        }
        self.flow.note(problem::Outcome::Unknown);
        let cancel = self.keyed.is_none();
        self.settle(failed(), cancel);
    }

    fn abandon(self) {
        self.flow.note(problem::Outcome::Unknown);
        self.settle(cancelled(), true);
    }

    fn settle(self, report: message::RunReport, cancel: bool) {
        if let Some(granted) = self.granted {
            let (address, run) = (granted.address, granted.run.clone());
            settle(self.flow.service.clone(), address, run, report, cancel);
        }
    }
}
