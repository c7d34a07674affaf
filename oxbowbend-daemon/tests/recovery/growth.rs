//! One play: a fleet under load whose size goes on changing, one instance after the other, with streams that last for
//! seconds and a service of few endpoints.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use rustix::process::Signal;

use crate::callers::{Kind, Load, POST, STREAM};
use crate::daemons::{Daemons, Net};
use crate::engines::{self, Engine, Usage};
use crate::paths::Paths;
use crate::play::{
    config, start_engines, Account, APPS, APP_SLOTS, FIRST_START, INSTANCES, KINDS, MODELS,
    MODEL_SLOTS, OWN_SHARE, RECOVERY, SOON, USERS_SHARE, WINDOW,
};
use crate::store::{self, Store};

/// How the fleet changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Growth {
    /// All end; half are back at once, the others one after the other when the entries of the dead have lapsed.
    HalfThenRest,
    /// All end and come back under other names, one after the other.
    OtherNames,
    /// An availability zone ends and comes back, one instance after the other.
    Zone,
    /// All are told to stop and started again, one after the other.
    Roll,
}

/// Mean length of a stream, and the time between its events.
pub const STREAM_WORK: Duration = Duration::from_secs(3);
const EVENT_GAP: Duration = Duration::from_millis(250);
pub const APP_WORK: Duration = Duration::from_millis(60);
/// Part of the slots of each service that the load takes.
const SHARE: f64 = 0.7;
/// Requests that may wait at an endpoint.
const QUEUE: usize = 4;
/// Time in which the streams become as many as later, and calm that is judged.
pub const WARM_UP: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(5);
/// Time in which the last streams of the calm end.
pub const LAST_STREAMS: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(900);
/// Time after which the entries of the dead have lapsed.
const LAPSE: Duration = Duration::from_secs(17);
/// Time between two joins.
const JOIN_GAP: Duration = Duration::from_millis(300);

/// Plays a change; returns what was not as it must be.
pub async fn play(seed: u64, growth: Growth) -> Vec<String> {
    let net = Net::of(seed);
    let listener = TcpListener::bind((net.ip(0, 225), 0)).await.unwrap();
    let store_address = store::address(&listener);
    let store = Store::start(listener).await;
    store.put("op/config", &config(1, &KINDS, &[Account::unlimited()]));
    let engines = start_engines(net, models(), apps(), &store, &Paths::default()).await;
    let daemons = Daemons::launch(net, INSTANCES, store_address, None);
    if !daemons.ready(FIRST_START).await {
        daemons.end();
        return vec![format!("seed {seed}: the daemons are not ready at first")];
    }
    let load = Load::new(daemons.clone(), seed, 1);
    load.send(STREAM, per_s(MODELS, MODEL_SLOTS, STREAM_WORK));
    load.send(POST, per_s(APPS, APP_SLOTS, APP_WORK));
    task::sleep(WARM_UP + CALM + LAST_STREAMS).await;
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    task::spawn(print_usage(seed, engines.clone(), began, stop.clone()));
    let judged_from = began + change(growth, &daemons, began).await;
    let returned = Instant::now();
    task::sleep(RECOVERY + WINDOW).await;
    // The last streams end.
    task::sleep(LAST_STREAMS).await;
    load.stop();
    stop.store(true, Ordering::SeqCst);
    let broken = judge(seed, &load, began, judged_from, returned);
    daemons.end();
    broken
}

pub fn models() -> engines::Kind {
    engines::Kind {
        service: "models",
        slots: MODEL_SLOTS,
        connections: 1294,
        work: STREAM_WORK,
        queue: QUEUE,
        event_gap: Some(EVENT_GAP),
    }
}

pub fn apps() -> engines::Kind {
    engines::Kind {
        service: "ledger",
        slots: APP_SLOTS,
        connections: 879,
        work: APP_WORK,
        queue: QUEUE,
        event_gap: None,
    }
}

pub fn per_s(endpoints: u8, slots: u32, work: Duration) -> f64 {
    f64::from(endpoints) * f64::from(slots) / work.as_secs_f64() * SHARE
}

/// Changes the fleet; returns the time after the beginning from which on all is to be served.
async fn change(growth: Growth, daemons: &Daemons, began: Instant) -> Duration {
    let until_lapse = || LAPSE.saturating_sub(began.elapsed());
    match growth {
        Growth::HalfThenRest => {
            daemons.kill_all();
            task::sleep(DOWN).await;
            daemons.start(|n| n % 2 == 0);
            task::sleep(until_lapse()).await;
            join(daemons, |n| n % 2 == 1).await;
            LAPSE + SOON
        }
        Growth::OtherNames => {
            daemons.kill_all();
            daemons.replace(|_| true);
            task::sleep(DOWN).await;
            join(daemons, |_| true).await;
            LAPSE + SOON
        }
        Growth::Zone => {
            daemons.kill(|n| n % 3 == 0);
            task::sleep(until_lapse()).await;
            join(daemons, |n| n % 3 == 0).await;
            SOON
        }
        Growth::Roll => {
            for n in 1..=INSTANCES {
                daemons.signal(Signal::TERM, |other| other == n);
                task::sleep(JOIN_GAP).await;
            }
            SOON
        }
    }
}

/// Starts some machines one after the other.
async fn join(daemons: &Daemons, is_meant: impl Fn(u8) -> bool) {
    for n in (1..=INSTANCES).filter(|n| is_meant(*n)) {
        daemons.start(|other| other == n);
        task::sleep(JOIN_GAP).await;
    }
}

/// Prints every second what the endpoints of both services do.
async fn print_usage(seed: u64, engines: Vec<Engine>, began: Instant, stop: Arc<AtomicBool>) {
    let sum = |engines: &[Engine]| {
        engines.iter().map(Engine::usage).fold(Usage::default(), |sum, usage| Usage {
            running: sum.running + usage.running,
            waiting: sum.waiting + usage.waiting,
            rejected: sum.rejected + usage.rejected,
        })
    };
    let (models, apps) = engines.split_at(MODELS.into());
    while !stop.load(Ordering::SeqCst) {
        let s = began.elapsed().as_secs();
        println!("seed {seed}: {s} s: models {:?}, ledger {:?}", sum(models), sum(apps));
        task::sleep(Duration::from_secs(1)).await;
    }
}

fn judge(
    seed: u64,
    load: &Load,
    began: Instant,
    judged_from: Instant,
    returned: Instant,
) -> Vec<String> {
    let second = Duration::from_secs(1);
    let end = returned + RECOVERY + WINDOW;
    let seconds = |from: Instant, to: Instant| {
        std::iter::successors(Some(from), move |at| Some(*at + second))
            .take_while(move |at| *at < to)
    };
    let mut broken = Vec::new();
    type Share = fn(&Load, Option<Kind>, Instant, Instant) -> (f64, usize);
    for (how, share_of) in [("served", Load::served as Share), ("in time", Load::in_time)] {
        for kind in [STREAM, POST] {
            let name = kind.name;
            let share =
                |from: Instant, time: Duration| share_of(load, Some(kind), from, from + time).0;
            let before = share(began - LAST_STREAMS - CALM, CALM);
            let by_second: Vec<_> =
                seconds(began, end).map(|at| format!("{:.2}", share(at, second))).collect();
            println!(
                "seed {seed}: {name} {how}: {before:.2} before; by second {}",
                by_second.join(" ")
            );
            if before < OWN_SHARE {
                broken.push(format!("seed {seed}: {before:.2} of {name} are {how} before"));
            }
            for at in seconds(judged_from, end - WINDOW) {
                let (after, share) = (at - began, share(at, WINDOW));
                if share < OWN_SHARE * before {
                    let what = format!("{share:.2} of {name} are {how}, {before:.2} before");
                    broken.push(format!("seed {seed}: {what}, in 5 s from {after:.0?} on"));
                }
            }
        }
    }
    let late = load.served(None, returned + RECOVERY, end).0;
    if late < USERS_SHARE {
        broken.push(format!("seed {seed}: {late:.2} of all are served late"));
    }
    broken
}
