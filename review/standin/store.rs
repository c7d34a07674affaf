//! Stand-in of the platform's store, as PROTOCOL.md says: items, watches, leases, transactions.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer, Conn};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Revision, key, event.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    granted: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let letter = LETTERS[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { letter } else { '=' });
        }
    }
    out
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let ended = self.leases.iter().filter(|(_, (ttl, at))| at.elapsed() > *ttl);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> (Store, SocketAddr) {
        let (store, address) = (Store::default(), listener.local_addr().expect("an address"));
        store.state.0.lock().unwrap().revision = 100;
        let this = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = this.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// The operator or a server writes.
    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head, false) else { return };
            let (path, query) = head.second().split_once('?').unwrap_or((head.second(), ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .map(|(k, v)| (k.to_owned(), unescaped(v)))
                .collect();
            let (status, body) = match path {
                "/kv-watch" => self.watch(&query),
                _ => self.call(path, &query, &Json::read(&String::from_utf8_lossy(&body))),
            };
            let headers = [("Content-Type", "application/json")];
            if conn.write(&answer(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn watch(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, prefix) = (number("after"), query.get("path_prefix").cloned());
        let prefix = prefix.unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            state.expire();
            let events = state.history.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(.., event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return ("200 OK", body);
            }
            let wait = left.min(Duration::from_millis(100));
            state = self.state.1.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn call(&self, path: &str, query: &HashMap<String, String>, body: &Json) -> (&'static str, String) {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let revision = state.revision;
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let none = || ("404 Not Found", "{}".to_owned());
        if path == "/kv-range" {
            let prefix = query.get("path_prefix").cloned().unwrap_or_default();
            let after = query.get("after").cloned().unwrap_or_default();
            let items = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let items: Vec<String> = items.map(|(k, item)| item.json(k)).collect();
            let items = items.join(",");
            return (
                "200 OK",
                format!("{{\"items\":[{items}],\"more_pages\":false,\"current_rev\":{revision}}}"),
            );
        }
        if path == "/kv-key" {
            let key = query.get("key").cloned().unwrap_or_default();
            return state.items.get(&key).map_or_else(none, |i| ("200 OK", i.json(&key)));
        }
        if path == "/kv-lease" {
            state.granted += 1;
            let (lease, ttl) = (70_000 + state.granted, body.number("ttl_ms").max(1000));
            state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
            return ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"));
        }
        if path.starts_with("/kv-keep/") {
            let Some((ttl, at)) = state.leases.get_mut(&id) else { return none() };
            *at = Instant::now();
            return ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()));
        }
        if path.starts_with("/kv-lease-end/") {
            state.end_lease(id);
            self.state.1.notify_all();
            return ("200 OK", "{}".to_owned());
        }
        if path != "/kv-txn" {
            return none();
        }
        for expected in body.list("expected_rev") {
            let key = expected.text("key");
            let known = state.items.get(key).map_or(0, |item| item.revision);
            if known != expected.number("revision") {
                let item = state.items.get(key).map_or(String::new(), |item| item.json(key));
                return ("412 Precondition Failed", format!("{{\"items\":[{item}]}}"));
            }
        }
        let puts = body.list("puts");
        if puts.iter().any(|p| p.number("lease") != 0 && !state.leases.contains_key(&p.number("lease")))
        {
            return none();
        }
        for put in puts {
            state.put(put.text("key"), put.text("value").to_owned(), put.number("lease"));
        }
        for key in body.list("remove") {
            state.remove(key.as_text());
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }
}

fn unescaped(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
