//! Keeping this instance in the platform's list, and reading the others from it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use oxbowbend_core::ids;
use oxbowbend_core::node;
use oxbowbend_store::catalog;

use crate::config;
use crate::hub;
use crate::settings;

/// Time between two readings of the list.
pub(crate) const READ: Duration = Duration::from_millis(500);

/// Keeps the instance listed and passes on what the list says, at every tick.
pub(crate) async fn run(
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    catalog: catalog::Catalog,
    settings: settings::Settings,
    ticks: Receiver<std::time::Instant>,
) {
    let mut listing = Listing { hub, config, catalog, settings, leaving: None, failing: false };
    listing.register().await;
    while ticks.recv().await.is_ok() {
        listing.renew().await;
        listing.read().await;
    }
}

struct Listing {
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    catalog: catalog::Catalog,
    settings: settings::Settings,
    leaving: Option<BTreeSet<ids::EndpointId>>,
    failing: bool,
}

impl Listing {
    async fn register(&self) {
        let s = &self.settings;
        let registered =
            self.catalog.register(self.hub.me(), &s.zone, s.peer_listen, s.list_ttl).await;
        if let Err(e) = registered {
            log::warn!("list: Cannot register: {e}.");
        }
    }

    /// An instance that the list has dropped enters it again; its permits were given up when it
    /// read the list without itself.
    async fn renew(&self) {
        if self.catalog.renew(self.hub.me()).await.is_err() && !self.hub.node().is_drained() {
            self.register().await;
        }
    }

    async fn read(&mut self) {
        match self.catalog.instances().await {
            Ok(list) => self.hub.feed(node::Event::List(list)),
            Err(e) => return self.note_failure(&e),
        }
        match self.catalog.leaving_endpoints().await {
            Ok(leaving) => self.pass_on(leaving),
            Err(e) => return self.note_failure(&e),
        }
        if self.failing {
            log::info!("list: Reading again.");
            self.failing = false;
        }
    }

    fn note_failure(&mut self, e: &dyn std::error::Error) {
        if !self.failing {
            log::warn!("list: Cannot read; going on with what is known: {e}.");
            self.failing = true;
        }
    }

    fn pass_on(&mut self, leaving: BTreeSet<ids::EndpointId>) {
        if self.leaving.as_ref() != Some(&leaving) {
            self.config.set_leaving(leaving.clone());
            self.leaving = Some(leaving);
        }
    }
}
