//! When this instance's entry in the store must be written or its lease renewed.

use std::time::{Duration, Instant};

use crate::seam::{Entry, LeaseId};

/// Time for which the entry outlives this instance. Its absence makes the fleet look smaller, which
/// widens the quotas' shares, and loses the note of accounts' windows; eight seconds of these are
/// asked for at a start.
pub const TTL: Duration = Duration::from_secs(9);
/// Time between two renewals: two may be lost.
pub const RENEW: Duration = Duration::from_secs(3);

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Enter with a new lease.
    Enroll,
    /// Renew the lease. A change of the entry does not do that.
    Renew(LeaseId),
    /// Write the changed entry.
    Update(LeaseId),
}

impl Step {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Step::Enroll => "enroll",
            Step::Renew(_) => "renew",
            Step::Update(_) => "update",
        }
    }
}

/// What has been done about the entry.
#[derive(Debug, Default)]
pub struct Upkeep {
    lease: Option<LeaseId>,
    renewed: Option<Instant>,
    told: Option<Entry>,
}

impl Upkeep {
    /// What is due if the entry should read so; nothing if all is well. A lease that runs out goes
    /// before a change of the entry.
    pub fn due(&self, now: Instant, entry: &Entry) -> Option<Step> {
        let Some(lease) = self.lease else { return Some(Step::Enroll) };
        let is_old = |at| now.saturating_duration_since(at) >= RENEW;
        if self.renewed.is_none_or(is_old) {
            return Some(Step::Renew(lease));
        }
        (self.told.as_ref() != Some(entry)).then_some(Step::Update(lease))
    }

    /// Notes that a step begun at `began` was done.
    pub fn done(&mut self, began: Instant, step: Step, lease: LeaseId, entry: Entry) {
        self.lease = Some(lease);
        match step {
            Step::Enroll => (self.renewed, self.told) = (Some(began), Some(entry)),
            Step::Renew(_) => self.renewed = Some(began),
            Step::Update(_) => self.told = Some(entry),
        }
    }

    /// Notes that the lease has ended.
    pub fn lost(&mut self) {
        *self = Upkeep::default();
    }

    /// The lease, if there is one.
    pub fn lease(&self) -> Option<LeaseId> {
        self.lease
    }
}
