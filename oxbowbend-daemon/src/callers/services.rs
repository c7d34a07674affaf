//! Calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::bounded;
use async_std::task;
use futures::TryStreamExt;
use http_types::{Body, Request, Response, StatusCode, Url};
use oxbowbend_clock as clock;
use oxbowbend_core::ids;
use oxbowbend_core::message;
use oxbowbend_http::body;
use oxbowbend_http::client;
use oxbowbend_http::problem;
use oxbowbend_http::server;
use oxbowbend_resource::derive;
use oxbowbend_resource::kinds;
use oxbowbend_store::kv::KeyValue;
use xxhash_rust::xxh3;

use super::flow;
use super::keyed;
use super::settle;
use super::{Service, COME_BACK};

/// Time limit to connect to an endpoint.
const CONNECT: Duration = Duration::from_secs(2);
/// Time without a piece of the answer after which it is taken to be cut.
const SILENCE: Duration = Duration::from_secs(30);
/// Beginning of an answer that is read before anything of it is passed on, so that most cuts are
/// told in words.
const READ_AHEAD: usize = 1 << 20;
/// Headers that concern one connection or this system only.
const NOT_PASSED_ON: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "expect",
    "idempotency-key",
];
/// Beginning of the names of this system's own headers.
const OWN_HEADERS: &str = "oxbow-";

/// A call as it is to be passed on.
struct Call {
    req: Request,
    path: String,
    body: body::RequestBody,
}

/// Serves one call.
pub(super) async fn serve<K: KeyValue>(
    service: Arc<Service<K>>,
    mut req: Request,
    caller: server::Caller,
) -> Response {
    let mut flow = match flow::Flow::begin(&service, &req, &caller) {
        Ok(flow) => flow,
        Err(refusal) => return refusal,
    };
    let (name, path) = split(req.url());
    let pool = match find_pool(&flow, &name) {
        Ok((pool, routes)) => {
            flow.admitted.repeatable |= may_repeat(&routes, &req, &path);
            pool
        }
        Err(problem) => return flow.refuse(problem, problem::Outcome::NotRun),
    };
    // Each attempt sends a copy.
    let body = match flow.read_body(&mut req, <[u8]>::len).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let call = Call { req, path, body };
    let keyed = match enter_ledger(&flow, &call).await {
        Ok(keyed) => keyed,
        Err(refusal) => return refusal,
    };
    run_until_answered(flow, call, pool, keyed).await
}

/// Splits `/services/{name}/rest?query` into the name and what the service is asked.
fn split(url: &Url) -> (String, String) {
    let rest = url.path().strip_prefix("/services/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = url.query().map(|q| format!("?{q}")).unwrap_or_default();
    (name.to_owned(), format!("/{path}{query}"))
}

fn find_pool<K: KeyValue>(
    flow: &flow::Flow<K>,
    name: &str,
) -> Result<(ids::PoolId, Vec<kinds::Route>), problem::Problem> {
    let declared = flow.current.manifest.set().get(kinds::Kind::Service, name).map(|r| &r.spec);
    let Some(kinds::Spec::Service(declared)) = declared else {
        let problem = problem::Problem::new(StatusCode::NotFound, "the service is not declared");
        return Err(problem.detail(format!("no service {name:?} is declared")));
    };
    let pool = derive::service_pool(&flow.admitted.place, name);
    let known = flow.service.hub.node().topology().pools.contains_key(&pool);
    if known {
        Ok((pool, declared.repeatable.clone()))
    } else {
        Err(flow::unavailable())
    }
}

fn may_repeat(routes: &[kinds::Route], req: &Request, path: &str) -> bool {
    let method = req.method();
    routes.iter().any(|r| r.method == method.as_ref() && path.starts_with(&r.path_prefix))
}

async fn enter_ledger<K: KeyValue>(
    flow: &flow::Flow<K>,
    call: &Call,
) -> Result<Option<keyed::Keyed<K>>, Response> {
    let Some(key) = &flow.admitted.key else { return Ok(None) };
    let seed = xxh3::xxh3_64(format!("{} {}", call.req.method(), call.req.url().path()).as_bytes());
    let digest = xxh3::xxh3_64_with_seed(&call.body.bytes, seed);
    match keyed::Keyed::hold(&flow.service, &flow.admitted.account, key, &flow.id, digest).await {
        keyed::Standing::Mine(keyed) => Ok(Some(keyed)),
        keyed::Standing::Refused(problem, outcome) => Err(flow.refuse(problem, outcome)),
        keyed::Standing::Elsewhere { done, .. } => {
            // A plain service cannot be asked for an answer again.
            let problem = problem::Problem::new(StatusCode::Conflict, "called before");
            let detail = "the call with this idempotency key was sent to the service before; \
                          it is not sent again";
            let outcome = if done { problem::Outcome::Done } else { problem::Outcome::Unknown };
            Err(flow.refuse(problem.detail(detail), outcome))
        }
    }
}

async fn run_until_answered<K: KeyValue>(
    mut flow: flow::Flow<K>,
    call: Call,
    pool: ids::PoolId,
    keyed: Option<keyed::Keyed<K>>,
) -> Response {
    let work = flow::Work { output_tokens: 1, ..flow::Work::default() };
    loop {
        let run = flow.next_run();
        let mut granted = match flow.wait(run, &pool, &work, keyed.as_ref()).await {
            Ok(granted) => granted,
            Err(refusal) => return refusal,
        };
        let error = loop {
            match attempt(&flow, &call, &granted).await {
                Ok(answer) => return pass_on(flow, granted, keyed, answer).await,
                Err(e) if e.is_unsent() => {}
                Err(e) => break e,
            }
            granted = match flow.elsewhere(granted, keyed.as_ref(), false).await {
                Ok(granted) => granted,
                Err(refusal) => return refusal,
            };
        };
        granted.ticket.finish(settle::failed());
        if !flow.may_repeat() {
            return lost(&flow, &error.to_string());
        }
    }
}

fn lost<K: KeyValue>(flow: &flow::Flow<K>, reason: &str) -> Response {
    let problem = problem::Problem::new(StatusCode::BadGateway, "the answer was lost");
    flow.refuse(problem.detail(reason).retry_after(COME_BACK), problem::Outcome::Unknown)
}

async fn attempt<K: KeyValue>(
    flow: &flow::Flow<K>,
    call: &Call,
    granted: &flow::Granted,
) -> Result<Beginning, client::CallError> {
    let longest = flow.service.hub.node().topology().max_run;
    let limits = client::Limits { connect: CONNECT, head: longest, piece: SILENCE };
    let address = granted.address;
    let broken = |e: String| client::CallError::Broken { address, reason: e };
    let url = Url::parse(&format!("http://{address}{}", call.path));
    let mut req = Request::new(call.req.method(), url.map_err(|e| broken(e.to_string()))?);
    // The body comes first, since it brings a content type of its own.
    req.set_body(call.body.bytes.clone());
    req.remove_header("Content-Type");
    for (name, values) in call.req.iter().filter(|(name, _)| is_passed_on(name.as_str())) {
        values.iter().for_each(|value| req.append_header(name.clone(), value.clone()));
    }
    req.insert_header(problem::REQUEST_ID, flow.id.as_str());
    let mut answer = flow.service.client.send(address, req, limits).await?;
    let mut read = Vec::new();
    let mut whole = false;
    while !whole && read.len() < READ_AHEAD {
        match answer.next().await? {
            Some(piece) => read.extend_from_slice(&piece),
            None => whole = true,
        }
    }
    Ok(Beginning { answer, read, whole })
}

/// An answer of which the beginning, or all, has been read.
struct Beginning {
    answer: client::Answer,
    read: Vec<u8>,
    whole: bool,
}

fn is_passed_on(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !NOT_PASSED_ON.contains(&name.as_str()) && !name.starts_with(OWN_HEADERS)
}

async fn pass_on<K: KeyValue>(
    flow: flow::Flow<K>,
    granted: flow::Granted,
    keyed: Option<keyed::Keyed<K>>,
    beginning: Beginning,
) -> Response {
    let head = beginning.answer.head.clone();
    let mut res = Response::new(head.status());
    let id = flow.id.clone();
    let headers: Vec<_> = head.iter().filter(|(name, _)| is_passed_on(name.as_str())).collect();
    if beginning.whole {
        res.set_body(beginning.read);
        res.insert_header(problem::OUTCOME, problem::Outcome::Done.name());
        end(&flow, &granted, keyed.as_ref());
    } else {
        let length = head.header("Content-Length").and_then(|v| v.as_str().parse().ok());
        let (tx, rx) = bounded(4);
        res.set_body(Body::from_reader(rx.into_async_read(), length));
        task::spawn(stream(flow, granted, keyed, beginning, tx));
    }
    // A body that is set brings a content type of its own, which is not the service's.
    res.remove_header("Content-Type");
    for (name, values) in headers {
        values.iter().for_each(|value| res.append_header(name.clone(), value.clone()));
    }
    res.insert_header(problem::REQUEST_ID, id.as_str());
    res
}

type Pieces = async_std::channel::Sender<Result<Vec<u8>, std::io::Error>>;

/// Passes on the rest of a long answer. A cut shows to the caller as a body that breaks off.
async fn stream<K: KeyValue>(
    flow: flow::Flow<K>,
    granted: flow::Granted,
    keyed: Option<keyed::Keyed<K>>,
    beginning: Beginning,
    pieces: Pieces,
) {
    let mut answer = beginning.answer;
    let mut piece = Ok(Some(beginning.read));
    loop {
        match piece {
            Ok(Some(bytes)) => {
                if pieces.send(Ok(bytes)).await.is_err() {
                    granted.ticket.finish(settle::cancelled());
                    return flow.note(problem::Outcome::Unknown);
                }
            }
            Ok(None) => return end(&flow, &granted, keyed.as_ref()),
            Err(e) => {
                let cut = std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "cut");
                pieces.send(Err(cut)).await.ok();
                granted.ticket.finish(settle::failed());
                log::warn!("caller: The answer of {} was cut: {e}.", flow.id);
                return flow.note(problem::Outcome::Unknown);
            }
        }
        piece = answer.next().await;
    }
}

fn end<K: KeyValue>(
    flow: &flow::Flow<K>,
    granted: &flow::Granted,
    keyed: Option<&keyed::Keyed<K>>,
) {
    let total = clock::now().saturating_duration_since(flow.granted_at());
    granted.ticket.finish(message::RunReport {
        outcome: message::RunOutcome::Complete,
        total_ms: total.as_millis() as u64,
        output_tokens: 1,
        ..message::RunReport::default()
    });
    if let Some(keyed) = keyed {
        keyed.finish();
    }
    flow.note(problem::Outcome::Done);
}
