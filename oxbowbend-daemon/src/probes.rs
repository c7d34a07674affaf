//! Asking endpoints what the node wants to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task;
use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::message::GrantRef;
use oxbowbend_core::node::Event;
use oxbowbend_endpoint::control::{self, RunStatus};
use oxbowbend_http::client::{CallError, Client, Limits};

use crate::clock;
use crate::config::Config;
use crate::hub::{Hub, Question};

/// Time limit of a question.
const LIMIT: Duration = Duration::from_secs(2);

/// Asks every question that comes.
pub(crate) async fn run(hub: Arc<Hub>, config: Arc<Config>, questions: Receiver<Question>) {
    let client = Client::new();
    while let Ok(question) = questions.recv().await {
        let (hub, config, client) = (hub.clone(), config.clone(), client.clone());
        task::spawn(async move { ask(&hub, &config, &client, question).await });
    }
}

async fn ask(hub: &Hub, config: &Config, client: &Client, question: Question) {
    match question {
        Question::Run(endpoint, grant) => {
            let Some(address) = config.address(&endpoint) else { return };
            ask_run(hub, client, address, grant).await;
        }
        Question::Load(endpoint) => {
            let Some(address) = config.address(&endpoint) else { return };
            ask_load(hub, client, address, endpoint).await;
        }
    }
}

async fn ask_run(hub: &Hub, client: &Client, address: SocketAddr, grant: GrantRef) {
    if is_over(client, address, &grant.0).await {
        hub.feed(Event::RunOver(grant));
    }
}

/// Whether a run is certainly over. An endpoint that refuses connections runs nothing.
pub(crate) async fn is_over(client: &Client, address: SocketAddr, run: &str) -> bool {
    let status = control::run_status(client, address, run, Limits::all(LIMIT)).await;
    match status {
        Ok(status) => status != RunStatus::Running,
        Err(control::ControlError::Call(CallError::Connect { reason, .. })) => {
            reason.contains("refused")
        }
        Err(_) => false,
    }
}

async fn ask_load(hub: &Hub, client: &Client, address: SocketAddr, endpoint: EndpointId) {
    let asked_at = clock::now();
    match control::load(client, address, Limits::all(LIMIT)).await {
        Ok(load) => {
            let running = load.running + load.waiting;
            hub.feed(Event::Load { endpoint, running, asked_at });
        }
        Err(e) => log::debug!("probe: {endpoint} gives no load: {e}."),
    }
}
