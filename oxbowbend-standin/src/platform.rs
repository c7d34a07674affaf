//! Stand-in for the platform: a key-value service and the list of instances.
//!
//! The key-value service speaks etcd's v3 JSON gateway, the list Consul's HTTP API. The list lags:
//! readers see it as it was a while ago.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{unbounded, Sender};
use async_std::net::TcpListener;
use async_std::task;
use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;
use futures::TryStreamExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use oxbowbend_http::body;
use oxbowbend_http::problem;
use oxbowbend_http::server::{self, Handler};
use serde_json::{json, Value};

use crate::switches;

/// Longest request that is read.
const MAX_REQUEST: usize = 4 << 20;
/// How often expired leases and registrations are looked for.
const SWEEP: Duration = Duration::from_millis(100);

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// How old the list is that readers see.
    pub list_lag: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options { list_lag: Duration::from_millis(200) }
    }
}

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    revision: u64,
    lease: Option<i64>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Clone, Debug, PartialEq)]
struct Registered {
    name: String,
    address: String,
    port: u16,
    meta: Value,
    ttl: Option<Duration>,
    ends: Option<Instant>,
    leaving: bool,
}

type Watcher = (String, Sender<Result<Vec<u8>, std::io::Error>>);

#[derive(Default)]
struct State {
    values: BTreeMap<String, Stored>,
    revision: u64,
    leases: BTreeMap<i64, Lease>,
    watchers: Vec<Watcher>,
    services: BTreeMap<String, Registered>,
    list_version: u64,
    history: VecDeque<(Instant, u64, BTreeMap<String, Registered>)>,
    reads: u64,
    writes: u64,
}

/// The platform; clones share it.
#[derive(Clone)]
pub struct Platform {
    options: Options,
    panel: switches::Panel,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(options: Options) -> Platform {
        Platform { options, panel: switches::Panel::default(), state: Arc::default() }
    }

    /// Its switches. `refuse` is an outage of the key-value service, `refuse_list` of the list.
    pub fn panel(&self) -> &switches::Panel {
        &self.panel
    }

    /// Reads and writes that the key-value service has served.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Enters something into the list, as the platform itself would.
    pub fn list(&self, name: &str, id: &str, address: &str, port: u16, leaving: bool) {
        let registered = Registered {
            name: name.to_owned(),
            address: address.to_owned(),
            port,
            meta: json!({}),
            ttl: None,
            ends: None,
            leaving,
        };
        let mut state = self.lock();
        state.services.insert(id.to_owned(), registered);
        state.list_changed();
    }

    /// Serves until the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let sweeper = self.clone();
        task::spawn(async move {
            loop {
                task::sleep(SWEEP).await;
                sweeper.sweep();
            }
        });
        let options = server::Options { idle: Duration::from_secs(600), ..Default::default() };
        server::serve(listener, self, options, Arc::new(server::Gate::default())).await
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    fn sweep(&self) {
        let switches = self.panel.get();
        let now = Instant::now();
        let mut state = self.lock();
        if !switches.refuse {
            state.end_leases(now);
        }
        if !switches.refuse_list {
            state.drop_silent(now);
        }
    }

    async fn answer(&self, req: &mut Request) -> Response {
        let path = req.url().path().to_owned();
        let bytes = match body::read_request(req, MAX_REQUEST, Duration::from_secs(10)).await {
            Ok(bytes) => bytes,
            Err(e) => return e.to_problem().into_response(),
        };
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        let mut state = self.lock();
        match (req.method(), path.as_str()) {
            (Method::Post, "/v3/kv/range") => ok(state.range(&body)),
            (Method::Post, "/v3/kv/txn") => ok(state.txn(&body)),
            (Method::Post, "/v3/kv/deleterange") => {
                state.writes += 1;
                state.delete(&text(&body["key"]));
                ok(json!({}))
            }
            (Method::Post, "/v3/lease/grant") => ok(state.grant(&body)),
            (Method::Post, "/v3/lease/keepalive") => ok(state.keep_alive(&body)),
            (Method::Post, "/v3/watch") => state.watch(&body),
            (Method::Put, "/v1/agent/service/register") => state.register(&body),
            (Method::Get, path) if path.starts_with("/v1/health/service/") => {
                state.health(&path["/v1/health/service/".len()..], self.options.list_lag)
            }
            (Method::Put, path) => state.agent(path, req.url().query().unwrap_or("")),
            _ => Response::new(StatusCode::NotFound),
        }
    }

    fn is_write(path: &str) -> bool {
        matches!(path, "/v3/kv/txn" | "/v3/kv/deleterange" | "/v3/lease/grant")
    }
}

impl Handler for Platform {
    async fn handle(&self, mut req: Request, _: server::Caller) -> Response {
        let path = req.url().path().to_owned();
        if path == switches::PATH {
            return self.panel.serve(&mut req).await;
        }
        if path == "/standin/counts" {
            let (reads, writes) = self.counts();
            return problem::json(StatusCode::Ok, &json!({ "reads": reads, "writes": writes }));
        }
        let switches = self.panel.get();
        let is_list = path.starts_with("/v1/");
        if (is_list && switches.refuse_list) || (!is_list && switches.refuse) {
            // An outage: nothing is done, and the gateway says so.
            let problem = problem::Problem::new(StatusCode::TooManyRequests, "outage");
            return problem.into_response();
        }
        let res = self.answer(&mut req).await;
        if Platform::is_write(&path) && self.panel.use_up(|s| &mut s.lose_replies) {
            return Response::new(StatusCode::GatewayTimeout);
        }
        self.panel.hold_back().await;
        res
    }
}

impl State {
    fn end_leases(&mut self, now: Instant) {
        let ended = self.leases.iter().filter(|(_, l)| l.ends <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.values.iter().filter(|(_, v)| v.lease == Some(lease));
            let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
            keys.iter().for_each(|k| self.delete(k));
        }
    }

    /// Drops instances that have not said for too long that they live.
    fn drop_silent(&mut self, now: Instant) {
        let before = self.services.len();
        self.services.retain(|_, s| s.ends.is_none_or(|ends| ends > now));
        if self.services.len() != before {
            self.list_changed();
        }
    }

    fn put(&mut self, key: &str, value: String, lease: Option<i64>) {
        self.revision += 1;
        let stored = Stored { value, revision: self.revision, lease };
        let event = json!({ "kv": entry(key, &stored) });
        self.values.insert(key.to_owned(), stored);
        self.tell(key, event);
    }

    fn delete(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.revision += 1;
            let kv = json!({ "key": BASE64.encode(key) });
            self.tell(key, json!({ "type": "DELETE", "kv": kv }));
        }
    }

    fn tell(&mut self, key: &str, event: Value) {
        let mut line = json!({ "result": { "events": [event] } }).to_string().into_bytes();
        line.push(b'\n');
        self.watchers
            .retain(|(watched, tx)| watched != key || tx.try_send(Ok(line.clone())).is_ok());
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn range(&mut self, body: &Value) -> Value {
        self.reads += 1;
        let key = text(&body["key"]);
        let kvs: Vec<Value> = match body.get("range_end") {
            None => self.values.get(&key).map(|v| entry(&key, v)).into_iter().collect(),
            Some(end) => {
                let range = self.values.range(key..text(end));
                range.map(|(k, v)| entry(k, v)).collect()
            }
        };
        json!({ "header": self.header(), "count": kvs.len().to_string(), "kvs": kvs })
    }

    fn txn(&mut self, body: &Value) -> Value {
        self.writes += 1;
        let compares = body["compare"].as_array().cloned().unwrap_or_default();
        let holds = compares.iter().all(|c| {
            let current = self.values.get(&text(&c["key"])).map_or(0, |v| v.revision);
            number(&c["mod_revision"]) == current as i64
        });
        if holds {
            for op in body["success"].as_array().cloned().unwrap_or_default() {
                let put = &op["request_put"];
                let value = put["value"].as_str().unwrap_or_default().to_owned();
                let lease = put.get("lease").map(number);
                self.put(&text(&put["key"]), value, lease);
            }
        }
        json!({ "header": self.header(), "succeeded": holds })
    }

    fn grant(&mut self, body: &Value) -> Value {
        self.writes += 1;
        self.revision += 1;
        let id = self.revision as i64;
        let ttl = Duration::from_secs(number(&body["TTL"]).max(1) as u64);
        self.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() })
    }

    fn keep_alive(&mut self, body: &Value) -> Value {
        let id = number(&body["ID"]);
        let Some(lease) = self.leases.get_mut(&id) else {
            return json!({ "result": { "ID": id.to_string(), "TTL": "0" } });
        };
        lease.ends = Instant::now() + lease.ttl;
        let ttl = lease.ttl.as_secs().to_string();
        json!({ "result": { "ID": id.to_string(), "TTL": ttl } })
    }

    fn watch(&mut self, body: &Value) -> Response {
        self.reads += 1;
        let create = &body["create_request"];
        let key = text(&create["key"]);
        let (tx, rx) = unbounded();
        let from = number(&create["start_revision"]);
        if let Some(stored) = self.values.get(&key).filter(|v| v.revision as i64 >= from) {
            let event = json!({ "kv": entry(&key, stored) });
            let mut line = json!({ "result": { "events": [event] } }).to_string().into_bytes();
            line.push(b'\n');
            tx.try_send(Ok(line)).ok();
        }
        self.watchers.push((key, tx));
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(Body::from_reader(rx.into_async_read(), None));
        res
    }

    fn register(&mut self, body: &Value) -> Response {
        let ttl = body["Check"]["TTL"].as_str().and_then(|t| t.trim_end_matches('s').parse().ok());
        let ttl = ttl.map(Duration::from_secs);
        let registered = Registered {
            name: body["Name"].as_str().unwrap_or_default().to_owned(),
            address: body["Address"].as_str().unwrap_or_default().to_owned(),
            port: body["Port"].as_u64().unwrap_or(0) as u16,
            meta: body["Meta"].clone(),
            ttl,
            ends: ttl.map(|ttl| Instant::now() + ttl),
            leaving: false,
        };
        let id = body["ID"].as_str().unwrap_or_default().to_owned();
        self.services.insert(id, registered);
        self.list_changed();
        Response::new(StatusCode::Ok)
    }

    fn agent(&mut self, path: &str, query: &str) -> Response {
        if let Some(id) = path.strip_prefix("/v1/agent/check/pass/service:") {
            let Some(service) = self.services.get_mut(id) else {
                return Response::new(StatusCode::NotFound);
            };
            service.ends = service.ttl.map(|ttl| Instant::now() + ttl);
        } else if let Some(id) = path.strip_prefix("/v1/agent/service/maintenance/") {
            let Some(service) = self.services.get_mut(id) else {
                return Response::new(StatusCode::NotFound);
            };
            service.leaving = query.contains("enable=true");
            self.list_changed();
        } else if let Some(id) = path.strip_prefix("/v1/agent/service/deregister/") {
            self.services.remove(id);
            self.list_changed();
        } else {
            return Response::new(StatusCode::NotFound);
        }
        Response::new(StatusCode::Ok)
    }

    fn list_changed(&mut self) {
        self.list_version += 1;
        self.history.push_back((Instant::now(), self.list_version, self.services.clone()));
        while self.history.len() > 1000 {
            self.history.pop_front();
        }
    }

    /// The newest list that is older than the lag; an empty one if there is none yet.
    fn health(&self, name: &str, lag: Duration) -> Response {
        let seen = self.history.iter().rev().find(|(at, _, _)| at.elapsed() >= lag);
        let none = BTreeMap::new();
        let (version, services) = seen.map_or((0, &none), |(_, v, s)| (*v, s));
        let of_name = services.iter().filter(|(_, s)| s.name == name);
        let entries: Vec<Value> = of_name.map(|(id, s)| health_entry(id, s)).collect();
        let mut res = problem::json(StatusCode::Ok, &entries);
        res.insert_header("X-Consul-Index", version.to_string());
        res
    }
}

fn health_entry(id: &str, s: &Registered) -> Value {
    let mut checks = vec![json!({ "CheckID": format!("service:{id}"), "Status": "passing" })];
    if s.leaving {
        let check = format!("_service_maintenance:{id}");
        checks.push(json!({ "CheckID": check, "Status": "critical" }));
    }
    let service = json!({ "ID": id, "Address": s.address, "Port": s.port, "Meta": s.meta });
    json!({ "Service": service, "Checks": checks })
}

fn ok(value: Value) -> Response {
    problem::json(StatusCode::Ok, &value)
}

fn entry(key: &str, stored: &Stored) -> Value {
    json!({
        "key": BASE64.encode(key),
        "value": stored.value,
        "mod_revision": stored.revision.to_string(),
    })
}

fn text(value: &Value) -> String {
    let bytes = BASE64.decode(value.as_str().unwrap_or_default()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}
