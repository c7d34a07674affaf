//! What is done for a request that searches for a slot.

use std::time::Duration;

use super::{SlotGroup, SlotRequest};
use crate::ids::{EndpointKey, InstanceId};

/// Something to do for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequesterAction {
    /// Send a request to an owner, which may be this instance itself.
    Ask {
        /// The instance to ask.
        owner: InstanceId,
        /// The slots.
        group: SlotGroup,
        /// The request, with the wait at this owner.
        request: SlotRequest,
    },
    /// Return a lease that is not used, or withdraw the request, at an owner.
    Release {
        /// The owner to tell.
        owner: InstanceId,
        /// The slots.
        group: SlotGroup,
        /// Number of the request.
        request: u64,
    },
    /// Send the request to this endpoint, and hold the lease while it runs. Final.
    Place {
        /// The owner that granted the slot.
        owner: InstanceId,
        /// The slots.
        group: SlotGroup,
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// No owner can be reached or knows its slots: place the request by what the cell knows. Final.
    PlaceUnleased,
    /// No slot becomes free in time. Final.
    GiveUp {
        /// Time until an owner expects a slot for it.
        available_in: Duration,
    },
}
