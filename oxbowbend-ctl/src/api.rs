//! Calls of the resource API.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request};
use oxbowbend_http::client::{self, Answer, CallError, Client, Limits};
use oxbowbend_http::problem::Problem;
use oxbowbend_resource::kinds::{Kind, Resource};
use oxbowbend_resource::set::ResourceSet;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::command::Flags;
use crate::failure::Failure;

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
    client: Client,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Resource>,
    #[serde(rename = "continue")]
    next: Option<String>,
}

impl Api {
    pub(crate) fn new(flags: &Flags) -> Result<Api, Failure> {
        let servers = flags.server.clone().or_else(|| env::var("OXBOWCTL_SERVER").ok());
        let servers = servers.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let parsed: Option<Vec<SocketAddr>> =
            servers.split(',').map(|s| s.trim().parse().ok()).collect();
        let wrong = || Failure::Usage(format!("--server: {servers:?} is not a list of IP:PORT"));
        let key = match &flags.key_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|e| Failure::Usage(format!("--key-file: cannot read {path:?}: {e}")))?,
            None => env::var("OXBOWCTL_KEY").unwrap_or_default(),
        };
        let key = key.trim().to_owned();
        Ok(Api { servers: parsed.ok_or_else(wrong)?, key, client: Client::new() })
    }

    fn request(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Request, Failure> {
        let req = match body {
            Some(body) => client::json_request(method, server, path, body),
            None => client::request(method, server, path),
        };
        let mut req = req.map_err(|e| Failure::Usage(e.to_string()))?;
        req.insert_header("Authorization", format!("Bearer {}", self.key));
        Ok(req)
    }

    /// Calls the first instance that can be connected to.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        limits: Limits,
    ) -> Result<Answer, SendError> {
        let mut last = None;
        for server in &self.servers {
            let req = self.request(*server, method, path, body).map_err(SendError::Failure)?;
            match self.client.send(*server, req, limits).await {
                Ok(answer) => return Ok(answer),
                Err(e) if e.is_unsent() => last = Some(e),
                Err(e) => return Err(SendError::Call(e)),
            }
        }
        let none = || SendError::Failure(Failure::Usage("name a server".to_owned()));
        Err(last.map_or_else(none, SendError::Call))
    }

    /// Calls and reads a JSON answer.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, Failure> {
        self.try_call(method, path, body).await.map_err(|e| match e {
            SendError::Call(e) => Failure::from(e),
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
        let mut answer = self.send(method, path, body, Limits::all(CALL)).await?;
        let bytes = answer.read_to_end(MAX_ANSWER).await;
        let bytes = bytes.map_err(|e| SendError::Call(CallError::Body(e)))?;
        let status = answer.head.status();
        if !status.is_success() {
            let problem = serde_json::from_slice::<Problem>(&bytes);
            let problem = problem.unwrap_or_else(|_| Problem::new(status, "refused"));
            return Err(SendError::Failure(Failure::Refused(Box::new(problem))));
        }
        let other = |e: serde_json::Error| SendError::Failure(Failure::Other(e.to_string()));
        let bytes = if bytes.is_empty() { b"null".to_vec() } else { bytes };
        serde_json::from_slice(&bytes).map_err(other)
    }

    /// All resources of a kind.
    pub(crate) async fn list(&self, kind: Kind, filter: &str) -> Result<Vec<Resource>, Failure> {
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
    pub(crate) async fn everything(&self) -> Result<ResourceSet, Failure> {
        let mut set = ResourceSet::default();
        for kind in Kind::ALL {
            for resource in self.list(kind, "").await? {
                set.insert(resource);
            }
        }
        Ok(set)
    }

    /// One resource; `None` if it is not declared.
    pub(crate) async fn get(&self, kind: Kind, name: &str) -> Result<Option<Resource>, Failure> {
        let path = format!("/v1/resources/{kind}/{name}");
        match self.call(Method::Get, &path, None).await {
            Ok(resource) => Ok(Some(resource)),
            Err(Failure::Refused(p)) if p.status == 404 => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Begins a watch.
    pub(crate) async fn watch(&self, kind: Option<Kind>) -> Result<Answer, Failure> {
        let filter = kind.map(|k| format!("?kind={k}")).unwrap_or_default();
        let limits = Limits { piece: WATCH, ..Limits::all(CALL) };
        let path = format!("/v1/watch{filter}");
        let answer = self.send(Method::Get, &path, None, limits).await;
        answer.map_err(|e| match e {
            SendError::Call(e) => Failure::from(e),
            SendError::Failure(e) => e,
        })
    }
}

/// Why a call failed.
pub(crate) enum SendError {
    /// There was no usable answer.
    Call(CallError),
    /// There was one.
    Failure(Failure),
}
