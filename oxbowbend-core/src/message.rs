//! Messages between instances.
//!
//! All messages are one-way. They may be lost or duplicated, and only those from one instance to
//! another keep their order. Receivers must exceed no limit and run no request twice in any such
//! case.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::membership;

/// Description of a request for its scheduler. The body stays at the ingress instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestInfo {
    /// The request.
    pub id: ids::RequestId,
    /// Current attempt of the request.
    pub attempt: ids::Attempt,
    /// Pool of the request.
    pub pool: ids::PoolId,
    /// Client account of the request.
    pub account: ids::AccountId,
    /// Tier of the request.
    pub tier: ids::TierLevel,
    /// Weight of the account within the tier.
    pub weight: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// Cumulative hashes of the prompt's leading blocks, the shortest prefix first.
    pub prefix: Vec<u64>,
    /// Milliseconds left until the deadline when the message was created.
    pub due_in_ms: u64,
}

impl RequestInfo {
    /// Estimated work in tokens, by which accounts share the service.
    pub fn work(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// The limit that a permit belongs to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PermitKey {
    /// Requests running at an endpoint.
    Endpoint(ids::EndpointId),
    /// Requests of a client account running at any endpoint.
    Account(ids::AccountId),
}

/// One permit of a limit.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Permit {
    /// The limit.
    pub key: PermitKey,
    /// Index among the permits of the limit.
    pub index: u32,
}

/// An owner on a grant's path, and the permit that it has reserved.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hop {
    /// Owner of the permit.
    pub owner: ids::InstanceId,
    /// The limit that requires the permit.
    pub key: PermitKey,
    /// Index of the reserved permit, once the owner has reserved it.
    pub index: Option<u32>,
}

/// A grant, sent by a scheduler through the permit owners to the ingress instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The granted request.
    pub request: ids::RequestId,
    /// The granted attempt. The grant is invalid for any other attempt.
    pub attempt: ids::Attempt,
    /// Pool of the request.
    pub pool: ids::PoolId,
    /// Endpoint to dispatch the request to.
    pub endpoint: ids::EndpointId,
    /// Ingress instance that holds the request.
    #[serde(rename = "entry")]
    pub ingress: ids::InstanceId,
    /// Scheduler that sent the grant.
    pub scheduler: ids::InstanceId,
    /// Sequence number among the scheduler's grants to the owner of the endpoint's permit.
    #[serde(rename = "ask")]
    pub seq: u64,
    /// Owners that have reserved or must reserve a permit, in order.
    pub hops: Vec<Hop>,
}

/// An owner's free permits for an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Pool of the endpoint.
    pub pool: ids::PoolId,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of free permits.
    pub free: u32,
    /// Number of owned permits, free or not.
    pub owned: u32,
    /// The latest [`Grant::seq`] of the receiving scheduler that `free` accounts for.
    #[serde(rename = "asks_seen")]
    pub last_seq: u64,
}

/// Digest of an ingress instance's requests in a pool, sent with heartbeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolDigest {
    /// The pool.
    pub pool: ids::PoolId,
    /// Order-independent digest of the ids, attempts and states of the requests.
    pub digest: u64,
    /// Sequence number of the shed threshold in force, or 0.
    #[serde(rename = "floor")]
    pub threshold_seq: u64,
}

/// Reason for the refusal of a request that was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The pool's queue is full.
    Shed,
    /// The request cannot finish before its deadline.
    Deadline,
    /// No endpoint can serve the request at present.
    Unavailable,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The whole response was received.
    #[default]
    Complete,
    /// The run was cancelled, which says nothing about the endpoint.
    Cancelled,
    /// The endpoint refused the request, failed or closed the connection early.
    Failed,
}

/// Measurements of a finished run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// Outcome of the run.
    #[serde(rename = "end")]
    pub outcome: RunOutcome,
    /// Milliseconds from dispatch to the first token, if there was one.
    pub first_token_ms: Option<u64>,
    /// Milliseconds from dispatch to the end.
    pub total_ms: u64,
    /// Prompt tokens processed, if reported by the endpoint.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the endpoint's cache, if reported by the endpoint.
    pub cached_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
}

/// Identifies the grants of one attempt of a request.
pub type GrantId = (ids::RequestId, ids::Attempt);

/// A permit and the grant that uses or may use it.
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
    /// From ingress instance to scheduler: a request is waiting.
    Enqueue(RequestInfo),
    /// From ingress instance to scheduler: a request is no longer waiting.
    Withdraw {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
    },
    /// From ingress instance to scheduler: a grant was accepted.
    #[serde(rename = "Taken")]
    Accepted {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
    },
    /// From ingress instance to scheduler: a run has ended.
    Done {
        /// The pool.
        pool: ids::PoolId,
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// Measurements of the run.
        report: RunReport,
    },
    /// From ingress instance to scheduler: all requests held in a pool.
    #[serde(rename = "Report")]
    Snapshot {
        /// The pool.
        pool: ids::PoolId,
        /// Waiting requests.
        waiting: Vec<RequestInfo>,
        /// Running requests and their endpoints.
        running: Vec<(RequestInfo, ids::EndpointId)>,
    },
    /// From any instance to a scheduler: heartbeat with digests.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Sequence number of the heartbeat.
        seq: u64,
        /// Digests by pool.
        pools: Vec<PoolDigest>,
    },
    /// From scheduler to the sender of a heartbeat: acknowledgement.
    #[serde(rename = "BeatAck")]
    HeartbeatAck {
        /// Sequence number of the heartbeat.
        seq: u64,
        /// Pools whose digest differs and for which a snapshot is requested.
        resync: Vec<ids::PoolId>,
    },
    /// From owner to scheduler: the number of free permits has changed.
    Offer(Vec<Offer>),
    /// From scheduler to owner, between owners, and from owner to ingress instance.
    Grant(Grant),
    /// From owner to scheduler: no permit of `key` is free.
    Denied {
        /// The grant.
        grant: Grant,
        /// The limit without a free permit.
        key: PermitKey,
    },
    /// From ingress instance or owner to owner: the permit is not needed or no longer needed.
    Release {
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// The limit that the permit belongs to.
        key: PermitKey,
    },
    /// From owner to ingress instance: asks which of these grants are in use.
    #[serde(rename = "Inquire")]
    QueryUsage {
        /// The permits and their grants.
        uses: Vec<PermitUse>,
    },
    /// From ingress instance to owner: these grants are not, and will not be, in use.
    #[serde(rename = "NotUsed")]
    NotInUse {
        /// The permits and their grants.
        uses: Vec<PermitUse>,
    },
    /// From ingress instance to owner: these grants are in use.
    #[serde(rename = "Used")]
    InUse {
        /// The grants.
        grants: Vec<GrantId>,
    },
    /// From scheduler to ingress instance: a request is refused.
    Refuse {
        /// The request.
        request: ids::RequestId,
        /// Its attempt.
        attempt: ids::Attempt,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u64,
    },
    /// From scheduler to ingress instance: shed requests of tiers lower than the threshold.
    #[serde(rename = "Floor")]
    ShedThreshold {
        /// The pool.
        pool: ids::PoolId,
        /// Sequence number of the threshold.
        seq: u64,
        /// Lowest tier that is kept, or `None` to lift the threshold.
        #[serde(rename = "keep")]
        lowest_kept: Option<ids::TierLevel>,
    },
    /// From any instance to all others: claims permits that are assigned to the sender.
    Claim {
        /// Nonce of the claim.
        nonce: u64,
        /// The instance list on which the claim is based.
        list: membership::InstanceList,
        /// The permits claimed.
        permits: Vec<Permit>,
    },
    /// Reply to a claim.
    ClaimReply {
        /// Nonce of the claim.
        nonce: u64,
        /// Permits that the sender keeps.
        held: Vec<Permit>,
        /// Permits that the sender cedes.
        ceded: Vec<Permit>,
        /// Claimed permits used by requests of the sender.
        used: Vec<PermitUse>,
    },
    /// The sender is shutting down and must be assigned no more permits or pools.
    Leaving,
    /// An endpoint announced that it is shutting down.
    EndpointLeaving(ids::EndpointId),
}
