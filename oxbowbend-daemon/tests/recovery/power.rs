//! One play: instances, endpoints and store lose power together, once or several times in a row, and return together,
//! before the deployment's traffic: prompts with quotas of several client accounts, streams, and a service of few endpoints.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::callers::{Kind, Load, DRAFT, POST, STREAM};
use crate::daemons::{Daemons, Net, Processors, ZONES};
use crate::engines::{self, Engine};
use crate::paths::Paths;
use crate::play::{
    config, start_engines, Account, APPS, APP_SLOTS, FIRST_START, INSTANCES, MODELS, MODEL_SLOTS,
    OWN_SHARE, RECOVERY, USERS_SHARE, WINDOW,
};
use crate::store::{self, Store};

/// The deployment's requests, of which each kind has its pace.
const ANNUAL: Kind = Kind {
    name: "annual",
    objective: Duration::from_millis(800),
    deadline: Duration::from_secs(5),
    priority: 0,
    attempts: 1,
    prompt: Some(2890),
    ..STREAM
};
const HISTORY: Kind = Kind {
    name: "history",
    objective: Duration::from_millis(600),
    deadline: Duration::from_secs(3),
    prompt: Some(1800),
    ..STREAM
};
const ANSWER: Kind = Kind { name: "answer", priority: 2, attempts: 1, prompt: Some(543), ..STREAM };
const BENEFIT: Kind =
    Kind { name: "benefit", objective: Duration::from_millis(120), priority: 2, ..POST };
const BALANCE: Kind = Kind { name: "balance", is_idempotent: true, attempts: 2, ..BENEFIT };
const PACES: [(Kind, f64); 5] =
    [(ANNUAL, 196.0), (HISTORY, 216.0), (ANSWER, 115.0), (BENEFIT, 132.0), (BALANCE, 52.0)];
/// Client accounts, and the part of a quota that calm traffic takes.
const ACCOUNTS: usize = 16;
const QUOTA_SHARE: f64 = 1.0 / 1.8;
/// Mean length of a stream, and the time between its events.
const STREAM_WORK: Duration = Duration::from_millis(400);
const EVENT_GAP: Duration = Duration::from_millis(50);
const APP_WORK: Duration = Duration::from_millis(15);
/// Requests that may wait at an endpoint.
const QUEUE: usize = 24;
/// Time from the start of the daemons to the first traffic, calm traffic, and its part that is judged.
const LEAD: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(10);
const JUDGED_CALM: Duration = Duration::from_secs(5);
/// From here on after the return a quarter of each service is to be served.
const SOON: Duration = Duration::from_secs(5);
/// Time between two heartbeats of an endpoint.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time between two ends of all.
const BETWEEN: Duration = Duration::from_secs(4);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processors of the daemons; the driver, the endpoints and the store have the others.
    pub processors: Option<usize>,
    /// Ends in a row.
    pub ends: u32,
    /// Time without power.
    pub down: Duration,
    /// Whether the instances end, and whether endpoints and store lose power.
    pub ends_instances: bool,
    pub is_everything: bool,
    /// Time from the machines' return to the store's, from it to the first endpoint's, and between two endpoints.
    pub store: Duration,
    pub first: Duration,
    pub each: Duration,
    /// Time after the store's return at which entries of the endpoints' former lives begin to lapse, one after the
    /// other over the time between two heartbeats; they are gone at once if `None`.
    pub kept: Option<Duration>,
    /// What callers of endpoints without power see.
    pub outage: engines::Outage,
    /// Whether the instances' entries outlive the power loss.
    pub keeps_leases: bool,
    /// Whether a configuration is written at the moment of each end.
    pub changes: bool,
    /// Whether the store's history is gone.
    pub is_compacted: bool,
    /// Factor on the traffic.
    pub factor: f64,
    /// Machines in ten that come back under other names.
    pub replaced: u8,
}

impl Plan {
    /// Endpoints return last, and the addresses in their former entries close each connection until then.
    pub fn late_endpoints() -> Plan {
        Plan {
            processors: None,
            ends: 1,
            down: Duration::from_millis(900),
            ends_instances: true,
            is_everything: true,
            store: Duration::ZERO,
            first: Duration::from_secs(6),
            each: Duration::from_millis(10),
            kept: Some(Duration::from_millis(2400)),
            outage: engines::Outage::Closing,
            keeps_leases: false,
            changes: true,
            is_compacted: false,
            factor: 0.5,
            replaced: 0,
        }
    }

    /// The plan of a seed.
    pub fn drawn(seed: u64) -> Plan {
        let rng = &mut Pcg64::seed_from_u64(seed);
        let ms = |n: u64| Duration::from_millis(n);
        let ends_instances = rng.random_bool(0.8);
        Plan {
            processors: [None, None, Some(2), Some(1)][rng.random_range(0..4)],
            ends: [1, 1, 2, 3][rng.random_range(0..4)],
            down: ms(rng.random_range(100..2000)),
            ends_instances,
            is_everything: !ends_instances || rng.random_bool(0.7),
            store: ms([0, 0, 1000, 3000][rng.random_range(0..4)]),
            first: ms([0, 500, 3000][rng.random_range(0..3)]),
            each: ms([0, 10, 40][rng.random_range(0..3)]),
            kept: [None, Some(ms(2400)), Some(ms(8000))][rng.random_range(0..3)],
            outage: [engines::Outage::Silent, engines::Outage::Closing][rng.random_range(0..2)],
            keeps_leases: rng.random_bool(0.5),
            changes: rng.random_bool(0.7),
            is_compacted: rng.random_bool(0.3),
            factor: [0.7, 1.0, 1.2][rng.random_range(0..3)],
            replaced: [0, 0, 0, 5, 10][rng.random_range(0..5)],
        }
    }

    /// Time from the machines' return until all that they need is back.
    fn late(&self) -> Duration {
        match self.is_everything {
            true => self.store + self.first + self.each * u32::from(MODELS + APPS),
            false => Duration::ZERO,
        }
    }
}

/// The parts of a play.
struct Site {
    store: Store,
    engines: Vec<(Engine, SocketAddr)>,
    daemons: Daemons,
    accounts: Vec<Account>,
    version: u64,
}

/// Plays a plan; returns what was not as it must be.
pub async fn play(seed: u64, plan: &Plan) -> Vec<String> {
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    let processors = plan.processors.filter(|count| *count < all);
    if let Some(count) = processors {
        Processors { first: count, count: all - count }.bind_own_threads();
    }
    let broken = play_bound(seed, plan, processors).await;
    Processors { first: 0, count: all }.bind_own_threads();
    broken
}

async fn play_bound(seed: u64, plan: &Plan, processors: Option<usize>) -> Vec<String> {
    let net = Net::of(seed);
    let listener = TcpListener::bind((net.ip(0, 225), 0)).await.unwrap();
    let store_address = store::address(&listener);
    let store = Store::start(listener).await;
    let accounts = vec![account(plan.factor); ACCOUNTS];
    let kinds = PACES.map(|(kind, _)| kind);
    store.put("op/config", &config(1, &kinds, &accounts));
    let engines = start_engines(net, models(), apps(), &store, &Paths::default()).await;
    let processors = processors.map(|count| Processors { first: 0, count });
    let daemons = Daemons::launch(net, INSTANCES, store_address, processors);
    let began = Instant::now();
    if !daemons.ready(FIRST_START).await {
        daemons.end();
        return vec![format!("seed {seed}: the daemons are not ready at first")];
    }
    println!("seed {seed}: {plan:?}; ready after {:?}", began.elapsed());
    task::sleep(LEAD).await;
    let used = daemons.processor_time();
    task::sleep(LEAD).await;
    let idle = (daemons.processor_time() - used).as_secs_f64() / LEAD.as_secs_f64();
    println!("seed {seed}: idle: {:.1} ms a second each", idle * 1e3 / f64::from(INSTANCES));
    let load = Load::new(daemons.clone(), seed, ACCOUNTS);
    for (kind, per_s) in PACES {
        load.send(kind, per_s * plan.factor);
    }
    task::sleep(CALM).await;
    let addresses = (0..MODELS + APPS).map(|n| engines::address(net, n));
    let engines = engines.into_iter().zip(addresses).collect();
    let mut site = Site { store, engines, daemons, accounts, version: 1 };
    let killed = Instant::now();
    let mut returned = killed;
    for n in 0..plan.ends {
        if n > 0 {
            task::sleep(BETWEEN).await;
        }
        returned = site.lose_power(plan).await;
    }
    let until = returned + plan.late() + RECOVERY + WINDOW;
    task::sleep(until - Instant::now().min(until)).await;
    task::sleep(ANNUAL.deadline).await;
    load.stop();
    let broken = judge(seed, plan, &load, killed, returned);
    let ends = site.daemons.ends.load(Ordering::SeqCst);
    println!("seed {seed}: {ends} ended by themselves");
    site.daemons.end();
    broken
}

/// A quota that calm traffic takes a part of.
fn account(factor: f64) -> Account {
    let tokens =
        |(kind, per_s): &(Kind, f64)| kind.prompt.map_or(200, |n| n + n / 10) as f64 * per_s;
    let each = PACES.iter().map(tokens).sum::<f64>() * factor / ACCOUNTS as f64;
    Account { per_s: each / QUOTA_SHARE, burst: each / QUOTA_SHARE }
}

fn models() -> engines::Kind {
    engines::Kind {
        service: DRAFT.service,
        slots: MODEL_SLOTS,
        connections: 1294,
        work: STREAM_WORK,
        queue: QUEUE,
        event_gap: Some(EVENT_GAP),
    }
}

fn apps() -> engines::Kind {
    engines::Kind {
        service: POST.service,
        slots: APP_SLOTS,
        connections: 879,
        work: APP_WORK,
        queue: QUEUE,
        event_gap: None,
    }
}

impl Site {
    /// Ends everything at once and starts it again; returns when the machines are back.
    async fn lose_power(&mut self, plan: &Plan) -> Instant {
        if plan.changes {
            self.version += 3;
            let kinds = PACES.map(|(kind, _)| kind);
            self.store.put("op/config", &config(self.version, &kinds, &self.accounts));
            task::sleep(Duration::from_millis(5)).await;
        }
        let former: Vec<_> = self.engines.iter().map(|(engine, _)| engine.id()).collect();
        if plan.is_everything {
            self.store.set_mode(store::Mode::Dark);
            self.engines.iter().for_each(|(engine, _)| engine.lose_power(plan.outage));
        }
        if plan.ends_instances {
            self.daemons.kill_all();
        }
        task::sleep(plan.down).await;
        if plan.ends_instances && plan.replaced > 0 {
            self.daemons.replace(|n| n % 10 < plan.replaced);
        }
        let returned = Instant::now();
        let daemons = self.daemons.clone();
        let starts = task::spawn_blocking(move || daemons.start_all());
        if plan.is_everything {
            self.restore(plan, former).await;
        }
        starts.await;
        returned
    }

    /// Store and endpoints come back.
    async fn restore(&self, plan: &Plan, former: Vec<String>) {
        task::sleep(plan.store).await;
        if !plan.keeps_leases {
            self.store.end_leases();
        }
        if plan.is_compacted {
            self.store.compact();
        }
        if plan.kept.is_none() {
            former.iter().for_each(|id| self.store.remove(&format!("servers/{id}")));
        }
        self.store.set_mode(store::Mode::Up);
        if let Some(time) = plan.kept {
            let store = self.store.clone();
            task::spawn(async move {
                task::sleep(time).await;
                for id in &former {
                    store.remove(&format!("servers/{id}"));
                    task::sleep(HEARTBEAT / former.len() as u32).await;
                }
            });
        }
        task::sleep(plan.first).await;
        for (n, (engine, address)) in self.engines.iter().enumerate() {
            engine.start_again();
            let entry = engine.entry(*address, ZONES[n % ZONES.len()]);
            self.store.put(&format!("servers/{}", engine.id()), &entry);
            task::sleep(plan.each).await;
        }
    }
}

/// Judges from the moment at which the machines and all that they need are back.
fn judge(seed: u64, plan: &Plan, load: &Load, killed: Instant, returned: Instant) -> Vec<String> {
    let second = Duration::from_secs(1);
    let mut broken = Vec::new();
    let end = returned + plan.late() + RECOVERY + WINDOW;
    let kinds = PACES.map(|(kind, _)| Some(kind));
    for kind in kinds.into_iter().chain([None]) {
        let name = kind.map_or("all", |kind| kind.name);
        let share = |from: Instant, time: Duration| load.served(kind, from, from + time).0;
        let before = share(killed - JUDGED_CALM, JUDGED_CALM - second);
        let seconds = std::iter::successors(Some(killed), |at| Some(*at + second));
        let by_second: Vec<_> = seconds
            .take_while(|at| *at < end)
            .map(|at| format!("{:.2}", share(at, second)))
            .collect();
        println!(
            "seed {seed}: {name}: {before:.2} before; from the end on {}",
            by_second.join(" ")
        );
        if before < OWN_SHARE {
            broken.push(format!("seed {seed}: {before:.2} of {name} are served before"));
        }
        let soon = share(returned + plan.late() + SOON, WINDOW);
        if soon < USERS_SHARE {
            broken.push(format!("seed {seed}: {soon:.2} of {name} are served soon"));
        }
        let late = share(returned + plan.late() + RECOVERY, WINDOW);
        if late < OWN_SHARE * before {
            broken.push(format!(
                "seed {seed}: {late:.2} of {name} are served late, {before:.2} before"
            ));
        }
    }
    println!("seed {seed}: machines back {:.1?} after the first end", returned - killed);
    broken
}
