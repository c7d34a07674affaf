//! Calls of the resource API.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request};
use oxbowbend_http::client;
use oxbowbend_http::problem;
use oxbowbend_resource::kinds;
use oxbowbend_resource::set;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::command;
use crate::failure;

/// Time limit of a call.
const CALL: Duration = Duration::from_secs(15);
/// Time without a line after which a watch is taken to be dead.
const WATCH: Duration = Duration::from_secs(60);
/// Longest answer that is read.
const MAX_ANSWER: usize = 64 << 20;
/// Where an instance listens if nothing is said.
const DEFAULT_SERVER: &str = "127.0.0.1:8081";

/// The API of some instances, which are tried in turn.
pub(crate) struct Api {
    servers: Vec<SocketAddr>,
    key: String,
    client: client::Client,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<kinds::Resource>,
    #[serde(rename = "continue")]
    next: Option<String>,
}

impl Api {
    pub(crate) fn new(flags: &command::Flags) -> Result<Api, failure::Failure> {
        let servers = flags.server.clone().or_else(|| env::var("OXBOWCTL_SERVER").ok());
        let servers = servers.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let parsed: Option<Vec<SocketAddr>> =
            servers.split(',').map(|s| s.trim().parse().ok()).collect();
        let wrong =
            || failure::Failure::Usage(format!("--server: {servers:?} is not a list of IP:PORT"));
        let key = match &flags.key_file {
            Some(path) => std::fs::read_to_string(path).map_err(|e| {
                failure::Failure::Usage(format!("--key-file: cannot read {path:?}: {e}"))
            })?,
            None => env::var("OXBOWCTL_KEY").unwrap_or_default(),
        };
        let key = key.trim().to_owned();
        Ok(Api { servers: parsed.ok_or_else(wrong)?, key, client: client::Client::new() })
    }

    fn request(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Request, failure::Failure> {
        let req = match body {
            Some(body) => client::json_request(method, server, path, body),
            None => client::request(method, server, path),
        };
        let mut req = req.map_err(|e| failure::Failure::Usage(e.to_string()))?;
        req.insert_header("Authorization", format!("Bearer {}", self.key));
        Ok(req)
    }

    /// Calls the first instance that can be connected to.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        limits: client::Limits,
    ) -> Result<client::Answer, SendError> {
        let mut last = None;
        for server in &self.servers {
            let req = self.request(*server, method, path, body).map_err(SendError::Failure)?;
            match self.client.send(*server, req, limits).await {
                Ok(answer) => return Ok(answer),
                Err(e) if e.is_unsent() => last = Some(e),
                Err(e) => return Err(SendError::Call(e)),
            }
        }
        let none = || SendError::Failure(failure::Failure::Usage("name a server".to_owned()));
        Err(last.map_or_else(none, SendError::Call))
    }

    /// Calls and reads a JSON answer.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, failure::Failure> {
        self.try_call(method, path, body).await.map_err(|e| match e {
            SendError::Call(e) => failure::Failure::from(e),
            SendError::Failure(e) => e,
        })
    }

    /// As [`Api::call`], keeping apart whether the instance may have acted.
    pub(crate) async fn try_call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, SendError> {
        let mut answer = self.send(method, path, body, client::Limits::all(CALL)).await?;
        let bytes = answer.read_to_end(MAX_ANSWER).await;
        let bytes = bytes.map_err(|e| SendError::Call(client::CallError::Body(e)))?;
        let status = answer.head.status();
        if !status.is_success() {
            let problem = serde_json::from_slice::<problem::Problem>(&bytes);
            let problem = problem.unwrap_or_else(|_| problem::Problem::new(status, "refused"));
            return Err(SendError::Failure(failure::Failure::Refused(Box::new(problem))));
        }
        let other =
            |e: serde_json::Error| SendError::Failure(failure::Failure::Other(e.to_string()));
        let bytes = if bytes.is_empty() { b"null".to_vec() } else { bytes };
        serde_json::from_slice(&bytes).map_err(other)
    }

    /// All resources of a kind.
    pub(crate) async fn list(
        &self,
        kind: kinds::Kind,
        filter: &str,
    ) -> Result<Vec<kinds::Resource>, failure::Failure> {
        let mut all = Vec::new();
        let mut after = String::new();
        loop {
            let path = format!("/v1/resources/{kind}?continue={after}{filter}");
            let page: Page = self.call(Method::Get, &path, None).await?;
            all.extend(page.items);
            match page.next {
                Some(next) => after = next,
                None => return Ok(all),
            }
        }
    }

    /// Everything that is declared.
    pub(crate) async fn everything(&self) -> Result<set::ResourceSet, failure::Failure> {
        let mut set = set::ResourceSet::default();
        for kind in kinds::Kind::ALL {
            for resource in self.list(kind, "").await? {
                set.insert(resource);
            }
        }
        Ok(set)
    }

    /// One resource; `None` if it is not declared.
    pub(crate) async fn get(
        &self,
        kind: kinds::Kind,
        name: &str,
    ) -> Result<Option<kinds::Resource>, failure::Failure> {
        let path = format!("/v1/resources/{kind}/{name}");
        match self.call(Method::Get, &path, None).await {
            Ok(resource) => Ok(Some(resource)),
            Err(failure::Failure::Refused(p)) if p.status == 404 => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Begins a watch.
    pub(crate) async fn watch(
        &self,
        kind: Option<kinds::Kind>,
    ) -> Result<client::Answer, failure::Failure> {
        let filter = kind.map(|k| format!("?kind={k}")).unwrap_or_default();
        let limits = client::Limits { piece: WATCH, ..client::Limits::all(CALL) };
        let path = format!("/v1/watch{filter}");
        let answer = self.send(Method::Get, &path, None, limits).await;
        answer.map_err(|e| match e {
            SendError::Call(e) => failure::Failure::from(e),
            SendError::Failure(e) => e,
        })
    }
}

/// Why a call failed.
pub(crate) enum SendError {
    /// There was no usable answer.
    Call(client::CallError),
    /// There was one.
    Failure(failure::Failure),
}
