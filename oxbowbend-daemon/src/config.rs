//! The configuration in force at this instance.
//!
//! It only ever moves to a higher revision, wherever the new one comes from: the key-value service
//! or, while that is down, another instance that has it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use async_std::channel::{unbounded, Receiver, Sender};
use async_std::task;
use oxbowbend_core::ids;
use oxbowbend_core::node;
use oxbowbend_core::topology;
use oxbowbend_resource::derive;
use oxbowbend_resource::kinds;
use oxbowbend_resource::manifest;
use oxbowbend_resource::set;
use oxbowbend_store::config;
use oxbowbend_store::kv::KeyValue;
use serde::{Deserialize, Serialize};

use crate::hub;

/// Pause after the key-value service failed.
const RETRY: Duration = Duration::from_millis(500);

/// One revision, prepared for use.
pub(crate) struct Current {
    /// The revision with all resources.
    pub(crate) manifest: manifest::Manifest,
    /// Accounts by key.
    pub(crate) keys: set::KeyIndex,
    /// Addresses by endpoint.
    addresses: BTreeMap<ids::EndpointId, SocketAddr>,
    /// What scheduling needs.
    topology: topology::Topology,
}

/// A change of one resource, as watchers see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub(crate) enum Update {
    /// Created or replaced.
    Put {
        /// The resource.
        resource: Box<kinds::Resource>,
    },
    /// Deleted.
    Delete {
        /// The resource.
        id: kinds::ResourceId,
    },
    /// Everything up to this revision has been sent.
    Revision {
        /// The revision.
        revision: u64,
    },
}

/// The configuration, shared by all parts.
pub(crate) struct Config {
    hub: Arc<hub::Hub>,
    current: RwLock<Option<Arc<Current>>>,
    leaving: Mutex<BTreeSet<ids::EndpointId>>,
    watchers: Mutex<Vec<Sender<Vec<Update>>>>,
    behind: Sender<()>,
    wake: Receiver<()>,
}

impl Config {
    /// Creates an instance's configuration, which is none yet.
    pub(crate) fn new(hub: Arc<hub::Hub>) -> Config {
        let (behind, wake) = async_std::channel::bounded(1);
        Config {
            hub,
            current: RwLock::new(None),
            leaving: Mutex::default(),
            watchers: Mutex::default(),
            behind,
            wake,
        }
    }

    /// The configuration in force; `None` until there is one.
    pub(crate) fn current(&self) -> Option<Arc<Current>> {
        self.current.read().expect("no panic under lock").clone()
    }

    /// The revision in force; `None` until there is one.
    pub(crate) fn revision(&self) -> Option<u64> {
        self.current().map(|c| c.manifest.revision())
    }

    /// Address of an endpoint.
    pub(crate) fn address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.current()?.addresses.get(endpoint).copied()
    }

    /// Puts a revision in force unless a newer one, or the same one, is already.
    pub(crate) fn adopt(&self, manifest: manifest::Manifest) {
        let next = Arc::new(Current::new(manifest));
        let former = {
            let mut current = self.current.write().expect("no panic under lock");
            let known = current.as_ref().map(|c| c.manifest.revision());
            if known.is_some_and(|r| r >= next.manifest.revision()) {
                return;
            }
            current.replace(next.clone())
        };
        log::info!("config: Revision {} is in force.", next.manifest.revision());
        self.announce_topology();
        self.tell_watchers(former.as_deref(), &next);
    }

    /// Notes which endpoints the platform says are leaving.
    pub(crate) fn set_leaving(&self, leaving: BTreeSet<ids::EndpointId>) {
        *self.leaving.lock().expect("no panic under lock") = leaving;
        self.announce_topology();
    }

    fn announce_topology(&self) {
        let Some(current) = self.current() else { return };
        let mut topology = current.topology.clone();
        let leaving = self.leaving.lock().expect("no panic under lock");
        for pool in topology.pools.values_mut() {
            for (id, endpoint) in &mut pool.endpoints {
                endpoint.leaving |= leaving.contains(id);
            }
        }
        self.hub.feed(node::Event::Topology(Arc::new(topology)));
    }

    fn tell_watchers(&self, former: Option<&Current>, next: &Current) {
        let updates = differences(former, next);
        let mut watchers = self.watchers.lock().expect("no panic under lock");
        watchers.retain(|tx| tx.try_send(updates.clone()).is_ok());
    }

    /// Subscribes to changes. The first batch is everything that there is.
    pub(crate) fn watch(&self) -> Receiver<Vec<Update>> {
        let (tx, rx) = unbounded();
        let mut watchers = self.watchers.lock().expect("no panic under lock");
        if let Some(current) = self.current() {
            tx.try_send(differences(None, &current)).ok();
        }
        watchers.push(tx);
        rx
    }

    /// Notes that another instance has `revision`; one that is higher will be fetched.
    pub(crate) fn heard_of(&self, revision: u64) {
        if self.revision().is_none_or(|known| revision > known) {
            self.behind.try_send(()).ok();
        }
    }

    /// Waits until [`Config::heard_of`] was told of a higher revision.
    pub(crate) async fn behind(&self) {
        self.wake.recv().await.ok();
    }
}

impl Current {
    fn new(manifest: manifest::Manifest) -> Current {
        let addresses = manifest.set().of(kinds::Kind::Endpoint).filter_map(|r| match &r.spec {
            kinds::Spec::Endpoint(e) => Some((r.name.as_str().into(), e.address.parse().ok()?)),
            _ => None,
        });
        Current {
            addresses: addresses.collect(),
            keys: set::KeyIndex::new(manifest.set()),
            topology: derive::topology(manifest.set()),
            manifest,
        }
    }
}

fn differences(former: Option<&Current>, next: &Current) -> Vec<Update> {
    let old = |id: &kinds::ResourceId| former.and_then(|f| f.manifest.set().get(id.kind, &id.name));
    let set = next.manifest.set();
    let changed = set.iter().filter(|r| old(&r.id()) != Some(r));
    let mut updates: Vec<Update> =
        changed.map(|r| Update::Put { resource: Box::new(r.clone()) }).collect();
    if let Some(former) = former {
        let gone = former.manifest.set().iter().map(kinds::Resource::id);
        let gone = gone.filter(|id| set.get(id.kind, &id.name).is_none());
        updates.extend(gone.map(|id| Update::Delete { id }));
    }
    updates.push(Update::Revision { revision: next.manifest.revision() });
    updates
}

/// Follows the head in the key-value service for as long as the daemon runs.
pub(crate) async fn follow<K: KeyValue>(config: Arc<Config>, store: config::ConfigStore<K>) {
    let mut version = 0;
    let mut failing = false;
    loop {
        match advance(&config, &store, version).await {
            Ok(newer) => {
                version = newer;
                failing = false;
            }
            Err(e) => {
                if !failing {
                    log::warn!("config: Cannot follow; keeping what is in force: {e}.");
                    failing = true;
                }
                task::sleep(RETRY).await;
            }
        }
    }
}

/// Waits for a head newer than `version` and puts it in force. A daemon that has no configuration
/// reads the head at once; an absent head is an empty configuration.
async fn advance<K: KeyValue>(
    config: &Config,
    store: &config::ConfigStore<K>,
    version: u64,
) -> Result<u64, config::ConfigError> {
    let stored = if config.revision().is_none() {
        store.head().await?
    } else {
        let Some(newer) = store.newer_head(version).await? else { return Ok(version) };
        newer
    };
    let config::StoredHead { head, version } = stored;
    let known = config.current().map(|c| c.manifest.clone()).unwrap_or_default();
    if config.revision().is_none_or(|revision| head.revision > revision) {
        config.adopt(store.load(&head, &known).await?);
    }
    Ok(version)
}
