//! The requests that wait at an owner, in the order in which they get slots.

use std::time::Instant;

use super::{Holder, SlotRequest};
use crate::ids::EndpointId;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) holder: Holder,
    pub(super) request: u64,
    pub(super) rank: u16,
    /// End of its wait.
    pub(super) ends_at: Instant,
    pub(super) excluded: Vec<EndpointId>,
}

/// Waiting requests by rank, then by the end of their wait, then by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitingRequest {
    pub(super) fn new(now: Instant, holder: Holder, request: SlotRequest) -> WaitingRequest {
        WaitingRequest {
            holder,
            request: request.request,
            rank: request.rank,
            ends_at: now + request.wait,
            excluded: request.excluded,
        }
    }

    fn order(&self) -> (u16, Instant) {
        (self.rank, self.ends_at)
    }
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn get(&self, position: usize) -> Option<&WaitingRequest> {
        self.requests.get(position)
    }

    /// Returns the position that a request would get.
    pub(super) fn position(&self, request: &WaitingRequest) -> usize {
        self.requests.partition_point(|other| other.order() <= request.order())
    }

    pub(super) fn insert(&mut self, request: WaitingRequest) {
        self.requests.insert(self.position(&request), request);
    }

    pub(super) fn remove_at(&mut self, position: usize) -> WaitingRequest {
        self.requests.remove(position)
    }

    /// Withdraws a request of a holder.
    pub(super) fn remove(&mut self, holder: &Holder, request: u64) {
        self.requests.retain(|other| other.request != request || other.holder != *holder);
    }

    /// Withdraws the requests of other runs of the holder's instance, which have ended.
    pub(super) fn remove_other_runs(&mut self, holder: &Holder) {
        self.requests.retain(|other| {
            other.holder.instance != holder.instance
                || other.holder.incarnation == holder.incarnation
        });
    }

    /// Returns the earliest end of a wait.
    pub(super) fn first_end(&self) -> Option<Instant> {
        self.requests.iter().map(|request| request.ends_at).min()
    }
}
