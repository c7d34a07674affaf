//! The platform's store: items, leases and watches as PROTOCOL.md has them, in memory.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of every change.
    history: Vec<(u64, String)>,
    /// Length and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let state =
            Arc::new((Mutex::new(State { next_lease: 1000, ..State::default() }), Condvar::new()));
        let store = Store { address: listener.local_addr()?, state };
        let (for_calls, for_leases) = (store.clone(), store.clone());
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let store = for_calls.clone();
                thread::spawn(move || drop(store.serve(conn)));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            for_leases.expire();
        });
        Ok(store)
    }

    /// Writes an item as the platform or the operator does; returns when it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.write(key, json::base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            state.end_lease(lease);
        }
        self.state.1.notify_all();
    }

    fn serve(&self, conn: TcpStream) -> io::Result<()> {
        conn.set_nodelay(true)?;
        let (mut writer, mut reader) = (conn.try_clone()?, BufReader::new(conn));
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, answer) = self.call(&head, &String::from_utf8_lossy(&body));
            let status = match status {
                200 => "200 OK",
                404 => "404 Not Found",
                410 => "410 Gone",
                412 => "412 Precondition Failed",
                _ => "503 Service Unavailable",
            };
            http::answer(
                &mut writer,
                status,
                "Content-Type: application/json\r\n",
                answer.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn call(&self, head: &http::Head, body: &str) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let pair = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            unescape(pair.unwrap_or(""))
        };
        let mut state = self.state.0.lock().unwrap();
        let last = path.rsplit('/').next().unwrap_or("").parse::<u64>().unwrap_or(0);
        if path == "/kv-key" {
            let key = param("key");
            return match state.items.get(&key) {
                Some(item) => (200, item.shown(&key)),
                None => (404, "{}".to_owned()),
            };
        }
        if path == "/kv-range" {
            let (prefix, after) = (param("path_prefix"), param("after"));
            let items = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let items: Vec<String> = items.map(|(k, item)| item.shown(k)).collect();
            let (items, revision) = (items.join(","), state.revision);
            return (
                200,
                format!("{{\"items\":[{items}],\"more_pages\":false,\"current_rev\":{revision}}}"),
            );
        }
        if path == "/kv-watch" {
            let prefix = param("path_prefix");
            let after: u64 = param("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                let mut keys: BTreeMap<String, u64> = BTreeMap::new();
                for (revision, key) in &state.history {
                    if *revision > after && key.starts_with(&prefix) {
                        keys.insert(key.clone(), *revision);
                    }
                }
                let left = until.saturating_duration_since(Instant::now());
                if !keys.is_empty() || left.is_zero() {
                    let events = keys.iter().map(|(key, revision)| match state.items.get(key) {
                        Some(item) => item.shown(key),
                        None => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                        ),
                    });
                    let events: Vec<String> = events.collect();
                    let (events, revision) = (events.join(","), state.revision);
                    return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
                }
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
        }
        if path == "/kv-lease" {
            let ttl = json::parse(body).get("ttl_ms").map_or(1000, Json::number);
            let lease = state.next_lease;
            state.next_lease += 1;
            let length = Duration::from_millis(ttl);
            state.leases.insert(lease, (length, Instant::now() + length));
            return (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"));
        }
        if path.starts_with("/kv-keep/") {
            return match state.leases.get_mut(&last) {
                Some((length, until)) => {
                    *until = Instant::now() + *length;
                    (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                }
                None => (404, "{}".to_owned()),
            };
        }
        if path.starts_with("/kv-lease-end/") {
            state.end_lease(last);
            self.state.1.notify_all();
            return (200, "{}".to_owned());
        }
        if path == "/kv-txn" {
            let txn = json::parse(body);
            for expected in txn.get("expected_rev").map_or(&[][..], Json::list) {
                let key = expected.get("key").map_or("", Json::text);
                let known = state.items.get(key).map_or(0, |item| item.revision);
                if known != expected.get("revision").map_or(0, Json::number) {
                    let items = state.items.get(key).map_or(String::new(), |item| item.shown(key));
                    return (412, format!("{{\"items\":[{items}]}}"));
                }
            }
            let puts = txn.get("puts").map_or(&[][..], Json::list);
            let lease_of = |put: &Json| put.get("lease").map_or(0, Json::number);
            if puts.iter().map(lease_of).any(|l| l != 0 && !state.leases.contains_key(&l)) {
                return (404, "{}".to_owned());
            }
            for put in puts {
                let key = put.get("key").map_or("", Json::text);
                let value = put.get("value").map_or("", Json::text);
                state.write(key, value.to_owned(), lease_of(put));
            }
            for key in txn.get("remove").map_or(&[][..], Json::list) {
                state.delete(key.text());
            }
            self.state.1.notify_all();
            return (200, format!("{{\"revision\":{}}}", state.revision));
        }
        (404, "{}".to_owned())
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        self.history.push((revision, key.to_owned()));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }
}

impl Item {
    fn shown(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_rev\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

fn unescape(text: &str) -> String {
    let (b, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < b.len() {
        let code = std::str::from_utf8(b.get(at + 1..at + 3).unwrap_or(b"")).unwrap_or("");
        match (b[at], u8::from_str_radix(code, 16)) {
            (b'%', Ok(byte)) => {
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
