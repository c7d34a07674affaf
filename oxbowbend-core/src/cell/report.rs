//! What the instances of a cell tell each other.
//!
//! A report is the sender's whole state, never a change of it, so that one lost on the way is made
//! up for by the next one, and one that comes late is told by its number.

use std::net::SocketAddr;

use crate::ids::{AccountId, EndpointKey, InstanceId, ServiceId, ZoneId};
use crate::quarantine::QuarantineUpdate;
use crate::quota::{Lately, Window};
use crate::rollout::responses::ResponseCounterKey;
use crate::rollout::RolloutRecord;

/// State of one instance.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The sender's name, the same across its lives.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Random number of this life.
    #[serde(rename = "l")]
    pub life: u64,
    /// Number of the report in this life.
    #[serde(rename = "n")]
    pub number: u64,
    /// Epoch of the store in which that revision is.
    #[serde(rename = "E", default, skip_serializing_if = "is_zero_epoch")]
    pub epoch: u64,
    /// Revision of the store up to which the sender knows.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Version of the operator's configuration that it applies.
    #[serde(rename = "v")]
    pub version: u64,
    /// Where it answers questions.
    #[serde(rename = "a")]
    pub address: Option<SocketAddr>,
    /// Milliseconds since the store last answered it; none if it does not follow the store itself.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub seen_ms: Option<u32>,
    /// Milliseconds since the store told this instance, or one that knows the same, that its list of endpoints is the
    /// newest; none if it does not follow the store itself. Those that copy the list go by this.
    #[serde(rename = "G", default, skip_serializing_if = "Option::is_none")]
    pub list_ms: Option<u32>,
    /// Milliseconds since the store last told this instance that it knows the newest configuration. Told with
    /// beats only.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub config_ms: Option<u32>,
    /// Digest of the endpoints that it knows.
    #[serde(rename = "d", default)]
    pub digest: u64,
    /// Digest of the instances that it knows to be in the fleet. Told with beats only.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    pub roster: Option<u64>,
    /// Whether it reaches the store.
    #[serde(rename = "s", default)]
    pub has_store: bool,
    /// Whether it takes on any request: it knows what it must, and is not stopping.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub is_ready: bool,
    /// Whether it is about to end, and leaves it to others to represent the cell.
    #[serde(rename = "S", default, skip_serializing_if = "is_false")]
    pub is_stopping: bool,
    /// Instances of its cell that it hears, itself included. Told with beats only.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<u32>,
    /// Their names, likewise.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub heard_names: Option<super::Names>,
    /// Requests that endpoints execute for it, and the tokens of prompts that these have not answered
    /// with a first event; none where there are none.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// Whether all counters are told, of accounts and of endpoints used lately.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub in_full: bool,
    /// What it has seen of endpoints that it used lately. Told now and then only.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tallies: Vec<Tally>,
    /// What waits at it, the first in order first.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Claim>,
    /// Units admitted in this life, by client account.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub spent: Vec<(AccountId, u64)>,
    /// Whether it represents its cell among the others.
    #[serde(rename = "k", default, skip_serializing_if = "is_false")]
    pub is_representative: bool,
    /// Instances of its cell that take on requests, told to other cells.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub cell_ready: u32,
    /// What it knows of other cells, told to its own.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<super::FleetView>,
    /// Units admitted by all of its cell, as far as it has heard in this life, by client account. Told
    /// to other cells.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_spent: Vec<(AccountId, u64)>,
    /// Which cell that is. Told to other cells.
    #[serde(rename = "D", default, skip_serializing_if = "is_zero")]
    pub cell: u32,
    /// What of these units was admitted lately. Told by one that has begun to represent its cell.
    #[serde(rename = "L", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_lately: Vec<(AccountId, Lately)>,
    /// Whether all accounts that its cell has admitted units of are among them.
    #[serde(rename = "b", default, skip_serializing_if = "is_false")]
    pub is_cell_told: bool,
    /// Roll-outs, and how far they are.
    #[serde(rename = "R", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutRecord>,
    /// Answers of versions that are rolled out, in this life.
    #[serde(rename = "V", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<(ResponseCounterKey, u64)>,
    /// Those of all of its cell, as far as it has heard. Told to other cells.
    #[serde(rename = "C", default, skip_serializing_if = "Vec::is_empty")]
    pub cell_evidence: Vec<(ResponseCounterKey, u64)>,
    /// What accounts have used in each of the last seconds, the newest first. Told while an instance of its cell has
    /// just started.
    #[serde(rename = "W", default, skip_serializing_if = "Vec::is_empty")]
    pub windows: Vec<(AccountId, Window)>,
    /// What endpoints have said of themselves. Told with beats only.
    #[serde(rename = "B", default, skip_serializing_if = "ToldEndpoints::is_empty")]
    pub said: ToldEndpoints,
    /// What it knows of requests that end endpoints.
    #[serde(rename = "Q", default, skip_serializing_if = "QuarantineUpdate::is_empty")]
    pub quarantine: QuarantineUpdate,
    /// Where it knows representatives of other cells to be, or at the first start of a fleet all instances.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<SocketAddr>,
}

/// What endpoints have said of themselves in their answers.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ToldEndpoints {
    /// Limits, of endpoints that have named one.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<super::ToldLimit>,
    /// Endpoints that leave.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<EndpointKey>,
}

impl ToldEndpoints {
    /// Whether nothing is told.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty()
    }
}

/// What an instance has running at one endpoint. It travels as a list of its parts in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(EndpointKey, u32, u32)", into = "(EndpointKey, u32, u32)")]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests that it executes for the sender.
    pub running: u32,
    /// Tokens of their prompts that it has not answered with a first event.
    pub unread: u32,
}

impl From<(EndpointKey, u32, u32)> for Load {
    fn from((endpoint, running, unread): (EndpointKey, u32, u32)) -> Load {
        Load { endpoint, running, unread }
    }
}

impl From<Load> for (EndpointKey, u32, u32) {
    fn from(load: Load) -> (EndpointKey, u32, u32) {
        (load.endpoint, load.running, load.unread)
    }
}

/// What an instance has seen of one endpoint. The counters run from the start of its life. It travels as a
/// list of its parts in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "TallyParts", into = "TallyParts")]
pub struct Tally {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests that it answered well.
    pub good: u64,
    /// Requests that it failed.
    pub bad: u64,
    /// Nanoseconds to the first event for each unit of work; 0 if not measured.
    pub ns_per_unit: u64,
    /// Measurements behind that.
    pub samples: u32,
}

type TallyParts = (EndpointKey, u64, u64, u64, u32);

impl From<TallyParts> for Tally {
    fn from((endpoint, good, bad, ns_per_unit, samples): TallyParts) -> Tally {
        Tally { endpoint, good, bad, ns_per_unit, samples }
    }
}

impl From<Tally> for TallyParts {
    fn from(t: Tally) -> TallyParts {
        (t.endpoint, t.good, t.bad, t.ns_per_unit, t.samples)
    }
}

/// A waiting request. Ages are sent instead of times, since no two clocks agree.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Claim {
    /// The service it waits for.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Its rank; 0 goes first.
    #[serde(rename = "k")]
    pub rank: u16,
    /// Milliseconds for which it has waited.
    #[serde(rename = "w")]
    pub waited_ms: u32,
    /// Milliseconds from its arrival within which it should be answered.
    #[serde(rename = "o")]
    pub objective_ms: u32,
    /// Tokens of its prompt.
    #[serde(rename = "p")]
    pub prompt: u32,
    /// Tokens that its answer is expected to have.
    #[serde(rename = "n", default)]
    pub output: u32,
    /// How it holds up the streams beside it.
    #[serde(rename = "h")]
    pub stall: super::Stall,
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
