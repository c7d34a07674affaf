//! Messages between instances, by JSON-RPC over WebSocket.
//!
//! There is one connection from each instance to each other one, and one batch on it at a time:
//! whatever piles up while a batch is on its way makes the next one. A batch whose reply does not
//! come is not sent again; the decisions are made for messages to get lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::channel::{bounded, Receiver, Sender};
use async_std::{future, task};
use futures::future::{Either, Ready};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::server::{
    HttpBody, HttpRequest, HttpResponse, RpcModule, Server, ServerConfig, ServerHandle,
};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{HeaderMap, HeaderValue, WsClient, WsClientBuilder};
use oxbowbend_core::ids;
use oxbowbend_core::ledger;
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_resource::manifest;
use oxbowbend_resource::set;
use oxbowbend_store::kv::KeyValue;
use oxbowbend_store::ledger::Ledger;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tower::{Layer, Service};

use crate::config;
use crate::hub;
use crate::observe;
use crate::settings;

/// Messages that one batch carries at most.
const MAX_BATCH: usize = 1024;
/// Messages kept for an instance that does not take them; further ones are lost.
const MAX_BACKLOG: usize = 16_384;
/// Time after which a batch is taken to be lost.
const CALL: Duration = Duration::from_secs(1);
/// Pause after a failure to connect.
const RECONNECT: Duration = Duration::from_millis(200);
/// Largest message between instances.
const MAX_MESSAGE: u32 = 64 << 20;

/// Why another instance could not be asked.
#[derive(Debug, Error)]
pub(crate) enum PeerError {
    /// It is not in the list, or the list's address is of no use.
    #[error("{0} is not listed")]
    NotListed(ids::InstanceId),
    /// It did not answer.
    #[error("{0} does not answer: {1}")]
    NoAnswer(ids::InstanceId, String),
}

/// A batch of messages.
#[derive(Debug, Deserialize, Serialize)]
struct Batch {
    from: ids::InstanceId,
    revision: Option<u64>,
    messages: Vec<message::Message>,
}

/// Answer to a batch.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Receipt {
    instance: ids::InstanceId,
    revision: Option<u64>,
}

/// A configuration passed between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Passed {
    head: manifest::Head,
    all: manifest::Bucket,
}

/// Whether an instance holds a request; it tells a copy of the request from a leftover.
pub(crate) type Holds = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// Starts to take in what other instances send.
pub(crate) async fn listen<K: KeyValue>(
    address: SocketAddr,
    secret: &settings::Secret,
    (hub, config): (Arc<hub::Hub>, Arc<config::Config>),
    holds: Holds,
    ledger: Ledger<K>,
) -> std::io::Result<ServerHandle> {
    let middleware =
        tower::ServiceBuilder::new().layer(Guard { hash: set::hash_key(secret.reveal()) });
    let limits = ServerConfig::builder()
        .max_connections(4096)
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .set_tcp_no_delay(true)
        .build();
    let builder = Server::builder().set_config(limits).set_http_middleware(middleware);
    let server = builder.build(address).await?;
    let served = Served { hub, config, holds, ledger };
    let methods = methods(served).map_err(std::io::Error::other)?;
    Ok(server.start(methods))
}

struct Served<K> {
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    holds: Holds,
    ledger: Ledger<K>,
}

fn methods<K: KeyValue>(
    served: Served<K>,
) -> Result<RpcModule<Served<K>>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(served);
    module.register_method("exchange", |params, served, _| {
        let batch: Batch = params.one()?;
        if let Some(revision) = batch.revision {
            served.config.heard_of(revision);
        }
        let from = batch.from;
        let events = batch.messages.into_iter();
        let events = events.map(|message| node::Event::Peer { from: from.clone(), message });
        served.hub.feed_all(events);
        Ok::<_, ErrorObjectOwned>(served.receipt())
    })?;
    module
        .register_method("revision", |_, served, _| Ok::<_, ErrorObjectOwned>(served.receipt()))?;
    module.register_method("config", |_, served, _| {
        served.config.current().map(|c| Passed {
            head: c.manifest.head().clone(),
            all: manifest::Bucket { resources: c.manifest.set().iter().cloned().collect() },
        })
    })?;
    module.register_method("holds", |params, served, _| {
        let run: String = params.one()?;
        Ok::<_, ErrorObjectOwned>((served.holds)(&run))
    })?;
    module.register_async_method("ledger", |params, served, _| async move {
        let step: ledger::Step = params.one()?;
        // A failure is no verdict: whoever asked takes the step itself.
        Ok::<_, ErrorObjectOwned>(served.ledger.take(step).await.ok())
    })?;
    Ok(module)
}

impl<K> Served<K> {
    fn receipt(&self) -> Receipt {
        Receipt { instance: self.hub.me().clone(), revision: self.config.revision() }
    }
}

/// Turns away whoever does not know the shared secret.
#[derive(Clone)]
struct Guard {
    hash: String,
}

impl<S> Layer<S> for Guard {
    type Service = Guarded<S>;

    fn layer(&self, inner: S) -> Guarded<S> {
        Guarded { inner, hash: self.hash.clone() }
    }
}

#[derive(Clone)]
struct Guarded<S> {
    inner: S,
    hash: String,
}

impl<S, B> Service<HttpRequest<B>> for Guarded<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Either<Ready<Result<HttpResponse, S::Error>>, S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest<B>) -> Self::Future {
        let header = req.headers().get("authorization").and_then(|v| v.to_str().ok());
        let secret = header.and_then(|v| v.strip_prefix("Bearer "));
        // Digests are compared, so that the time taken tells nothing of the secret.
        if secret.is_some_and(|s| set::hash_key(s) == self.hash) {
            return Either::Right(self.inner.call(req));
        }
        let mut res = HttpResponse::new(HttpBody::from("wrong secret".to_owned()));
        *res.status_mut() = 401.try_into().expect("401 is a status");
        Either::Left(futures::future::ready(Ok(res)))
    }
}

/// Connections to the other instances.
pub(crate) struct Peers {
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    secret: settings::Secret,
    outboxes: Mutex<HashMap<ids::InstanceId, Sender<message::Message>>>,
    clients: async_std::sync::Mutex<HashMap<ids::InstanceId, Arc<WsClient>>>,
}

impl Peers {
    /// Creates the connections of an instance, none at first.
    pub(crate) fn new(
        hub: Arc<hub::Hub>,
        config: Arc<config::Config>,
        secret: settings::Secret,
    ) -> Arc<Peers> {
        let (outboxes, clients) = Default::default();
        Arc::new(Peers { hub, config, secret, outboxes, clients })
    }

    /// Sends what the node decides to send.
    pub(crate) async fn deliver(
        self: Arc<Peers>,
        outgoing: Receiver<(ids::InstanceId, message::Message)>,
    ) {
        while let Ok((to, message)) = outgoing.recv().await {
            let outbox = self.outbox(&to);
            if outbox.try_send(message).is_err() {
                log::debug!("peer: Lost a message to {to}.");
            }
        }
    }

    fn outbox(self: &Arc<Peers>, to: &ids::InstanceId) -> Sender<message::Message> {
        let mut outboxes = self.outboxes.lock().expect("no panic under lock");
        let open = || {
            let (tx, rx) = bounded(MAX_BACKLOG);
            task::spawn(self.clone().serve_outbox(to.clone(), rx));
            tx
        };
        outboxes.entry(to.clone()).or_insert_with(open).clone()
    }

    /// Sends the messages to one instance until it is no longer listed.
    async fn serve_outbox(
        self: Arc<Peers>,
        to: ids::InstanceId,
        messages: Receiver<message::Message>,
    ) {
        while let Ok(first) = messages.recv().await {
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH {
                let Ok(message) = messages.try_recv() else { break };
                batch.push(message);
            }
            if let Err(e) = self.send(&to, batch).await {
                log::debug!("peer: {e}.");
                self.clients.lock().await.remove(&to);
                if matches!(e, PeerError::NotListed(_)) {
                    self.outboxes.lock().expect("no panic under lock").remove(&to);
                    return;
                }
                self.hub.feed(node::Event::PeerDown(to.clone()));
                task::sleep(RECONNECT).await;
            }
        }
    }

    async fn send(
        &self,
        to: &ids::InstanceId,
        messages: Vec<message::Message>,
    ) -> Result<(), PeerError> {
        let client = self.client(to).await?;
        let n = messages.len();
        let batch =
            Batch { from: self.hub.me().clone(), revision: self.config.revision(), messages };
        let batch = serde_json::value::to_raw_value(&batch)
            .map_err(|e| PeerError::NoAnswer(to.clone(), e.to_string()))?;
        observe::sent(n, batch.get().len());
        let receipt: Receipt = self.call(to, &client, "exchange", rpc_params![batch]).await?;
        if let Some(revision) = receipt.revision {
            self.config.heard_of(revision);
        }
        Ok(())
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        to: &ids::InstanceId,
        client: &WsClient,
        method: &str,
        params: jsonrpsee::core::params::ArrayParams,
    ) -> Result<T, PeerError> {
        let called = future::timeout(CALL, client.request(method, params)).await;
        let no_answer = |e: String| PeerError::NoAnswer(to.clone(), e);
        called.map_err(|_| no_answer("timed out".to_owned()))?.map_err(|e| no_answer(e.to_string()))
    }

    async fn client(&self, to: &ids::InstanceId) -> Result<Arc<WsClient>, PeerError> {
        if let Some(client) = self.clients.lock().await.get(to) {
            if client.is_connected() {
                return Ok(client.clone());
            }
        }
        let address = self.hub.node().members().address(to).map(str::to_owned);
        let address = address.ok_or_else(|| PeerError::NotListed(to.clone()))?;
        let no_answer = |e: String| PeerError::NoAnswer(to.clone(), e);
        let mut headers = HeaderMap::new();
        let authorization = HeaderValue::from_str(&format!("Bearer {}", self.secret.reveal()));
        headers.insert("authorization", authorization.map_err(|e| no_answer(e.to_string()))?);
        let builder = WsClientBuilder::default()
            .set_headers(headers)
            .connection_timeout(CALL)
            .request_timeout(CALL)
            .set_tcp_no_delay(true)
            .max_request_size(MAX_MESSAGE)
            .max_response_size(MAX_MESSAGE);
        let client = builder.build(format!("ws://{address}")).await;
        let client = Arc::new(client.map_err(|e| no_answer(e.to_string()))?);
        self.clients.lock().await.insert(to.clone(), client.clone());
        Ok(client)
    }

    /// Asks an instance which revision it has in force.
    pub(crate) async fn revision(&self, of: &ids::InstanceId) -> Result<Option<u64>, PeerError> {
        let client = self.client(of).await?;
        let receipt: Receipt = self.call(of, &client, "revision", rpc_params![]).await?;
        Ok(receipt.revision)
    }

    /// Asks an instance whether it still holds a run.
    pub(crate) async fn holds(&self, of: &ids::InstanceId, run: &str) -> Result<bool, PeerError> {
        let client = self.client(of).await?;
        self.call(of, &client, "holds", rpc_params![run]).await
    }

    /// Has an instance take a step of the ledger; `None` if it could not.
    pub(crate) async fn ledger_step(
        &self,
        at: &ids::InstanceId,
        step: &ledger::Step,
    ) -> Result<Option<ledger::StepResult>, PeerError> {
        let client = self.client(at).await?;
        self.call(at, &client, "ledger", rpc_params![step]).await
    }

    /// Fetches the configuration of whichever other instance answers first with a newer one.
    async fn fetch_config(&self) {
        let others: Vec<ids::InstanceId> = self.hub.node().members().others().cloned().collect();
        for other in others {
            let known = self.config.revision();
            if let Ok(Some(passed)) = self.config_of(&other).await {
                if known.is_none_or(|r| passed.head.revision > r) {
                    self.config.adopt(manifest::Manifest::new(passed.head, [passed.all]));
                }
            }
        }
    }

    async fn config_of(&self, other: &ids::InstanceId) -> Result<Option<Passed>, PeerError> {
        let client = self.client(other).await?;
        self.call(other, &client, "config", rpc_params![]).await
    }

    /// Fetches the configuration from others when theirs is newer, and at every tick while there
    /// is none.
    pub(crate) async fn keep_up(self: Arc<Peers>, ticks: Receiver<std::time::Instant>) {
        loop {
            let behind = Box::pin(self.config.behind());
            let tick = Box::pin(ticks.recv());
            let was_behind = matches!(futures::future::select(behind, tick).await, Either::Left(_));
            if was_behind || self.config.revision().is_none() {
                self.fetch_config().await;
            }
        }
    }
}
