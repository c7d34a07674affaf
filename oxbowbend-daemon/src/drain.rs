//! Stopping without cutting anything off.
//!
//! Readiness fails first, so that the balancer sends new callers elsewhere; the other instances
//! take over this one's permits and pools; and the process ends when the last answer is written.
//! Only a second signal or the limit in the settings cuts anything off.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use jsonrpsee::server::ServerHandle;
use oxbowbend_clock as clock;
use oxbowbend_core::node;
use oxbowbend_http::server;
use oxbowbend_store::catalog;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::hub;

/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(50);
/// Time without a new request after which the balancer is taken to have noticed.
const QUIET: Duration = Duration::from_millis(1500);
/// Time for which the other instances may take to claim this one's permits.
const CEDE: Duration = Duration::from_secs(5);

/// The state of stopping.
pub(crate) struct Drain {
    hub: Arc<hub::Hub>,
    catalog: catalog::Catalog,
    gate: Arc<server::Gate>,
    peer_server: ServerHandle,
    begun: AtomicBool,
    cut: AtomicBool,
    start: (Sender<()>, Receiver<()>),
}

impl Drain {
    pub(crate) fn new(
        hub: Arc<hub::Hub>,
        catalog: catalog::Catalog,
        gate: Arc<server::Gate>,
        peer_server: ServerHandle,
    ) -> Drain {
        let (begun, cut) = Default::default();
        Drain { hub, catalog, gate, peer_server, begun, cut, start: bounded(1) }
    }

    /// Begins to stop; called again, cuts off what is left.
    pub(crate) fn signalled(&self) {
        if self.begun.load(Ordering::SeqCst) {
            log::warn!("drain: Cutting off what is left.");
            self.cut.store(true, Ordering::SeqCst);
        }
        self.begin();
    }

    /// Begins to stop.
    pub(crate) fn begin(&self) {
        if self.begun.swap(true, Ordering::SeqCst) {
            return;
        }
        log::info!("drain: Stopping; new work goes elsewhere.");
        self.gate.close();
        self.hub.feed(node::Event::Drain);
        self.start.0.try_send(()).ok();
    }

    /// Waits until all is done, or cut off; returns how many requests were.
    pub(crate) async fn finished(&self, limit: Option<Duration>) -> usize {
        self.start.1.recv().await.ok();
        if let Err(e) = self.catalog.leave(self.hub.me()).await {
            log::warn!("drain: Cannot mark this instance as leaving: {e}.");
        }
        let began = clock::now();
        let over = |limit: Option<Duration>| limit.is_some_and(|l| clock::since(began) >= l);
        let mut quiet = Quiet::new(&self.gate);
        while !(self.is_done() && quiet.lasts(&self.gate)) {
            if over(limit) || self.cut.load(Ordering::SeqCst) {
                break;
            }
            task::sleep(LOOK).await;
        }
        let left = self.gate.busy();
        self.cede().await;
        if let Err(e) = self.catalog.deregister(self.hub.me()).await {
            log::warn!("drain: Cannot leave the list: {e}.");
        }
        self.peer_server.stop().ok();
        log::info!("drain: Stopped with {left} requests in flight.");
        left
    }

    fn is_done(&self) -> bool {
        self.gate.busy() == 0 && self.hub.node().is_drained()
    }

    /// Waits until the others have claimed this instance's permits; otherwise they would have to
    /// find out that nothing runs on them.
    async fn cede(&self) {
        let began = clock::now();
        while clock::since(began) < CEDE && !self.hub.node().has_ceded_permits() {
            if self.cut.load(Ordering::SeqCst) {
                return;
            }
            task::sleep(LOOK).await;
        }
    }
}

/// Watches for a time without new requests.
struct Quiet {
    served: usize,
    since: Instant,
}

impl Quiet {
    fn new(gate: &server::Gate) -> Quiet {
        Quiet { served: gate.served(), since: clock::now() }
    }

    fn lasts(&mut self, gate: &server::Gate) -> bool {
        if gate.served() != self.served {
            *self = Quiet::new(gate);
        }
        clock::since(self.since) >= QUIET
    }
}

/// Begins to stop at the first SIGTERM or SIGINT and cuts off at the second.
pub(crate) fn on_signals(drain: Arc<Drain>) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            drain.signalled();
        }
    })?;
    Ok(())
}
