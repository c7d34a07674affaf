//! The platform's lagging list of live and leaving instances, by Consul's HTTP protocol.
//!
//! The list covers the system's own instances and the endpoints. An entry under maintenance is
//! leaving. The `X-Consul-Index` header is the list's version.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use oxbowbend_core::ids;
use oxbowbend_core::membership;
use oxbowbend_http::client;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name under which instances of the system are listed.
pub const SYSTEM: &str = "oxbowd";
/// Name under which endpoints are listed.
pub const ENDPOINT: &str = "endpoint";
/// Longest answer that is read.
const MAX_ANSWER: usize = 8 << 20;

/// Why the list could not be read or changed.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The platform did not answer as it should.
    #[error("the instance list cannot be used: {0}")]
    Call(#[from] client::CallError),
    /// The answer makes no sense.
    #[error("the instance list cannot be understood: {0}")]
    Answer(String),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthEntry {
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    address: String,
    port: u16,
    #[serde(default)]
    meta: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(default)]
    status: String,
    #[serde(default, rename = "CheckID")]
    check_id: String,
}

impl HealthEntry {
    fn is_leaving(&self) -> bool {
        let maintenance = |c: &Check| {
            c.status == "maintenance" || c.check_id.starts_with("_service_maintenance:")
        };
        self.checks.iter().any(maintenance)
    }
}

/// What an instance says of itself to the list.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Registration<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    meta: BTreeMap<&'a str, &'a str>,
    check: TtlCheck,
}

#[derive(Clone, Debug, Serialize)]
struct TtlCheck {
    #[serde(rename = "TTL")]
    ttl: String,
}

/// Client of the list.
#[derive(Clone, Debug)]
pub struct Catalog {
    address: SocketAddr,
    client: client::Client,
    limits: client::Limits,
}

impl Catalog {
    /// Creates a client of the list at `address`, each call limited to `time`.
    pub fn new(address: SocketAddr, time: Duration) -> Catalog {
        Catalog { address, client: client::Client::new(), limits: client::Limits::all(time) }
    }

    /// Reads the list of the system's instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or gives no usable answer.
    pub async fn instances(&self) -> Result<membership::InstanceList, CatalogError> {
        let (version, entries) = self.read(SYSTEM).await?;
        let mut members = BTreeMap::new();
        for entry in entries {
            let service = &entry.service;
            let zone = service.meta.get("zone").map(String::as_str).unwrap_or_default();
            let member = membership::Member {
                zone: zone.into(),
                address: format!("{}:{}", service.address, service.port),
                leaving: entry.is_leaving(),
            };
            members.insert(ids::InstanceId::from(service.id.as_str()), member);
        }
        Ok(membership::InstanceList { version, members })
    }

    /// Reads which endpoints are leaving.
    ///
    /// # Errors
    ///
    /// As [`Catalog::instances`].
    pub async fn leaving_endpoints(&self) -> Result<BTreeSet<ids::EndpointId>, CatalogError> {
        let (_, entries) = self.read(ENDPOINT).await?;
        let leaving = entries.iter().filter(|e| e.is_leaving());
        Ok(leaving.map(|e| e.service.id.as_str().into()).collect())
    }

    async fn read(&self, name: &str) -> Result<(u64, Vec<HealthEntry>), CatalogError> {
        let path = format!("/v1/health/service/{name}");
        let req = client::request(Method::Get, self.address, &path).map_err(unusable)?;
        let mut answer = self.client.send(self.address, req, self.limits).await?;
        let body = answer.read_to_end(MAX_ANSWER).await.map_err(client::CallError::Body)?;
        if !answer.head.status().is_success() {
            return Err(CatalogError::Answer(format!("status {}", answer.head.status())));
        }
        let index = answer.head.header("X-Consul-Index").map(|v| v.as_str().to_owned());
        let version = index.and_then(|v| v.parse().ok());
        let version = version.ok_or_else(|| unusable("no X-Consul-Index"))?;
        Ok((version, serde_json::from_slice(&body).map_err(unusable)?))
    }

    /// Enters this instance into the list; it stays for `ttl` after the last
    /// [`Catalog::renew`].
    ///
    /// # Errors
    ///
    /// As [`Catalog::instances`].
    pub async fn register(
        &self,
        id: &str,
        zone: &str,
        peer: SocketAddr,
        ttl: Duration,
    ) -> Result<(), CatalogError> {
        let registration = Registration {
            id,
            name: SYSTEM,
            address: peer.ip().to_string(),
            port: peer.port(),
            meta: BTreeMap::from([("zone", zone)]),
            check: TtlCheck { ttl: format!("{}s", ttl.as_secs()) },
        };
        let path = "/v1/agent/service/register";
        let req = client::json_request(Method::Put, self.address, path, &registration);
        self.put(req.map_err(unusable)?).await
    }

    /// Says that this instance lives.
    ///
    /// # Errors
    ///
    /// As [`Catalog::instances`]; also if the instance is not in the list any more.
    pub async fn renew(&self, id: &str) -> Result<(), CatalogError> {
        self.put_path(&format!("/v1/agent/check/pass/service:{id}")).await
    }

    /// Marks this instance as leaving.
    ///
    /// # Errors
    ///
    /// As [`Catalog::instances`].
    pub async fn leave(&self, id: &str) -> Result<(), CatalogError> {
        self.put_path(&format!("/v1/agent/service/maintenance/{id}?enable=true")).await
    }

    /// Takes this instance out of the list.
    ///
    /// # Errors
    ///
    /// As [`Catalog::instances`].
    pub async fn deregister(&self, id: &str) -> Result<(), CatalogError> {
        self.put_path(&format!("/v1/agent/service/deregister/{id}")).await
    }

    async fn put_path(&self, path: &str) -> Result<(), CatalogError> {
        self.put(client::request(Method::Put, self.address, path).map_err(unusable)?).await
    }

    async fn put(&self, req: http_types::Request) -> Result<(), CatalogError> {
        let (status, _) = self.client.call(self.address, req, self.limits, MAX_ANSWER).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(CatalogError::Answer(format!("status {status}")))
        }
    }
}

fn unusable(e: impl std::fmt::Display) -> CatalogError {
    CatalogError::Answer(e.to_string())
}
