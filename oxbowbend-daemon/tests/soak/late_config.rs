//! A configuration is in force in time at an instance that the store does not reach, also where some peer that
//! tells of it answers no question.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, UdpSocket};
use async_std::task::{self, JoinHandle};
use oxbowbend_core::cell::Report;
use serde_json::json;

use crate::caller;
use crate::fleet::{Fleet, DAEMONS};
use crate::paths::{Cut, Manner};
use crate::press;
use crate::store;

/// Time within which the users want a change in force.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Time after the store's return from which the users want that.
const CALM: Duration = Duration::from_millis(3000);
/// Lengths of outages. An attempt that is sent into one takes up to 1.5 s to fail.
const OUTAGES: [Duration; 3] =
    [Duration::from_millis(1500), Duration::from_millis(2600), Duration::from_millis(4100)];
/// Time between two reports of a busy instance, the shortest that daemons keep to themselves.
const BUSY_PACE: Duration = Duration::from_millis(5);
/// Time between two looks at what is in force.
const LOOK: Duration = Duration::from_millis(20);
/// Changes in a row.
const CHANGES: usize = 4;
/// The daemon that the store does not reach.
const CUT: usize = DAEMONS - 1;
/// Port at which daemons talk.
const PORT: u16 = 27600;
/// Fleets of one cell, each with the names of its mute peers. The first name of all belongs to the instance that
/// verifies the configuration for the others.
const FLEETS: [(u64, &[&str]); 4] =
    [(287, &[]), (281, &["mute"]), (283, &["a-mute"]), (285, &["d2a", "mute"])];

/// The same for outages.
const OUTAGE_FLEETS: [(u64, &[&str]); 2] = [(289, &["a-mute"]), (291, &["d2a", "mute"])];

/// An instance that reports whatever is newest, accepts connections, and answers nothing.
struct MutePeer {
    version: Arc<AtomicU64>,
    reporting: Option<JoinHandle<()>>,
}

impl MutePeer {
    async fn start(fleet: &Fleet, n: usize, name: &'static str) -> MutePeer {
        let daemons = fleet.callers().map(|address| SocketAddr::new(address.ip(), PORT));
        let SocketAddr::V4(first) = daemons[0] else { panic!("{daemons:?}") };
        let [a, b, c, _] = first.ip().octets();
        let address: SocketAddr = format!("{a}.{b}.{c}.{}:{PORT}", 100 + n).parse().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        let listener = TcpListener::bind(address).await.unwrap();
        let version = Arc::new(AtomicU64::new(fleet.version));
        let newest = version.clone();
        let reporting = task::spawn(async move {
            // The kernel accepts connections for it.
            let _listener = listener;
            for sequence in 1.. {
                let report = Report {
                    instance: name.into(),
                    zone: "z".into(),
                    incarnation: 1,
                    sequence,
                    config_version: newest.load(Ordering::SeqCst),
                    address: Some(address),
                    has_store: true,
                    ..Report::default()
                };
                let notification =
                    json!({ "jsonrpc": "2.0", "method": "report", "params": report });
                let datagram = notification.to_string();
                for daemon in daemons {
                    let _ = socket.send_to(datagram.as_bytes(), daemon).await;
                }
                task::sleep(BUSY_PACE).await;
            }
        });
        MutePeer { version, reporting: Some(reporting) }
    }
}

impl Drop for MutePeer {
    fn drop(&mut self) {
        drop(self.reporting.take().map(JoinHandle::cancel));
    }
}

/// Waits until a daemon has a version in force; returns how long that took, if it was in time.
async fn in_force(fleet: &Fleet, daemon: usize, version: u64, limit: Duration) -> Option<Duration> {
    let started = Instant::now();
    for n in 0.. {
        let id = format!("l-{version}-{daemon}-{n}");
        let to = fleet.daemons[daemon].callers;
        let seen = caller::send_to(to, &format!("v{version}"), "again", id).await;
        if seen.status == Some(200) {
            return Some(started.elapsed());
        }
        if started.elapsed() >= limit {
            return None;
        }
        task::sleep(LOOK).await;
    }
    unreachable!()
}

/// Plays one fleet; returns what was not in force in time.
async fn play((seed, names): (u64, &[&'static str])) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let mut mute = Vec::new();
    for (n, name) in names.iter().enumerate() {
        mute.push(MutePeer::start(&fleet, n, name).await);
    }
    fleet.store_paths.set_cut(Some(Cut { manner: Manner::Silent, daemons: vec![CUT] }));
    let mut late = Vec::new();
    for _ in 0..CHANGES {
        task::sleep(Duration::from_secs(1)).await;
        fleet.configure();
        mute.iter().for_each(|peer| peer.version.store(fleet.version, Ordering::SeqCst));
        let all = (0..DAEMONS).map(|daemon| in_force(&fleet, daemon, fleet.version, IN_FORCE));
        let took = futures::future::join_all(all).await;
        println!("seed {seed}: version {} in force after {took:?}", fleet.version);
        for (daemon, _) in took.iter().enumerate().filter(|(_, took)| took.is_none()) {
            late.push(format!("seed {seed}: version {} at daemon {daemon}", fleet.version));
        }
    }
    late
}

/// The store is silent for a while, and four versions follow each other around its return; returns what is not in force
/// in time after it.
async fn play_outage((seed, names): (u64, &[&'static str])) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let mut mute = Vec::new();
    for (n, name) in names.iter().enumerate() {
        mute.push(MutePeer::start(&fleet, n, name).await);
    }
    let mut late = Vec::new();
    for outage in OUTAGES {
        task::sleep(Duration::from_secs(1)).await;
        fleet.configure();
        task::sleep(Duration::from_millis(300)).await;
        fleet.store.set_mode(store::Mode::Mute);
        task::sleep(outage).await;
        fleet.configure();
        fleet.store.set_mode(store::Mode::Up);
        let returned = Instant::now();
        for _ in 0..2 {
            task::sleep(Duration::from_millis(40)).await;
            fleet.configure();
        }
        mute.iter().for_each(|peer| peer.version.store(fleet.version, Ordering::SeqCst));
        let limit = CALM - returned.elapsed();
        let all = (0..DAEMONS).map(|daemon| in_force(&fleet, daemon, fleet.version, limit));
        let took = futures::future::join_all(all).await;
        println!("seed {seed}: version {} in force after {took:?}", fleet.version);
        for (daemon, _) in took.iter().enumerate().filter(|(_, took)| took.is_none()) {
            late.push(format!("seed {seed}: version {} at daemon {daemon}", fleet.version));
        }
    }
    late
}

/// After an outage each instance finds the store again by itself or learns from one that has; a peer that answers no
/// question must not keep the last of them from it.
#[test]
fn what_follows_an_outage_is_in_force_everywhere_beside_peers_that_answer_no_question() {
    let late = press::play_in_turn(OUTAGE_FLEETS.into_iter().map(play_outage));
    assert!(late.is_empty(), "not in force in time:\n{}", late.join("\n"));
}

/// An instance without the store asked whichever peer reported next, a busy one nine times in ten, and nobody else
/// until that question had timed out.
#[test]
fn a_busy_peer_that_answers_no_question_does_not_delay_the_configuration() {
    let late = press::play_in_turn(FLEETS.into_iter().map(play));
    assert!(late.is_empty(), "not in force in time:\n{}", late.join("\n"));
}
