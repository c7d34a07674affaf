//! One run at an engine, from the first byte of the request to the last of the answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, Request, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_http::client;
use serde::de::IgnoredAny;
use serde_json::Value;
use thiserror::Error;

use crate::control;
use crate::events;

/// Times that one run is picked up again.
const MAX_RESUMES: u32 = 5;
/// Pause before picking a run up again, doubled each time.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two questions whether a run that is fetched whole is over.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Longest answer that is not streamed.
const MAX_ANSWER: usize = 64 << 20;

/// Why a run did not begin.
#[derive(Debug, Error)]
pub enum StartError {
    /// No byte was sent: the engine does not have the request.
    #[error("not sent: {0}")]
    NotSent(client::CallError),
    /// The engine said that it takes no new work, and knows nothing of the run.
    #[error("the engine takes no new work")]
    Leaving,
    /// The engine answered with an error of its own.
    #[error("the engine answered {status}")]
    Answered {
        /// HTTP status.
        status: StatusCode,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The request was sent, at least in part, and its fate is not known.
    #[error("sent, but: {0}")]
    InDoubt(String),
    /// The engine does not know the run that was to be picked up.
    #[error("the engine does not know the run")]
    UnknownRun,
}

/// Why an answer stopped before its end.
#[derive(Debug, Error)]
#[error("the answer was cut and could not be picked up: {0}")]
pub struct CutError(String);

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// Time from dispatch to the first event.
    pub first: Option<Duration>,
    /// Events that have come.
    pub events: u64,
    /// Token counts.
    pub usage: Option<events::Usage>,
    /// Times that the answer was picked up again.
    pub resumes: u32,
}

/// Where a run is.
#[derive(Clone, Debug)]
pub struct Target {
    /// The engine.
    pub address: SocketAddr,
    /// The run's id.
    pub run: String,
    /// API by which it was or is asked for.
    pub api: events::Api,
    /// Time limits of each call.
    pub limits: client::Limits,
}

/// A run whose answer is streamed.
pub struct Run {
    client: client::Client,
    target: Target,
    events: events::Events,
    seen: u64,
    ended: bool,
    began: Instant,
    observed: Observed,
}

/// Builds the request that starts a run. The id is ours, so that the run can be picked up.
fn start_request(target: &Target, mut body: Value) -> Result<Request, StartError> {
    body["request_id"] = Value::String(target.run.clone());
    client::json_request(Method::Post, target.address, target.api.path(), &body)
        .map_err(|e| StartError::InDoubt(e.to_string()))
}

async fn start(
    client: &client::Client,
    target: &Target,
    body: Value,
) -> Result<client::Answer, StartError> {
    let req = start_request(target, body)?;
    let mut answer = match client.send(target.address, req, target.limits).await {
        Ok(answer) => answer,
        Err(e) if e.is_unsent() => return Err(StartError::NotSent(e)),
        Err(e) => return Err(StartError::InDoubt(e.to_string())),
    };
    let status = answer.head.status();
    if status.is_success() {
        return Ok(answer);
    }
    let content_type = answer.head.content_type().map(|m| m.to_string()).unwrap_or_default();
    let body = answer.read_to_end(MAX_ANSWER).await;
    if status == StatusCode::ServiceUnavailable && never_began(client, target).await {
        return Err(StartError::Leaving);
    }
    let body = body.map_err(|e| StartError::InDoubt(e.to_string()))?;
    Err(StartError::Answered { status, content_type, body })
}

/// After the engine has answered, nothing of the request is on its way any more; so an engine
/// that does not know the run has not run it and will not.
async fn never_began(client: &client::Client, target: &Target) -> bool {
    let status = control::run_status(client, target.address, &target.run, target.limits).await;
    matches!(status, Ok(control::RunStatus::Unknown))
}

impl Run {
    /// Sends a request whose answer is to be streamed.
    ///
    /// # Errors
    ///
    /// See [`StartError`] for what each error says of the request's fate.
    pub async fn start(
        client: &client::Client,
        target: Target,
        body: Value,
    ) -> Result<Run, StartError> {
        let began = clock::now();
        let answer = start(client, &target, body).await?;
        Ok(Run::new(client, target, answer, 0, began))
    }

    /// Picks up a run that another connection, or another instance, has started.
    ///
    /// # Errors
    ///
    /// [`StartError::UnknownRun`] if the engine does not know it (or not yet).
    pub async fn resume(
        client: &client::Client,
        target: Target,
        seen: u64,
    ) -> Result<Run, StartError> {
        let began = clock::now();
        let answer = resume(client, &target, seen).await?;
        Ok(Run::new(client, target, answer, seen, began))
    }

    fn new(
        client: &client::Client,
        target: Target,
        answer: client::Answer,
        seen: u64,
        began: Instant,
    ) -> Run {
        let (client, events) = (client.clone(), events::Events::new(answer));
        let observed = Observed::default();
        Run { client, target, events, seen, ended: false, began, observed }
    }

    /// The next event; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut and the engine cannot continue it.
    pub async fn next(&mut self) -> Result<Option<events::Event>, CutError> {
        while !self.ended {
            match self.events.next().await {
                Ok(Some(event)) => return Ok(Some(self.note(event))),
                Ok(None) => self.pick_up("the stream ended early".to_owned()).await?,
                Err(reason) => self.pick_up(reason).await?,
            }
        }
        Ok(None)
    }

    fn note(&mut self, event: events::Event) -> events::Event {
        self.seen += 1;
        self.observed.events += 1;
        self.observed.first.get_or_insert_with(|| clock::since(self.began));
        if let Some(usage) = event.usage() {
            self.observed.usage = Some(usage);
        }
        self.ended = event.is_last(self.target.api);
        event
    }

    async fn pick_up(&mut self, reason: String) -> Result<(), CutError> {
        while self.observed.resumes < MAX_RESUMES {
            task::sleep(RESUME_PAUSE * (1 << self.observed.resumes)).await;
            self.observed.resumes += 1;
            if let Ok(answer) = resume(&self.client, &self.target, self.seen).await {
                self.events = events::Events::new(answer);
                return Ok(());
            }
        }
        Err(CutError(reason))
    }

    /// What the run has shown so far.
    pub fn observed(&self) -> Observed {
        self.observed
    }
}

/// Continues a stream after `seen` events, which the engine counts from 0.
async fn resume(
    client: &client::Client,
    target: &Target,
    seen: u64,
) -> Result<client::Answer, StartError> {
    let mut path = format!("/v1/responses/{}?stream=true", target.run);
    if seen > 0 {
        path.push_str(&format!("&starting_after={}", seen - 1));
    }
    let req = client::request(Method::Get, target.address, &path)
        .map_err(|e| StartError::InDoubt(e.to_string()))?;
    let answer = client.send(target.address, req, target.limits).await;
    let answer = answer.map_err(|e| StartError::InDoubt(e.to_string()))?;
    match answer.head.status() {
        status if status.is_success() => Ok(answer),
        StatusCode::NotFound => Err(StartError::UnknownRun),
        status => Err(StartError::InDoubt(format!("the engine answered {status}"))),
    }
}

/// An answer that came whole.
#[derive(Debug)]
pub struct Whole {
    /// The answer.
    pub body: Vec<u8>,
    /// What the run showed.
    pub observed: Observed,
}

/// Sends a request and reads its answer whole; a cut answer is fetched again by the run's id.
///
/// # Errors
///
/// See [`StartError`] for what each error says of the request's fate.
pub async fn run_whole(
    client: &client::Client,
    target: &Target,
    body: Value,
) -> Result<Whole, StartError> {
    let answer = match start(client, target, body).await {
        Ok(answer) => read_whole(answer).await,
        Err(StartError::InDoubt(reason)) => Err(reason),
        Err(e) => return Err(e),
    };
    match answer {
        Ok(body) => Ok(whole(body, 0)),
        Err(reason) => fetch_whole(client, target).await.map_err(|e| match e {
            StartError::UnknownRun => StartError::InDoubt(reason),
            other => other,
        }),
    }
}

/// Reads an answer that is JSON. One that ends with its connection is whole if it can be parsed.
async fn read_whole(mut answer: client::Answer) -> Result<Vec<u8>, String> {
    let body = answer.read_to_end(MAX_ANSWER).await.map_err(|e| e.to_string())?;
    if answer.ends_with_connection() {
        serde_json::from_slice::<IgnoredAny>(&body).map_err(|e| e.to_string())?;
    }
    Ok(body)
}

fn whole(body: Vec<u8>, resumes: u32) -> Whole {
    let value: Option<Value> = serde_json::from_slice(&body).ok();
    let usage = value.as_ref().and_then(events::Usage::find);
    Whole { body, observed: Observed { usage, resumes, ..Observed::default() } }
}

/// Fetches a run's answer whole, waiting for the run to end.
///
/// # Errors
///
/// [`StartError::UnknownRun`] if the engine does not know the run; [`StartError::InDoubt`] if it
/// cannot be reached or the run has failed.
pub async fn fetch_whole(client: &client::Client, target: &Target) -> Result<Whole, StartError> {
    let patience = target.limits.head;
    let began = clock::now();
    let mut failures = 0;
    loop {
        match fetch(client, target).await {
            Ok(Some(body)) => return Ok(whole(body, failures + 1)),
            Ok(None) => {}
            Err(StartError::InDoubt(_)) if failures < MAX_RESUMES => failures += 1,
            Err(e) => return Err(e),
        }
        if clock::since(began) > patience {
            return Err(StartError::InDoubt("the run did not end in time".to_owned()));
        }
        task::sleep(FETCH_PAUSE).await;
    }
}

async fn fetch(client: &client::Client, target: &Target) -> Result<Option<Vec<u8>>, StartError> {
    let doubt = |e: String| StartError::InDoubt(e);
    let path = format!("/v1/responses/{}", target.run);
    let req = client::request(Method::Get, target.address, &path);
    let req = req.map_err(|e| doubt(e.to_string()))?;
    let call = client.call(target.address, req, target.limits, MAX_ANSWER).await;
    let (status, body) = call.map_err(|e| doubt(e.to_string()))?;
    match status {
        StatusCode::NotFound => return Err(StartError::UnknownRun),
        status if !status.is_success() => return Err(doubt(format!("status {status}"))),
        _ => {}
    }
    let value: Value = serde_json::from_slice(&body).map_err(|e| doubt(e.to_string()))?;
    match value["status"].as_str() {
        Some("queued" | "in_progress") => Ok(None),
        Some("failed" | "cancelled") => Err(StartError::Answered {
            status: StatusCode::BadGateway,
            content_type: "application/json".to_owned(),
            body,
        }),
        _ => Ok(Some(body)),
    }
}
