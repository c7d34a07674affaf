//! Requests to models, streamed and not.

use std::sync::Arc;
use std::time::Duration;

use futures::future::{self, Either};
use http_types::{Mime, Request, Response, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_core::cache;
use oxbowbend_core::ids;
use oxbowbend_core::message;
use oxbowbend_endpoint::events;
use oxbowbend_endpoint::run;
use oxbowbend_http::body;
use oxbowbend_http::client;
use oxbowbend_http::memory::Charge;
use oxbowbend_http::problem;
use oxbowbend_http::server;
use oxbowbend_resource::derive;
use oxbowbend_resource::kinds;
use oxbowbend_store::kv::KeyValue;
use serde_json::Value;
use xxhash_rust::xxh3;

use super::flow::{self, unavailable};
use super::keyed;
use super::settle::{cancelled, failed, settle};
use super::stream::answer_stream;
use super::{Service, COME_BACK};
use crate::observe;

/// Time limit to connect to an endpoint.
const CONNECT: Duration = Duration::from_secs(2);
/// Time without an event after which a stream is taken to be cut.
const SILENCE: Duration = Duration::from_secs(30);
/// Bytes taken for a token.
const BYTES_PER_TOKEN: usize = 4;
/// Blocks of a prompt that are looked up in prefix caches.
const MAX_BLOCKS: usize = 512;
/// Output tokens expected where neither the request nor the model states a number.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Times that a parsed body is held: itself and its copy for an endpoint.
const COPIES: usize = 2;
/// Bytes that a value takes, with half as much again for the room that a growing array keeps.
const VALUE_BYTES: usize = std::mem::size_of::<Value>() * 3 / 2;
/// Bytes that an array takes at the least: room for four values.
const ARRAY_BYTES: usize = 4 * std::mem::size_of::<Value>();
/// Bytes that an object takes at the least: a node of its map, which has room for eleven members.
const OBJECT_BYTES: usize =
    11 * (std::mem::size_of::<String>() + std::mem::size_of::<Value>()) + 16;
/// Bytes that a text takes beside its own, for each of its quotation marks: half of the smallest allocation.
const QUOTE_BYTES: usize = 16;

/// A request as far as it matters here.
struct Ask {
    api: events::Api,
    model: String,
    stream: bool,
    body: Value,
    _charge: Option<Charge>,
    digest: u64,
    work: flow::Work,
}

/// Serves one request.
pub(super) async fn serve<K: KeyValue>(
    service: Arc<Service<K>>,
    mut req: Request,
    caller: server::Caller,
) -> Response {
    let flow = match flow::Flow::begin(&service, &req, &caller) {
        Ok(flow) => flow,
        Err(refusal) => return refusal,
    };
    let body = match flow.read_body(&mut req, parsed_bytes).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let asked = Ask::parse(&flow, req.url().path(), body).and_then(|ask| {
        let pool = find_pool(&flow, &ask)?;
        Ok((ask, pool))
    });
    let (ask, pool) = match asked {
        Ok(asked) => asked,
        Err(problem) => return flow.refuse(problem, problem::Outcome::NotRun),
    };
    match enter_ledger(&flow, &ask).await {
        Ok(Entered::Unkeyed) => run_until_answered(flow, ask, pool, None).await,
        Ok(Entered::Mine(keyed)) => run_until_answered(flow, ask, pool, Some(keyed)).await,
        Ok(Entered::PickUp(target, done)) => pick_up(flow, ask, target, done).await,
        Err(refusal) => refusal,
    }
}

impl Ask {
    fn parse<K: KeyValue>(
        flow: &flow::Flow<K>,
        path: &str,
        request_body: body::RequestBody,
    ) -> Result<Ask, problem::Problem> {
        let bad = |detail: String| {
            problem::Problem::new(StatusCode::BadRequest, "the request cannot be used")
                .detail(detail)
        };
        let body: Value =
            serde_json::from_slice(&request_body.bytes).map_err(|e| bad(e.to_string()))?;
        if !body.is_object() {
            return Err(bad("the body must be a JSON object".to_owned()));
        }
        let api = if path == events::Api::Chat.path() {
            events::Api::Chat
        } else {
            events::Api::Responses
        };
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        if model.is_empty() {
            return Err(bad("the body must name a model".to_owned()));
        }
        let declared = match flow.current.manifest.set().get(kinds::Kind::Model, &model) {
            Some(resource) => resource.spec.clone(),
            None => {
                let problem =
                    problem::Problem::new(StatusCode::NotFound, "the model is not declared");
                return Err(problem.detail(format!("no model {model:?} is declared")));
            }
        };
        let stream = match &body["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err(bad("stream must be true or false".to_owned())),
        };
        let digest = xxh3::xxh3_64_with_seed(&request_body.bytes, xxh3::xxh3_64(path.as_bytes()));
        let work = estimate(&body, api, &declared);
        let _charge = request_body.into_charge();
        Ok(Ask { api, model, stream, body, _charge, digest, work })
    }
}

/// Bytes that a body takes once it is parsed and written for an endpoint: its texts and its values, of which each begins
/// with one of these bytes or follows one. Bytes within texts count too, which makes little of long ones.
fn parsed_bytes(bytes: &[u8]) -> usize {
    let taken = |byte: &u8| match byte {
        b',' | b':' => VALUE_BYTES,
        b'[' => VALUE_BYTES + ARRAY_BYTES,
        b'{' => VALUE_BYTES + OBJECT_BYTES,
        b'"' => QUOTE_BYTES,
        _ => 0,
    };
    COPIES * (bytes.len() + bytes.iter().map(taken).sum::<usize>())
}

fn estimate(body: &Value, api: events::Api, declared: &kinds::Spec) -> flow::Work {
    let prompt = match api {
        events::Api::Chat => body["messages"].to_string(),
        events::Api::Responses => body["input"].to_string(),
    };
    let limits = ["max_completion_tokens", "max_tokens", "max_output_tokens"];
    let stated = limits.iter().find_map(|name| body[name].as_u64());
    let expected = match declared {
        kinds::Spec::Model(model) => model.output_tokens,
        _ => None,
    };
    let expected = expected.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    flow::Work {
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        output_tokens: stated.map_or(expected, |n| n.min(u64::from(u32::MAX)) as u32).max(1),
        prefix: prefix_hashes(prompt.as_bytes()),
    }
}

/// Hashes of the prompt's blocks, each over everything up to the block's end.
fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let block = cache::BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hash = 0;
    let blocks = prompt.chunks_exact(block).take(MAX_BLOCKS);
    blocks
        .map(|bytes| {
            hash = xxh3::xxh3_64_with_seed(bytes, hash);
            hash
        })
        .collect()
}

fn find_pool<K: KeyValue>(
    flow: &flow::Flow<K>,
    ask: &Ask,
) -> Result<ids::PoolId, problem::Problem> {
    let pool = derive::model_pool(&flow.admitted.place, &ask.model);
    let node = flow.service.hub.node();
    let known = node.topology().pools.get(&pool).is_some_and(|p| !p.endpoints.is_empty());
    known.then_some(pool).ok_or_else(unavailable)
}

enum Entered<K> {
    Unkeyed,
    Mine(keyed::Keyed<K>),
    PickUp(run::Target, bool),
}

async fn enter_ledger<K: KeyValue>(
    flow: &flow::Flow<K>,
    ask: &Ask,
) -> Result<Entered<K>, Response> {
    let Some(key) = &flow.admitted.key else { return Ok(Entered::Unkeyed) };
    let account = &flow.admitted.account;
    match keyed::Keyed::hold(&flow.service, account, key, &flow.id, ask.digest).await {
        keyed::Standing::Mine(keyed) => Ok(Entered::Mine(keyed)),
        keyed::Standing::Refused(problem, outcome) => Err(flow.refuse(problem, outcome)),
        keyed::Standing::Elsewhere { run, address: Some(address), done } => {
            let target = run::Target { address, run, api: ask.api, limits: limits(flow) };
            Ok(Entered::PickUp(target, done))
        }
        keyed::Standing::Elsewhere { address: None, done, .. } => Err(lost_run(flow, done)),
    }
}

fn limits<K: KeyValue>(flow: &flow::Flow<K>) -> client::Limits {
    let longest = flow.service.hub.node().topology().max_run;
    client::Limits { connect: CONNECT, head: longest, piece: SILENCE }
}

/// Runs a request, at other endpoints too if it does not begin, until there is an answer.
async fn run_until_answered<K: KeyValue>(
    mut flow: flow::Flow<K>,
    ask: Ask,
    pool: ids::PoolId,
    keyed: Option<keyed::Keyed<K>>,
) -> Response {
    loop {
        let run = flow.next_run();
        let mut granted = match flow.wait(run, &pool, &ask.work, keyed.as_ref()).await {
            Ok(granted) => granted,
            Err(refusal) => return refusal,
        };
        let failure = loop {
            let (error, back) = match attempt(&flow, &ask, granted).await {
                Ok(Started::Whole(whole, granted)) => {
                    return answer_whole(flow, granted, keyed, whole);
                }
                Ok(Started::Stream(run, granted)) => {
                    return answer_stream(flow, Some(granted), keyed, *run);
                }
                Err(failed) => failed,
            };
            let leaving = match error {
                run::StartError::NotSent(_) => false,
                run::StartError::Leaving => true,
                other => break (other, back),
            };
            granted = match flow.elsewhere(back, keyed.as_ref(), leaving).await {
                Ok(granted) => granted,
                Err(refusal) => return refusal,
            };
        };
        if let Some(answer) = answer_failure(&flow, failure.0, failure.1, keyed.is_some()) {
            return answer;
        }
    }
}

enum Started {
    Whole(run::Whole, flow::Granted),
    Stream(Box<run::Run>, flow::Granted),
}

async fn attempt<K: KeyValue>(
    flow: &flow::Flow<K>,
    ask: &Ask,
    granted: flow::Granted,
) -> Result<Started, (run::StartError, flow::Granted)> {
    let client = &flow.service.client;
    let (address, run) = (granted.address, granted.run.clone());
    let target = run::Target { address, run, api: ask.api, limits: limits(flow) };
    let body = ask.body.clone();
    if ask.stream {
        return match run::Run::start(client, target, body).await {
            Ok(run) => Ok(Started::Stream(Box::new(run), granted)),
            Err(e) => Err((e, granted)),
        };
    }
    let answer = Box::pin(run::run_whole(client, &target, body));
    let gone = Box::pin(flow.caller.gone());
    let first = future::select(answer, gone).await;
    match first {
        Either::Left((Ok(whole), _)) => Ok(Started::Whole(whole, granted)),
        Either::Left((Err(e), _)) => Err((e, granted)),
        Either::Right((_, answer)) if flow.admitted.key.is_some() => {
            // The caller may come back for it under its idempotency key.
            match answer.await {
                Ok(whole) => Ok(Started::Whole(whole, granted)),
                Err(e) => Err((e, granted)),
            }
        }
        Either::Right(_) => {
            Err((run::StartError::InDoubt("the caller has hung up".to_owned()), granted))
        }
    }
}

/// Answers a run that failed for good, or returns `None` if the request is to be run again.
fn answer_failure<K: KeyValue>(
    flow: &flow::Flow<K>,
    error: run::StartError,
    granted: flow::Granted,
    keyed: bool,
) -> Option<Response> {
    match error {
        run::StartError::Answered { status, content_type, body } => {
            let report = if status.is_server_error() { failed() } else { cancelled() };
            granted.ticket.finish(report);
            if status.is_server_error() && flow.may_repeat() {
                return None;
            }
            flow.note(problem::Outcome::Failed);
            let mut res = Response::new(status);
            res.set_body(body);
            res.insert_header("Content-Type", content_type.as_str());
            res.insert_header(problem::OUTCOME, problem::Outcome::Failed.name());
            res.insert_header(problem::REQUEST_ID, flow.id.as_str());
            Some(res)
        }
        other => {
            let service = flow.service.clone();
            let (address, run) = (granted.address, granted.run.clone());
            settle(service, address, run, failed(), !keyed);
            if flow.may_repeat() {
                return None;
            }
            let problem = problem::Problem::new(StatusCode::BadGateway, "the answer was lost");
            let problem = problem.detail(other.to_string()).retry_after(COME_BACK);
            Some(flow.refuse(problem, problem::Outcome::Unknown))
        }
    }
}

fn answer_whole<K: KeyValue>(
    flow: flow::Flow<K>,
    granted: flow::Granted,
    keyed: Option<keyed::Keyed<K>>,
    whole: run::Whole,
) -> Response {
    granted.ticket.finish(report(&flow, &whole.observed));
    observe::resumed(whole.observed.resumes);
    if let Some(keyed) = keyed {
        keyed.finish();
    }
    whole_response(&flow, whole.body)
}

fn whole_response<K: KeyValue>(flow: &flow::Flow<K>, body: Vec<u8>) -> Response {
    flow.note(problem::Outcome::Done);
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(body);
    res.set_content_type(Mime::from("application/json"));
    res.insert_header(problem::OUTCOME, problem::Outcome::Done.name());
    res.insert_header(problem::REQUEST_ID, flow.id.as_str());
    res
}

pub(super) fn report<K: KeyValue>(
    flow: &flow::Flow<K>,
    observed: &run::Observed,
) -> message::RunReport {
    let usage = observed.usage.unwrap_or_default();
    let total = clock::now().saturating_duration_since(flow.granted_at());
    message::RunReport {
        outcome: message::RunOutcome::Complete,
        first_token_ms: observed.first.map(|d| d.as_millis() as u64),
        total_ms: total.as_millis() as u64,
        prompt_tokens: usage.prompt,
        cached_tokens: usage.cached,
        output_tokens: usage.output,
    }
}

/// Answers with a run that another request with the same idempotency key has started.
async fn pick_up<K: KeyValue>(
    flow: flow::Flow<K>,
    ask: Ask,
    target: run::Target,
    done: bool,
) -> Response {
    let client = flow.service.client.clone();
    let failure = if ask.stream {
        match run::Run::resume(&client, target, 0).await {
            Ok(run) => return answer_stream(flow, None, None, run),
            Err(e) => e,
        }
    } else {
        match run::fetch_whole(&client, &target).await {
            Ok(whole) => return whole_response(&flow, whole.body),
            Err(e) => e,
        }
    };
    match failure {
        run::StartError::UnknownRun => lost_run(&flow, done),
        other => {
            let problem =
                problem::Problem::new(StatusCode::BadGateway, "the answer cannot be fetched");
            let problem = problem.detail(other.to_string()).retry_after(COME_BACK);
            let outcome = if done { problem::Outcome::Done } else { problem::Outcome::Unknown };
            flow.refuse(problem, outcome)
        }
    }
}

/// The request was dispatched before, and its endpoint no longer has the answer, or never had the
/// request. It is not run again.
fn lost_run<K: KeyValue>(flow: &flow::Flow<K>, done: bool) -> Response {
    if done {
        let problem = problem::Problem::new(StatusCode::Gone, "the answer is no longer kept");
        let detail = "the request with this idempotency key was run and answered";
        return flow.refuse(problem.detail(detail), problem::Outcome::Done);
    }
    let problem =
        problem::Problem::new(StatusCode::Conflict, "the fate of the request is not known");
    let detail = "the request with this idempotency key may have run; it is not run again";
    flow.refuse(problem.detail(detail), problem::Outcome::Unknown)
}
