//! A stand-in of the platform's store, after its published protocol.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oxbowbend_http::h1;
use serde_json::{json, Value};

/// Keys of the instances' entries.
const INSTANCES: &str = "oxbow/instances/";
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3600);

/// What changes a text in place.
pub type Rewrite = Box<dyn Fn(&mut [u8]) + Send>;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Up,
    Refusing,
    /// Does what it is asked meanwhile and never answers that, nor what falls due meanwhile.
    Mute,
    Slow(Duration),
    /// Watches hear nothing of changes; all else is answered.
    Deaf,
    /// Does nothing and answers nothing, as without power.
    Dark,
}

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct Copied {
    revision: u64,
    items: BTreeMap<String, Value>,
    leases: HashMap<u64, (Duration, Instant)>,
}

struct State {
    /// Rises each time that the store comes back from a copy.
    era: u64,
    copy: Copied,
    revision: u64,
    items: BTreeMap<String, Value>,
    history: Vec<(u64, String, Value)>,
    kept_from: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    mode: Mode,
    /// Times that waiting watches were cut.
    cuts: u64,
    /// What reads are given that need not be up to date.
    behind: Option<BTreeMap<String, Value>>,
    /// What is done to the text of instances' entries.
    rewrite: Option<Rewrite>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn start(listener: TcpListener) -> Store {
        let state = State {
            era: 1,
            copy: Copied::default(),
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            kept_from: 0,
            leases: HashMap::new(),
            mode: Mode::Up,
            cuts: 0,
            behind: None,
            rewrite: None,
        };
        let store = Store { state: Arc::new(Mutex::new(state)) };
        let cfg = h1::ServeConfig { connections: 1000, head: 16384 };
        let (door, this) = (Arc::default(), store.clone());
        task::spawn(h1::serve(listener, cfg, door, move |req| this.clone().answer(req)));
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Changes the text of the instances' entries from now on.
    pub fn rewrite_instances(&self, rewrite: Rewrite) {
        self.state.lock().unwrap().rewrite = Some(rewrite);
    }

    /// Gives reads that need not be up to date what there is now, until told otherwise.
    pub fn set_behind(&self, is_behind: bool) {
        let mut state = self.state.lock().unwrap();
        state.behind = is_behind.then(|| state.items.clone());
    }

    /// Ends the watches that wait, without an answer of use.
    pub fn cut_watches(&self) {
        self.state.lock().unwrap().cuts += 1;
    }

    /// Forgets all changes so far.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.kept_from = state.revision;
        state.history.clear();
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.put_text(key, &value.to_string());
    }

    /// The same, of a value that need not be JSON.
    pub fn put_text(&self, key: &str, text: &str) {
        let value = STANDARD.encode(text);
        self.state.lock().unwrap().put(key, &value, 0);
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    /// Ends all leases, and with them the keys that they hold.
    pub fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let leases: Vec<_> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| state.end(lease));
    }

    /// Makes a copy.
    pub fn copy(&self) {
        let mut state = self.state.lock().unwrap();
        let (revision, items) = (state.revision, state.items.clone());
        state.copy = Copied { revision, items, leases: state.leases.clone() };
    }

    /// Comes back from the last copy: what was written since is gone, revisions and leases are given out again. Returns
    /// what the operator and the endpoints had written, and will write again.
    pub fn restore(&self) -> BTreeMap<String, Value> {
        let mut state = self.state.lock().unwrap();
        let Copied { revision, items, mut leases } = state.copy.clone();
        leases.values_mut().for_each(|(_, at)| *at = Instant::now());
        let lost = std::mem::replace(&mut state.items, items);
        (state.revision, state.kept_from, state.leases) = (revision, revision, leases);
        state.history.clear();
        state.era += 1;
        lost.into_iter().filter(|(key, _)| is_written_again(key)).collect()
    }

    /// The operator and the endpoints write again what they had written.
    pub fn write_again(&self, lost: &BTreeMap<String, Value>) {
        let mut state = self.state.lock().unwrap();
        let kept: Vec<_> =
            state.items.keys().filter(|key| is_written_again(key)).cloned().collect();
        kept.iter().filter(|key| !lost.contains_key(*key)).for_each(|key| state.remove(key));
        for (key, item) in lost {
            if state.items.get(key).map(|now| &now["value"]) != Some(&item["value"]) {
                state.put(key, item["value"].as_str().unwrap_or_default(), 0);
            }
        }
    }

    /// Keys below a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let mut state = self.state.lock().unwrap();
        state.expire();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let value = STANDARD.decode(state.items.get(key)?["value"].as_str()?).ok()?;
        serde_json::from_slice(&value).ok()
    }

    async fn answer(self, req: Request<Incoming>) -> Response<h1::Whole> {
        let path = req.uri().path().to_owned();
        let query: HashMap<String, String> = req
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|p| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned())))
            .collect();
        let body = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mode = self.state.lock().unwrap().mode;
        match mode {
            Mode::Refusing => return reply(503, json!({}), self.era()),
            Mode::Slow(by) => task::sleep(by).await,
            Mode::Dark => task::sleep(NEVER).await,
            Mode::Up | Mode::Mute | Mode::Deaf => {}
        }
        let cuts = self.state.lock().unwrap().cuts;
        // An answer is of the era in which it is worked out, whenever it arrives.
        let (status, answer, era) = match path.as_str() {
            "/kv-watch" => self.watch(&query, cuts).await,
            _ => {
                let mut state = self.state.lock().unwrap();
                let (status, answer) = state.call(&path, &query, &body);
                (status, answer, state.era)
            }
        };
        if path == "/kv-watch" && self.state.lock().unwrap().cuts != cuts {
            return reply(503, json!({}), era);
        }
        let mode_now = self.state.lock().unwrap().mode;
        if mode == Mode::Mute || matches!(mode_now, Mode::Mute | Mode::Dark) {
            task::sleep(NEVER).await;
        }
        reply(status, answer, era)
    }

    fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }

    async fn watch(&self, query: &HashMap<String, String>, cuts: u64) -> (u16, Value, u64) {
        let after: u64 = query["after"].parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(query["wait_ms"].parse().unwrap_or(0));
        loop {
            {
                let mut state = self.state.lock().unwrap();
                state.expire();
                if state.cuts != cuts {
                    return (503, json!({}), state.era);
                }
                if after < state.kept_from || after > state.revision {
                    return (410, json!({}), state.era);
                }
                let events = state
                    .history
                    .iter()
                    .filter(|(r, key, _)| *r > after && key.starts_with(&query["path_prefix"]));
                let events: Vec<_> = events.map(|(.., event)| event.clone()).collect();
                let hears = state.mode != Mode::Deaf;
                if (hears && !events.is_empty()) || Instant::now() >= until {
                    // What was not heard is still to come, or lost with the history.
                    let (events, revision) = match hears {
                        true => (events, state.revision),
                        false => (Vec::new(), after),
                    };
                    let answer = json!({ "events": events, "current_rev": revision });
                    return (200, answer, state.era);
                }
            }
            task::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let value = self.rewritten(key, value);
        let item = json!({ "key": key, "value": value, "revision": self.revision, "lease": lease });
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), item));
    }

    /// The value of a key as others are to read it.
    fn rewritten(&self, key: &str, value: &str) -> String {
        let rewrite = self.rewrite.as_ref().filter(|_| key.starts_with(INSTANCES));
        let (Some(rewrite), Ok(mut text)) = (rewrite, STANDARD.decode(value)) else {
            return value.to_owned();
        };
        rewrite(&mut text);
        STANDARD.encode(text)
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ttl, at))| at.elapsed() > *ttl)
            .map(|(id, _)| *id)
            .collect();
        ended.into_iter().for_each(|id| self.end(id));
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item["lease"] == lease);
        let held: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
    }

    fn call(&mut self, path: &str, query: &HashMap<String, String>, body: &Value) -> (u16, Value) {
        self.expire();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match path {
            "/kv-range" => {
                let is_behind = query.get("serializable").is_some_and(|v| v == "1");
                let items: Vec<_> = self
                    .behind
                    .as_ref()
                    .filter(|_| is_behind)
                    .unwrap_or(&self.items)
                    .iter()
                    .filter(|(key, _)| key.starts_with(&query["path_prefix"]))
                    .map(|(_, item)| item.clone())
                    .collect();
                (200, json!({ "items": items, "more_pages": false, "current_rev": self.revision }))
            }
            "/kv-key" => match self.items.get(&query["key"]) {
                Some(item) => (200, item.clone()),
                None => (404, json!({})),
            },
            "/kv-lease" => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1000));
                let lease = self.revision * 1000 + self.leases.len() as u64 + 1;
                self.leases.insert(lease, (ttl, Instant::now()));
                (200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
            }
            "/kv-txn" => {
                for expected in body["expected_rev"].as_array().into_iter().flatten() {
                    let key = expected["key"].as_str().unwrap_or_default();
                    let known =
                        self.items.get(key).map_or(0, |item| item["revision"].as_u64().unwrap());
                    if expected["revision"].as_u64() != Some(known) {
                        return (412, json!({ "items": [] }));
                    }
                }
                for put in body["puts"].as_array().into_iter().flatten() {
                    let lease = put["lease"].as_u64().unwrap_or(0);
                    if lease != 0 && !self.leases.contains_key(&lease) {
                        return (404, json!({}));
                    }
                    let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
                    self.put(&text("key"), &text("value"), lease);
                }
                (200, json!({ "revision": self.revision }))
            }
            _ if path.starts_with("/kv-keep/") => match self.leases.get_mut(&id) {
                Some((ttl, at)) => {
                    *at = Instant::now();
                    (200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
                }
                None => (404, json!({})),
            },
            _ if path.starts_with("/kv-lease-end/") => {
                self.end(id);
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }
}

/// Whether whoever wrote a key writes it again after the store has come back from a copy.
fn is_written_again(key: &str) -> bool {
    key.starts_with("op/") || key.starts_with("servers/")
}

fn reply(status: u16, body: Value, era: u64) -> Response<h1::Whole> {
    let mut answer = Response::new(h1::Whole::from(body.to_string()));
    *answer.status_mut() = status.try_into().unwrap();
    answer.headers_mut().insert("store-era", era.into());
    answer
}

/// Where a listener is reached.
pub fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}
