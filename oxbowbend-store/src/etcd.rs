//! A key-value service that offers etcd's v3 JSON gateway.

use std::net::SocketAddr;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use http_types::Method;
use oxbowbend_http::client;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::kv::{self, KeyValue};

/// Longest answer that is read.
const MAX_ANSWER: usize = 4 << 20;

/// Client of an etcd JSON gateway.
#[derive(Clone, Debug)]
pub struct Etcd {
    addresses: Vec<SocketAddr>,
    client: client::Client,
    limits: client::Limits,
    watch: Duration,
}

#[derive(Deserialize)]
struct Range {
    #[serde(default)]
    kvs: Vec<KeyEntry>,
}

#[derive(Deserialize)]
struct KeyEntry {
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    succeeded: bool,
    header: Header,
}

#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize)]
struct WatchLine {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: KeyEntry,
    #[serde(default, rename = "type")]
    kind: String,
}

#[derive(Deserialize)]
struct Lease {
    #[serde(default, rename = "ID")]
    id: String,
    #[serde(default, rename = "TTL")]
    ttl: String,
}

impl Etcd {
    /// Creates a client of the gateways at `addresses`, each call limited to `time`, a watch to
    /// `watch`.
    pub fn new(addresses: Vec<SocketAddr>, time: Duration, watch: Duration) -> Etcd {
        Etcd { addresses, client: client::Client::new(), limits: client::Limits::all(time), watch }
    }

    /// Sends a call to the first gateway that is reached.
    async fn send(
        &self,
        path: &str,
        body: &impl Serialize,
        limits: client::Limits,
    ) -> Result<client::Answer, kv::KvError> {
        let mut last = kv::KvError::Unreachable("no address is set".to_owned());
        for address in &self.addresses {
            let req = client::json_request(Method::Post, *address, path, body)
                .map_err(|e| kv::KvError::Refused(e.to_string()))?;
            match self.client.send(*address, req, limits).await {
                Ok(answer) => return Ok(answer),
                Err(e) if e.is_unsent() => last = kv::KvError::Unreachable(e.to_string()),
                Err(e) => return Err(kv::KvError::NoReply(e.to_string())),
            }
        }
        Err(last)
    }

    async fn call<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, kv::KvError> {
        let mut answer = self.send(path, body, self.limits).await?;
        let no_reply = |e: String| kv::KvError::NoReply(e);
        let bytes = answer.read_to_end(MAX_ANSWER).await.map_err(|e| no_reply(e.to_string()))?;
        let status = answer.head.status();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(refusal(status as u16, text));
        }
        serde_json::from_slice(&bytes).map_err(|e| no_reply(e.to_string()))
    }
}

/// A gateway answers 4xx before it acts; after 5xx the write may still take effect.
fn refusal(status: u16, text: String) -> kv::KvError {
    let text = format!("{status} {text}");
    if status < 500 {
        kv::KvError::Refused(text)
    } else {
        kv::KvError::NoReply(text)
    }
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, kv::KvError> {
    BASE64.decode(text).map_err(|e| kv::KvError::NoReply(e.to_string()))
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn versioned(entry: &KeyEntry) -> Result<kv::Versioned, kv::KvError> {
    Ok(kv::Versioned { value: decode(&entry.value)?, version: number(&entry.mod_revision) })
}

/// The end of the range of keys that begin with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl KeyValue for Etcd {
    async fn get(&self, key: &str) -> Result<Option<kv::Versioned>, kv::KvError> {
        let range: Range = self.call("/v3/kv/range", &json!({ "key": encode(key) })).await?;
        range.kvs.first().map(versioned).transpose()
    }

    async fn swap(
        &self,
        key: &str,
        expected: kv::KeyVersion,
        value: Vec<u8>,
        lease: Option<kv::LeaseId>,
    ) -> Result<kv::Swap, kv::KvError> {
        let mut put = json!({ "key": encode(key), "value": encode(value) });
        if let Some(lease) = lease {
            put["lease"] = Value::String(lease.to_string());
        }
        let compare = json!({
            "key": encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": expected.to_string(),
        });
        let body = json!({ "compare": [compare], "success": [{ "request_put": put }] });
        let txn: Txn = self.call("/v3/kv/txn", &body).await?;
        if txn.succeeded {
            Ok(kv::Swap::Written(number(&txn.header.revision)))
        } else {
            Ok(kv::Swap::Conflict)
        }
    }

    async fn delete(&self, key: &str) -> Result<(), kv::KvError> {
        let _: Value = self.call("/v3/kv/deleterange", &json!({ "key": encode(key) })).await?;
        Ok(())
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>, kv::KvError> {
        let end = encode(prefix_end(prefix));
        let body = json!({ "key": encode(prefix), "range_end": end, "keys_only": true });
        let range: Range = self.call("/v3/kv/range", &body).await?;
        let keys = range.kvs.iter().map(|kv| Ok(String::from_utf8_lossy(&decode(&kv.key)?).into()));
        keys.collect()
    }

    async fn changed(
        &self,
        key: &str,
        after: kv::KeyVersion,
    ) -> Result<Option<kv::Versioned>, kv::KvError> {
        let create = json!({ "key": encode(key), "start_revision": (after + 1).to_string() });
        let body = json!({ "create_request": create });
        let limits = client::Limits { piece: self.watch, ..self.limits };
        let mut answer = self.send("/v3/watch", &body, limits).await?;
        let mut text = Vec::new();
        loop {
            let piece = match answer.next().await {
                Ok(Some(piece)) => piece,
                Ok(None) => return Err(kv::KvError::NoReply("the watch ended".to_owned())),
                Err(oxbowbend_http::body::BodyError::TooSlow(_)) => return Ok(None),
                Err(e) => return Err(kv::KvError::NoReply(e.to_string())),
            };
            text.extend_from_slice(&piece);
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                if let Some(found) = newest(&line)? {
                    return Ok(Some(found));
                }
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<kv::LeaseId, kv::KvError> {
        let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
        let lease: Lease = self.call("/v3/lease/grant", &body).await?;
        lease.id.parse().map_err(|_| kv::KvError::NoReply("no lease id came".to_owned()))
    }

    async fn renew_lease(&self, lease: kv::LeaseId) -> Result<bool, kv::KvError> {
        #[derive(Deserialize)]
        struct Renewed {
            result: Lease,
        }
        let body = json!({ "ID": lease.to_string() });
        let renewed: Renewed = self.call("/v3/lease/keepalive", &body).await?;
        Ok(number(&renewed.result.ttl) > 0)
    }
}

fn newest(line: &[u8]) -> Result<Option<kv::Versioned>, kv::KvError> {
    let line: WatchLine =
        serde_json::from_slice(line).map_err(|e| kv::KvError::NoReply(e.to_string()))?;
    let put = line.result.events.iter().rev().find(|e| e.kind != "DELETE");
    put.map(|e| versioned(&e.kv)).transpose()
}
