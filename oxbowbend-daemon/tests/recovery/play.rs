//! One play: a fleet of the deployment's size serves, all its instances end at once and return.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use rustix::process::Signal;
use serde_json::json;

use crate::callers::{key_of, Kind, Load, DRAFT, ONCE, POST, STREAM};
use crate::daemons::{Daemons, Net, ZONES};
use crate::engines::{self, Engine};
use crate::paths::Paths;
use crate::plan::{Away, Plan};
use crate::store::{self, Store};

/// Instances, and endpoints of the two services.
pub const INSTANCES: u8 = 131;
pub const MODELS: u8 = 90;
pub const APPS: u8 = 3;
pub const MODEL_SLOTS: u32 = 4;
pub const APP_SLOTS: u32 = 6;
/// Requests that may wait at an endpoint.
const QUEUE: usize = 24;
/// Time in which all are to be ready at the start.
pub const FIRST_START: Duration = Duration::from_secs(30);
/// Calm traffic before the end, of which the first part is not judged.
const CALM: Duration = Duration::from_secs(9);
const JUDGED_CALM: Duration = Duration::from_secs(4);
/// Requests a second for the other service.
const POSTS: f64 = 60.0;
/// What the users ask: of the requests sent later than this after the return, a quarter.
pub const RECOVERY: Duration = Duration::from_secs(15);
pub const USERS_SHARE: f64 = 0.25;
/// What we ask where nothing else is wrong: from here on, nine tenths of what was served before.
pub const SOON: Duration = Duration::from_secs(3);
pub const OWN_SHARE: f64 = 0.9;
/// Length of a window that is judged.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Time for which processes run in turn where the processor time of all is limited: a tenth of a second for all.
const SLICE: Duration = Duration::from_millis(5);

/// Variable that leaves the end of all out.
const CONTROL: &str = "OXBOW_RECOVERY_CONTROL";

/// Plays a plan; returns what was not as it must be.
pub async fn play(seed: u64, plan: &Plan) -> Vec<String> {
    let net = Net::of(seed);
    let listener = TcpListener::bind((net.ip(0, 225), 0)).await.unwrap();
    let store_address = store::address(&listener);
    let store = Store::start(listener).await;
    store.put("op/config", &config(1, &KINDS, &[Account::unlimited()]));
    let (models, apps) = kinds(plan);
    let engines = start_engines(net, models, apps, &store, &Paths::default()).await;
    let daemons = Daemons::launch(net, INSTANCES, store_address, None);
    let began = Instant::now();
    if !daemons.ready(FIRST_START).await {
        daemons.end();
        return vec![format!("seed {seed}: the daemons are not ready at first")];
    }
    println!("seed {seed}: {plan:?}; ready after {:?}", began.elapsed());
    let load = Load::new(daemons.clone(), seed, 1);
    let capacity = f64::from(MODELS) * f64::from(MODEL_SLOTS) / plan.work.as_secs_f64();
    let stop = Arc::new(AtomicBool::new(false));
    if let Some(running) = plan.running {
        task::spawn(limit_processor(daemons.clone(), running, stop.clone()));
    }
    load.send(DRAFT, capacity * plan.share * (1.0 - plan.once));
    if plan.once > 0.0 {
        load.send(ONCE, capacity * plan.share * plan.once);
    }
    load.send(POST, POSTS);
    task::sleep(CALM).await;
    let killed = Instant::now();
    let returned = end_and_return(plan, &store, &engines, &daemons, &load).await;
    let until = returned + RECOVERY + WINDOW;
    task::sleep(until - Instant::now().min(until)).await;
    // The last requests end.
    task::sleep(DRAFT.deadline).await;
    load.stop();
    stop.store(true, Ordering::SeqCst);
    let broken = judge(seed, plan, &load, killed, returned);
    let refused: u64 = engines.iter().map(Engine::refused).sum();
    let ends = daemons.ends.load(Ordering::SeqCst);
    println!("seed {seed}: {ends} ended by themselves, {refused} connections over a limit");
    daemons.end();
    broken
}

/// The endpoints of a plan.
fn kinds(plan: &Plan) -> (engines::Kind, engines::Kind) {
    let models = engines::Kind {
        service: "models",
        slots: MODEL_SLOTS,
        connections: plan.model_connections,
        work: plan.first_work,
        queue: QUEUE,
        event_gap: None,
    };
    let apps = engines::Kind {
        service: "ledger",
        slots: APP_SLOTS,
        connections: plan.app_connections,
        work: Duration::from_millis(15),
        queue: QUEUE,
        event_gap: None,
    };
    (models, apps)
}

/// Starts the model servers, then the endpoints of the small service.
pub async fn start_engines(
    net: Net,
    models: engines::Kind,
    apps: engines::Kind,
    store: &Store,
    paths: &Paths,
) -> Vec<Engine> {
    let mut engines = Vec::new();
    for n in 0..MODELS + APPS {
        let kind = if n < MODELS { models } else { apps };
        let address = engines::address(net, n);
        let listener = TcpListener::bind(address).await.unwrap();
        let engine = Engine::start(format!("i-{n:02}"), kind, listener, paths.clone());
        let entry = engine.entry(address, ZONES[n as usize % ZONES.len()]);
        store.put(&format!("servers/{}", engine.id()), &entry);
        engines.push(engine);
    }
    engines
}

/// Ends all instances, starts them again, and returns from when on they can serve: their start, or the store's return.
async fn end_and_return(
    plan: &Plan,
    store: &Store,
    engines: &[Engine],
    daemons: &Daemons,
    load: &Load,
) -> Instant {
    if let Some(time) = plan.unnoticed {
        engines.iter().for_each(|engine| engine.miss_closed_connections(time));
    }
    match plan.store {
        Away::Not => {}
        Away::Down(_) => store.set_mode(store::Mode::Refusing),
        Away::Slow(by, _) => store.set_mode(store::Mode::Slow(by)),
    }
    if std::env::var_os(CONTROL).is_none() {
        daemons.kill_all();
    }
    engines.iter().take(MODELS.into()).for_each(|engine| engine.set_work(plan.work));
    task::sleep(plan.down).await;
    if plan.replaced > 0 {
        daemons.replace(|n| n % 10 < plan.replaced);
    }
    if plan.removed > 0 {
        daemons.remove(|n| n % 10 >= 10 - plan.removed);
    }
    let held = hold_ports(plan, daemons).await;
    load.is_hasty.store(plan.is_hasty, Ordering::SeqCst);
    *load.factor.lock().unwrap() = plan.burst;
    daemons.start_all();
    let started = Instant::now();
    if let Away::Down(time) | Away::Slow(_, time) = plan.store {
        task::sleep(time).await;
        store.set_mode(store::Mode::Up);
    }
    let store_returned = Instant::now();
    if let Some(time) = plan.held_ports {
        task::sleep(time.saturating_sub(started.elapsed())).await;
        drop(held);
    }
    match plan.store {
        Away::Not => started + plan.held_ports.unwrap_or_default(),
        _ => store_returned.max(started + plan.held_ports.unwrap_or_default()),
    }
}

/// Holds a port of every fifth machine for somebody else.
async fn hold_ports(plan: &Plan, daemons: &Daemons) -> Vec<TcpListener> {
    let mut held = Vec::new();
    if plan.held_ports.is_some() {
        for address in daemons.peer_addresses().into_iter().step_by(5) {
            held.push(TcpListener::bind(address).await.unwrap());
        }
    }
    held
}

/// Lets so many processes run at a time, in turn, until told to stop.
async fn limit_processor(daemons: Daemons, running: usize, stop: Arc<AtomicBool>) {
    let parts = usize::from(INSTANCES).div_ceil(running);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        daemons.signal_part(Signal::STOP, n % parts, parts);
        daemons.signal_part(Signal::CONT, (n + 1) % parts, parts);
        task::sleep(SLICE).await;
    }
    (0..parts).for_each(|part| daemons.signal_part(Signal::CONT, part, parts));
}

fn judge(seed: u64, plan: &Plan, load: &Load, killed: Instant, returned: Instant) -> Vec<String> {
    let kinds = [Some(DRAFT), Some(ONCE), Some(POST), None];
    let mut broken = Vec::new();
    let second = Duration::from_secs(1);
    let seconds = (returned - killed + RECOVERY + WINDOW).as_secs() as u32;
    let by_second = |kind: Kind| {
        let shares = (0..seconds).map(|s| {
            let from = killed + second * s;
            format!("{:.2}", load.served(Some(kind), from, from + second).0)
        });
        shares.collect::<Vec<_>>().join(" ")
    };
    println!(
        "seed {seed}: returned {:?} after the end; draft by seconds after the end: {}",
        returned - killed,
        by_second(DRAFT)
    );
    for kind in kinds {
        let (before, n) = load.served(kind, killed - JUDGED_CALM - second, killed - second);
        let name = kind.map_or("all", |kind| kind.name);
        let soon = load.served(kind, returned + SOON, returned + SOON + WINDOW);
        let late = load.served(kind, returned + RECOVERY, returned + RECOVERY + WINDOW);
        println!(
            "seed {seed}: {name}: {before:.2} of {n} before, {:.2} of {} soon, {:.2} of {} late",
            soon.0, soon.1, late.0, late.1
        );
        if n == 0 {
            continue;
        }
        if plan.is_well() && before < OWN_SHARE {
            broken.push(format!("seed {seed}: {before:.2} of {name} are served before"));
        }
        if kind.is_none() && before >= USERS_SHARE && late.0 < USERS_SHARE {
            broken.push(format!("seed {seed}: {:.2} of all are served late", late.0));
        }
        if plan.is_late_judged && late.0 < OWN_SHARE * before {
            let what = format!("{:.2} of {name} are served late, {before:.2} before", late.0);
            broken.push(format!("seed {seed}: {what}"));
        }
        if plan.is_well() && soon.0 < OWN_SHARE * before {
            let what = format!("{:.2} of {name} are served soon, {before:.2} before", soon.0);
            broken.push(format!("seed {seed}: {what}"));
        }
    }
    broken
}

/// Routes of the plays in which there are only these.
pub const KINDS: [Kind; 4] = [DRAFT, ONCE, STREAM, POST];

/// A client account; quotas are in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    pub per_s: f64,
    pub burst: f64,
}

impl Account {
    pub fn unlimited() -> Account {
        Account { per_s: 0.0, burst: 0.0 }
    }
}

/// The operator's configuration.
pub fn config(version: u64, kinds: &[Kind], accounts: &[Account]) -> serde_json::Value {
    let route = |kind: &Kind| {
        json!({
            "name": kind.name, "host": "desk.example", "path_prefix": format!("/{}/", kind.name),
            "kind": kind.route_kind(), "timeout_ms": kind.deadline.as_millis() as u64,
            "target_latency_ms": kind.objective.as_millis() as u64, "priority": kind.priority,
            "service": kind.service, "max_attempts": kind.attempts, "public": false,
            "sticky": kind.prompt.is_some(), "resumable": false,
        })
    };
    let service = |name: &str, connections: u32| {
        json!({
            "name": name, "health_path": "/healthz", "max_conns": connections, "protocol": "h1",
            "tls": false,
        })
    };
    let account = |(n, account): (usize, &Account)| {
        json!({
            "name": format!("account-{n}"), "api_keys": [key_of(n)], "priority": 1,
            "unit": "token_count", "plain_tokens": 200, "rate_per_s": account.per_s,
            "burst": account.burst,
        })
    };
    json!({
        "version": version,
        "routes": kinds.iter().map(route).collect::<Vec<_>>(),
        "services": [service("models", 1294), service("ledger", 879)],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": accounts.iter().enumerate().map(account).collect::<Vec<_>>(),
    })
}
