//! The budget of what clients make a process hold.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use oxbowbend_core::memory::{
    ConnectionId, EndReason, Group, Kind, MemoryBudget, MemoryConfig, Phase, TimeLimits,
    CONNECTION_BYTES, SMALL_BODY, STALL, UNREAD_LIMIT,
};
use quickcheck::quickcheck;

const BYTES: usize = 1 << 20;
const CONNECTIONS: usize = 8;

fn budget() -> MemoryBudget {
    MemoryBudget::new(MemoryConfig {
        bytes: BYTES,
        client_connections: CONNECTIONS,
        instance_connections: 2,
        internal_connections: 2,
    })
}

fn open(budget: &mut MemoryBudget, now: Instant, phase: Phase) -> ConnectionId {
    let (id, _) = budget.open(now, Group::Clients).unwrap();
    budget.set_phase(now, id, phase);
    id
}

/// Long bodies would otherwise keep out the short ones of ordinary clients.
#[test]
fn long_bodies_leave_a_part_to_short_ones() {
    let (mut budget, now) = (budget(), Instant::now());
    let long = open(&mut budget, now, Phase::Body);
    while budget.charge(now, long, Kind::Bodies, 32 * 1024).is_ok() {}
    let short = open(&mut budget, now, Phase::Body);
    assert!(budget.charge(now, short, Kind::Bodies, SMALL_BODY).is_ok());
    assert!(budget.charge(now, short, Kind::Bodies, SMALL_BODY).is_err());
}

/// Of several that make no progress, ending the one that holds most for longest costs the fewest clients.
#[test]
fn the_stalled_connection_that_holds_most_yields_first() {
    let (mut budget, now) = (budget(), Instant::now());
    let held = [100_000, 300_000, 200_000];
    let stalled = held.map(|bytes| {
        let id = open(&mut budget, now, Phase::Body);
        budget.charge(now, id, Kind::Bodies, bytes).unwrap();
        id
    });
    let later = now + STALL;
    let other = open(&mut budget, later, Phase::Body);
    let ends = budget.charge(later, other, Kind::Bodies, 200_000).unwrap();
    let ended: Vec<_> = ends.iter().map(|end| end.connection).collect();
    assert_eq!(ended, [stalled[1]]);
}

/// A client whose request runs has done all that it has to do.
#[test]
fn neither_a_running_request_nor_a_body_that_progresses_yields() {
    let (mut budget, now) = (budget(), Instant::now());
    let running = open(&mut budget, now, Phase::Running);
    budget.charge(now, running, Kind::Bodies, 300_000).unwrap();
    let progressing = open(&mut budget, now, Phase::Body);
    budget.charge(now, progressing, Kind::Bodies, 300_000).unwrap();
    let later = now + 10 * STALL;
    budget.record_progress(later, progressing);
    let other = open(&mut budget, later, Phase::Body);
    assert!(budget.charge(later, other, Kind::Bodies, 300_000).is_err());
    assert!(budget.expired(later, true).is_empty());
}

/// An answer whose endpoint is silent keeps nobody waiting but its client.
#[test]
fn an_answer_yields_only_if_its_client_does_not_read() {
    let (mut budget, now) = (budget(), Instant::now());
    let answer = open(&mut budget, now, Phase::Response);
    let later = now + UNREAD_LIMIT;
    assert!(budget.expired(later, false).is_empty());
    budget.set_blocked(later, answer, true);
    assert!(budget.expired(later, false).is_empty());
    let expired = budget.expired(later + UNREAD_LIMIT, false);
    assert_eq!(expired[0].reason, EndReason::Unread);
}

/// Silent connections kept ordinary clients out for as long as they stayed.
#[test]
fn the_connection_that_has_been_idle_for_longest_ends_for_a_new_one() {
    let (mut budget, now) = (budget(), Instant::now());
    let at = |n: usize| now + Duration::from_millis(n as u64);
    let ids: Vec<_> = (0..CONNECTIONS).map(|n| open(&mut budget, at(n), Phase::Idle)).collect();
    budget.set_phase(at(CONNECTIONS), ids[0], Phase::Running);
    let (_, ends) = budget.open(at(CONNECTIONS), Group::Clients).unwrap();
    assert_eq!(ends.iter().map(|end| end.connection).collect::<Vec<_>>(), [ids[1]]);
}

/// A connection is refused rather than one with a request ended.
#[test]
fn a_connection_with_a_request_does_not_end_for_a_new_one() {
    let (mut budget, now) = (budget(), Instant::now());
    for _ in 0..CONNECTIONS {
        open(&mut budget, now, Phase::Running);
    }
    assert!(budget.open(now + UNREAD_LIMIT, Group::Clients).is_err());
    assert!(budget.open(now, Group::Instances).is_ok(), "groups have connections of their own");
}

/// Clients use connections up to four fifths of the idle time again.
#[test]
fn time_limits_end_idle_connections_and_heads() {
    let (mut budget, now) = (budget(), Instant::now());
    let limits = TimeLimits { head: Duration::from_secs(3), idle: Duration::from_secs(15) };
    budget.set_limits(Group::Clients, limits);
    let idle = open(&mut budget, now, Phase::Idle);
    let head = open(&mut budget, now, Phase::Head);
    let body = open(&mut budget, now, Phase::Body);
    let at = |s| now + Duration::from_secs(s);
    assert!(budget.expired(at(2), false).is_empty());
    let ended = |ends: Vec<_>| -> HashMap<_, _> {
        ends.iter().map(|end: &oxbowbend_core::memory::End| (end.connection, end.reason)).collect()
    };
    assert_eq!(ended(budget.expired(at(3), false)), HashMap::from([(head, EndReason::SlowHead)]));
    assert!(budget.expired(at(15), false).is_empty(), "a request may be on its way");
    assert_eq!(ended(budget.expired(at(16), false)), HashMap::from([(idle, EndReason::Idle)]));
    assert_eq!(ended(budget.expired(at(16), true)), HashMap::from([(body, EndReason::Stopping)]));
}

/// What is charged and given back in any order leaves nothing behind, and the budget is kept.
#[test]
fn what_is_charged_is_given_back() {
    fn holds(steps: Vec<(u8, u16, u8)>) -> bool {
        let (mut budget, mut now) = (budget(), Instant::now());
        let mut held: HashMap<ConnectionId, Vec<usize>> = HashMap::new();
        for (action, amount, wait) in steps {
            now += Duration::from_millis(u64::from(wait) * 10);
            let id = held.keys().min().copied();
            match (action % 5, id) {
                (0, _) => {
                    if let Ok((id, _)) = budget.open(now, Group::Clients) {
                        held.insert(id, Vec::new());
                    }
                }
                (1, Some(id)) => {
                    let bytes = 16 * usize::from(amount);
                    if budget.charge(now, id, Kind::Bodies, bytes).is_ok() {
                        held.get_mut(&id).unwrap().push(bytes);
                    }
                }
                (2, Some(id)) => {
                    let phases = [Phase::Idle, Phase::Head, Phase::Body, Phase::Running];
                    budget.set_phase(now, id, phases[usize::from(amount) % phases.len()]);
                }
                (3, Some(id)) => {
                    if let Some(bytes) = held.get_mut(&id).unwrap().pop() {
                        budget.release(id, Kind::Bodies, bytes);
                    }
                }
                (4, Some(id)) => {
                    let charges = held.remove(&id).unwrap();
                    charges.iter().for_each(|bytes| budget.release(id, Kind::Bodies, *bytes));
                    budget.close(id);
                }
                _ => {}
            }
            let bodies: usize = held.values().flatten().sum();
            let connections = held.len() * CONNECTION_BYTES;
            if budget.held(Kind::Bodies) != bodies
                || budget.held(Kind::Connections) != connections
                || budget.connections(Group::Clients) != held.len()
            {
                return false;
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<(u8, u16, u8)>) -> bool);
}
