//! Following the store: everything once, then its changes, and this instance's own entry.
//!
//! The watch is renewed often, so that one which hangs without a word costs seconds at most;
//! meanwhile other instances' reports tell of a newer configuration and [`crate::peers`] fetches it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use oxbowbend_core::ids::InstanceId;
use rand::Rng;

use crate::observe;
use crate::seam::{LeaseId, Revision, Snapshot, Store, StoreError, Wire};
use crate::shared::Shared;

/// Time for which one watch waits. A call costs the users as much as any other one, so this trades
/// seven calls a minute and a half against noticing a watch that hangs.
const WATCH: Duration = Duration::from_secs(12);
/// First pause after a failed call, and the longest one.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1000));
/// Time for which this instance's entry outlives it. Its absence only makes quotas narrower.
const ENTRY_TTL: Duration = Duration::from_secs(9);
/// Time between two renewals: two may be lost.
const RENEW: Duration = Duration::from_secs(3);

/// Follows the store for ever.
pub(crate) async fn run<S: Store, W: Wire>(store: S, wire: W, shared: Shared) {
    let mut pause = PAUSE.0;
    let mut known: Option<Revision> = None;
    loop {
        let asked = Instant::now();
        let (what, result) = match known {
            None => ("load", store.load().await),
            Some(after) => ("changes", store.changes(after, WATCH).await),
        };
        match result {
            Ok(snapshot) => {
                observe::store_call(what, "ok");
                pause = PAUSE.0;
                known = Some(snapshot.revision);
                take(&shared, &wire, what, snapshot);
            }
            Err(e) => {
                observe::store_call(what, "failed");
                log::warn!(
                    "event=store_call_failed call={what} after_ms={} error=\"{e}\"",
                    asked.elapsed().as_millis()
                );
                if e == StoreError::Compacted {
                    known = None;
                } else {
                    lost(&shared, &e);
                }
                let jitter = rand::rng().random_range(0.5..1.0);
                task::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSE.1);
            }
        }
    }
}

fn take<W: Wire>(shared: &Shared, wire: &W, what: &str, snapshot: Snapshot) {
    let now = Instant::now();
    let read = |document: &[u8]| wire.table(document).map_err(|e| e.0);
    let mut state = shared.lock();
    if state.world.store_found(now) {
        log::info!("event=dependency_regained dependency=store revision={}", snapshot.revision);
    }
    let news = match what {
        "load" => state.world.load(now, snapshot, read),
        _ => state.world.change(now, snapshot, read),
    };
    drop(state);
    shared.apply(now, &news, "store");
}

fn lost(shared: &Shared, e: &StoreError) {
    if shared.lock().world.store_lost() {
        log::warn!("event=dependency_lost dependency=store error=\"{e}\"");
    }
}

/// Keeps this instance entered in the store until `stopping` says otherwise.
pub(crate) async fn stay_entered<S: Store>(
    store: S,
    name: InstanceId,
    address: std::net::SocketAddr,
    door: Arc<oxbowbend_http::h1::Door>,
) {
    let mut lease: Option<LeaseId> = None;
    while !door.is_closing() {
        let result = match lease {
            Some(id) => store.renew(id).await.map(|()| id),
            None => store.enroll(&name, address, ENTRY_TTL).await,
        };
        match result {
            Ok(id) => {
                if lease.replace(id).is_none() {
                    log::info!("event=entered instance={name} lease={id}");
                }
            }
            Err(StoreError::Condition) => {
                log::warn!("event=entry_lost instance={name}");
                lease = None;
                task::sleep(PAUSE.0).await;
                continue;
            }
            Err(e) => log::debug!("event=renewal_failed instance={name} error=\"{e}\""),
        }
        task::sleep(RENEW).await;
    }
    if let Some(id) = lease {
        if let Err(e) = store.retire(id).await {
            log::warn!("event=entry_not_removed instance={name} error=\"{e}\"");
        }
    }
}
