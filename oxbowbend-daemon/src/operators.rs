//! The resource API for operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::bounded;
use async_std::task;
use futures::future;
use futures::TryStreamExt;
use http_types::{Body, Method, Mime, Request, Response, StatusCode};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_http::body;
use oxbowbend_http::problem;
use oxbowbend_http::server::{self, Handler};
use oxbowbend_resource::kinds;
use oxbowbend_resource::manifest;
use oxbowbend_resource::set;
use oxbowbend_store::config;
use oxbowbend_store::kv::KeyValue;
use serde::Serialize;
use serde_json::json;

use crate::callers;
use crate::config::{Config, Current, Update};
use crate::drain;
use crate::hub;
use crate::ids;
use crate::observe;
use crate::peers;
use crate::settings;

/// Largest change.
const MAX_CHANGE: usize = 4 << 20;
/// Time that an operator's client may take to send a change.
const BODY_TIME: Duration = Duration::from_secs(30);
/// Resources in one page of a list, if no number is asked for.
const PAGE: usize = 500;
/// Most resources in one page of a list.
const MAX_PAGE: usize = 5000;
/// Pause between two signs of life of a watch that has nothing to say.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// When to come back while changes are refused.
const COME_BACK: Duration = Duration::from_secs(2);

struct Shared<K> {
    hub: Arc<hub::Hub>,
    config: Arc<Config>,
    peers: Arc<peers::Peers>,
    store: config::ConfigStore<K>,
    drain: Arc<drain::Drain>,
    key_hash: String,
}

/// Answers operators.
pub(crate) struct Operators<K> {
    shared: Arc<Shared<K>>,
}

/// What one instance has in force.
#[derive(Serialize)]
struct InstanceStatus {
    instance: InstanceId,
    zone: String,
    leaving: bool,
    answers: bool,
    revision: Option<u64>,
}

impl<K: KeyValue> Operators<K> {
    /// Prepares to answer operators.
    pub(crate) fn new(
        hub: Arc<hub::Hub>,
        config: Arc<Config>,
        peers: Arc<peers::Peers>,
        store: config::ConfigStore<K>,
        drain: Arc<drain::Drain>,
        key: &settings::Secret,
    ) -> Operators<K> {
        let key_hash = set::hash_key(key.reveal());
        let shared = Shared { hub, config, peers, store, drain, key_hash };
        Operators { shared: Arc::new(shared) }
    }
}

impl<K: KeyValue> Handler for Operators<K> {
    async fn handle(&self, mut req: Request, _: server::Caller) -> Response {
        let shared = &self.shared;
        let path = req.url().path().trim_end_matches('/').to_owned();
        match path.as_str() {
            "/healthz" => return Response::new(StatusCode::Ok),
            "/readyz" => return callers::readiness(&shared.hub, &shared.config),
            _ => {}
        }
        if !shared.is_authentic(&req) {
            let problem = problem::Problem::new(StatusCode::Unauthorized, "wrong key");
            return problem.detail("send the operators' key as a bearer token").into_response();
        }
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let answer = match (req.method(), parts.as_slice()) {
            (Method::Get, ["metrics"]) => Ok(metrics()),
            (Method::Get, ["v1", "status"]) => Ok(shared.status().await),
            (Method::Get, ["v1", "watch"]) => shared.watch(&req),
            (Method::Post, ["v1", "drain"]) => {
                shared.drain.begin();
                Ok(Response::new(StatusCode::Accepted))
            }
            (Method::Post, ["v1", "changes"]) => shared.change(&mut req).await,
            (Method::Get, ["v1", "resources", kind]) => shared.list(&req, kind),
            (Method::Get, ["v1", "resources", kind, name]) => shared.get(kind, name),
            (Method::Get, ["v1", "resources", kind, name, "status"]) => {
                shared.resource_status(kind, name).await
            }
            (Method::Put, ["v1", "resources", kind, name]) => {
                shared.put(&mut req, kind, name).await
            }
            (Method::Delete, ["v1", "resources", kind, name]) => {
                shared.delete(&req, kind, name).await
            }
            _ => Err(problem::Problem::new(StatusCode::NotFound, "no such path or method")),
        };
        answer.unwrap_or_else(problem::Problem::into_response)
    }
}

fn metrics() -> Response {
    let mut res = Response::new(StatusCode::Ok);
    if let Some(handle) = observe::install() {
        handle.run_upkeep();
        res.set_body(handle.render());
    }
    res.set_content_type(Mime::from("text/plain; version=0.0.4"));
    res
}

fn query(req: &Request) -> BTreeMap<String, String> {
    req.url().query_pairs().into_owned().collect()
}

fn find_kind(name: &str) -> Result<kinds::Kind, problem::Problem> {
    kinds::Kind::find(name).ok_or_else(|| {
        let problem = problem::Problem::new(StatusCode::NotFound, "no such kind");
        problem.detail(format!("there is no kind {name:?}"))
    })
}

fn bad(detail: impl Into<String>) -> problem::Problem {
    problem::Problem::new(StatusCode::BadRequest, "the request cannot be used").detail(detail)
}

impl<K: KeyValue> Shared<K> {
    fn is_authentic(&self, req: &Request) -> bool {
        let header = req.header("Authorization").map(|v| v.as_str());
        let key = header.and_then(|v| v.strip_prefix("Bearer "));
        // Digests are compared, so that the time taken tells nothing of the key.
        key.is_some_and(|k| set::hash_key(k.trim()) == self.key_hash)
    }

    fn current(&self) -> Result<Arc<Current>, problem::Problem> {
        self.config.current().ok_or_else(|| {
            let problem =
                problem::Problem::new(StatusCode::ServiceUnavailable, "no configuration yet");
            problem.retry_after(COME_BACK)
        })
    }

    fn list(&self, req: &Request, kind: &str) -> Result<Response, problem::Problem> {
        let kind = find_kind(kind)?;
        let query = query(req);
        let limit = match query.get("limit").map(|l| l.parse::<usize>()) {
            None => PAGE,
            Some(Ok(limit)) if (1..=MAX_PAGE).contains(&limit) => limit,
            Some(_) => return Err(bad(format!("limit must be from 1 to {MAX_PAGE}"))),
        };
        let after = query.get("continue").map(String::as_str).unwrap_or_default();
        let prefix = query.get("prefix").map(String::as_str).unwrap_or_default();
        let fields = query.iter().filter_map(|(k, v)| Some((k.strip_prefix("spec.")?, v)));
        let fields: Vec<(&str, &String)> = fields.collect();
        let current = self.current()?;
        let matching = current.manifest.set().of(kind);
        let matching = matching.filter(|r| r.name.as_str() > after && r.name.starts_with(prefix));
        let mut matching = matching.filter(|r| matches_fields(r, &fields)).peekable();
        let items: Vec<&kinds::Resource> = matching.by_ref().take(limit).collect();
        let next = matching.peek().and(items.last()).map(|r| r.name.clone());
        let revision = current.manifest.revision();
        Ok(problem::json(
            StatusCode::Ok,
            &json!({ "items": items, "continue": next, "revision": revision }),
        ))
    }

    fn find(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<(Arc<Current>, kinds::Resource), problem::Problem> {
        let kind = find_kind(kind)?;
        let current = self.current()?;
        let found = current.manifest.set().get(kind, name).cloned();
        let found = found.ok_or_else(|| {
            let problem = problem::Problem::new(StatusCode::NotFound, "no such resource");
            problem.detail(format!("{kind}/{name} is not declared"))
        })?;
        Ok((current, found))
    }

    fn get(&self, kind: &str, name: &str) -> Result<Response, problem::Problem> {
        let (_, resource) = self.find(kind, name)?;
        Ok(problem::json(StatusCode::Ok, &resource))
    }

    async fn put(
        &self,
        req: &mut Request,
        kind: &str,
        name: &str,
    ) -> Result<Response, problem::Problem> {
        let kind = find_kind(kind)?;
        let change_id = change_id(req);
        let resource: kinds::Resource = read(req).await?;
        if resource.spec.kind() != kind || resource.name != name {
            return Err(bad(format!("the body declares {}, not {kind}/{name}", resource.id())));
        }
        self.apply(manifest::Change {
            id: change_id,
            operations: vec![manifest::Operation::Put(resource)],
        })
        .await
    }

    async fn delete(
        &self,
        req: &Request,
        kind: &str,
        name: &str,
    ) -> Result<Response, problem::Problem> {
        let kind = find_kind(kind)?;
        let version = query(req).get("version").and_then(|v| v.parse().ok());
        let version = version.ok_or_else(|| bad("state the version to delete: ?version=N"))?;
        let id = kinds::ResourceId { kind, name: name.to_owned() };
        let operations = vec![manifest::Operation::Delete { id, version }];
        self.apply(manifest::Change { id: change_id(req), operations }).await
    }

    async fn change(&self, req: &mut Request) -> Result<Response, problem::Problem> {
        let change: manifest::Change = read(req).await?;
        if change.id.is_empty() || change.id.len() > 64 || change.id.contains(['/', '-']) {
            return Err(bad("the change's id must be 1 to 64 characters without '/' and '-'"));
        }
        self.apply(change).await
    }

    async fn apply(&self, change: manifest::Change) -> Result<Response, problem::Problem> {
        let known = self.current().map(|c| c.manifest.clone()).unwrap_or_default();
        let id = change.id.clone();
        match self.store.apply(&change, &known).await {
            Ok(manifest) => {
                let accepted = manifest.head().revision_of(&id).unwrap_or(manifest.revision());
                log::info!("operator: Change {id} is accepted as revision {accepted}.");
                self.config.adopt(manifest);
                Ok(problem::json(StatusCode::Ok, &json!({ "change": id, "revision": accepted })))
            }
            Err(e) => Err(self.refusal(&id, e)),
        }
    }

    fn refusal(&self, id: &str, e: config::ConfigError) -> problem::Problem {
        let detail = e.to_string();
        match e {
            config::ConfigError::Change(manifest::ChangeError::Conflict {
                id: resource, ..
            }) => {
                let present = self.config.current();
                let present = present
                    .and_then(|c| c.manifest.set().get(resource.kind, &resource.name).cloned());
                let problem = problem::Problem::new(StatusCode::Conflict, "changed meanwhile");
                problem.detail(detail).errors(json!({ "present": present }))
            }
            config::ConfigError::Change(manifest::ChangeError::Invalid(mistakes)) => {
                let problem = problem::Problem::new(StatusCode::UnprocessableEntity, "mistakes");
                problem.detail(detail).errors(json!({ "mistakes": mistakes }))
            }
            config::ConfigError::Change(manifest::ChangeError::Empty) => bad(detail),
            config::ConfigError::Unknown(_) => {
                let problem = problem::Problem::new(StatusCode::GatewayTimeout, "unknown");
                let errors = json!({ "change": id, "accepted": "unknown" });
                problem.detail(detail).errors(errors).retry_after(COME_BACK)
            }
            config::ConfigError::Unavailable(_)
            | config::ConfigError::Stored(_)
            | config::ConfigError::Contended => {
                let problem = problem::Problem::new(StatusCode::ServiceUnavailable, "not accepted");
                let errors = json!({ "change": id, "accepted": "no" });
                problem.detail(detail).errors(errors).retry_after(COME_BACK)
            }
        }
    }

    /// Asks every listed instance what it has in force.
    async fn instances(&self) -> Vec<InstanceStatus> {
        let listed = self.hub.node().members().list().members.clone();
        let asked = listed.into_iter().map(|(instance, member)| async move {
            let revision = if instance == *self.hub.me() {
                Ok(self.config.revision())
            } else {
                self.peers.revision(&instance).await
            };
            InstanceStatus {
                zone: member.zone.to_string(),
                leaving: member.leaving,
                answers: revision.is_ok(),
                revision: revision.ok().flatten(),
                instance,
            }
        });
        future::join_all(asked).await
    }

    async fn status(&self) -> Response {
        let instances = self.instances().await;
        let node = self.hub.node();
        let pools: BTreeMap<String, serde_json::Value> = node
            .topology()
            .pools
            .iter()
            .map(|(id, pool)| {
                let slots: u32 = pool.endpoints.values().map(|e| e.slots).sum();
                let scheduler = node.ingress().scheduler(id);
                let here = node.scheduler(id).map_or(0, |s| s.waiting());
                let endpoints = pool.endpoints.len();
                let status = json!({
                    "endpoints": endpoints, "slots": slots, "scheduler": scheduler,
                    "waiting_here": here,
                });
                (id.to_string(), status)
            })
            .collect();
        let held = node.ingress().len();
        let in_doubt = node.permits().in_doubt();
        let owned = node.permits().owned();
        problem::json(
            StatusCode::Ok,
            &json!({
                "instance": self.hub.me(), "revision": self.config.revision(),
                "instances": instances, "pools": pools, "requests": held,
                "owned_permits": owned, "unproven_permits": in_doubt,
            }),
        )
    }

    async fn resource_status(&self, kind: &str, name: &str) -> Result<Response, problem::Problem> {
        let (_, resource) = self.find(kind, name)?;
        let instances = self.instances().await;
        let in_force = |s: &InstanceStatus| s.revision.is_some_and(|r| r >= resource.version);
        let missing: Vec<&InstanceId> =
            instances.iter().filter(|s| !in_force(s)).map(|s| &s.instance).collect();
        Ok(problem::json(
            StatusCode::Ok,
            &json!({
                "id": resource.id(), "version": resource.version,
                "in_force": missing.is_empty(), "missing": missing, "instances": instances,
            }),
        ))
    }

    /// Streams changes as lines of JSON, beginning with everything that there is.
    fn watch(&self, req: &Request) -> Result<Response, problem::Problem> {
        let query = query(req);
        let kind = query.get("kind").map(|k| find_kind(k)).transpose()?;
        let since: u64 = query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
        let updates = self.config.watch();
        let (tx, rx) = bounded::<Result<Vec<u8>, std::io::Error>>(16);
        task::spawn(async move {
            loop {
                let batch = async_std::future::timeout(KEEP_ALIVE, updates.recv()).await;
                let lines = match batch {
                    Ok(Ok(batch)) => lines(&batch, kind, since),
                    Ok(Err(_)) => return,
                    Err(_) => vec![b'\n'],
                };
                if tx.send(Ok(lines)).await.is_err() {
                    return;
                }
            }
        });
        let mut res = Response::new(StatusCode::Ok);
        res.set_content_type(Mime::from("application/x-ndjson"));
        res.set_body(Body::from_reader(rx.into_async_read(), None));
        Ok(res)
    }
}

fn lines(batch: &[Update], kind: Option<kinds::Kind>, since: u64) -> Vec<u8> {
    let wanted = |u: &&Update| match u {
        Update::Put { resource } => {
            kind.is_none_or(|k| k == resource.spec.kind()) && resource.version > since
        }
        Update::Delete { id } => kind.is_none_or(|k| k == id.kind),
        Update::Revision { .. } => true,
    };
    let mut text = Vec::new();
    for update in batch.iter().filter(wanted) {
        text.extend(serde_json::to_vec(update).unwrap_or_default());
        text.push(b'\n');
    }
    text
}

fn matches_fields(resource: &kinds::Resource, fields: &[(&str, &String)]) -> bool {
    if fields.is_empty() {
        return true;
    }
    let value = serde_json::to_value(resource).unwrap_or_default();
    fields.iter().all(|(field, wanted)| match &value["spec"][*field] {
        serde_json::Value::String(s) => s == *wanted,
        serde_json::Value::Array(items) => items.iter().any(|i| i == wanted.as_str()),
        other => *wanted == &other.to_string(),
    })
}

/// The id that the operator's client gave the change, or a new one.
fn change_id(req: &Request) -> String {
    let given = req.header("Oxbow-Change-Id").map(|v| v.as_str().replace(['/', '-'], ""));
    given.unwrap_or_else(|| ids::request().replace('-', ""))
}

async fn read<T: serde::de::DeserializeOwned>(req: &mut Request) -> Result<T, problem::Problem> {
    let bytes = body::read_request(req, MAX_CHANGE, BODY_TIME).await;
    let bytes = bytes.map_err(|e| e.to_problem())?;
    serde_json::from_slice(&bytes).map_err(|e| bad(e.to_string()))
}
