//! Whom an instance asks for a configuration that the store does not tell it: every combination of peers that answer,
//! are slow or do not answer, in simulated time.

use std::iter;
use std::time::{Duration, Instant};

use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::snapshot_requests::{RequestId, Scope, SnapshotRequests};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
/// Time within which the users want a change in force, and the part of it that is spent before the first request: the
/// wait for the store's own word.
const IN_FORCE_MS: u64 = 2000;
const FIRST_REQUEST_MS: u64 = 400;
/// Shortest time between two requests.
const PACE_MS: u64 = 200;
/// Time after which a request for a document is given up.
const TIMEOUT_MS: u64 = 1500;
const PEERS: usize = 6;
const SEEDS: u64 = 200;

/// How a peer behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Peer {
    Answers { after_ms: u64 },
    Mute,
}

#[derive(Clone, Copy)]
struct Request {
    id: RequestId,
    ends_ms: u64,
    is_answered: bool,
}

/// Milliseconds until a document arrives, and the most requests for one at once.
fn fetch(
    requests: &mut SnapshotRequests,
    start: Instant,
    peers: &[Peer],
    seed: u64,
) -> (u64, usize) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let names: Vec<InstanceId> = (0..peers.len()).map(|n| format!("p{n}").into()).collect();
    let (mut running, mut most, mut last): (Vec<Request>, usize, Option<u64>) =
        (Vec::new(), 0, None);
    for ms in FIRST_REQUEST_MS..20_000 {
        let now = start + MS * ms as u32;
        for ended in running.extract_if(.., |r| r.ends_ms <= ms) {
            requests.finish(now, ended.id, ended.is_answered);
            if ended.is_answered {
                return (ms, most);
            }
        }
        let is_paced = last.is_some_and(|at| ms - at < PACE_MS);
        if is_paced || !requests.may_request_document(now) {
            continue;
        }
        let Some(chosen) = requests.choose(now, names.iter(), iter::empty(), &mut rng) else {
            continue;
        };
        let peer = peers[names.iter().position(|name| name == chosen).unwrap()];
        let id = requests.start(now, chosen, Scope::Document);
        let (ends_ms, is_answered) = match peer {
            Peer::Answers { after_ms } if after_ms < TIMEOUT_MS => (ms + after_ms, true),
            _ => (ms + TIMEOUT_MS, false),
        };
        running.push(Request { id, ends_ms, is_answered });
        most = most.max(running.len());
        last = Some(ms);
    }
    panic!("no document from {peers:?}")
}

/// One question at a time, to whichever peer reported next, took 1.5 s for each peer that did not answer.
#[test]
fn two_peers_that_do_not_answer_delay_a_document_by_less_than_the_users_bound() {
    for mute in 0..=2 {
        for after_ms in [5, 100, 300] {
            let mut peers = vec![Peer::Mute; mute];
            peers.resize(PEERS, Peer::Answers { after_ms });
            for seed in 0..SEEDS {
                let mut requests = SnapshotRequests::default();
                let (ms, _) = fetch(&mut requests, Instant::now(), &peers, seed);
                assert!(
                    ms < IN_FORCE_MS,
                    "{mute} mute, answers after {after_ms} ms, seed {seed}: {ms} ms"
                );
            }
        }
    }
}

#[test]
fn a_peer_that_failed_is_asked_after_all_others() {
    let start = Instant::now();
    let mut peers = vec![Peer::Mute];
    peers.resize(PEERS, Peer::Answers { after_ms: 5 });
    for seed in 0..SEEDS {
        let mut requests = SnapshotRequests::default();
        let id = requests.start(start, &"p0".into(), Scope::Document);
        requests.finish(start + TIMEOUT_MS as u32 * MS, id, false);
        // Later changes do not meet it again while it is remembered.
        for change in 2..5 {
            let at = start + change * Duration::from_secs(2);
            let (ms, most) = fetch(&mut requests, at, &peers, seed);
            assert!(
                ms <= FIRST_REQUEST_MS + 5 && most == 1,
                "seed {seed}: {ms} ms, {most} at once"
            );
        }
    }
}

/// Documents use the links of those who send them, so a peer that is merely slow is not asked beside many others.
#[test]
fn documents_that_arrive_in_time_are_requested_one_at_a_time() {
    let peers = vec![Peer::Answers { after_ms: 390 }; PEERS];
    for seed in 0..SEEDS {
        let (_, most) = fetch(&mut SnapshotRequests::default(), Instant::now(), &peers, seed);
        assert_eq!(most, 1, "seed {seed}");
    }
}

#[test]
fn at_most_three_documents_are_requested_at_once_whatever_peers_do() {
    let mut rng = Pcg64::seed_from_u64(1);
    for seed in 0..SEEDS {
        let mut peers: Vec<_> = (0..PEERS)
            .map(|_| match rng.random_bool(0.5) {
                true => Peer::Mute,
                false => Peer::Answers { after_ms: rng.random_range(1..2000) },
            })
            .collect();
        peers[0] = Peer::Answers { after_ms: 1400 };
        let (_, most) = fetch(&mut SnapshotRequests::default(), Instant::now(), &peers, seed);
        assert!(most <= 3, "seed {seed}: {most} at once of {peers:?}");
    }
}

/// A single peer that knows more is asked again after a lost answer.
#[test]
fn the_only_peer_that_knows_more_is_asked_again() {
    let start = Instant::now();
    let (mut requests, mut rng) = (SnapshotRequests::default(), Pcg64::seed_from_u64(1));
    let only: InstanceId = "p0".into();
    let id = requests.start(start, &only, Scope::Document);
    let mut choose = |requests: &SnapshotRequests, now| {
        requests.choose(now, iter::once(&only), iter::empty(), &mut rng).cloned()
    };
    assert_eq!(choose(&requests, start), None);
    requests.finish(start + 1500 * MS, id, false);
    assert_eq!(choose(&requests, start + 1500 * MS), Some(only.clone()));
}

/// What another cell sends crosses zones, so one is asked only where no peer of this cell has answered.
#[test]
fn peers_of_other_cells_are_asked_only_after_those_of_this_cell_have_failed() {
    let start = Instant::now();
    let names: Vec<InstanceId> = ["near-1", "near-2", "far-1"].map(Into::into).to_vec();
    for seed in 0..SEEDS {
        let (mut requests, mut rng) = (SnapshotRequests::default(), Pcg64::seed_from_u64(seed));
        for (n, expected) in ["near", "near", "far", "near"].into_iter().enumerate() {
            let now = start + 1500 * MS * n as u32;
            let chosen = requests.choose(now, names[..2].iter(), names[2..].iter(), &mut rng);
            let chosen = chosen.unwrap().clone();
            assert!(chosen.starts_with(expected), "seed {seed}: {chosen} as number {n}");
            let id = requests.start(now, &chosen, Scope::Document);
            requests.finish(now + 1499 * MS, id, false);
        }
    }
}
