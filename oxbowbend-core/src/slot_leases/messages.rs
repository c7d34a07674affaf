//! Messages between requesters, holders, owners and candidates.

use std::net::SocketAddr;

use super::{DenialReason, SlotGroup};
use crate::ids::{EndpointId, EndpointKey, InstanceId};

/// Method of the JSON-RPC notification that carries a [`SlotNotification`].
pub const METHOD: &str = "slots";

/// The sender of a message.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Sender {
    /// Name of the instance; stable across restarts.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Random number that identifies this run of the process.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Where it receives messages.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// A message with its sender and the slots that it is about.
///
/// ```
/// use oxbowbend_core::slot_leases::{Sender, SlotGroup, SlotMessage, SlotNotification};
///
/// let address = "10.0.0.1:7600".parse()?;
/// let notification = SlotNotification {
///     sender: Sender { instance: "i".into(), incarnation: 5, address },
///     group: SlotGroup { service: "s".into(), zone: "z".into() },
///     message: SlotMessage::Grant { request: 1, endpoint: 7, lease_ms: 400 },
/// };
/// assert_eq!(
///     serde_json::to_string(&notification)?,
///     r#"{"f":{"i":"i","l":5,"a":"10.0.0.1:7600"},"g":{"s":"s","z":"z"},"m":{"g":{"n":1,"e":7,"t":400}}}"#,
/// );
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotNotification {
    /// Who sent the message.
    #[serde(rename = "f")]
    pub sender: Sender,
    /// The slots. One instance may own those of several groups.
    #[serde(rename = "g")]
    pub group: SlotGroup,
    /// The message.
    #[serde(rename = "m")]
    pub message: SlotMessage,
}

/// A message about the slots of one group.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum SlotMessage {
    /// Requester to owner: asks for a slot. A repeated request is answered like the first one.
    #[serde(rename = "q")]
    Request {
        /// Number of the request, unique within the incarnation of the sender.
        #[serde(rename = "n")]
        request: u64,
        /// Priority; 0 is the most urgent.
        #[serde(rename = "k")]
        rank: u16,
        /// How long it can wait, in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u32,
        /// Endpoints that it was already sent to.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        excluded: Vec<EndpointId>,
    },
    /// Owner to requester: the request has a slot.
    #[serde(rename = "g")]
    Grant {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: EndpointKey,
        /// Milliseconds until the lease expires unless it is renewed.
        #[serde(rename = "t")]
        lease_ms: u32,
    },
    /// Owner to requester: the request gets no slot. Also answers a renewal, with
    /// [`DenialReason::NotOwner`], for each of its leases.
    #[serde(rename = "d")]
    Denial {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// Why.
        #[serde(rename = "r")]
        reason: DenialReason,
        /// Milliseconds until it could get a slot.
        #[serde(rename = "t")]
        available_in_ms: u32,
    },
    /// Owner to requester: the request waits for a slot.
    #[serde(rename = "w")]
    Waiting {
        /// Number of the request.
        #[serde(rename = "n")]
        request: u64,
        /// Estimated milliseconds until it gets a slot.
        #[serde(rename = "t")]
        available_in_ms: u32,
    },
    /// Holder to owner: returns leases and withdraws waiting requests.
    #[serde(rename = "e")]
    Release {
        /// Numbers of the requests.
        #[serde(rename = "n")]
        requests: Vec<u64>,
    },
    /// Holder to owner: the leases that it still uses.
    #[serde(rename = "r")]
    Renewal {
        /// Number of the request and endpoint of each lease.
        #[serde(rename = "l")]
        leases: Vec<(u64, EndpointKey)>,
    },
    /// Candidate to a candidate before it: asks whether it is alive.
    #[serde(rename = "p")]
    Probe {
        /// Whether the sender is the owner.
        #[serde(rename = "o")]
        is_owner: bool,
    },
    /// Answer to [`SlotMessage::Probe`].
    #[serde(rename = "a")]
    ProbeReply {
        /// Whether the sender is the owner.
        #[serde(rename = "o")]
        is_owner: bool,
    },
}
