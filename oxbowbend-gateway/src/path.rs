//! Checks of this instance's path to the endpoints.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use futures::future::join_all;
use http::{header, Request};
use oxbowbend_clock as clock;
use oxbowbend_core::ids::ServiceId;
use oxbowbend_core::isolation::{
    IsolationDetector, PathChange, PathFailure, PathVerdict, ProbeRound, PROBES_PER_ROUND,
};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_http::h1;
use rand::seq::IteratorRandom;

use crate::observe;
use crate::shared::{Shared, State};

/// Time that a probe's connection may take, and its response. Each takes a few milliseconds, some tens under load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest body of a response that is read so that its connection can be used again.
const MAX_PROBE_BODY: usize = 64 * 1024;
/// Time between two looks at a round of probes that another request has started.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Shared {
    /// Returns whether a failure at an endpoint of a service is due to this instance's path, after
    /// probing other endpoints if that is not known.
    pub(crate) async fn is_path_lost(
        &self,
        pool: &h1::Pool,
        service: &ServiceId,
        endpoint: &Endpoint,
        failure: PathFailure,
    ) -> bool {
        let verdict = self.lock().path(service).verdict(clock::now(), failure);
        match verdict {
            PathVerdict::Connected => return false,
            PathVerdict::Isolated => return true,
            PathVerdict::Unknown => {}
        }
        if let Some(must_respond) = self.start_round(service, Some(failure)) {
            // The round goes on if the client of this request disconnects.
            let except = Some(endpoint.address);
            let probes = Probes { service: service.clone(), except, must_respond };
            task::spawn(probes.run(self.clone(), pool.clone())).await;
        }
        while self.lock().path(service).is_probing(clock::now()) {
            task::sleep(POLL_INTERVAL).await;
        }
        self.lock().path(service).is_isolated()
    }

    /// Records that a request was sent to an endpoint and got no response at all.
    pub(crate) fn record_no_response(
        &self,
        service: &ServiceId,
        endpoint: &Endpoint,
        is_new_connection: bool,
    ) {
        let (now, mut state) = (clock::now(), self.lock());
        // Requests go to the endpoints of this cell only.
        let is_of_service = |e: &&Endpoint| {
            state.world.endpoint(&e.id).is_some_and(|listed| listed.service == *service)
        };
        let count = state.group.endpoints.iter().filter(is_of_service).count();
        let key = endpoint.key();
        let change = state.path(service).record_failure(now, key, count, is_new_connection);
        drop(state);
        self.report_change(service, change);
    }

    /// Records a response on a new connection.
    pub(crate) fn record_fresh_response(&self, service: &ServiceId) {
        let change = self.lock().path(service).record_fresh_response(clock::now());
        self.report_change(service, change);
    }

    fn report_change(&self, service: &ServiceId, change: Option<PathChange>) {
        let Some(PathChange { is_isolated, round, failed_endpoints, lasted }) = change else {
            return;
        };
        log::warn!(
            "event=path_changed service={service} is_isolated={is_isolated} reached={} silent={} \
             failed={} failed_endpoints={failed_endpoints} before_ms={}",
            round.reached,
            round.silent,
            round.failed,
            lasted.as_millis()
        );
        observe::isolated(self.lock().isolated_services().len());
        self.tell_others();
    }

    /// Looks for the path to services that cannot be reached, from time to time.
    pub(crate) fn probe_when_due(&self, pool: &h1::Pool) {
        let services = self.lock().services_to_probe();
        for service in services {
            if let Some(must_respond) = self.start_round(&service, None) {
                let probes = Probes { service, except: None, must_respond };
                task::spawn(probes.run(self.clone(), pool.clone()));
            }
        }
    }

    /// Starts a round of probes unless one is in progress. Returns whether endpoints must respond.
    fn start_round(&self, service: &ServiceId, failure: Option<PathFailure>) -> Option<bool> {
        let (now, mut state) = (clock::now(), self.lock());
        let path = state.path(service);
        if path.is_probing(now) {
            return None;
        }
        path.start_round(now);
        Some(path.must_respond(failure))
    }
}

impl State {
    /// What is known of the path to a service.
    pub(crate) fn path(&mut self, service: &ServiceId) -> &mut IsolationDetector {
        if !self.paths.contains_key(service) {
            let mut path = IsolationDetector::default();
            path.set_at_limit(self.is_at_limit);
            self.paths.insert(service.clone(), path);
        }
        self.paths.get_mut(service).expect("inserted above")
    }

    /// Sets whether this instance's link or processor is at its limit.
    pub(crate) fn set_at_limit(&mut self, is_at_limit: bool) {
        if self.is_at_limit != is_at_limit {
            self.is_at_limit = is_at_limit;
            self.paths.values_mut().for_each(|path| path.set_at_limit(is_at_limit));
        }
    }

    /// Returns the time since when no endpoint of a service can be reached.
    pub(crate) fn isolated_for(&self, now: Instant, service: &ServiceId) -> Option<Duration> {
        self.paths.get(service)?.isolated_for(now)
    }

    /// Services of which no endpoint can be reached.
    pub(crate) fn isolated_services(&self) -> Vec<ServiceId> {
        let isolated = self.paths.iter().filter(|(_, path)| path.is_isolated());
        isolated.map(|(service, _)| service.clone()).collect()
    }

    fn services_to_probe(&self) -> Vec<ServiceId> {
        let now = clock::now();
        let due = self.paths.iter().filter(|(_, path)| path.is_probe_due(now));
        due.map(|(service, _)| service.clone()).collect()
    }
}

/// A round of probes.
struct Probes {
    service: ServiceId,
    /// The endpoint whose failure led to the round.
    except: Option<SocketAddr>,
    /// Whether endpoints are asked to respond.
    must_respond: bool,
}

/// What came of one probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeResult {
    Reached,
    Silent,
    Failed,
}

impl Probes {
    async fn run(self, shared: Shared, pool: h1::Pool) {
        let addresses = self.addresses(&shared.lock());
        let path = self.must_respond.then_some(shared.probe_path);
        let probes = addresses.iter().map(|address| probe(&pool, *address, path));
        let results = join_all(probes).await;
        let count = |result| results.iter().filter(|other| **other == result).count();
        let round = ProbeRound {
            reached: count(ProbeResult::Reached),
            silent: count(ProbeResult::Silent),
            failed: count(ProbeResult::Failed),
        };
        observe::path_probed(round);
        let change = shared.lock().path(&self.service).finish_round(clock::now(), round);
        shared.report_change(&self.service, change);
    }

    /// Addresses of a few endpoints that accept requests.
    fn addresses(&self, state: &State) -> Vec<SocketAddr> {
        let is_open = |e: &&Endpoint| e.service == self.service && !e.leaving;
        let open = state.world.endpoints().filter(is_open).map(|endpoint| endpoint.address);
        let others = open.filter(|address| Some(*address) != self.except);
        others.choose_multiple(&mut rand::rng(), PROBES_PER_ROUND)
    }
}

/// Opens a connection, which the pool keeps, and asks for a response on it if a path is named. Any response will do.
async fn probe(pool: &h1::Pool, address: SocketAddr, path: Option<&'static str>) -> ProbeResult {
    let Ok(Ok(mut conn)) = future::timeout(PROBE_TIMEOUT, pool.connect(address)).await else {
        return ProbeResult::Failed;
    };
    if let Some(path) = path {
        let exchange = respond(&mut conn, address, path);
        if !matches!(future::timeout(PROBE_TIMEOUT, exchange).await, Ok(Some(()))) {
            return ProbeResult::Silent;
        }
    }
    pool.put(conn);
    ProbeResult::Reached
}

/// Asks for a response and reads it.
async fn respond(conn: &mut h1::Conn, address: SocketAddr, path: &'static str) -> Option<()> {
    let host = address.to_string();
    let req = Request::get(path).header(header::HOST, host).body(Bytes::new()).ok()?;
    let mut response = conn.send(req).await.ok()?;
    let collected = h1::collect(response.body_mut(), MAX_PROBE_BODY).await.ok()?;
    matches!(collected, h1::Collected::Whole(_)).then_some(())
}
