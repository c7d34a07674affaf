//! Stand-in for a model engine.
//!
//! It batches continuously up to a number of slots, admits everything at once in the order of
//! arrival, and knows no priorities. A run goes on when its connection is cut, and can be resumed
//! and cancelled. The answer is a function of the prompt, so that a caller can tell its own.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, unbounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use futures::TryStreamExt;
use http_types::{Body, Method, Mime, Request, Response, StatusCode};
use oxbowbend_core::cache;
use oxbowbend_http::body;
use oxbowbend_http::problem;
use oxbowbend_http::server::{self, Handler};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::switches;

mod answer;

use answer::{encode, last_events, token_event, whole_answer, Job};

/// Longest request that is read.
const MAX_REQUEST: usize = 16 << 20;
/// How often the load is recorded for the lagging report.
const RECORD: Duration = Duration::from_millis(50);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests that run at once; more wait inside.
    pub slots: usize,
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Output tokens per second and request.
    pub decode_rate: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Age of the reported load.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slots: 8,
            prefill_rate: 100_000.0,
            decode_rate: 1000.0,
            cache_tokens: 65_536,
            report_lag: Duration::from_millis(500),
            checks_fencing: true,
        }
    }
}

/// What the engine remembers of a run, for tests to compare with what callers were told.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunRecord {
    /// Run id.
    pub run: String,
    /// Times that a request with this id was admitted.
    pub starts: u32,
    /// The caller's `user` field, which tests use as a marker.
    pub marker: String,
    /// Prompt tokens that were processed, not found in the cache.
    pub prefilled: u32,
    /// Whether the run came to its end.
    pub done: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

struct Running {
    record: RunRecord,
    events: Vec<(String, String)>,
    whole: Value,
    listeners: Vec<Sender<()>>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Running>,
    running: usize,
    peak: usize,
    queue: VecDeque<Sender<()>>,
    reports: VecDeque<(Instant, usize, usize)>,
    fencing: u64,
    orders: Vec<Value>,
}

/// An engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    options: Options,
    panel: switches::Panel,
    state: Arc<Mutex<State>>,
    cache: Arc<Mutex<cache::PrefixCache>>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: Options) -> Engine {
        let cache = Arc::new(Mutex::new(cache::PrefixCache::new(options.cache_tokens)));
        Engine { options, panel: switches::Panel::default(), state: Arc::default(), cache }
    }

    /// Its switches.
    pub fn panel(&self) -> &switches::Panel {
        &self.panel
    }

    /// Everything that was ever admitted.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.values().map(|r| r.record.clone()).collect()
    }

    /// Orders taken, each with its path and fencing number.
    pub fn orders(&self) -> Vec<(String, u64)> {
        let text = |o: &Value| o["path"].as_str().unwrap_or_default().to_owned();
        let orders = &self.lock().orders;
        orders.iter().map(|o| (text(o), o["fencing"].as_u64().unwrap_or(0))).collect()
    }

    /// Most requests that ever ran at once.
    pub fn peak(&self) -> usize {
        self.lock().peak
    }

    /// Serves until the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let recorder = self.clone();
        task::spawn(async move {
            loop {
                recorder.record_load();
                task::sleep(RECORD).await;
            }
        });
        let options = server::Options { idle: Duration::from_secs(600), ..Default::default() };
        server::serve(listener, self, options, Arc::new(server::Gate::default())).await
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    fn record_load(&self) {
        let mut state = self.lock();
        let report = (Instant::now(), state.running, state.queue.len());
        state.reports.push_back(report);
        while state.reports.len() > 1000 {
            state.reports.pop_front();
        }
    }

    async fn admit(&self, req: &mut Request, chat: bool) -> Response {
        let bytes = match body::read_request(req, MAX_REQUEST, Duration::from_secs(10)).await {
            Ok(bytes) => bytes,
            Err(e) => return e.to_problem().into_response(),
        };
        let Ok(body) = serde_json::from_slice::<Value>(&bytes) else {
            return problem::Problem::new(StatusCode::BadRequest, "not JSON").into_response();
        };
        let switches = self.panel.get();
        if switches.refuse || switches.leaving {
            return problem::Problem::new(StatusCode::ServiceUnavailable, "no new work")
                .into_response();
        }
        let job = Job::read(&body, chat);
        let marker = body["user"].as_str().unwrap_or_default().to_owned();
        let updates = self.begin(&job, marker);
        let stream = job.stream;
        let run = job.run.clone();
        task::spawn(self.clone().generate(job));
        if stream {
            return self.stream(run, updates, 0);
        }
        while updates.recv().await.is_ok() && !self.is_over(&run) {}
        self.panel.hold_back().await;
        self.plain(&run)
    }

    /// Notes that a request was admitted. A second one with the same id runs as well: the engine
    /// knows nothing of ids that should be run once.
    fn begin(&self, job: &Job, marker: String) -> Receiver<()> {
        let mut state = self.lock();
        let (tx, rx) = unbounded();
        let record = RunRecord { run: job.run.clone(), marker, ..RunRecord::default() };
        let fresh =
            Running { record, events: Vec::new(), whole: Value::Null, listeners: Vec::new() };
        let running = state.runs.entry(job.run.clone()).or_insert(fresh);
        running.record.starts += 1;
        running.listeners.push(tx);
        rx
    }

    fn is_over(&self, run: &str) -> bool {
        let state = self.lock();
        state.runs.get(run).is_none_or(|r| r.record.done || r.record.cancelled)
    }

    async fn generate(self, job: Job) {
        self.take_slot().await;
        let prompt_tokens = estimate(&job.prompt);
        let prefix = prefix_hashes(&job.prompt);
        let cached = {
            let mut cache = self.cache.lock().expect("no panic under lock");
            let cached = cache.cached_tokens(&prefix).min(prompt_tokens);
            cache.insert(&prefix);
            cached
        };
        if let Some(r) = self.lock().runs.get_mut(&job.run) {
            r.record.prefilled = prompt_tokens - cached;
        }
        self.work(f64::from(prompt_tokens - cached) / self.options.prefill_rate).await;
        let words: Vec<String> = answer_words(&job.prompt, job.max_tokens);
        for (i, word) in words.iter().enumerate() {
            self.work(1.0 / self.options.decode_rate).await;
            if self.is_cancelled(&job.run) {
                break;
            }
            self.emit(&job.run, token_event(&job, i, word));
        }
        if !self.is_cancelled(&job.run) {
            self.complete(&job, &words, prompt_tokens, cached);
        }
        self.free_slot();
    }

    async fn work(&self, seconds: f64) {
        let factor = self.panel.get().slow.unwrap_or(1.0);
        task::sleep(Duration::from_secs_f64(seconds * factor)).await;
    }

    async fn take_slot(&self) {
        let turn = {
            let mut state = self.lock();
            if state.running < self.options.slots {
                state.running += 1;
                state.peak = state.peak.max(state.running);
                None
            } else {
                let (tx, rx) = bounded(1);
                state.queue.push_back(tx);
                Some(rx)
            }
        };
        if let Some(turn) = turn {
            turn.recv().await.ok();
        }
    }

    /// Hands the slot to the request that has waited longest, if any.
    fn free_slot(&self) {
        let mut state = self.lock();
        match state.queue.pop_front() {
            Some(next) => {
                next.try_send(()).ok();
            }
            None => state.running -= 1,
        }
    }

    fn is_cancelled(&self, run: &str) -> bool {
        self.lock().runs.get(run).is_some_and(|r| r.record.cancelled)
    }

    fn emit(&self, run: &str, event: (String, String)) {
        let mut state = self.lock();
        let Some(running) = state.runs.get_mut(run) else { return };
        running.events.push(event);
        running.listeners.retain(|l| l.try_send(()).is_ok());
    }

    fn complete(&self, job: &Job, words: &[String], prompt: u32, cached: u32) {
        let text = words.join(" ");
        let output = words.len() as u32;
        let whole = whole_answer(job, &text, prompt, cached, output);
        for event in last_events(job, &whole, prompt, cached, output, words.len()) {
            self.emit(&job.run, event);
        }
        let mut state = self.lock();
        if let Some(running) = state.runs.get_mut(&job.run) {
            running.whole = whole;
            running.record.done = true;
            running.listeners.clear();
        }
    }

    /// Streams the events of a run from the `from`th on.
    fn stream(&self, run: String, updates: Receiver<()>, from: usize) -> Response {
        let (tx, rx) = bounded::<Result<Vec<u8>, std::io::Error>>(64);
        let engine = self.clone();
        task::spawn(async move {
            engine.panel.hold_back().await;
            let cut_after = engine.panel.get().cut_after;
            let mut sent = from;
            loop {
                let (fresh, over) = engine.events_from(&run, sent);
                for (name, data) in fresh {
                    if cut_after.is_some_and(|n| sent - from >= n) {
                        let cut = std::io::Error::new(std::io::ErrorKind::BrokenPipe, "cut");
                        tx.send(Err(cut)).await.ok();
                        return;
                    }
                    sent += 1;
                    if tx.send(Ok(encode(&name, &data))).await.is_err() {
                        return;
                    }
                }
                if over || updates.recv().await.is_err() && engine.is_over(&run) {
                    let (fresh, _) = engine.events_from(&run, sent);
                    if fresh.is_empty() {
                        return;
                    }
                }
            }
        });
        let mut res = Response::new(StatusCode::Ok);
        res.set_content_type(Mime::from("text/event-stream"));
        res.set_body(Body::from_reader(rx.into_async_read(), None));
        res
    }

    fn events_from(&self, run: &str, from: usize) -> (Vec<(String, String)>, bool) {
        let state = self.lock();
        let Some(running) = state.runs.get(run) else { return (Vec::new(), true) };
        let fresh = running.events.get(from..).unwrap_or_default().to_vec();
        (fresh, running.record.done || running.record.cancelled)
    }

    /// The whole answer, or the run's status while it goes on.
    fn plain(&self, run: &str) -> Response {
        let whole = {
            let state = self.lock();
            let Some(running) = state.runs.get(run) else {
                return problem::Problem::new(StatusCode::NotFound, "no such run").into_response();
            };
            match (&running.record.cancelled, &running.record.done) {
                (true, _) => json!({ "id": run, "status": "cancelled" }),
                (_, true) => running.whole.clone(),
                _ => json!({ "id": run, "status": "in_progress" }),
            }
        };
        let mut res = problem::json(StatusCode::Ok, &whole);
        if self.panel.use_up(|s| &mut s.cut_bodies) {
            let text = whole.to_string();
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            let reader = futures::io::Cursor::new(half);
            res.set_body(Body::from_reader(reader, Some(text.len())));
            res.insert_header("Connection", "close");
        }
        res
    }

    fn resume(&self, run: &str, query: &str) -> Response {
        let (tx, rx) = unbounded();
        {
            let mut state = self.lock();
            let Some(running) = state.runs.get_mut(run) else {
                return problem::Problem::new(StatusCode::NotFound, "no such run").into_response();
            };
            if !running.record.done && !running.record.cancelled {
                running.listeners.push(tx);
            }
        }
        if !query.contains("stream=true") {
            return self.plain(run);
        }
        let after = query.split('&').find_map(|p| p.strip_prefix("starting_after="));
        let from = after.and_then(|n| n.parse::<usize>().ok()).map_or(0, |n| n + 1);
        self.stream(run.to_owned(), rx, from)
    }

    fn cancel(&self, run: &str) -> Response {
        let mut state = self.lock();
        let Some(running) = state.runs.get_mut(run) else {
            return problem::Problem::new(StatusCode::NotFound, "no such run").into_response();
        };
        if !running.record.done {
            running.record.cancelled = true;
            running.listeners.clear();
        }
        problem::json(StatusCode::Ok, &json!({ "id": run, "status": "cancelled" }))
    }

    /// Load as it was some time ago.
    fn metrics(&self) -> Response {
        let state = self.lock();
        let lag = self.options.report_lag;
        let old = state.reports.iter().rev().find(|(at, _, _)| at.elapsed() >= lag);
        let (running, waiting) = old.map_or((0, 0), |(_, r, w)| (*r, *w));
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(format!(
            "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running {running}\n\
             # TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting {waiting}\n"
        ));
        res
    }

    async fn order(&self, req: &mut Request) -> Response {
        let number = req.header("Oxbow-Fencing-Number").and_then(|v| v.as_str().parse().ok());
        let number: u64 = number.unwrap_or(0);
        let bytes = body::read_request(req, MAX_REQUEST, Duration::from_secs(10)).await;
        let body = bytes.ok().and_then(|b| serde_json::from_slice::<Value>(&b).ok());
        let mut state = self.lock();
        if self.options.checks_fencing && number < state.fencing {
            return problem::Problem::new(StatusCode::Conflict, "old fencing number")
                .into_response();
        }
        state.fencing = state.fencing.max(number);
        let order = json!({ "path": req.url().path(), "fencing": number, "order": body });
        state.orders.push(order);
        problem::json(StatusCode::Ok, &json!({}))
    }
}

impl Handler for Engine {
    async fn handle(&self, mut req: Request, _: server::Caller) -> Response {
        let path = req.url().path().to_owned();
        let query = req.url().query().unwrap_or_default().to_owned();
        match (req.method(), path.as_str()) {
            (_, switches::PATH) => self.panel.serve(&mut req).await,
            (Method::Get, "/standin/runs") => problem::json(StatusCode::Ok, &self.runs()),
            (Method::Get, "/standin/peak") => problem::json(StatusCode::Ok, &self.peak()),
            (Method::Get, "/standin/orders") => problem::json(StatusCode::Ok, &self.lock().orders),
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Post, "/v1/chat/completions") => self.admit(&mut req, true).await,
            (Method::Post, "/v1/responses") => self.admit(&mut req, false).await,
            (Method::Post, "/v1/load_lora_adapter" | "/v1/unload_lora_adapter") => {
                self.order(&mut req).await
            }
            (method, path) => match path.strip_prefix("/v1/responses/") {
                Some(rest) if method == Method::Post => {
                    self.cancel(rest.trim_end_matches("/cancel"))
                }
                Some(run) if method == Method::Get => self.resume(run, &query),
                _ => problem::Problem::new(StatusCode::NotFound, "no such path").into_response(),
            },
        }
    }
}

/// Tokens in a text, by the usual rule of thumb.
pub fn estimate(text: &str) -> u32 {
    (text.len() as u32).div_ceil(4)
}

fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let block = 4 * oxbowbend_core::cache::BLOCK_TOKENS as usize;
    let ends = (1..=prompt.len() / block).map(|n| n * block);
    ends.map(|end| {
        oxbowbend_core::membership::score("", &String::from_utf8_lossy(&prompt.as_bytes()[..end]))
    })
    .collect()
}

/// The words with which an engine answers a prompt.
pub fn answer_words(prompt: &str, count: u32) -> Vec<String> {
    let mark = oxbowbend_core::membership::score("answer", prompt) as u32;
    (0..count).map(|i| format!("w{i}-{mark:08x}")).collect()
}
