//! One play: a part of the instances has no path to any endpoint for a while, also while the store is away.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;

use crate::callers::{Kind, Load, POST, STREAM};
use crate::daemons::{Daemons, Net, Processors};
use crate::growth::{apps, models, per_s, APP_WORK, LAST_STREAMS, STREAM_WORK, WARM_UP};
use crate::paths::{Manner, Paths};
use crate::play::{
    config, start_engines, Account, APPS, APP_SLOTS, FIRST_START, INSTANCES, KINDS, MODELS,
    MODEL_SLOTS,
};
use crate::store::{self, Store};

/// Length of a cut.
const CUT: Duration = Duration::from_secs(10);
/// Time after the beginning of a cut from which on callers are owed answers, the users' `contact_ms`.
const CONTACT: Duration = Duration::from_secs(4);

/// How a fleet is cut off.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub manner: Manner,
    /// Tenths of the instances that are cut off.
    pub tenths: u8,
    /// What the store does in the cut, if it is away.
    pub store: Option<store::Mode>,
    /// Part of the slots that the load takes.
    pub share: f64,
    /// Processors that all instances share; all if `None`.
    pub processors: Option<Processors>,
}

const SILENT: Plan =
    Plan { manner: Manner::Silent, tenths: 5, store: None, share: 0.6, processors: None };
const RESET: Plan = Plan { manner: Manner::Reset, ..SILENT };
const FEW: Option<Processors> = Some(Processors { first: 4, count: 2 });

/// Cuts that can be played.
pub const PLANS: [Plan; 10] = [
    SILENT,
    Plan { store: Some(store::Mode::Refusing), ..SILENT },
    Plan { tenths: 7, store: Some(store::Mode::Refusing), ..SILENT },
    Plan { tenths: 2, store: Some(store::Mode::Refusing), ..SILENT },
    RESET,
    Plan { store: Some(store::Mode::Refusing), ..RESET },
    Plan { tenths: 7, store: Some(store::Mode::Refusing), ..RESET },
    Plan { tenths: 2, store: Some(store::Mode::Refusing), ..RESET },
    Plan { store: Some(store::Mode::Refusing), processors: FEW, share: 0.3, ..SILENT },
    Plan { store: Some(store::Mode::Refusing), processors: FEW, share: 0.3, ..RESET },
];

/// Plays a cut; returns what was not as it must be.
pub async fn play(seed: u64, plan: Plan) -> Vec<String> {
    let net = Net::of(seed);
    let listener = TcpListener::bind((net.ip(0, 225), 0)).await.unwrap();
    let store_address = store::address(&listener);
    let store = Store::start(listener).await;
    store.put("op/config", &config(1, &KINDS, &[Account::unlimited()]));
    let paths = Paths::default();
    let _engines = start_engines(net, models(), apps(), &store, &paths).await;
    let daemons = Daemons::launch(net, INSTANCES, store_address, plan.processors);
    if !daemons.ready(FIRST_START).await {
        daemons.end();
        return vec![format!("seed {seed}: the daemons are not ready at first")];
    }
    let load = Load::new(daemons.clone(), seed, 1);
    let streams = per_s(MODELS, MODEL_SLOTS, STREAM_WORK) * plan.share;
    load.send(STREAM, streams);
    load.send(POST, per_s(APPS, APP_SLOTS, APP_WORK) * plan.share);
    task::sleep(WARM_UP + LAST_STREAMS).await;
    let began = Instant::now();
    let processes = daemons.processes();
    let is_cut = |n: &usize| (n * 7 % 10) < usize::from(plan.tenths);
    let cut: HashSet<usize> = (0..processes.len()).filter(is_cut).collect();
    let there: HashSet<SocketAddr> = cut.iter().map(|n| processes[*n].0).collect();
    if let Some(mode) = plan.store {
        store.set_mode(mode);
    }
    paths.cut(plan.manner, processes.iter().map(|(_, pid)| *pid).collect(), cut).await;
    task::sleep(CUT).await;
    paths.mend();
    store.set_mode(store::Mode::Up);
    let mended = Instant::now();
    task::sleep(LAST_STREAMS).await;
    load.stop();
    task::sleep(STREAM_WORK).await;
    let broken = judge(seed, plan, &load, (began, mended), |machine| there.contains(&machine));
    daemons.end();
    broken
}

/// The users' rule: tries there are served less than two thirds as often as those at the others, and more than 10 and 1
/// in 50 of all fail there.
fn are_let_down([there, others]: [(usize, usize); 2]) -> bool {
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let failed = (there.1 - there.0) as f64;
    share(there) < share(others) * 2.0 / 3.0 && failed > 10.0 + (there.1 + others.1) as f64 / 50.0
}

fn judge(
    seed: u64,
    plan: Plan,
    load: &Load,
    (began, mended): (Instant, Instant),
    is_there: impl Fn(SocketAddr) -> bool + Copy,
) -> Vec<String> {
    let second = Duration::from_secs(1);
    for s in 0..(mended - began + LAST_STREAMS).as_secs() as u32 {
        let from = began + second * s;
        println!("seed {seed}: {s} s: {:?}", load.first_tries(from, from + second, is_there));
    }
    for kind in [STREAM, POST] {
        let Kind { name, .. } = kind;
        let before = load.served(Some(kind), began - second * 3, began - second);
        let cut = load.served(Some(kind), began + CONTACT, mended);
        println!("seed {seed}: {name} {before:.2?} before, {cut:.2?} in the cut");
    }
    let statuses = load.first_statuses(began + CONTACT, mended, is_there);
    let others = load.first_statuses(began + CONTACT, mended, |machine| !is_there(machine));
    println!("seed {seed}: {plan:?}: there {statuses:?}, others {others:?}");
    let owed = load.first_tries(began + CONTACT, mended, is_there);
    match are_let_down(owed) {
        true => vec![format!("seed {seed}: {plan:?}: served there and at the others {owed:?}")],
        false => Vec::new(),
    }
}
