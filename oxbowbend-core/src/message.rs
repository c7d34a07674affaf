//! Messages between instances.
//!
//! Every message is one-way. Any of them may be lost, repeated or overtaken by one sent on another
//! connection; each receiver is written so that no such event breaks a limit or runs a request
//! twice. Only messages between the same two instances keep their order.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::membership;

/// What a scheduler knows of a waiting request; the body stays at the entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestInfo {
    /// The request.
    pub id: ids::RequestId,
    /// The attempt that this record stands for.
    pub attempt: ids::Attempt,
    /// Pool that the request is for.
    pub pool: ids::PoolId,
    /// Client account that sent it.
    pub account: ids::AccountId,
    /// Its tier.
    pub tier: ids::TierLevel,
    /// Weight of the account within the tier.
    pub weight: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// Cumulative hashes of the prompt's leading blocks, the shortest first.
    pub prefix: Vec<u64>,
    /// Milliseconds left until the deadline when the record was written.
    pub due_in_ms: u64,
}

impl RequestInfo {
    /// Estimated tokens of work, the unit of fairness.
    pub fn work(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// What a permit allows one more of.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PermitKey {
    /// A request running at this endpoint.
    Endpoint(ids::EndpointId),
    /// A request of this client account running anywhere.
    Account(ids::AccountId),
}

/// One of the permits of a key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Permit {
    /// What it is for.
    pub key: PermitKey,
    /// Which of the key's permits it is.
    pub index: u32,
}

/// A permit's owner along a grant's way, and the permit once the owner has reserved it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hop {
    /// Owner to ask.
    pub owner: ids::InstanceId,
    /// What is asked for.
    pub key: PermitKey,
    /// Which permit the owner reserved.
    pub index: Option<u32>,
}

/// A grant on its way from a scheduler through the owners to the entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The request granted.
    pub request: ids::RequestId,
    /// The attempt granted; any other makes the grant void.
    pub attempt: ids::Attempt,
    /// Pool of the request.
    pub pool: ids::PoolId,
    /// Endpoint to dispatch to.
    pub endpoint: ids::EndpointId,
    /// Entry instance that holds the request.
    #[serde(rename = "entry")]
    pub ingress: ids::InstanceId,
    /// Scheduler that decided.
    pub scheduler: ids::InstanceId,
    /// The scheduler's count of grants sent to the endpoint's owner, to date its offers.
    #[serde(rename = "ask")]
    pub seq: u64,
    /// Owners still to reserve or already reserved, in order.
    pub hops: Vec<Hop>,
}

/// How many permits an owner has free for an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Pool of the endpoint.
    pub pool: ids::PoolId,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Free permits.
    pub free: u32,
    /// Permits owned, free or not.
    pub owned: u32,
    /// The latest [`Grant::seq`] of this scheduler that the numbers include.
    #[serde(rename = "asks_seen")]
    pub last_seq: u64,
}

/// Proof of what an entry holds in a pool, sent with each heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolDigest {
    /// The pool.
    pub pool: ids::PoolId,
    /// Order-independent digest of the requests held and their attempts and states.
    pub digest: u64,
    /// The latest shed floor that the entry enforces.
    #[serde(rename = "floor")]
    pub threshold_seq: u64,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The pool is full and nothing of a lower tier is kept.
    Shed,
    /// The deadline cannot be met.
    Deadline,
    /// Nothing can serve the pool at present.
    Unavailable,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The whole answer came.
    #[default]
    Complete,
    /// The caller went away; this says nothing about the endpoint.
    Cancelled,
    /// The endpoint refused, failed or cut the answer off.
    Failed,
}

/// What a finished run showed, for learning.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: RunOutcome,
    /// Milliseconds to the first token, if one came.
    pub first_token_ms: Option<u64>,
    /// Milliseconds from dispatch to the end.
    pub total_ms: u64,
    /// Prompt tokens processed, where the endpoint said so.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the endpoint's cache, where it said so.
    pub cached_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
}

/// The grant of one attempt of a request.
pub type GrantId = (ids::RequestId, ids::Attempt);

/// A permit and the grant that uses it, or may use it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitUse {
    /// The permit.
    pub permit: Permit,
    /// The grant.
    pub grant: GrantId,
    /// Endpoint at which the request runs.
    pub endpoint: ids::EndpointId,
}

/// A message from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Entry to scheduler: a request waits.
    Enqueue(RequestInfo),
    /// Entry to scheduler: a request waits no longer.
    Withdraw {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
    },
    /// Entry to scheduler: a grant was accepted.
    #[serde(rename = "Taken")]
    Accepted {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
    },
    /// Entry to scheduler: a run has ended.
    Done {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// What the run showed.
        report: RunReport,
    },
    /// Entry to scheduler: everything held in a pool, waiting and running.
    #[serde(rename = "Report")]
    Snapshot {
        /// The pool.
        pool: ids::PoolId,
        /// Requests that wait.
        waiting: Vec<RequestInfo>,
        /// Requests that run, and where.
        running: Vec<(RequestInfo, ids::EndpointId)>,
    },
    /// Member to scheduler: sign of life with digests.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Number of the message.
        seq: u64,
        /// Digests by pool.
        pools: Vec<PoolDigest>,
    },
    /// Scheduler to member: answer to a heartbeat, naming the pools whose digest differs.
    #[serde(rename = "BeatAck")]
    HeartbeatAck {
        /// Number of the message.
        seq: u64,
        /// Pools whose report is wanted.
        resync: Vec<ids::PoolId>,
    },
    /// Owner to scheduler: free permits have changed.
    Offer(Vec<Offer>),
    /// Scheduler to owner, owner to owner, owner to entry.
    Grant(Grant),
    /// Owner to scheduler: no permit of `key` is free.
    Denied {
        /// The grant.
        grant: Grant,
        /// What the permit is for.
        key: PermitKey,
    },
    /// Entry or owner to owner: the permit is not needed or no longer needed.
    Release {
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// What the permit is for.
        key: PermitKey,
    },
    /// Owner to entry: which of these do you use?
    #[serde(rename = "Inquire")]
    QueryUsage {
        /// The permits and their grants.
        uses: Vec<PermitUse>,
    },
    /// Entry to owner: these are not used and never will be.
    #[serde(rename = "NotUsed")]
    NotInUse {
        /// The permits and their grants.
        uses: Vec<PermitUse>,
    },
    /// Entry to owner: these are used.
    #[serde(rename = "Used")]
    InUse {
        /// The grants.
        grants: Vec<GrantId>,
    },
    /// Scheduler to entry: give the caller its final answer.
    Refuse {
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// Why.
        reason: RefusalReason,
        /// Milliseconds after which to come back.
        retry_after_ms: u64,
    },
    /// Scheduler to member: shed arrivals below the given tier; `None` lifts the floor.
    #[serde(rename = "Floor")]
    ShedThreshold {
        /// The pool.
        pool: ids::PoolId,
        /// Number of the message.
        seq: u64,
        /// Lowest tier that is still kept.
        #[serde(rename = "keep")]
        lowest_kept: Option<ids::TierLevel>,
    },
    /// Member to all: I should own these permits; may I?
    Claim {
        /// Number of the claim.
        nonce: u64,
        /// The instance list that the claim rests on.
        list: membership::InstanceList,
        /// The permits claimed.
        permits: Vec<Permit>,
    },
    /// Answer to a claim: what the sender keeps, what it cedes, and what it uses as an entry.
    ClaimReply {
        /// Number of the claim.
        nonce: u64,
        /// What the sender keeps.
        held: Vec<Permit>,
        /// What the sender cedes.
        ceded: Vec<Permit>,
        /// What requests of the sender use.
        used: Vec<PermitUse>,
    },
    /// A member is stopping and takes no new share.
    Leaving,
    /// An endpoint itself said that it is leaving.
    EndpointLeaving(ids::EndpointId),
}
