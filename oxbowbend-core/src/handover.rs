//! Choice of the peer that serves a request for an instance that reaches no endpoint.
//!
//! The peer treats the request like one that arrived there, so all limits and quotas are checked
//! where the request is sent from. Requests are spread over all peers by what this instance has
//! given them and by what waits there; the availability zone only decides between equals, since the
//! few peers that are left in a zone could not carry its whole load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::cell::Report;
use crate::config_order::{self, ConfigVersion};
use crate::ids::{InstanceId, ServiceId, ZoneId};

/// Peers tried for one request.
pub const MAX_PEERS_TRIED: usize = 3;
/// Age of a report after which its sender is not chosen: three heartbeats.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// A peer chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenPeer {
    /// The peer.
    pub instance: InstanceId,
    /// Where it accepts requests of other instances.
    pub address: SocketAddr,
    /// Age of the report that the choice rests on.
    pub report_age: Duration,
}

/// What a choice depends on, besides the peers.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The availability zone of this instance.
    pub zone: &'a ZoneId,
    /// Version of this instance's configuration.
    pub config_version: ConfigVersion,
    /// The service that the peer must reach.
    pub service: &'a ServiceId,
    /// Peers that did not accept the request.
    pub excluded: &'a [InstanceId],
}

/// Requests of this instance that peers are serving.
#[derive(Clone, Debug, Default)]
pub struct Handovers {
    in_progress: HashMap<InstanceId, u32>,
}

impl Handovers {
    /// Chooses a peer that serves requests and reaches endpoints, if there is one.
    pub fn choose<'a>(
        &self,
        reports: impl Iterator<Item = (&'a Report, Duration)>,
        criteria: Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<ChosenPeer> {
        let suitable = reports.filter(|(report, age)| criteria.admits(report, *age));
        let (report, report_age) = suitable.min_by_key(|(report, _)| {
            let given = self.in_progress.get(&report.instance).copied().unwrap_or(0);
            let load = given.saturating_add(report.waiting.len() as u32);
            (load, report.zone != *criteria.zone, rng.random::<u32>())
        })?;
        let address = SocketAddr::new(report.address?.ip(), report.handover_port?);
        Some(ChosenPeer { instance: report.instance.clone(), address, report_age })
    }

    /// Records that a peer has been given a request.
    pub fn start(&mut self, peer: &InstanceId) {
        *self.in_progress.entry(peer.clone()).or_default() += 1;
    }

    /// Records that a request of a peer has ended.
    pub fn finish(&mut self, peer: &InstanceId) {
        let Some(count) = self.in_progress.get_mut(peer) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_progress.remove(peer);
        }
    }

    /// Returns the number of requests that peers are serving.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.values().sum()
    }
}

impl Criteria<'_> {
    fn admits(&self, report: &Report, age: Duration) -> bool {
        report.handover_port.is_some()
            && report.address.is_some()
            && report.is_ready
            && !report.is_stopping
            && !report.isolated_services.contains(self.service)
            && age < MAX_REPORT_AGE
            && config_order::may_handle(Some(self.config_version), report.config_version)
            && !self.excluded.contains(&report.instance)
    }
}
