//! Callers that check every answer, for demos, tests and measurements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future;
use hdrhistogram::Histogram;
use http_types::Method;
use oxbowbend_http::client;
use oxbowbend_http::problem;
use serde_json::{json, Value};

use crate::engine;

/// Longest answer that is read.
const MAX_ANSWER: usize = 64 << 20;
/// Time limit of a request.
const LIMIT: Duration = Duration::from_secs(120);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Bearer key of the client account.
    pub key: String,
    /// Model.
    pub model: String,
    /// Tier, if not the account's default.
    pub tier: Option<String>,
    /// Prompt; it should differ between callers, so that answers do.
    pub prompt: String,
    /// Output tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Run id, for an engine that is asked straight; a daemon puts its own in place of it.
    pub run: Option<String>,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The whole answer came, and it was the caller's own.
    Whole,
    /// An answer came that was not the caller's own, or not whole though it was said to be.
    Wrong(String),
    /// A refusal or failure came.
    Refused {
        /// HTTP status.
        status: u16,
        /// What is said to have become of the request.
        outcome: String,
        /// Seconds after which to come back.
        retry_after: Option<u64>,
    },
    /// The connection broke.
    Broken(String),
}

/// One request's result.
#[derive(Clone, Debug)]
pub struct Result {
    /// How it ended.
    pub ended: Ended,
    /// Time to the first piece of the answer.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
}

/// The words that a caller should be answered with.
pub fn expected(ask: &Ask) -> String {
    engine::answer_words(&messages(ask).to_string(), ask.max_tokens).join(" ")
}

fn messages(ask: &Ask) -> Value {
    json!([{ "role": "user", "content": ask.prompt }])
}

/// Sends one chat request and checks the answer.
pub async fn send(client: &client::Client, to: SocketAddr, ask: &Ask) -> Result {
    let began = Instant::now();
    let mut first = None;
    let ended = match try_send(client, to, ask, &mut first, began).await {
        Ok(ended) => ended,
        Err(e) => Ended::Broken(e),
    };
    Result { ended, first, total: began.elapsed() }
}

async fn try_send(
    client: &client::Client,
    to: SocketAddr,
    ask: &Ask,
    first: &mut Option<Duration>,
    began: Instant,
) -> std::result::Result<Ended, String> {
    let body = json!({
        "model": ask.model, "messages": messages(ask), "max_tokens": ask.max_tokens,
        "stream": ask.stream, "user": ask.prompt.chars().take(64).collect::<String>(),
        "request_id": ask.run,
    });
    let mut req = client::json_request(Method::Post, to, "/v1/chat/completions", &body)
        .map_err(|e| e.to_string())?;
    req.insert_header("Authorization", format!("Bearer {}", ask.key));
    if let Some(tier) = &ask.tier {
        req.insert_header("Oxbow-Tier", tier.as_str());
    }
    for (name, value) in &ask.headers {
        req.insert_header(name.as_str(), value.as_str());
    }
    let answer = client.send(to, req, client::Limits::all(LIMIT)).await;
    let mut answer = answer.map_err(|e| e.to_string())?;
    let mut bytes = Vec::new();
    while let Some(piece) = answer.next().await.map_err(|e| e.to_string())? {
        first.get_or_insert_with(|| began.elapsed());
        bytes.extend(piece);
        if bytes.len() > MAX_ANSWER {
            return Err("the answer is too long".to_owned());
        }
    }
    let status = answer.head.status();
    if !status.is_success() {
        let outcome = answer.head.header(problem::OUTCOME).map(|v| v.as_str().to_owned());
        let problem: Option<problem::Problem> = serde_json::from_slice(&bytes).ok();
        let retry_after = problem.and_then(|p| p.retry_after);
        let outcome = outcome.unwrap_or_default();
        return Ok(Ended::Refused { status: status as u16, outcome, retry_after });
    }
    let text = if ask.stream { streamed_text(&bytes)? } else { whole_text(&bytes)? };
    if text == expected(ask) {
        Ok(Ended::Whole)
    } else {
        Ok(Ended::Wrong(text))
    }
}

fn whole_text(bytes: &[u8]) -> std::result::Result<String, String> {
    let answer: Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    Ok(answer["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned())
}

fn streamed_text(bytes: &[u8]) -> std::result::Result<String, String> {
    let text = String::from_utf8_lossy(bytes);
    let mut words = String::new();
    let mut done = false;
    for data in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
        if event.get("error").is_some() {
            return Err(format!("the stream ended with {data}"));
        }
        words.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    if done {
        Ok(words)
    } else {
        Err("the stream ended without its last event".to_owned())
    }
}

/// Results of many requests of one kind.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Requests sent.
    pub sent: usize,
    /// Requests answered whole.
    pub whole: usize,
    /// Requests refused, by outcome.
    pub refused: BTreeMap<String, usize>,
    /// Everything else, in words.
    pub wrong: Vec<String>,
    /// Microseconds to the end of whole answers.
    pub total: Histogram<u64>,
    /// Microseconds to the first piece of whole answers.
    pub first: Histogram<u64>,
}

impl Default for Summary {
    fn default() -> Summary {
        let histogram = || Histogram::new(3).expect("3 digits are allowed");
        Summary {
            sent: 0,
            whole: 0,
            refused: BTreeMap::new(),
            wrong: Vec::new(),
            total: histogram(),
            first: histogram(),
        }
    }
}

impl Summary {
    /// Adds a result.
    pub fn add(&mut self, result: &Result) {
        self.sent += 1;
        match &result.ended {
            Ended::Whole => {
                self.whole += 1;
                self.total.record(result.total.as_micros() as u64).ok();
                let first = result.first.unwrap_or(result.total);
                self.first.record(first.as_micros() as u64).ok();
            }
            Ended::Refused { outcome, .. } => {
                *self.refused.entry(outcome.clone()).or_default() += 1;
            }
            other => self.wrong.push(format!("{other:?}")),
        }
    }

    /// Milliseconds to the end at a quantile.
    pub fn total_ms(&self, quantile: f64) -> f64 {
        self.total.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Milliseconds to the first piece at a quantile.
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Sends requests from `callers` callers at once, each the next one as soon as it has an answer.
pub async fn closed_loop(to: Vec<SocketAddr>, asks: Vec<Ask>, callers: usize) -> Vec<Result> {
    let asks = std::sync::Arc::new(asks);
    let next = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let caller = |n: usize| {
        let (asks, next, to) = (asks.clone(), next.clone(), to[n % to.len()]);
        task::spawn(async move {
            let client = client::Client::new();
            let mut results = Vec::new();
            loop {
                let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(ask) = asks.get(at) else { return results };
                results.push((at, send(&client, to, ask).await));
            }
        })
    };
    let results = future::join_all((0..callers).map(caller)).await;
    let mut results: Vec<_> = results.into_iter().flatten().collect();
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, result)| result).collect()
}
