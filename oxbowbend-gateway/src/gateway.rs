//! The gateway as a whole: its parts are started here and wired to each other.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::Receiver;
use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use http::{Response, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_core::admission::AdmissionController;
use oxbowbend_core::cell::Cell;
use oxbowbend_core::ids::{InstanceId, ZoneId};
use oxbowbend_core::memory::Group;
use oxbowbend_core::quota::QuotaPolicy;
use oxbowbend_core::report_pacing::ReportPacer;
use oxbowbend_core::retries::{RetryLimit, RetryLimiter};
use oxbowbend_core::rollout::{RolloutLimits, Rollouts};
use oxbowbend_core::slot_leases::Sender;
use oxbowbend_http::{h1, listener};
use thiserror::Error;

use crate::audience::Audience;
use crate::client_memory::ClientMemory;
use crate::confirm;
use crate::features::Features;
use crate::follow;
use crate::intake::LoadWatch;
use crate::observe;
use crate::peers;
use crate::relay;
use crate::rollouts;
use crate::seam::{Store, Wire};
use crate::shared::Shared;
use crate::slot_leases::SlotLeases;
use crate::source::Sources;
use crate::stop;

/// Time that a connection to an endpoint or another instance may take. Across zones it takes about
/// 4 ms; a machine that is overloaded takes some tens.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for which idle connections to endpoints are kept if these name none.
const KEEP: Duration = Duration::from_secs(20);
/// Bytes of a head where no budget bounds them.
const HEAD: usize = 64 * 1024;
/// Upkeep while requests wait: claims of silent instances, endpoints that have been set aside for long enough.
const TICK: Duration = Duration::from_millis(25);
/// Upkeep while none do: lapsed endpoints, watches that are not to be relied on, the source. Each wake costs
/// a small machine some 20 microseconds beside the work.
const IDLE_TICK: Duration = Duration::from_millis(75);
/// Time between two looks at who belongs to the cell.
const REGROUP: Duration = Duration::from_millis(500);
/// Instances that may join before the bound on connections is worked out anew.
const SPARE: usize = 3;
/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(2);

/// What a gateway needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this instance, the same in all its lives.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this instance is ready.
    pub readiness: SocketAddr,
    /// Where other instances reach this one, by datagram and connection.
    pub peers: SocketAddr,
    /// Where this instance accepts requests that others hand over.
    pub handovers: SocketAddr,
    /// Where the metrics are shown.
    pub metrics: SocketAddr,
    /// Instances that may be there at the start.
    pub seeds: Vec<SocketAddr>,
    /// Time between the signal to stop and the end by force.
    pub grace: Duration,
    /// Bound on repeats over all instances.
    pub repeats: RetryLimit,
    /// Bounds of roll-outs over all instances.
    pub rollouts: RolloutLimits,
    /// Bounds of quotas over all instances.
    pub quotas: QuotaPolicy,
    /// Instances of a cell at most.
    pub cell_size: usize,
    /// Decisions under overload that are enabled.
    pub features: Features,
    /// Time within which changes of the configuration and of endpoints must be in force.
    pub in_force: Duration,
    /// Bandwidth of the machine's link in each direction; none if it is not known.
    pub link_bytes_per_s: Option<u64>,
    /// Bytes of memory that the process may use.
    pub memory_bytes: usize,
    /// Connections from callers at once.
    pub connections: usize,
}

/// Why a gateway did not start, or how it stopped.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A socket could not be opened.
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
    /// Requests were cut off at the stop.
    #[error("stopped with {0} requests in progress")]
    CutOff(usize),
}

/// A running gateway.
pub struct Gateway {
    door: Arc<h1::Door>,
    shared: Shared,
    signals: Receiver<i32>,
    grace: Duration,
}

impl Gateway {
    /// Starts a gateway. It says that it is ready as soon as it knows configuration and endpoints.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened or the signals cannot be subscribed to.
    pub async fn start<W: Wire, S: Store>(
        cfg: Config,
        wire: W,
        store: S,
    ) -> Result<Gateway, GatewayError> {
        let signals = stop::signals().map_err(GatewayError::Signals)?;
        observe::recorder();
        let life = rand::random();
        let cell = Cell::new(cfg.instance.clone(), cfg.zone.clone(), life);
        let mut retry_limiter = RetryLimiter::new(cfg.repeats, clock::now());
        // Until others are seen, an instance would take the parts of all.
        retry_limiter.set_instances(clock::now(), cfg.seeds.len());
        let (shared, changed) = Shared::new(
            (cfg.instance.clone(), cfg.zone.clone()),
            (cell, cfg.cell_size, cfg.features),
            Sources::new(cfg.in_force),
            AdmissionController::new(cfg.quotas),
            retry_limiter,
            Rollouts::new(cfg.rollouts),
            W::PROBE_PATH,
        );
        let local =
            Sender { instance: cfg.instance.clone(), incarnation: life, address: cfg.peers };
        let (leases, lease_receivers) = SlotLeases::new(local, cfg.zone.clone());
        let meter = Arc::new(h1::LinkMeter::default());
        let door = Arc::new(h1::Door::default().with_meter(meter.clone()));
        // Documents of other instances are bounded by their senders and not counted.
        let document_pool = h1::Pool::new(h1::PoolConfig { connect: CONNECT, idle: KEEP });
        let pool = document_pool.clone().with_meter(meter.clone());
        let peers = Arc::new(peers::Peers {
            shared: shared.clone(),
            wire: wire.clone(),
            socket: UdpSocket::bind(cfg.peers).await.map_err(listen(cfg.peers))?,
            name: cfg.instance.clone(),
            address: cfg.peers,
            handover_port: cfg.handovers.port(),
            audience: Audience { address: cfg.peers, seeds: cfg.seeds.clone() },
            pool: document_pool,
            meter: meter.clone(),
            door: door.clone(),
            requests: Mutex::default(),
            slot_leases: leases.clone(),
            link: Mutex::default(),
        });
        let serving = h1::ServeConfig { connections: cfg.connections, head: HEAD };
        let handover_port = cfg.handovers.port();
        let relay = relay::Relay::new(
            wire.clone(),
            shared.clone(),
            pool.clone(),
            leases.clone(),
            handover_port,
        );
        let handovers = bind(cfg.handovers).await?;
        let client_memory = ClientMemory::new(clock::now(), cfg.memory_bytes, cfg.connections);
        let limits = |group| h1::ConnectionLimits {
            gate: Arc::default(),
            memory: Some((client_memory.memory().clone(), group)),
        };
        let (for_peers, of_peers) = (relay.clone(), limits(Group::Instances));
        let for_peers = move |req| for_peers.clone().serve_handover(req);
        task::spawn(h1::serve_limited(handovers, serving, door.clone(), of_peers, for_peers));
        let callers = bind(cfg.callers).await?;
        let (of_callers, for_callers) =
            (limits(Group::Clients), move |req| relay.clone().serve(req));
        let gate = of_callers.gate.clone();
        task::spawn(h1::serve_limited(callers, serving, door.clone(), of_callers, for_callers));
        serve_aside(&cfg, (serving, limits(Group::Internal)), &shared, &door, &peers).await?;

        task::spawn(follow::run(store.clone(), wire, shared.clone()));
        task::spawn(confirm::run(store.clone(), shared.clone()));
        let entry = (cfg.instance.clone(), cfg.zone.clone(), cfg.peers);
        task::spawn(follow::count_instances(store.clone(), shared.clone()));
        task::spawn(rollouts::keep_statuses(store.clone(), shared.clone()));
        task::spawn(follow::stay_entered(store, entry, shared.clone(), door.clone()));
        let pacer = ReportPacer::new(clock::now(), cfg.link_bytes_per_s);
        task::spawn(peers.clone().speak(changed, pacer));
        task::spawn(peers.clone().send_slot_messages(lease_receivers.outgoing));
        task::spawn(peers.listen());
        task::spawn(leases.run(shared.clone(), lease_receivers.changed));
        let load = LoadWatch::new(clock::now(), cfg.link_bytes_per_s, meter, gate);
        let watches = (load, client_memory);
        task::spawn(keep_up(shared.clone(), pool, door.clone(), cfg.seeds.len(), watches));
        log::info!(
            "event=started instance={} zone={} life={life:016x} callers={}",
            cfg.instance,
            cfg.zone,
            cfg.callers
        );
        Ok(Gateway { door, shared, signals, grace: cfg.grace })
    }

    /// Waits for the signal to stop and for the last answer.
    ///
    /// # Errors
    ///
    /// Fails if requests were cut off.
    pub async fn stopped(self) -> Result<(), GatewayError> {
        match stop::run(self.signals, self.door, self.shared, self.grace).await {
            0 => Ok(()),
            n => Err(GatewayError::CutOff(n)),
        }
    }
}

/// Serves what no caller asks for: readiness, other instances' questions, metrics.
async fn serve_aside<W: Wire>(
    cfg: &Config,
    (serving, limits): (h1::ServeConfig, h1::ConnectionLimits),
    shared: &Shared,
    door: &Arc<h1::Door>,
    peers: &Arc<peers::Peers<W>>,
) -> Result<(), GatewayError> {
    let aside = Arc::new(h1::Door::default());
    let listener = bind(cfg.readiness).await?;
    let (shared, door) = (shared.clone(), door.clone());
    let is_ready = move || shared.table().is_some() && !door.is_closing();
    let answer = move |_| {
        let status = if is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready(status_only(status))
    };
    task::spawn(h1::serve_limited(listener, serving, aside.clone(), limits.clone(), answer));
    let listener = bind(cfg.peers).await?;
    let peers = peers.clone();
    let answer = move |req| peers.clone().answer(req);
    task::spawn(h1::serve_limited(listener, serving, aside.clone(), limits.clone(), answer));
    let listener = bind(cfg.metrics).await?;
    let answer = |_| std::future::ready(Response::new(h1::Whole::from(observe::page())));
    task::spawn(h1::serve_limited(listener, serving, aside, limits, answer));
    Ok(())
}

fn status_only(status: StatusCode) -> Response<h1::Whole> {
    let mut answer = Response::new(h1::Whole::default());
    *answer.status_mut() = status;
    answer
}

fn listen(address: SocketAddr) -> impl Fn(std::io::Error) -> GatewayError {
    move |error| GatewayError::Listen { address, error }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    listener::bind(address).await.map_err(listen(address))
}

/// Something that is done now and then.
struct Every {
    pause: Duration,
    last: Option<Instant>,
}

impl Every {
    fn new(pause: Duration) -> Every {
        Every { pause, last: None }
    }

    fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.last.is_none_or(|at| now.duration_since(at) >= self.pause);
        self.last = if is_due { Some(now) } else { self.last };
        is_due
    }
}

/// What time brings: lapsed endpoints, the cell, idle connections, gauges.
async fn keep_up(
    shared: Shared,
    pool: h1::Pool,
    door: Arc<h1::Door>,
    seeds: usize,
    (mut load, mut client_memory): (LoadWatch, ClientMemory),
) {
    let (mut regroup, mut sweep) = (Every::new(REGROUP), Every::new(SWEEP));
    let mut waiting = 0;
    loop {
        let tick = if waiting > 0 || !load.is_calm() { TICK } else { IDLE_TICK };
        let due = clock::now() + tick;
        task::sleep(tick).await;
        let now = clock::now();
        let is_at_limit = load.update(now, now.saturating_duration_since(due));
        let limits = shared.table().map(|table| table.limits());
        let is_stopping = shared.lock().shutdown.is_some();
        client_memory.update(now, limits, is_stopping);
        let (news, heard, restarted, resting) = {
            let mut state = shared.lock();
            state.record_step(now);
            state.set_at_limit(is_at_limit);
            let news = state.world.expire(now);
            if regroup.is_due(now) {
                state.regroup(now);
                state.instances = state.instances.max(seeds);
                let instances = state.instances;
                state.repeats.set_instances(now, instances);
                let bound = state.world.table().and_then(|t| t.min_service_connections());
                let each = bound.map_or(usize::MAX, |n| n as usize / (state.instances + SPARE));
                pool.set_bound(each.max(1));
            }
            state.choose_source(now);
            state.judge_ends(now);
            state.settle_rollouts(now);
            state.sweep_streams(now);
            state.set_shares(now);
            waiting = state.cell.waiting_count();
            let restarted = std::mem::take(&mut state.restarted);
            (news, state.heard(now), restarted, state.cell.backing_off_count(now))
        };
        restarted.into_iter().for_each(|address| pool.forget(address));
        shared.give_up(now);
        shared.probe_when_due(&pool);
        shared.apply(now, &news, "time");
        if waiting > 0 {
            shared.place();
        }
        if sweep.is_due(now) {
            pool.sweep();
            observe::state(waiting, door.busy(), heard);
            observe::resting(resting);
            observe::free_slots_elsewhere(shared.lock().overflow.total_free_slots(now));
            shared.report_config_lag(now);
        }
    }
}
