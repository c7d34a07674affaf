//! Asking endpoints what the node wants to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task;
use oxbowbend_clock as clock;
use oxbowbend_core::ids;
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_endpoint::control;
use oxbowbend_http::client;

use crate::config;
use crate::hub;

/// Time limit of a question.
const LIMIT: Duration = Duration::from_secs(2);

/// Asks every question that comes.
pub(crate) async fn run(
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    questions: Receiver<hub::Question>,
) {
    let client = client::Client::new();
    while let Ok(question) = questions.recv().await {
        let (hub, config, client) = (hub.clone(), config.clone(), client.clone());
        task::spawn(async move { ask(&hub, &config, &client, question).await });
    }
}

async fn ask(
    hub: &hub::Hub,
    config: &config::Config,
    client: &client::Client,
    question: hub::Question,
) {
    match question {
        hub::Question::Run(endpoint, grant) => {
            let Some(address) = config.address(&endpoint) else { return };
            ask_run(hub, client, address, grant).await;
        }
        hub::Question::Load(endpoint) => {
            let Some(address) = config.address(&endpoint) else { return };
            ask_load(hub, client, address, endpoint).await;
        }
    }
}

async fn ask_run(
    hub: &hub::Hub,
    client: &client::Client,
    address: SocketAddr,
    grant: message::GrantId,
) {
    if is_over(client, address, &grant.0).await {
        hub.feed(node::Event::RunEnded(grant));
    }
}

/// Whether a run is certainly over. An endpoint that refuses connections runs nothing.
pub(crate) async fn is_over(client: &client::Client, address: SocketAddr, run: &str) -> bool {
    let status = control::run_status(client, address, run, client::Limits::all(LIMIT)).await;
    match status {
        Ok(status) => status != control::RunStatus::Running,
        Err(control::ControlError::Call(client::CallError::Connect { reason, .. })) => {
            reason.contains("refused")
        }
        Err(_) => false,
    }
}

async fn ask_load(
    hub: &hub::Hub,
    client: &client::Client,
    address: SocketAddr,
    endpoint: ids::EndpointId,
) {
    let requested_at = clock::now();
    match control::load(client, address, client::Limits::all(LIMIT)).await {
        Ok(load) => {
            let running = load.running + load.waiting;
            hub.feed(node::Event::Load { endpoint, running, requested_at });
        }
        Err(e) => log::debug!("probe: {endpoint} gives no load: {e}."),
    }
}
