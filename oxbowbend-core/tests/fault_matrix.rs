//! Every fault at every step of the protocol between instances, enumerated, and pairs of them.
//!
//! The table is printed into `docs/FAULT-MATRIX.md`; with `OXBOW_UPDATE_DOCS` set the page is
//! written, otherwise it must be up to date.

mod harness;

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use harness::{request_info, topology, Cluster, Delivery, Envelope, Fault, RequestOutcome};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::message::{Message, PermitKey};

type Matches = fn(&Envelope) -> bool;

/// Steps: messages at whose first delivery the fault strikes.
const STEPS: [(&str, Matches); 22] = [
    ("enqueue", |e| matches!(e.message, Message::Enqueue(_))),
    ("report", |e| matches!(e.message, Message::Snapshot { .. })),
    ("offer", |e| matches!(e.message, Message::Offer(_))),
    ("grant to account owner", |e| grant_to(e, 0)),
    ("grant to slot owner", |e| grant_to(e, 1)),
    ("grant to entry", |e| grant_to(e, 2)),
    ("taken", |e| matches!(e.message, Message::Accepted { .. })),
    ("used", |e| matches!(e.message, Message::InUse { .. })),
    ("denied", |e| matches!(e.message, Message::Denied { .. })),
    ("done", |e| matches!(e.message, Message::Done { .. })),
    ("release of account", |e| release_of(e, false)),
    ("release of slot", |e| release_of(e, true)),
    ("inquire", |e| matches!(e.message, Message::QueryUsage { .. })),
    ("not used", |e| matches!(e.message, Message::NotInUse { .. })),
    ("refuse", |e| matches!(e.message, Message::Refuse { .. })),
    ("withdraw", |e| matches!(e.message, Message::Withdraw { .. })),
    ("floor", |e| matches!(e.message, Message::ShedThreshold { .. })),
    ("beat", |e| matches!(e.message, Message::Heartbeat { .. })),
    ("beat ack", |e| matches!(e.message, Message::HeartbeatAck { .. })),
    ("claim", |e| matches!(e.message, Message::Claim { .. })),
    ("claim reply", |e| matches!(e.message, Message::ClaimReply { .. })),
    ("leaving", |e| matches!(e.message, Message::Leaving)),
];

/// Faults that can strike a message's sender, receiver, link or the message itself.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    KillSender,
    KillReceiver,
    FreezeSender,
    FreezeReceiver,
    FreezeSenderLong,
    FreezeReceiverLong,
    Partition,
    CutForth,
    CutBack,
    Drop,
    Duplicate,
    Late,
    StaleListThenKill,
}

const FAULTS: [(&str, Kind); 13] = [
    ("kill sender", Kind::KillSender),
    ("kill receiver", Kind::KillReceiver),
    ("freeze sender 2 s", Kind::FreezeSender),
    ("freeze receiver 2 s", Kind::FreezeReceiver),
    ("freeze sender, dropped from list, wake", Kind::FreezeSenderLong),
    ("freeze receiver, dropped from list, wake", Kind::FreezeReceiverLong),
    ("cut 8 s", Kind::Partition),
    ("one-way cut forth 8 s", Kind::CutForth),
    ("one-way cut back 8 s", Kind::CutBack),
    ("lose", Kind::Drop),
    ("deliver twice", Kind::Duplicate),
    ("deliver 4 s late", Kind::Late),
    ("stale list at sender, kill receiver", Kind::StaleListThenKill),
];

fn grant_to(e: &Envelope, hops_done: usize) -> bool {
    let Message::Grant(grant) = &e.message else { return false };
    // Grants within one instance never reach the queue, so each hop is told by what is reserved.
    grant.hops.iter().filter(|h| h.index.is_some()).count() == hops_done
}

fn release_of(e: &Envelope, slot: bool) -> bool {
    let Message::Release { key, .. } = &e.message else { return false };
    matches!(key, PermitKey::Endpoint(_)) == slot
}

type Plan = (usize, Kind);

/// Which instances were struck, to be woken or dropped from the list later.
#[derive(Clone, Default)]
struct Struck {
    crashed: Vec<InstanceId>,
    paused: Vec<InstanceId>,
    dropped: Vec<InstanceId>,
    stale: Vec<InstanceId>,
}

fn strike(kind: Kind, e: &Envelope, struck: &mut Struck, faults: &mut Vec<Fault>) -> Delivery {
    let (from, to) = (e.from.clone(), e.to.clone());
    match kind {
        Kind::KillSender => {
            struck.crashed.push(from.clone());
            faults.push(Fault::Crash(from));
        }
        Kind::KillReceiver => {
            struck.crashed.push(to.clone());
            faults.push(Fault::Crash(to));
        }
        Kind::FreezeSender | Kind::FreezeSenderLong => {
            struck.paused.push(from.clone());
            if kind == Kind::FreezeSenderLong {
                struck.dropped.push(from.clone());
            }
            faults.push(Fault::Pause(from));
        }
        Kind::FreezeReceiver | Kind::FreezeReceiverLong => {
            struck.paused.push(to.clone());
            if kind == Kind::FreezeReceiverLong {
                struck.dropped.push(to.clone());
            }
            faults.push(Fault::Pause(to));
        }
        Kind::Partition => {
            faults.push(Fault::Partition(from.clone(), to.clone()));
            faults.push(Fault::Partition(to, from));
        }
        Kind::CutForth => faults.push(Fault::Partition(from, to)),
        Kind::CutBack => faults.push(Fault::Partition(to, from)),
        Kind::Drop => return Delivery::Drop,
        Kind::Duplicate => return Delivery::Duplicate,
        Kind::Late => return Delivery::Delay,
        Kind::StaleListThenKill => {
            struck.stale.push(from);
            struck.crashed.push(to.clone());
            faults.push(Fault::Crash(to));
        }
    }
    Delivery::Deliver
}

enum Outcome {
    Held,
    NotReached,
    Broken(Vec<String>),
}

/// Plays one history: a burst that overfills the queue, an instance that joins, one that leaves,
/// and the faults at their steps.
fn play(plans: &[Plan]) -> Outcome {
    let mut topology = topology(&[("e1", 3), ("e2", 2)], Some(4));
    topology.pools.get_mut(harness::POOL).expect("the pool is there").queue_bound = 6;
    let mut cluster = Cluster::new(&["a", "b", "c"], topology);
    let struck = Rc::new(RefCell::new(Struck::default()));
    let hits = Rc::new(Cell::new(0));
    let (seen, counted) = (struck.clone(), hits.clone());
    let plans = plans.to_vec();
    let total = plans.len();
    cluster.filter = Some(Box::new(move |e, faults| {
        let next = counted.get();
        match plans.get(next) {
            Some((step, kind)) if STEPS[*step].1(e) => {
                counted.set(next + 1);
                strike(*kind, e, &mut seen.borrow_mut(), faults)
            }
            _ => Delivery::Deliver,
        }
    }));
    load(&mut cluster, "x");
    cluster.advance(Duration::from_millis(700));
    cluster.join("d");
    load(&mut cluster, "y");
    cluster.advance(Duration::from_millis(1000));
    cluster.feed(&"b".into(), oxbowbend_core::node::Event::Drain);
    cluster.advance(Duration::from_millis(300));
    recover(&mut cluster, &struck);
    if hits.get() < total {
        return Outcome::NotReached;
    }
    final_checks(&mut cluster, &struck.borrow());
    if cluster.violations.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken(cluster.violations)
    }
}

fn load(cluster: &mut Cluster, name: &str) {
    for n in 0..18 {
        let ingress = ["a", "b", "c"][n % 3];
        if cluster.is_up(ingress) {
            cluster.submit(ingress, request_info(&format!("{name}{n}"), 2 - (n / 6) as u8));
        }
    }
}

fn recover(cluster: &mut Cluster, struck: &RefCell<Struck>) {
    // Faults may still strike in here, so what was struck is looked up anew at each stage.
    let now = || struck.borrow().clone();
    cluster.stale_lists.extend(now().stale);
    cluster.advance(Duration::from_secs(2));
    let Struck { paused, dropped, .. } = now();
    for id in paused.iter().filter(|id| !dropped.contains(id)) {
        cluster.resume(id);
    }
    cluster.advance(Duration::from_secs(2));
    cluster.deliver_delayed();
    cluster.advance(Duration::from_secs(4));
    cluster.heal();
    cluster.advance(Duration::from_secs(2));
    // From here on no further fault strikes.
    cluster.filter = None;
    let Struck { crashed, paused, dropped, .. } = now();
    for id in crashed.iter().chain(&dropped) {
        cluster.remove_from_list(id);
    }
    cluster.advance(Duration::from_secs(5));
    for id in &paused {
        cluster.resume(id);
    }
    cluster.advance(Duration::from_secs(2));
    for id in &dropped {
        if cluster.is_up(id) {
            cluster.add_to_list(id);
        }
    }
    cluster.stale_lists.clear();
    cluster.heal();
    cluster.advance(Duration::from_secs(10));
}

/// After everything has healed, nothing may be left open and no capacity lost.
fn final_checks(cluster: &mut Cluster, struck: &Struck) {
    cluster.advance(harness::setup::MAX_RUN + Duration::from_secs(10));
    let open: Vec<_> =
        cluster.outcomes.iter().filter(|(_, f)| **f == RequestOutcome::Pending).collect();
    if !open.is_empty() {
        let found = format!("never answered: {open:?}");
        cluster.violations.push(found);
    }
    let survivors = ["a", "c", "d"];
    let survivor = survivors.iter().find(|s| !struck.crashed.contains(&(**s).into()));
    let free: Vec<u32> = cluster.free_permits().into_values().collect();
    if free != [4, 3, 2] {
        cluster.violations.push(format!("permits free at the end: {:?}", cluster.free_permits()));
    }
    if let Some(survivor) = survivor {
        cluster.submit(survivor, request_info("last", 0));
        cluster.advance(Duration::from_secs(3));
        if cluster.outcomes["last"] != RequestOutcome::Completed {
            cluster.violations.push(format!("the last request is {:?}", cluster.outcomes["last"]));
        }
    }
}

/// Plays every history on several threads and returns the results in order.
fn play_all(plans: &[Vec<Plan>]) -> Vec<Outcome> {
    let next = Mutex::new(0);
    let results: Mutex<Vec<Option<Outcome>>> = Mutex::new(plans.iter().map(|_| None).collect());
    let work = || loop {
        let at = {
            let mut next = next.lock().expect("no panic under lock");
            *next += 1;
            *next - 1
        };
        let Some(plan) = plans.get(at) else { return };
        let cell = play(plan);
        results.lock().expect("no panic under lock")[at] = Some(cell);
    };
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(work);
        }
    });
    let results = results.into_inner().expect("no panic under lock");
    results.into_iter().map(|r| r.expect("every history was played")).collect()
}

fn describe(plan: &[Plan]) -> String {
    let name = |(step, kind): &Plan| {
        let fault = FAULTS.iter().find(|f| f.1 == *kind).expect("faults are listed").0;
        format!("{fault} at {}", STEPS[*step].0)
    };
    plan.iter().map(name).collect::<Vec<_>>().join(", then ")
}

fn violations(plans: &[Vec<Plan>], cells: &[Outcome]) -> Vec<String> {
    let pairs = plans.iter().zip(cells);
    pairs
        .filter_map(|(plan, cell)| match cell {
            Outcome::Broken(why) => Some(format!("{}: {}", describe(plan), why.join("; "))),
            _ => None,
        })
        .collect()
}

#[test]
fn every_fault_at_every_step() {
    let mut plans = Vec::new();
    for step in 0..STEPS.len() {
        for (_, kind) in FAULTS {
            plans.push(plan_for(step, kind));
        }
    }
    let cells = play_all(&plans);
    let found = violations(&plans, &cells);
    assert!(found.is_empty(), "{} cells:\n{}", found.len(), found.join("\n"));
    check_page(&table(&cells));
}

/// An owner asks about a grant only if the entry has not answered, so a grant is lost first.
fn plan_for(step: usize, kind: Kind) -> Vec<Plan> {
    match STEPS[step].0 {
        "inquire" | "not used" => vec![(5, Kind::Drop), (step, kind)],
        _ => vec![(step, kind)],
    }
}

/// Pairs of the faults that take an instance or a link away, at the steps that move permits.
#[test]
fn pairs_of_faults() {
    let steps = [1, 4, 5, 9, 11, 19, 20];
    let kinds = [
        Kind::KillSender,
        Kind::KillReceiver,
        Kind::FreezeSenderLong,
        Kind::FreezeReceiverLong,
        Kind::Partition,
        Kind::CutBack,
        Kind::Late,
        Kind::StaleListThenKill,
    ];
    let singles: Vec<Plan> = steps.iter().flat_map(|s| kinds.iter().map(|k| (*s, *k))).collect();
    let pairs = singles.iter().flat_map(|a| singles.iter().map(|b| vec![*a, *b]));
    let plans: Vec<Vec<Plan>> = pairs.collect();
    let cells = play_all(&plans);
    let found = violations(&plans, &cells);
    let some: Vec<_> = found.iter().take(10).cloned().collect();
    assert!(found.is_empty(), "{} pairs:\n{}", found.len(), some.join("\n"));
}

fn table(cells: &[Outcome]) -> String {
    let mut text = String::from(
        "# Fault matrix\n\nEvery fault at the first delivery of every message between instances, \
         in a history with a burst\nthat overfills the queue, an instance that joins and one that \
         leaves. *held*: at no instant did a\nlimit break, no request ran twice or after a \
         refusal, nothing was shed while a lower tier was kept,\nevery request got its answer, and \
         all capacity came back. *-*: the message does not occur after\nthe fault. Written by \
         `OXBOW_UPDATE_DOCS=1 cargo test -p oxbowbend-core --test fault_matrix`.\n\n| step |",
    );
    for (name, _) in FAULTS {
        write!(text, " {name} |").expect("strings take text");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(FAULTS.len()));
    for (row, (step, _)) in cells.chunks(FAULTS.len()).zip(STEPS) {
        write!(text, "\n| {step} |").expect("strings take text");
        for cell in row {
            text.push_str(match cell {
                Outcome::Held => " held |",
                Outcome::NotReached => " - |",
                Outcome::Broken(_) => " not proved |",
            });
        }
    }
    text.push('\n');
    text
}

fn check_page(text: &str) {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/FAULT-MATRIX.md");
    if std::env::var_os("OXBOW_UPDATE_DOCS").is_some() {
        std::fs::write(page, text).expect("the page can be written");
    }
    let written = std::fs::read_to_string(page).unwrap_or_default();
    assert!(written == text, "docs/FAULT-MATRIX.md is out of date");
}
