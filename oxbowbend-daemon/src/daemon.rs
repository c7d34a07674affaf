//! The daemon as a whole: its parts are started here and wired to each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use oxbowbend_core::memory::{Group, MemoryConfig};
use oxbowbend_core::node;
use oxbowbend_http::memory::Memory;
use oxbowbend_http::{listener, server};
use oxbowbend_store::catalog;
use oxbowbend_store::config::ConfigStore;
use oxbowbend_store::etcd;
use oxbowbend_store::ledger;
use thiserror::Error;

use crate::callers;
use crate::config;
use crate::drain;
use crate::hub;
use crate::ids;
use crate::listing;
use crate::observe;
use crate::operators;
use crate::orders;
use crate::peers;
use crate::probes;
use crate::router;
use crate::settings;
use crate::timer;

/// Time limit of a call to the platform.
const PLATFORM_CALL: Duration = Duration::from_secs(2);
/// Time for which a watch waits.
const WATCH: Duration = Duration::from_secs(30);
/// Time for which a step of the ledger is tried.
const LEDGER_PATIENCE: Duration = Duration::from_secs(3);
/// Time between two writes of the whole ledger, which bounds them to 200 a second however many
/// shards there are.
const LEDGER_PACE: Duration = Duration::from_millis(5);
/// Bytes of a megabyte.
const BYTES_PER_MB: usize = 1_000_000;
/// Connections of operators at once.
const OPERATOR_CONNECTIONS: usize = 200;
/// Pause between two tries to get the configuration from other instances.
const KEEP_UP: Duration = Duration::from_millis(500);

/// Why a daemon did not start, or stopped.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The signals could not be subscribed to.
    #[error("cannot subscribe to signals: {0}")]
    Signals(std::io::Error),
    /// Draining was cut short while requests were in flight.
    #[error("stopped with {0} requests in flight")]
    CutShort(usize),
}

/// A running daemon.
pub struct Daemon {
    drain: Arc<drain::Drain>,
    settings: settings::Settings,
    id: String,
}

impl Daemon {
    /// Starts a daemon; it serves as soon as it has a configuration and is listed.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened.
    pub async fn start(settings: settings::Settings) -> Result<Daemon, DaemonError> {
        observe::install();
        let id = ids::incarnation(&settings.instance);
        let (hub, queues) = hub::Hub::new(id.as_str().into(), &settings.zone);
        let hub = Arc::new(hub);
        let config = Arc::new(config::Config::new(hub.clone()));
        let peers = peers::Peers::new(hub.clone(), config.clone(), settings.peer_secret.clone());
        let held = Arc::new(callers::Held::default());
        let timer = timer::Timer::start();
        let kv = etcd::Etcd::new(settings.kv.clone(), PLATFORM_CALL, WATCH);
        let store = ConfigStore::new(kv.clone());
        let shards = settings.ledger_shards;
        let ledger = ledger::Ledger::new(kv.clone(), shards, LEDGER_PATIENCE, LEDGER_PACE * shards);
        let catalog = catalog::Catalog::new(settings.list, PLATFORM_CALL);

        let holds = {
            let held = held.clone();
            Box::new(move |key: &str| held.count(key) > 0)
        };
        let address = settings.peer_listen;
        let listening = (hub.clone(), config.clone());
        let peer_server =
            peers::listen(address, &settings.peer_secret, listening, holds, ledger.clone())
                .await
                .map_err(|error| DaemonError::Listen { address, error })?;
        let gate = Arc::new(server::Gate::default());
        let drain =
            Arc::new(drain::Drain::new(hub.clone(), catalog.clone(), gate.clone(), peer_server));

        let callers = callers::Callers::new(
            hub.clone(),
            config.clone(),
            peers.clone(),
            router::Router::new(ledger, hub.clone(), peers.clone()),
            settings.clone(),
            held,
        );
        let memory = memory(&settings);
        serve(settings.caller_listen, callers, caller_options(&settings, &memory), gate).await?;
        let operators = operators::Operators::new(
            hub.clone(),
            config.clone(),
            peers.clone(),
            store.clone(),
            drain.clone(),
            &settings.operator_key,
        );
        let options = server::Options {
            idle: settings.idle_time,
            memory: Some((memory.clone(), Group::Internal)),
            ..server::Options::default()
        };
        serve(settings.operator_listen, operators, options, Arc::default()).await?;

        task::spawn(peers.clone().deliver(queues.outgoing));
        task::spawn(peers.keep_up(timer.every(KEEP_UP)));
        task::spawn(probes::run(hub.clone(), config.clone(), queues.questions));
        task::spawn(config::follow(config.clone(), store));
        let looks = timer.every(orders::LOOK);
        task::spawn(orders::run(hub.clone(), config.clone(), kv, looks));
        let reads = timer.every(listing::READ);
        task::spawn(listing::run(hub.clone(), config, catalog, settings.clone(), reads));
        task::spawn(tick(hub, timer));
        log::info!("daemon: {id} serves callers at {}.", settings.caller_listen);
        Ok(Daemon { drain, settings, id })
    }

    /// Id of this life of the instance.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Begins to stop: new work goes elsewhere, and what is here is finished.
    pub fn drain(&self) {
        self.drain.begin();
    }

    /// Begins to stop at the first SIGTERM or SIGINT; the second one cuts off what is left.
    ///
    /// # Errors
    ///
    /// Fails if the signals cannot be subscribed to.
    pub fn drain_on_signals(&self) -> Result<(), DaemonError> {
        drain::on_signals(self.drain.clone()).map_err(DaemonError::Signals)
    }

    /// Waits until the daemon has stopped.
    ///
    /// # Errors
    ///
    /// Fails if requests were cut off.
    pub async fn stopped(&self) -> Result<(), DaemonError> {
        match self.drain.finished(self.settings.drain_limit).await {
            0 => Ok(()),
            n => Err(DaemonError::CutShort(n)),
        }
    }
}

/// The budget of what callers make this process hold. The server bounds the time that they take.
fn memory(settings: &settings::Settings) -> Memory {
    Memory::new(MemoryConfig {
        bytes: MemoryConfig::bytes_of(settings.memory_mb * BYTES_PER_MB),
        client_connections: settings.max_connections,
        instance_connections: 0,
        internal_connections: OPERATOR_CONNECTIONS,
    })
}

fn caller_options(settings: &settings::Settings, memory: &Memory) -> server::Options {
    server::Options {
        idle: settings.idle_time,
        connections: settings.max_connections,
        connections_per_caller: settings.max_connections_per_caller,
        memory: Some((memory.clone(), Group::Clients)),
        ..server::Options::default()
    }
}

async fn serve<H: server::Handler>(
    address: SocketAddr,
    handler: H,
    options: server::Options,
    gate: Arc<server::Gate>,
) -> Result<(), DaemonError> {
    let listener = listener::bind(address).await;
    let listener = listener.map_err(|error| DaemonError::Listen { address, error })?;
    task::spawn(async move {
        if let Err(e) = server::serve(listener, handler, options, gate).await {
            log::error!("daemon: The listener at {address} failed: {e}.");
        }
    });
    Ok(())
}

async fn tick(hub: Arc<hub::Hub>, timer: timer::Timer) {
    let ticks = timer.every(node::TICK_INTERVAL);
    while ticks.recv().await.is_ok() {
        hub.feed(node::Event::Tick);
    }
}
