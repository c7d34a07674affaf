//! What callers can ask for.
//!
//! Every request passes the same steps: admission, the ledger if it has an idempotency key, the
//! queue, the endpoint. Each refusal says what has become of the request and when to come back.

pub(crate) mod admission;
mod flow;
mod keyed;
mod models;
mod services;
mod settle;
mod stream;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use oxbowbend_core::budget;
use oxbowbend_http::client;
use oxbowbend_http::problem;
use oxbowbend_http::server::{self, Handler};
use oxbowbend_resource::kinds;
use oxbowbend_store::kv::KeyValue;
use serde_json::json;

use crate::config;
use crate::hub;
use crate::peers;
use crate::router;
use crate::settings;

/// When to come back if this instance cannot serve yet.
const COME_BACK: Duration = Duration::from_secs(1);

/// Requests with an idempotency key that this instance holds.
#[derive(Debug, Default)]
pub(crate) struct Held {
    keys: Mutex<BTreeMap<String, usize>>,
}

impl Held {
    /// How many requests with this key in the ledger are held here.
    pub(crate) fn count(&self, key: &str) -> usize {
        self.keys.lock().expect("no panic under lock").get(key).copied().unwrap_or(0)
    }

    fn enter(&self, key: &str) {
        let mut keys = self.keys.lock().expect("no panic under lock");
        *keys.entry(key.to_owned()).or_default() += 1;
    }

    fn leave(&self, key: &str) {
        let mut keys = self.keys.lock().expect("no panic under lock");
        if let Some(n) = keys.get_mut(key) {
            *n -= 1;
            if *n == 0 {
                keys.remove(key);
            }
        }
    }
}

/// Requests that client accounts have open at this instance.
#[derive(Debug, Default)]
struct Open {
    by_account: Mutex<HashMap<String, usize>>,
}

/// One request's share of [`Open`].
struct OpenGuard {
    open: Arc<Open>,
    account: String,
}

impl Open {
    /// Counts a request in, unless that would pass the account's bound or the instance's.
    fn enter(
        self: &Arc<Open>,
        account: &str,
        bound: Option<u32>,
        total: usize,
    ) -> Result<OpenGuard, problem::Problem> {
        let mut by_account = self.by_account.lock().expect("no panic under lock");
        if by_account.values().sum::<usize>() >= total {
            let problem =
                problem::Problem::new(StatusCode::ServiceUnavailable, "too many open requests");
            return Err(problem.detail("this instance holds all the requests that it can"));
        }
        let n = by_account.entry(account.to_owned()).or_default();
        if bound.is_some_and(|bound| *n >= bound as usize) {
            let problem =
                problem::Problem::new(StatusCode::TooManyRequests, "too many open requests");
            return Err(problem.detail("the client account has all the requests open that it may"));
        }
        *n += 1;
        Ok(OpenGuard { open: self.clone(), account: account.to_owned() })
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut by_account = self.open.by_account.lock().expect("no panic under lock");
        if let Some(n) = by_account.get_mut(&self.account) {
            *n -= 1;
            if *n == 0 {
                by_account.remove(&self.account);
            }
        }
    }
}

/// What serving callers needs.
pub(crate) struct Service<K> {
    pub(crate) hub: Arc<hub::Hub>,
    pub(crate) config: Arc<config::Config>,
    pub(crate) peers: Arc<peers::Peers>,
    pub(crate) ledger: router::Router<K>,
    pub(crate) settings: settings::Settings,
    pub(crate) client: client::Client,
    pub(crate) held: Arc<Held>,
    open: Arc<Open>,
    retries: Mutex<budget::RetryBudget>,
}

/// Answers callers; clones share everything.
pub(crate) struct Callers<K> {
    service: Arc<Service<K>>,
}

impl<K: KeyValue> Callers<K> {
    /// Prepares to answer callers.
    pub(crate) fn new(
        hub: Arc<hub::Hub>,
        config: Arc<config::Config>,
        peers: Arc<peers::Peers>,
        ledger: router::Router<K>,
        settings: settings::Settings,
        held: Arc<Held>,
    ) -> Callers<K> {
        let service = Service {
            hub,
            config,
            peers,
            ledger,
            settings,
            client: client::Client::new(),
            held,
            open: Arc::default(),
            retries: Mutex::default(),
        };
        Callers { service: Arc::new(service) }
    }

    fn list_models(&self, req: &Request) -> Response {
        let Some(current) = self.service.config.current() else { return not_ready() };
        if let Err(problem) = admission::authenticate(&current, req) {
            return problem.into_response();
        }
        let models = current.manifest.set().of(kinds::Kind::Model);
        let models: Vec<_> = models.map(|m| json!({ "id": m.name, "object": "model" })).collect();
        problem::json(StatusCode::Ok, &json!({ "object": "list", "data": models }))
    }
}

impl<K: KeyValue> Handler for Callers<K> {
    async fn handle(&self, req: Request, caller: server::Caller) -> Response {
        let path = req.url().path().to_owned();
        match (req.method(), path.as_str()) {
            (Method::Get, "/healthz") => Response::new(StatusCode::Ok),
            (Method::Get, "/readyz") => readiness(&self.service.hub, &self.service.config),
            (Method::Get, "/v1/models") => self.list_models(&req),
            (Method::Post, "/v1/chat/completions" | "/v1/responses") => {
                models::serve(self.service.clone(), req, caller).await
            }
            (_, path) if path.starts_with("/services/") => {
                services::serve(self.service.clone(), req, caller).await
            }
            (_, "/v1/chat/completions" | "/v1/responses" | "/v1/models") => {
                let problem = problem::Problem::new(StatusCode::MethodNotAllowed, "wrong method");
                problem.outcome(problem::Outcome::NotRun).into_response()
            }
            _ => {
                let problem = problem::Problem::new(StatusCode::NotFound, "no such path");
                problem.outcome(problem::Outcome::NotRun).into_response()
            }
        }
    }
}

/// Whether new requests should be sent here: there is a configuration, the instance is listed, and
/// it is not stopping.
pub(crate) fn readiness(hub: &hub::Hub, config: &config::Config) -> Response {
    let (draining, listed) = {
        let node = hub.node();
        (node.is_draining(), node.members().contains(hub.me()))
    };
    if draining {
        let problem = problem::Problem::new(StatusCode::ServiceUnavailable, "stopping");
        return problem.into_response();
    }
    if config.revision().is_none() || !listed {
        return not_ready();
    }
    Response::new(StatusCode::Ok)
}

fn not_ready() -> Response {
    problem::Problem::new(StatusCode::ServiceUnavailable, "not ready")
        .detail("this instance has no configuration yet, or is not listed yet")
        .outcome(problem::Outcome::NotRun)
        .retry_after(COME_BACK)
        .into_response()
}
