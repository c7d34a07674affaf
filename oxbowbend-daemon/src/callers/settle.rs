//! Ending runs whose answer nobody reads to the end.
//!
//! A permit stands for a run at an endpoint, so it is given back when that run is over, not when
//! this instance has lost interest in it.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use oxbowbend_clock as clock;
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_endpoint::control;
use oxbowbend_http::client;
use oxbowbend_store::kv::KeyValue;

use super::Service;
use crate::probes;

/// Pause between two tries to end a run.
const PAUSE: Duration = Duration::from_millis(250);
/// Time limit of one try.
const LIMIT: Duration = Duration::from_secs(2);

/// The report of a run that says nothing of its endpoint.
pub(crate) fn cancelled() -> message::RunReport {
    message::RunReport { outcome: message::RunOutcome::Cancelled, ..message::RunReport::default() }
}

/// The report of a run that its endpoint failed.
pub(crate) fn failed() -> message::RunReport {
    message::RunReport { outcome: message::RunOutcome::Failed, ..message::RunReport::default() }
}

/// Waits in the background until a run is over, cancelling it if `cancel`, and then ends it.
pub(crate) fn settle<K: KeyValue>(
    service: Arc<Service<K>>,
    address: std::net::SocketAddr,
    run: String,
    report: message::RunReport,
    cancel: bool,
) {
    task::spawn(async move {
        let longest = service.hub.node().topology().max_run;
        let began = clock::now();
        while clock::since(began) < longest && !try_end(&service, address, &run, cancel).await {
            task::sleep(PAUSE).await;
        }
        service.hub.feed(node::Event::Finish { request: run.as_str().into(), report });
    });
}

async fn try_end<K: KeyValue>(
    service: &Service<K>,
    address: std::net::SocketAddr,
    run: &str,
    cancel: bool,
) -> bool {
    if cancel {
        let limits = client::Limits::all(LIMIT);
        if let Err(e) = control::cancel(&service.client, address, run, limits).await {
            log::debug!("caller: Cannot cancel {run}: {e}.");
        }
    }
    probes::is_over(&service.client, address, run).await
}
