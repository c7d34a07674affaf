//! Every fault at every step of the protocol between instances, and pairs of faults.
//!
//! The results must match the table in `docs/FAULT-MATRIX.md`. With `OXBOW_UPDATE_DOCS` set, the
//! table is written first.

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

/// Protocol steps. A fault is injected at the first delivery of a matching message.
const STEPS: [(&str, Matches); 22] = [
    ("enqueue", |e| matches!(e.message, Message::Enqueue(_))),
    ("snapshot", |e| matches!(e.message, Message::Snapshot { .. })),
    ("offer", |e| matches!(e.message, Message::Offer(_))),
    ("grant to account owner", |e| grant_to(e, 0)),
    ("grant to slot owner", |e| grant_to(e, 1)),
    ("grant to ingress instance", |e| grant_to(e, 2)),
    ("accepted", |e| matches!(e.message, Message::Accepted { .. })),
    ("in use", |e| matches!(e.message, Message::InUse { .. })),
    ("denied", |e| matches!(e.message, Message::Denied { .. })),
    ("done", |e| matches!(e.message, Message::Done { .. })),
    ("release of account", |e| release_of(e, false)),
    ("release of slot", |e| release_of(e, true)),
    ("usage query", |e| matches!(e.message, Message::QueryUsage { .. })),
    ("not in use", |e| matches!(e.message, Message::NotInUse { .. })),
    ("refuse", |e| matches!(e.message, Message::Refuse { .. })),
    ("withdraw", |e| matches!(e.message, Message::Withdraw { .. })),
    ("shed threshold", |e| matches!(e.message, Message::ShedThreshold { .. })),
    ("heartbeat", |e| matches!(e.message, Message::Heartbeat { .. })),
    ("heartbeat ack", |e| matches!(e.message, Message::HeartbeatAck { .. })),
    ("claim", |e| matches!(e.message, Message::Claim { .. })),
    ("claim reply", |e| matches!(e.message, Message::ClaimReply { .. })),
    ("leaving", |e| matches!(e.message, Message::Leaving)),
];

/// Faults of a message, its sender, its receiver or the link between them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultKind {
    CrashSender,
    CrashReceiver,
    PauseSender,
    PauseReceiver,
    PauseSenderLong,
    PauseReceiverLong,
    Partition,
    PartitionForward,
    PartitionBackward,
    Drop,
    Duplicate,
    Delay,
    StaleListThenCrash,
}

const FAULTS: [(&str, FaultKind); 13] = [
    ("crash sender", FaultKind::CrashSender),
    ("crash receiver", FaultKind::CrashReceiver),
    ("pause sender 2 s", FaultKind::PauseSender),
    ("pause receiver 2 s", FaultKind::PauseReceiver),
    ("pause sender, remove it from the list, resume", FaultKind::PauseSenderLong),
    ("pause receiver, remove it from the list, resume", FaultKind::PauseReceiverLong),
    ("partition 8 s", FaultKind::Partition),
    ("one-way partition to receiver 8 s", FaultKind::PartitionForward),
    ("one-way partition to sender 8 s", FaultKind::PartitionBackward),
    ("drop", FaultKind::Drop),
    ("duplicate", FaultKind::Duplicate),
    ("delay 4 s", FaultKind::Delay),
    ("stale list at sender, crash receiver", FaultKind::StaleListThenCrash),
];

fn grant_to(e: &Envelope, hops_done: usize) -> bool {
    let Message::Grant(grant) = &e.message else { return false };
    // Grants within one instance are not messages, so the step is told by the reserved permits.
    grant.hops.iter().filter(|h| h.index.is_some()).count() == hops_done
}

fn release_of(e: &Envelope, slot: bool) -> bool {
    let Message::Release { key, .. } = &e.message else { return false };
    matches!(key, PermitKey::Endpoint(_)) == slot
}

type Injection = (usize, FaultKind);

/// Instances with an injected fault, which are later resumed or removed from the list.
#[derive(Clone, Default)]
struct Affected {
    crashed: Vec<InstanceId>,
    paused: Vec<InstanceId>,
    delisted: Vec<InstanceId>,
    stale: Vec<InstanceId>,
}

fn inject(
    kind: FaultKind,
    e: &Envelope,
    affected: &mut Affected,
    faults: &mut Vec<Fault>,
) -> Delivery {
    let (from, to) = (e.from.clone(), e.to.clone());
    match kind {
        FaultKind::CrashSender => {
            affected.crashed.push(from.clone());
            faults.push(Fault::Crash(from));
        }
        FaultKind::CrashReceiver => {
            affected.crashed.push(to.clone());
            faults.push(Fault::Crash(to));
        }
        FaultKind::PauseSender | FaultKind::PauseSenderLong => {
            affected.paused.push(from.clone());
            if kind == FaultKind::PauseSenderLong {
                affected.delisted.push(from.clone());
            }
            faults.push(Fault::Pause(from));
        }
        FaultKind::PauseReceiver | FaultKind::PauseReceiverLong => {
            affected.paused.push(to.clone());
            if kind == FaultKind::PauseReceiverLong {
                affected.delisted.push(to.clone());
            }
            faults.push(Fault::Pause(to));
        }
        FaultKind::Partition => {
            faults.push(Fault::Partition(from.clone(), to.clone()));
            faults.push(Fault::Partition(to, from));
        }
        FaultKind::PartitionForward => faults.push(Fault::Partition(from, to)),
        FaultKind::PartitionBackward => faults.push(Fault::Partition(to, from)),
        FaultKind::Drop => return Delivery::Drop,
        FaultKind::Duplicate => return Delivery::Duplicate,
        FaultKind::Delay => return Delivery::Delay,
        FaultKind::StaleListThenCrash => {
            affected.stale.push(from);
            affected.crashed.push(to.clone());
            faults.push(Fault::Crash(to));
        }
    }
    Delivery::Deliver
}

enum Outcome {
    Passed,
    NotReached,
    Failed(Vec<String>),
}

/// Runs one scenario: a burst that overfills the queue, an instance that joins, one that leaves,
/// and the faults at their steps.
fn run_scenario(injections: &[Injection]) -> Outcome {
    let mut topology = topology(&[("e1", 3), ("e2", 2)], Some(4));
    topology.pools.get_mut(harness::POOL).expect("the pool exists").queue_bound = 6;
    let mut cluster = Cluster::new(&["a", "b", "c"], topology);
    let affected = Rc::new(RefCell::new(Affected::default()));
    let injected = Rc::new(Cell::new(0));
    let (recorded, counter) = (affected.clone(), injected.clone());
    let injections = injections.to_vec();
    let total = injections.len();
    cluster.filter = Some(Box::new(move |e, faults| {
        let next = counter.get();
        match injections.get(next) {
            Some((step, kind)) if STEPS[*step].1(e) => {
                counter.set(next + 1);
                inject(*kind, e, &mut recorded.borrow_mut(), faults)
            }
            _ => Delivery::Deliver,
        }
    }));
    submit_burst(&mut cluster, "x");
    cluster.advance(Duration::from_millis(700));
    cluster.join("d");
    submit_burst(&mut cluster, "y");
    cluster.advance(Duration::from_millis(1000));
    cluster.feed(&"b".into(), oxbowbend_core::node::Event::Drain);
    cluster.advance(Duration::from_millis(300));
    recover(&mut cluster, &affected);
    if injected.get() < total {
        return Outcome::NotReached;
    }
    final_checks(&mut cluster, &affected.borrow());
    if cluster.violations.is_empty() {
        Outcome::Passed
    } else {
        Outcome::Failed(cluster.violations)
    }
}

fn submit_burst(cluster: &mut Cluster, name: &str) {
    for n in 0..18 {
        let ingress = ["a", "b", "c"][n % 3];
        if cluster.is_up(ingress) {
            cluster.submit(ingress, request_info(&format!("{name}{n}"), 2 - (n / 6) as u8));
        }
    }
}

fn recover(cluster: &mut Cluster, affected: &RefCell<Affected>) {
    // Faults may still be injected here, so the affected instances are read again at each stage.
    let current = || affected.borrow().clone();
    cluster.stale_lists.extend(current().stale);
    cluster.advance(Duration::from_secs(2));
    let Affected { paused, delisted, .. } = current();
    for id in paused.iter().filter(|id| !delisted.contains(id)) {
        cluster.resume(id);
    }
    cluster.advance(Duration::from_secs(2));
    cluster.deliver_delayed();
    cluster.advance(Duration::from_secs(4));
    cluster.heal();
    cluster.advance(Duration::from_secs(2));
    // No more faults are injected.
    cluster.filter = None;
    let Affected { crashed, paused, delisted, .. } = current();
    for id in crashed.iter().chain(&delisted) {
        cluster.remove_from_list(id);
    }
    cluster.advance(Duration::from_secs(5));
    for id in &paused {
        cluster.resume(id);
    }
    cluster.advance(Duration::from_secs(2));
    for id in &delisted {
        if cluster.is_up(id) {
            cluster.add_to_list(id);
        }
    }
    cluster.stale_lists.clear();
    cluster.heal();
    cluster.advance(Duration::from_secs(10));
}

/// Checks that every request has an outcome and that all permits are free again.
fn final_checks(cluster: &mut Cluster, affected: &Affected) {
    cluster.advance(harness::setup::MAX_RUN + Duration::from_secs(10));
    let open: Vec<_> =
        cluster.outcomes.iter().filter(|(_, f)| **f == RequestOutcome::Pending).collect();
    if !open.is_empty() {
        let found = format!("requests without an outcome: {open:?}");
        cluster.violations.push(found);
    }
    let survivors = ["a", "c", "d"];
    let survivor = survivors.iter().find(|s| !affected.crashed.contains(&(**s).into()));
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

/// Runs the scenarios on several threads; returns the outcomes in order.
fn run_all(scenarios: &[Vec<Injection>]) -> Vec<Outcome> {
    let next = Mutex::new(0);
    let results: Mutex<Vec<Option<Outcome>>> = Mutex::new(scenarios.iter().map(|_| None).collect());
    let work = || loop {
        let at = {
            let mut next = next.lock().expect("no panic under lock");
            *next += 1;
            *next - 1
        };
        let Some(injections) = scenarios.get(at) else { return };
        let outcome = run_scenario(injections);
        results.lock().expect("no panic under lock")[at] = Some(outcome);
    };
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(work);
        }
    });
    let results = results.into_inner().expect("no panic under lock");
    results.into_iter().map(|r| r.expect("every scenario was run")).collect()
}

fn describe(injections: &[Injection]) -> String {
    let name = |(step, kind): &Injection| {
        let fault = FAULTS.iter().find(|f| f.1 == *kind).expect("every fault is listed").0;
        format!("{fault} at {}", STEPS[*step].0)
    };
    injections.iter().map(name).collect::<Vec<_>>().join(", then ")
}

fn failures(scenarios: &[Vec<Injection>], outcomes: &[Outcome]) -> Vec<String> {
    let pairs = scenarios.iter().zip(outcomes);
    pairs
        .filter_map(|(injections, outcome)| match outcome {
            Outcome::Failed(why) => Some(format!("{}: {}", describe(injections), why.join("; "))),
            _ => None,
        })
        .collect()
}

#[test]
fn every_fault_at_every_step() {
    let mut scenarios = Vec::new();
    for step in 0..STEPS.len() {
        for (_, kind) in FAULTS {
            scenarios.push(injections_for(step, kind));
        }
    }
    let outcomes = run_all(&scenarios);
    let failed = failures(&scenarios, &outcomes);
    assert!(failed.is_empty(), "{} cells:\n{}", failed.len(), failed.join("\n"));
    check_page(&table(&outcomes));
}

/// Owners query the usage of a grant only if it was not confirmed, so a grant is dropped first.
fn injections_for(step: usize, kind: FaultKind) -> Vec<Injection> {
    match STEPS[step].0 {
        "usage query" | "not in use" => vec![(5, FaultKind::Drop), (step, kind)],
        _ => vec![(step, kind)],
    }
}

/// Pairs of faults of instances and links, at the steps that transfer permits.
#[test]
fn pairs_of_faults() {
    let steps = [1, 4, 5, 9, 11, 19, 20];
    let kinds = [
        FaultKind::CrashSender,
        FaultKind::CrashReceiver,
        FaultKind::PauseSenderLong,
        FaultKind::PauseReceiverLong,
        FaultKind::Partition,
        FaultKind::PartitionBackward,
        FaultKind::Delay,
        FaultKind::StaleListThenCrash,
    ];
    let singles: Vec<Injection> =
        steps.iter().flat_map(|s| kinds.iter().map(|k| (*s, *k))).collect();
    let pairs = singles.iter().flat_map(|a| singles.iter().map(|b| vec![*a, *b]));
    let scenarios: Vec<Vec<Injection>> = pairs.collect();
    let outcomes = run_all(&scenarios);
    let failed = failures(&scenarios, &outcomes);
    let first_few: Vec<_> = failed.iter().take(10).cloned().collect();
    assert!(failed.is_empty(), "{} pairs:\n{}", failed.len(), first_few.join("\n"));
}

fn table(outcomes: &[Outcome]) -> String {
    let mut text = String::from(
        "# Fault matrix\n\nEvery fault at the first delivery of every message between instances, \
         in a scenario with a burst\nthat overfills the queue, an instance that joins and one that \
         leaves. *passed*: no limit was ever\nexceeded, no request ran twice or after a refusal, \
         none was shed while one of a lower tier was kept,\nevery request had an outcome, and all \
         permits were free at the end. *-*: the message did not occur\nin the scenario. Written by \
         `OXBOW_UPDATE_DOCS=1 cargo test -p oxbowbend-core --test fault_matrix`.\n\n| step |",
    );
    for (name, _) in FAULTS {
        write!(text, " {name} |").expect("writing to a string cannot fail");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(FAULTS.len()));
    for (row, (step, _)) in outcomes.chunks(FAULTS.len()).zip(STEPS) {
        write!(text, "\n| {step} |").expect("writing to a string cannot fail");
        for outcome in row {
            text.push_str(match outcome {
                Outcome::Passed => " passed |",
                Outcome::NotReached => " - |",
                Outcome::Failed(_) => " failed |",
            });
        }
    }
    text.push('\n');
    text
}

fn check_page(text: &str) {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/FAULT-MATRIX.md");
    if std::env::var_os("OXBOW_UPDATE_DOCS").is_some() {
        std::fs::write(page, text).expect("the page is writable");
    }
    let written = std::fs::read_to_string(page).unwrap_or_default();
    assert!(written == text, "docs/FAULT-MATRIX.md is out of date");
}
