//! What the product asks of a platform.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{request, response, HeaderMap};
use oxbowbend_core::cell::Signals;
use oxbowbend_core::fingerprint::Fingerprint;
use oxbowbend_core::ids::{
    AccountId, EndpointId, EndpointKey, InstanceId, ServiceId, VersionId, ZoneId,
};
use oxbowbend_core::quarantine::DecisionRecord;
use oxbowbend_core::quota::WindowUsage;
use oxbowbend_core::rollout::{RolloutRecord, RolloutSpec, Status};
use oxbowbend_core::routes::{Endpoint, RoutingTable};
use oxbowbend_core::streams::{ServiceVersions, StreamGroup};
use oxbowbend_core::subscription::WatchParams;
use thiserror::Error;

/// Revision of the store.
pub type Revision = u64;
/// Epoch of the store. One that comes back from an older copy begins a new epoch, in which it gives out again
/// revisions and leases that it has given out before. 0 where the store tells none.
pub type Epoch = u64;
/// Number of a lease at the store.
pub type LeaseId = u64;

/// A lease at the store. It means nothing in another epoch, where its number may be another one's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Its number.
    pub id: LeaseId,
    /// The epoch in which it was granted.
    pub epoch: Epoch,
}

/// A place in the store's history; one of a later epoch is later whatever its revision.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The epoch.
    pub epoch: Epoch,
    /// The revision in it.
    pub revision: Revision,
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ask {
    /// Id of the request.
    pub id: String,
    /// Host that it names.
    pub host: String,
    /// Key of a client account.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Units that it counts for in a quota by tokens, if it tells them.
    pub units: Option<u64>,
    /// The caller's estimate of the tokens of the answer.
    pub output: Option<u32>,
    /// Last event that the caller has, if it continues a stream.
    pub after: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that the caller continues, if it
    /// tells that.
    pub resumes: Option<String>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<Fingerprint>,
}

/// What a request is given on its way to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Onward<'a> {
    /// Time that is left.
    pub left: Duration,
    /// The endpoint that must execute it, and no other at its address.
    pub endpoint: &'a EndpointId,
    /// The client account.
    pub account: Option<&'a AccountId>,
    /// Last event of the stream to continue, if this instance continues it.
    pub after: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the endpoint's answer to this request.
    Answer,
    /// The endpoint has not executed the request and will not.
    NotRun,
    /// The endpoint is not the one that was meant, and has not executed the request.
    NotThere,
    /// It is no answer to this request.
    Foreign,
}

/// Why a request cannot be read.
#[derive(Debug, Error, PartialEq)]
#[error("{0}")]
pub struct Unreadable(pub String);

/// How requests and answers look. Implementations only translate.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Path of a request that endpoints answer at once, whatever the answer, and run nothing for.
    const PROBE_PATH: &'static str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if the head contradicts the protocol.
    fn read(&self, head: &request::Parts) -> Result<Ask, Unreadable>;

    /// Turns a caller's headers into those for an endpoint.
    fn forward(&self, headers: &HeaderMap, onward: Onward<'_>) -> HeaderMap;

    /// Turns a client's headers into those for a peer that serves the request, within `left`.
    fn hand_over(&self, headers: &HeaderMap, left: Duration) -> HeaderMap;

    /// Judges the head of an endpoint's answer to the request of that id.
    fn judge(&self, head: &response::Parts, id: &str) -> Verdict;

    /// Reads what the head of an endpoint's answer says of the endpoint.
    fn signals(&self, head: &response::Parts) -> Signals;

    /// Takes off an answer's headers what concerns one connection only.
    fn back(&self, headers: &mut HeaderMap);

    /// Reads the operator's configuration.
    ///
    /// # Errors
    ///
    /// Fails with all that is wrong.
    fn table(&self, document: &[u8]) -> Result<RoutingTable, Unreadable>;
}

/// How an instance enters itself in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Nanoseconds that endpoints take for a unit of work, if it is on this instance to note what
    /// later lives start from.
    #[serde(default)]
    pub paces: Vec<(EndpointKey, u64)>,
    /// What client accounts have used of their quotas, likewise.
    #[serde(default)]
    pub used: Vec<(AccountId, WindowUsage)>,
    /// The store's epoch as this instance knew it. What was noted in an earlier one is older than it looks.
    #[serde(default)]
    pub epoch: Epoch,
    /// Requests in quarantine, from this instance if it decided that, else likewise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<DecisionRecord>,
    /// Roll-outs in progress, if it is on this instance to note them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutRecord>,
    /// Streams of services with several versions of their software that run at its cell, likewise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub streams: Vec<StreamGroup>,
    /// Versions that each service has had lately, likewise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<ServiceVersions>,
}

/// What the store says of a service's roll-out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotedStatus {
    /// The version.
    pub destination: VersionId,
    /// The status.
    pub status: Status,
    /// When that was written.
    pub revision: Revision,
}

/// Something in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The operator's configuration as it was written.
    Config(Bytes),
    /// An endpoint.
    Endpoint(Endpoint),
    /// An endpoint's entry has gone.
    EndpointGone(EndpointId),
    /// An instance.
    Instance(InstanceId, Entry),
    /// An instance's entry has gone.
    InstanceGone(InstanceId),
    /// A roll-out that the operator orders.
    Rollout(RolloutSpec),
    /// Its order has gone.
    RolloutGone(ServiceId),
    /// What the operator was told of a roll-out.
    RolloutStatus {
        /// The service.
        service: ServiceId,
        /// The version.
        destination: VersionId,
        /// The status.
        status: Status,
    },
    /// An entry that cannot be read.
    Unreadable(UnreadableEntry),
}

/// An entry that cannot be read. What it names is not to be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableEntry {
    /// What it names.
    pub names: Named,
    /// What is wrong with it, in a line of bounded length.
    pub why: String,
}

/// What an entry's key names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Named {
    /// An endpoint.
    Endpoint(EndpointId),
    /// An instance.
    Instance(InstanceId),
    /// Nothing of which there may be several.
    Nothing,
}

/// A part of the store that is followed. The instances' own entries are not: they change often, and
/// each change would cost every instance a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// What the operator writes: the configuration, and orders of roll-outs.
    Config,
    /// The endpoints.
    Endpoints,
}

impl Part {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Part::Config => "config",
            Part::Endpoints => "endpoints",
        }
    }
}

/// All that the store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The store's epoch.
    pub epoch: Epoch,
    /// Revision to continue from.
    pub revision: Revision,
    /// The records.
    pub records: Vec<Record>,
    /// Endpoints among them that whoever tells this only keeps for a moment: the store does not hold them any more.
    pub lapsed: Vec<EndpointId>,
}

impl Snapshot {
    /// Where to continue from.
    pub fn position(&self) -> Position {
        Position { epoch: self.epoch, revision: self.revision }
    }
}

/// Why the store did not do what was asked.
#[derive(Debug, Error, PartialEq)]
pub enum StoreError {
    /// The changes asked for are not kept any more.
    #[error("the changes since then are not kept any more")]
    Compacted,
    /// The lease has ended, or the key is taken.
    #[error("the condition does not hold")]
    Condition,
    /// No usable answer; a write may have been done.
    #[error("{0}")]
    Unavailable(String),
    /// No answer in time; a write may have been done.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
}

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads everything, as of now.
    fn load(&self) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Waits for changes of a part after a revision, for an answer no longer than the call allows. No
    /// records mean that there were none.
    fn changes(
        &self,
        part: Part,
        after: Revision,
        call: WatchParams,
    ) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads the instances that have entered themselves; the answer may be some seconds old.
    fn instances(&self) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Enters this instance for as long as the lease is renewed.
    fn enroll(
        &self,
        name: &InstanceId,
        entry: &Entry,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, StoreError>> + Send;

    /// Changes this instance's entry; returns the store's epoch.
    fn update(
        &self,
        name: &InstanceId,
        entry: &Entry,
        lease: LeaseId,
    ) -> impl Future<Output = Result<Epoch, StoreError>> + Send;

    /// Renews the lease; returns the store's epoch.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Epoch, StoreError>> + Send;

    /// Reads what the operator was told of a service's roll-out.
    fn rollout_status(
        &self,
        service: &ServiceId,
    ) -> impl Future<Output = Result<Option<NotedStatus>, StoreError>> + Send;

    /// Tells the operator how a roll-out stands, if what was told before was written at that revision; 0 if nothing
    /// was.
    fn note_rollout(
        &self,
        order: &RolloutSpec,
        status: Status,
        before: Revision,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
