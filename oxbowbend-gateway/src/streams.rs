//! Endpoints of the version that began a stream.

use std::time::Instant;

use oxbowbend_core::ids::{ServiceId, VersionId};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::streams::StreamOrigin;
use rand::seq::IteratorRandom;

use crate::shared::State;

impl State {
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
}

/// The version of an endpoint as logs show it.
pub(crate) fn shown(version: &VersionId) -> &str {
    if version.is_empty() {
        "-"
    } else {
        version
    }
}
