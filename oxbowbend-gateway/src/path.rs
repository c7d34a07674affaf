//! Checks of this instance's path to the endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::{future, task};
use futures::future::join_all;
use oxbowbend_clock as clock;
use oxbowbend_core::isolation::{
    PathChange, PathFailure, PathVerdict, ProbeRound, PROBES_PER_ROUND,
};
use oxbowbend_http::h1;
use rand::seq::IteratorRandom;

use crate::observe;
use crate::shared::{Shared, State};

/// Time that a probe may take. A connection takes a few milliseconds, some tens under load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two looks at a round of probes that another request has started.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Shared {
    /// Returns whether a failure at `endpoint` is due to this instance's path, after probing other
    /// endpoints if that is not known.
    pub(crate) async fn is_path_lost(
        &self,
        pool: &h1::Pool,
        endpoint: SocketAddr,
        failure: PathFailure,
    ) -> bool {
        match self.lock().isolation.verdict(clock::now(), failure) {
            PathVerdict::Connected => return false,
            PathVerdict::Isolated => return true,
            PathVerdict::Unknown => {}
        }
        if self.start_round() {
            // The round goes on if the client of this request disconnects.
            task::spawn(run_round(self.clone(), pool.clone(), Some(endpoint))).await;
        }
        while self.lock().isolation.is_probing(clock::now()) {
            task::sleep(POLL_INTERVAL).await;
        }
        self.lock().isolation.is_isolated()
    }

    /// Looks for the path of an isolated instance from time to time.
    pub(crate) fn probe_when_due(&self, pool: &h1::Pool) {
        if self.lock().isolation.is_probe_due(clock::now()) && self.start_round() {
            task::spawn(run_round(self.clone(), pool.clone(), None));
        }
    }

    /// Starts a round of probes unless one is in progress.
    fn start_round(&self) -> bool {
        let (now, mut state) = (clock::now(), self.lock());
        let may_start = !state.isolation.is_probing(now);
        if may_start {
            state.isolation.start_round(now);
        }
        may_start
    }
}

impl State {
    /// Addresses of a few endpoints that accept requests.
    fn probed_addresses(&self, except: Option<SocketAddr>) -> Vec<SocketAddr> {
        let open = self.group.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let others = open.map(|endpoint| endpoint.address).filter(|a| Some(*a) != except);
        others.choose_multiple(&mut rand::rng(), PROBES_PER_ROUND)
    }
}

async fn run_round(shared: Shared, pool: h1::Pool, except: Option<SocketAddr>) {
    let addresses = shared.lock().probed_addresses(except);
    let probes = addresses.iter().map(|address| probe(&pool, *address));
    let results = join_all(probes).await;
    let reached = results.iter().filter(|is_reached| **is_reached).count();
    let round = ProbeRound { reached, failed: results.len() - reached };
    observe::path_probed(round);
    let change = shared.lock().isolation.finish_round(clock::now(), round);
    if let Some(change) = change {
        log_change(change);
        observe::isolated(change.is_isolated);
        shared.tell_others();
    }
}

/// Opens a connection, which the pool keeps.
async fn probe(pool: &h1::Pool, address: SocketAddr) -> bool {
    match future::timeout(PROBE_TIMEOUT, pool.connect(address)).await {
        Ok(Ok(conn)) => {
            pool.put(conn);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

fn log_change(change: PathChange) {
    let PathChange { is_isolated, round, lasted } = change;
    log::warn!(
        "event=path_changed is_isolated={is_isolated} reached={} failed={} before_ms={}",
        round.reached,
        round.failed,
        lasted.as_millis()
    );
}
