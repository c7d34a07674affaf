//! An instance handles a request for another one only by the same configuration.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use http::Request;
use http_body_util::BodyExt;
use oxbowbend_http::h1;

use crate::fleet::{Fleet, KEY};
use crate::press::play_in_turn;

/// A seed of one cell, in which all instances know each other.
const SEED: u64 = 323;
/// Port at which daemons accept requests of others.
const HANDOVERS: u16 = 27601;
const KNOWN_AFTER: Duration = Duration::from_millis(4500);

/// Who offers a request, and why.
#[derive(Clone, Copy, Debug)]
enum Reason {
    NoPath,
    FullCell,
}

/// Offers a request to a daemon in the name of another one; returns its status and whether it was rejected.
async fn offer(fleet: &Fleet, id: &str, reason: Reason, version: Option<u64>) -> (u16, bool) {
    let to = SocketAddr::new(fleet.daemons[0].callers.ip(), HANDOVERS);
    let mut req = Request::post("/once/x")
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", 2000)
        .header("authorization", format!("Bearer {KEY}"))
        .header("oxbowbend-handover", "d1/0000000000000001");
    if let Reason::FullCell = reason {
        req = req.header("oxbowbend-handover-for", "overflow");
    }
    if let Some(version) = version {
        req = req.header("oxbowbend-handover-config", version);
    }
    let cfg = h1::PoolConfig { connect: Duration::from_millis(500), idle: Duration::ZERO };
    let mut conn = h1::Pool::new(cfg).connect(to).await.unwrap();
    let answer = conn.send(req.body("some words".into()).unwrap()).await.unwrap();
    let is_rejected = answer.headers().get("oxbowbend-handover").is_some_and(|v| v == "rejected");
    let status = answer.status().as_u16();
    answer.into_body().collect().await.unwrap();
    (status, is_rejected)
}

async fn play() -> Vec<String> {
    let mut fleet = Fleet::start(SEED).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.configure();
    task::sleep(KNOWN_AFTER).await;
    let mut broken = Vec::new();
    let (same, older, newer) = (fleet.version, fleet.version - 1, fleet.version + 1);
    for reason in [Reason::NoPath, Reason::FullCell] {
        // An instance of an older version of the program tells no version.
        for (version, is_accepted) in
            [(Some(same), true), (None, true), (Some(older), false), (Some(newer), false)]
        {
            let id = format!("h-{reason:?}-{version:?}");
            let (status, is_rejected) = offer(&fleet, &id, reason, version).await;
            let has_run = fleet.runs.lock().unwrap().runs.contains_key(&id);
            if (status == 200, !is_rejected, has_run) != (is_accepted, is_accepted, is_accepted) {
                broken.push(format!("{id}: {status}, rejected {is_rejected}, run {has_run}"));
            }
        }
    }
    broken
}

/// A request that was offered to an instance with an older configuration was handled by that after callers of the sender had
/// seen the newer one; after one that a newer instance had handled, the sender's next request was.
#[test]
fn a_request_of_another_instance_is_handled_by_the_same_configuration_only() {
    let broken = play_in_turn(std::iter::once(()).map(|()| play()));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
