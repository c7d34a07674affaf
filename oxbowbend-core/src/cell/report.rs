//! Reports that instances of a cell exchange.
//!
//! A report contains the sender's complete state rather than a change, so that the next one makes
//! up for a lost one. Late reports are recognised by their sequence number.

use std::net::SocketAddr;

use crate::ids::{AccountId, EndpointKey, InstanceId, ServiceId, VersionId, ZoneId};
use crate::quarantine::QuarantineUpdate;
use crate::quota::{RecentUsage, WindowUsage};
use crate::rollout::responses::ResponseCounterKey;
use crate::rollout::RolloutRecord;
use crate::streams::StreamGroup;

/// Numbers of requests by service and rank, in order. Ranks without requests are omitted.
pub type CountsByRank = Vec<(ServiceId, Vec<(u16, u32)>)>;

/// State of one instance.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Name of the sender; stable across restarts.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Availability zone of the sender.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Random number that identifies this run of the process.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Epoch of the store that `revision` refers to.
    #[serde(rename = "E", default, skip_serializing_if = "is_zero_epoch")]
    pub epoch: u64,
    /// Latest store revision known to the sender.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Version of the operator's configuration in force.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// Address of the sender for reports and snapshot requests.
    #[serde(rename = "a")]
    pub address: Option<SocketAddr>,
    /// Milliseconds since the store last answered; `None` if the sender does not watch the store.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
    /// Milliseconds since the store confirmed the endpoint list, to the sender or to an instance
    /// with the same list; `None` if the sender does not watch the store. Used by instances that
    /// copy the list.
    #[serde(rename = "G", default, skip_serializing_if = "Option::is_none")]
    pub endpoints_age_ms: Option<u32>,
    /// Milliseconds since the store last confirmed the configuration. Sent with heartbeats only.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub config_age_ms: Option<u32>,
    /// Digest of the known endpoints.
    #[serde(rename = "d", default)]
    pub endpoints_digest: u64,
    /// Digest of the known instances. Sent with heartbeats only.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub instances_digest: Option<u64>,
    /// Whether the sender can reach the store.
    #[serde(rename = "s", default)]
    pub has_store: bool,
    /// Whether the sender accepts requests: it has loaded its state and is not shutting down.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub is_ready: bool,
    /// Whether the sender is shutting down and no longer represents its cell.
    #[serde(rename = "S", default, skip_serializing_if = "is_false")]
    pub is_stopping: bool,
    /// Services of which the sender reaches no endpoint.
    #[serde(rename = "I", default, skip_serializing_if = "Vec::is_empty")]
    pub isolated_services: Vec<ServiceId>,
    /// Port at which the sender accepts requests that other instances hand over. Sent with
    /// heartbeats only; `None` from versions that accept none.
    #[serde(rename = "H", default, skip_serializing_if = "Option::is_none")]
    pub handover_port: Option<u16>,
    /// Number of instances of its cell that the sender can reach, including itself. Sent with
    /// heartbeats only.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub reachable_count: Option<u32>,
    /// These instances. Sent with heartbeats only.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub reachable_filter: Option<super::InstanceFilter>,
    /// Load that the sender has placed on endpoints; idle endpoints are omitted.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
    /// Whether all counters are included: those of client accounts and of recently used endpoints.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub has_all_counters: bool,
    /// Outcomes and latencies at recently used endpoints. Sent with some reports only.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoint_stats: Vec<EndpointStats>,
    /// Requests waiting at the sender, in order.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitingRequest>,
    /// Numbers of requests waiting at the sender, if `waiting` does not list all of them. Sent with
    /// heartbeats only, in fleets of several cells.
    #[serde(rename = "N", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_counts: CountsByRank,
    /// Numbers of requests that the sender assigned a slot within the last second. Sent with
    /// heartbeats only, in fleets of several cells.
    #[serde(rename = "P", default, skip_serializing_if = "Vec::is_empty")]
    pub dispatched: CountsByRank,
    /// Units admitted in this incarnation, by client account.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub admitted_units: Vec<(AccountId, u64)>,
    /// Whether the sender represents its cell to other cells.
    #[serde(rename = "k", default, skip_serializing_if = "is_false")]
    pub is_representative: bool,
    /// Instances of its cell that accept requests. Sent to other cells.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub cell_ready: u32,
    /// Summary of other cells. Sent to the sender's own cell.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub fleet_summary: Option<super::FleetSummary>,
    /// Units admitted by its cell, by client account, as received in this incarnation. Sent to
    /// other cells.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_admitted_units: Vec<(AccountId, u64)>,
    /// Number of the sender's cell. Sent to other cells.
    #[serde(rename = "D", default, skip_serializing_if = "is_zero")]
    pub cell_index: u32,
    /// The part of these units admitted recently. Only sent by a new representative.
    #[serde(rename = "L", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_recent_units: Vec<(AccountId, RecentUsage)>,
    /// Free slots of its cell, by service; only services of which no request waits there. Sent to
    /// other cells.
    #[serde(rename = "F", default, skip_serializing_if = "Vec::is_empty")]
    pub free_slots: Vec<(ServiceId, u32)>,
    /// Whether all non-zero counters of the cell are included.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub has_all_cell_counters: bool,
    /// State of roll-outs.
    #[serde(rename = "R", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutRecord>,
    /// Answer counters of versions being rolled out, in this incarnation.
    #[serde(rename = "V", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<(ResponseCounterKey, u64)>,
    /// Answer counters of the sender's cell, as received in this incarnation. Sent to other cells.
    #[serde(rename = "C", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_evidence: Vec<(ResponseCounterKey, u64)>,
    /// Units used by client accounts in each of the last seconds, newest first. Sent while the cell
    /// has a new instance.
    #[serde(rename = "W", default, skip_serializing_if = "Vec::is_empty")]
    pub usage_windows: Vec<(AccountId, WindowUsage)>,
    /// Notices from endpoints. Sent with heartbeats only.
    #[serde(rename = "B", default, skip_serializing_if = "EndpointNotices::is_empty")]
    pub endpoint_notices: EndpointNotices,
    /// Brittle endpoints that have rejected requests of the sender, with the milliseconds since
    /// then.
    #[serde(rename = "J", default, skip_serializing_if = "Vec::is_empty")]
    pub rejections: Vec<(EndpointKey, u32)>,
    /// State of the quarantine of requests that crash endpoints.
    #[serde(rename = "Q", default, skip_serializing_if = "QuarantineUpdate::is_empty")]
    pub quarantine: QuarantineUpdate,
    /// Streams that began at the sender, of services with several versions.
    #[serde(rename = "T", default, skip_serializing_if = "Vec::is_empty")]
    pub streams: Vec<StreamGroup>,
    /// Addresses of representatives of other cells, or of all known instances at the first start of
    /// a fleet.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub representative_addresses: Vec<SocketAddr>,
}

/// Notices that endpoints sent with their answers.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EndpointNotices {
    /// Rate limits.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<super::ReportedLimit>,
    /// Endpoints that are draining.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<EndpointKey>,
    /// Rejections per second that brittle endpoints tolerate.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<super::ReportedLimit>,
}

impl EndpointNotices {
    /// Whether there are no notices.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty() && self.brittle.is_empty()
    }
}

/// Load that an instance has placed on one endpoint. Serialized as a tuple of its fields in this
/// order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(EndpointKey, u32, u32)", into = "(EndpointKey, u32, u32)")]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Running requests.
    pub running: u32,
    /// Prompt tokens of running requests without a first event.
    pub pending_prompt_tokens: u32,
}

impl From<(EndpointKey, u32, u32)> for EndpointLoad {
    fn from((endpoint, running, pending_prompt_tokens): (EndpointKey, u32, u32)) -> EndpointLoad {
        EndpointLoad { endpoint, running, pending_prompt_tokens }
    }
}

impl From<EndpointLoad> for (EndpointKey, u32, u32) {
    fn from(load: EndpointLoad) -> (EndpointKey, u32, u32) {
        (load.endpoint, load.running, load.pending_prompt_tokens)
    }
}

/// Outcomes and latency that an instance has observed at one endpoint. The counters start with its
/// incarnation. Serialized as a tuple of its fields in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "EndpointStatsParts", into = "EndpointStatsParts")]
pub struct EndpointStats {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Successful requests.
    pub successes: u64,
    /// Failed requests.
    pub failures: u64,
    /// Nanoseconds to the first event per unit of work; 0 if not measured.
    pub ns_per_unit: u64,
    /// Number of measurements behind `ns_per_unit`.
    pub samples: u32,
}

type EndpointStatsParts = (EndpointKey, u64, u64, u64, u32);

impl From<EndpointStatsParts> for EndpointStats {
    fn from(
        (endpoint, successes, failures, ns_per_unit, samples): EndpointStatsParts,
    ) -> EndpointStats {
        EndpointStats { endpoint, successes, failures, ns_per_unit, samples }
    }
}

impl From<EndpointStats> for EndpointStatsParts {
    fn from(stats: EndpointStats) -> EndpointStatsParts {
        (stats.endpoint, stats.successes, stats.failures, stats.ns_per_unit, stats.samples)
    }
}

/// A waiting request. Contains ages instead of timestamps, since clocks differ between instances.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WaitingRequest {
    /// Service that must execute the request.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Priority; 0 is the most urgent. If the floor moved the request, the rank that it was moved to.
    #[serde(rename = "k")]
    pub rank: u16,
    /// Milliseconds since its arrival.
    #[serde(rename = "w")]
    pub waited_ms: u32,
    /// Target time from arrival to the first event, in milliseconds.
    #[serde(rename = "o")]
    pub objective_ms: u32,
    /// Prompt length in tokens.
    #[serde(rename = "p")]
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens.
    #[serde(rename = "n", default)]
    pub output_tokens: u32,
    /// How its prefill stalls concurrent streams.
    #[serde(rename = "h")]
    pub stall: super::PrefillStall,
    /// Software version that must execute the request; any if `None`.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionId>,
    /// Whether its client account is over its fair share.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub is_over_share: bool,
    /// Its own rank, if the floor of this rank moved it before all others. `rank` alone could not
    /// put it before requests of the first rank.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub moved_from: Option<u16>,
}

fn is_zero_epoch(n: &u64) -> bool {
    *n == 0
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}
