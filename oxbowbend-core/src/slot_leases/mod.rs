//! Leases of the slots of services with few endpoints.
//!
//! A service with fewer than two endpoints per cell is used by all cells, and no cell knows what
//! the others run there. For each zone, one instance therefore grants the slots of the service's
//! endpoints of that zone to all instances: the [`Owner`]. [`Ownership`] tells which instance that
//! is. [`Requester`] decides which owners to ask for one request, and [`HeldLeases`] when to renew
//! what was granted.
//!
//! The state is only in the owner's memory. After the owner fails, the next candidate waits for
//! one [`LEASE`] before it grants; during this time, holders repeat their leases to it.
//!
//! # Usage
//!
//! For each message, call [`Ownership::record_heard`] first, or [`Ownership::record_claim`] for a
//! probe and the answer to one, and use the [`Owner`] only if [`Ownership::is_owner`] says so
//! afterwards. Requests and renewals call [`Ownership::record_asked`], and are answered with
//! [`DenialReason::NotOwner`] if this instance is not the owner. A grant that neither a
//! [`Requester`] nor [`HeldLeases::get`] knows is released at its sender. An instance that asks or
//! tells itself skips the network, but nothing else.

mod actions;
mod held;
mod messages;
mod owner;
mod ownership;
mod requester;
mod share;
mod wait_queue;

use std::time::Duration;

use crate::ids::{EndpointId, EndpointKey, InstanceId, ServiceId, ZoneId};

pub use self::actions::RequesterAction;
pub use self::held::{DueRenewal, HeldLease, HeldLeases};
pub use self::messages::{Sender, SlotMessage, SlotNotification, METHOD};
pub use self::owner::{Owner, OwnerLoad};
pub use self::ownership::{Ownership, OwnershipChange};
pub use self::requester::{group_order, Ownerships, Requester};

/// Duration of a lease, and time for which a new owner only listens to renewals.
pub const LEASE: Duration = Duration::from_millis(400);
/// Time between two renewals of a lease. Three may be lost before the lease expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which an owner answers a request. The round trip between zones takes 3 ms at most.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for which an owner that did not answer is not asked again.
pub const SKIP_TIME: Duration = Duration::from_secs(1);
/// Time without a sign of life after which the candidates before this instance count as dead.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// The endpoints of one service in one zone, whose slots one owner grants.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct SlotGroup {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Availability zone of the endpoints.
    #[serde(rename = "z")]
    pub zone: ZoneId,
}

/// One run of an instance that asks for slots or holds leases.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// Name of the instance; stable across restarts.
    pub instance: InstanceId,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
}

/// An endpoint whose slots an owner grants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnedEndpoint {
    /// One run of the endpoint.
    pub key: EndpointKey,
    /// The endpoint as declared in the configuration.
    pub id: EndpointId,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether its slots may be granted; not while it drains.
    pub is_open: bool,
}

/// A request for one slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotRequest {
    /// Number of the request, unique within the incarnation of the holder.
    pub request: u64,
    /// Priority; 0 is the most urgent.
    pub rank: u16,
    /// How long it can wait for a slot.
    pub wait: Duration,
    /// Endpoints that it was already sent to.
    pub excluded: Vec<EndpointId>,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum DenialReason {
    /// No slot becomes free within the wait.
    #[serde(rename = "f")]
    Full,
    /// Another instance may be the owner.
    #[serde(rename = "n")]
    NotOwner,
    /// The owner does not know yet which slots are taken.
    #[serde(rename = "r")]
    Recovering,
    /// There is no open endpoint that the request was not sent to yet.
    #[serde(rename = "e")]
    NoEndpoint,
}

/// An answer of an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The holder may use a slot of `endpoint`.
    Grant {
        /// The holder to tell.
        holder: Holder,
        /// Number of its request.
        request: u64,
        /// The endpoint.
        endpoint: EndpointKey,
        /// Time until the lease expires unless it is renewed.
        lease: Duration,
    },
    /// The request gets no slot and is forgotten.
    Denial {
        /// The holder to tell.
        holder: Holder,
        /// Number of its request.
        request: u64,
        /// Why.
        reason: DenialReason,
        /// Time until it could get a slot.
        available_in: Duration,
    },
    /// The request waits; a grant or denial follows. Without this answer the requester could not
    /// tell an owner that is full from one that is dead.
    Waiting {
        /// The holder to tell.
        holder: Holder,
        /// Number of its request.
        request: u64,
        /// Estimated time until it gets a slot.
        available_in: Duration,
    },
}
