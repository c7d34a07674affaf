//! Versions of streams as the parts of a gateway share them: what is reported, noted in the store,
//! asked for and answered.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use http::Request;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Report;
use oxbowbend_core::ids::{ServiceId, StreamKey, VersionId};
use oxbowbend_core::routes::{Endpoint, Route, RoutingTable};
use oxbowbend_core::streams::{
    LocalKnowledge, Lookup, PeerAnswer, ReportedStream, ServiceVersions, StreamGroup, StreamOrigin,
    StreamRegistry, VersionHistory,
};
use oxbowbend_http::h1;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::confirm::CONFIRM_TIMEOUT;
use crate::knowledge::{Answer, Question};
use crate::observe;
use crate::seam::{Record, Snapshot};
use crate::shared::{Shared, State};

/// Method of the question for the version of a stream.
pub(crate) const STREAM: &str = "stream";
/// Time limit of such a question. Peers answer from memory.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Peers of the cell that are asked by an instance that has been told their streams.
const PEERS_ASKED: usize = 3;
/// Times the longest timeout of a resumable stream for which its version is kept: once for the
/// stream, once for the absence of its client.
const RETENTION_TIMEOUTS: u32 = 2;
/// Minimum time for which it is kept.
const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Maximum time for which it is kept.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// A question for a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StreamQuestion {
    /// The stream, if the client named it.
    key: Option<StreamKey>,
    /// The service to which the request's route leads, if there is only one.
    service: Option<ServiceId>,
    /// Whether the peer is to ask the store for new versions before it answers.
    #[serde(default)]
    must_confirm: bool,
}

/// What an instance knows of the versions of streams.
pub(crate) struct Streams {
    registry: StreamRegistry,
    history: VersionHistory,
    retention: Duration,
}

impl Streams {
    /// Starts without knowledge.
    pub(crate) fn new() -> Streams {
        Streams {
            registry: StreamRegistry::default(),
            history: VersionHistory::default(),
            retention: MIN_RETENTION,
        }
    }

    /// Derives how long records are kept from the configuration.
    pub(crate) fn configure(&mut self, table: &RoutingTable) {
        let longest = table.max_resumable_timeout() * RETENTION_TIMEOUTS;
        self.retention = longest.clamp(MIN_RETENTION, MAX_RETENTION);
    }

    fn is_mixed(&self, now: Instant, service: &str) -> bool {
        self.history.is_mixed(now, service, self.retention)
    }

    /// Records that the versions of all changes are known that the store made until it was asked.
    pub(crate) fn record_changes(&mut self, asked_at: Instant) {
        self.history.record_changes(asked_at);
    }

    /// Records that the versions of a list of all endpoints are known.
    pub(crate) fn record_list(&mut self, asked_at: Instant) {
        self.history.record_list(asked_at);
    }
}

/// A short hash, to tell accounts apart.
fn tag(name: &str) -> u16 {
    xxh3_64(name.as_bytes()) as u16
}

impl State {
    /// Takes in which endpoints there are.
    pub(crate) fn note_versions(&mut self, now: Instant) {
        self.streams.history.set_endpoints(now, self.world.endpoints());
    }

    /// Takes in the versions of endpoints that the store tells, also of those that have gone by the end of the answer.
    pub(crate) fn hear_versions(&mut self, now: Instant, told: &Snapshot) {
        for record in &told.records {
            if let Record::Endpoint(Endpoint { service, version, .. }) = record {
                self.streams.history.record_heard(now, service, version);
            }
        }
    }

    /// Discards what is too old.
    pub(crate) fn sweep_streams(&mut self, now: Instant) {
        let Streams { registry, history, retention } = &mut self.streams;
        registry.sweep(now);
        history.sweep(now, *retention);
    }

    /// Starts from what earlier runs noted in the store. Without any entry of an instance no stream
    /// has begun that could still be taken up.
    pub(crate) fn restore_streams(&mut self, now: Instant) {
        let Streams { registry, history, retention } = &mut self.streams;
        let (mut is_vouched, mut streams) = (self.world.instances().is_empty(), 0);
        for entry in self.world.instances().values() {
            registry.receive(now, &entry.streams, *retention);
            history.restore(now, &entry.versions);
            is_vouched |= !entry.versions.is_empty();
            streams += entry.streams.iter().map(|group| group.streams.len()).sum::<usize>();
        }
        if is_vouched {
            history.trust_past(now);
        }
        log::info!("event=streams_restored streams={streams} is_history_complete={is_vouched}");
    }

    /// Streams to report to the cell.
    pub(crate) fn streams_to_report(&self, now: Instant, is_heartbeat: bool) -> Vec<StreamGroup> {
        let is_needed = |origin: &StreamOrigin| self.streams.is_mixed(now, &origin.service);
        self.streams.registry.to_report(now, is_heartbeat, is_needed)
    }

    /// Streams to note in the store.
    pub(crate) fn streams_to_note(&self, now: Instant) -> Vec<StreamGroup> {
        let is_needed = |origin: &StreamOrigin| self.streams.is_mixed(now, &origin.service);
        self.streams.registry.to_note(now, is_needed)
    }

    /// Versions to note in the store.
    pub(crate) fn versions_to_note(&self, now: Instant) -> Vec<ServiceVersions> {
        self.streams.history.to_note(now, self.streams.retention)
    }

    /// Takes in the streams that another instance reports.
    pub(crate) fn hear_of_streams(&mut self, now: Instant, report: &Report) {
        let Streams { registry, history, retention } = &mut self.streams;
        for StreamGroup { origin, .. } in &report.streams {
            history.record_heard(now, &origin.service, &origin.version);
        }
        registry.receive(now, &report.streams, *retention);
    }

    /// How long ago a stream was last known to run.
    pub(crate) fn stream_age(&self, now: Instant, key: StreamKey) -> Option<Duration> {
        self.streams.registry.age(now, key)
    }

    /// How long ago the store was asked for the last word on versions that this instance has.
    pub(crate) fn versions_age(&self, now: Instant) -> Option<Duration> {
        let until = self.streams.history.known_until()?;
        Some(now.saturating_duration_since(until))
    }

    /// The service to which an endpoint belongs, whatever version is being rolled out.
    fn base_service_of(&self, endpoint: &Endpoint) -> ServiceId {
        let listed = self.world.endpoint(&endpoint.id);
        listed.map_or_else(|| endpoint.service.clone(), |listed| listed.service.clone())
    }

    /// What this instance knows of a stream that is taken up on a route.
    pub(crate) fn knowledge_of_stream(
        &self,
        now: Instant,
        key: Option<StreamKey>,
        route: &Route,
    ) -> LocalKnowledge {
        let Streams { registry, history, retention } = &self.streams;
        let targets: Vec<_> = route.targets.iter().map(|(service, _)| service.clone()).collect();
        let service = sole_target(&targets);
        let (sole, only_seen) = match &service {
            Some(service) => (
                history.sole_version(now, service, *retention),
                history.only_seen(now, service, *retention),
            ),
            None => (None, None),
        };
        let record = key.map_or(Lookup::Unknown, |key| registry.lookup(now, key));
        let others = (self.group.cell_count <= 1).then_some(self.instances.saturating_sub(1));
        LocalKnowledge { targets, record, sole, only_seen, others }
    }

    /// Answers another instance's question for a stream that arrived at `asked_at`.
    fn answer_for_stream(&self, asked_at: Instant, question: &StreamQuestion) -> PeerAnswer {
        let Streams { registry, history, retention } = &self.streams;
        let (now, service) = (clock::now(), question.service.as_deref());
        let sole = service.and_then(|service| history.sole_version(now, service, *retention));
        let confirmed = sole.filter(|sole| sole.until >= asked_at).map(|sole| sole.version);
        PeerAnswer {
            record: question.key.map_or(Lookup::Unknown, |key| registry.lookup(now, key)),
            confirmed,
            only_seen: service.and_then(|service| history.only_seen(now, service, *retention)),
            is_mixed: service.is_some_and(|service| self.streams.is_mixed(now, service)),
            is_whole: true,
        }
    }

    /// Whether the store's confirmation could make a difference to what this instance knows.
    pub(crate) fn may_confirm(&self, now: Instant, service: &ServiceId) -> bool {
        let Streams { history, retention, .. } = &self.streams;
        history.sole_version(now, service, *retention).is_some()
    }

    /// The name under which a request that needs a version waits for a slot, if the cell has an
    /// endpoint of that version.
    pub(crate) fn service_of_version(&self, origin: &StreamOrigin) -> Option<ServiceId> {
        let StreamOrigin { service, version } = origin;
        let names = self.names_of(service);
        names.into_iter().find(|name| self.cell.serves_version(name, version))
    }

    /// An endpoint of a version in another cell, for a request that no endpoint of this cell may
    /// serve. It has no limits that only its own cell could keep.
    pub(crate) fn endpoint_of_other_cell(
        &self,
        now: Instant,
        origin: &StreamOrigin,
        is_excluded: impl Fn(&Endpoint) -> bool,
    ) -> Option<Endpoint> {
        let names = self.names_of(&origin.service);
        let is_suitable = |e: &&Endpoint| {
            e.version == origin.version
                && names.contains(&e.service)
                && !e.leaving
                && !is_excluded(e)
                && self.cell.may_send_beyond(now, e.key())
        };
        self.listed_endpoints().iter().filter(is_suitable).choose(&mut rand::rng()).cloned()
    }

    fn names_of(&self, service: &ServiceId) -> Vec<ServiceId> {
        [Some(service.clone()), self.rollouts.candidate_service(service)]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Addresses of instances that may know a stream: those of the cell, or some of them if they
    /// have told this one, and one of each other cell.
    fn addresses_to_ask(&self, now: Instant, is_told: bool) -> BTreeSet<SocketAddr> {
        let is_told = is_told && !self.is_younger_than(now, self.streams.retention);
        let near = self.cell.live_reports(now).filter_map(|report| report.address);
        let count = if is_told { PEERS_ASKED } else { usize::MAX };
        let mut addresses: BTreeSet<_> =
            near.choose_multiple(&mut rand::rng(), count.min(self.instances)).into_iter().collect();
        addresses.extend(self.cell.remote_reports(now).filter_map(|report| report.address));
        let representatives = self.cell.live_reports(now).filter(|r| r.is_representative);
        addresses.extend(representatives.flat_map(|r| r.representative_addresses.iter().copied()));
        addresses
    }
}

/// The service to which a route leads, if there is only one.
fn sole_target(targets: &[ServiceId]) -> Option<ServiceId> {
    match targets {
        [service] => Some(service.clone()),
        _ => None,
    }
}

impl Shared {
    /// Records that the first event of a stream is about to go to the client.
    pub(crate) fn stream_began(&self, key: StreamKey, account: &str, endpoint: &Endpoint) {
        let now = clock::now();
        let mut state = self.lock();
        let service = state.base_service_of(endpoint);
        let origin = StreamOrigin { service, version: endpoint.version.clone() };
        let is_mixed = state.streams.is_mixed(now, &origin.service);
        let Streams { registry, retention, .. } = &mut state.streams;
        let stream = ReportedStream { key, account: tag(account) };
        registry.record_began(now, stream, &origin, *retention);
        drop(state);
        if is_mixed {
            self.tell_others();
        }
    }

    /// Records that such a run ended.
    pub(crate) fn stream_ended(&self, key: StreamKey) {
        self.lock().streams.registry.record_ended(clock::now(), key);
    }

    /// Answers a peer's question for a stream, which the store confirms first if the peer needs that.
    pub(crate) async fn answer_for_stream(&self, question: &StreamQuestion) -> PeerAnswer {
        let asked_at = clock::now();
        let is_needed = |service| self.lock().may_confirm(asked_at, service);
        if question.must_confirm && question.service.as_ref().is_some_and(is_needed) {
            self.confirm_versions().await;
        }
        self.lock().answer_for_stream(asked_at, question)
    }

    /// Asks peers for a stream, until one has a record of it or all have answered. Where the store has not told this
    /// instance what is new, all of the cell are asked, and they ask the store first.
    pub(crate) async fn ask_for_stream(
        &self,
        pool: &h1::Pool,
        key: Option<StreamKey>,
        targets: &[ServiceId],
        is_confirmed: bool,
    ) -> Vec<PeerAnswer> {
        let addresses = self.lock().addresses_to_ask(clock::now(), is_confirmed);
        let must_confirm = !is_confirmed;
        let question = StreamQuestion { key, service: sole_target(targets), must_confirm };
        let limit = if is_confirmed { ASK_TIMEOUT } else { ASK_TIMEOUT + CONFIRM_TIMEOUT };
        // A question whose answer is not waited for keeps its connection.
        let mut pending: FuturesUnordered<_> = addresses
            .into_iter()
            .map(|address| task::spawn(ask(pool.clone(), address, question.clone(), limit)))
            .collect();
        let mut answers = Vec::new();
        let collect = async {
            while let Some(answer) = pending.next().await {
                let is_found = answer.as_ref().is_some_and(|a| a.record != Lookup::Unknown);
                answers.extend(answer);
                if is_found {
                    break;
                }
            }
        };
        // Those that have not answered in time count as not knowing.
        let _ = future::timeout(limit, collect).await;
        observe::stream_asked(answers.len());
        answers
    }

    /// Keeps what a peer has answered, for the client's next attempts.
    pub(crate) fn adopt_stream(&self, key: StreamKey, account: &str, origin: &StreamOrigin) {
        let now = clock::now();
        let mut state = self.lock();
        let Streams { registry, retention, .. } = &mut state.streams;
        let stream = ReportedStream { key, account: tag(account) };
        registry.adopt(now, stream, origin, *retention);
    }
}

async fn ask(
    pool: h1::Pool,
    address: SocketAddr,
    params: StreamQuestion,
    limit: Duration,
) -> Option<PeerAnswer> {
    let (jsonrpc, method) = ("2.0".to_owned(), STREAM.to_owned());
    let params = serde_json::to_value(params).ok()?;
    let body = serde_json::to_vec(&Question { jsonrpc, id: 1, method, params }).ok()?;
    let req = Request::post("/").header("host", address.to_string()).body(Bytes::from(body));
    match pool.call(address, req.ok()?, limit).await {
        // An instance of an older version answers with an error.
        Ok(answer) => serde_json::from_slice::<Answer<PeerAnswer>>(answer.body())
            .ok()
            .map(|answer| answer.result),
        Err(e) => {
            log::debug!("event=stream_not_asked address={address} error=\"{e}\"");
            None
        }
    }
}

/// The version of an endpoint as logs show it.
pub(crate) fn shown(version: &VersionId) -> &str {
    if version.is_empty() {
        "-"
    } else {
        version
    }
}
