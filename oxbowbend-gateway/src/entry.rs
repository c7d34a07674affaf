//! When this instance's entry in the store must be written or its lease renewed.

use std::time::{Duration, Instant};

use crate::seam::{Entry, Epoch, Lease};

/// Time for which the entry outlives this instance. Its absence makes the fleet look smaller, which
/// widens the quotas' shares, and loses the note of accounts' windows; eight seconds of these are
/// asked for at a start. Cells are worked out from the entries, and while those of instances come back that
/// were cut off for a while, not all know the same cells: after a cut of 8 s that a lease of 9 s did not
/// outlast, some instances refused requests over quota for 7 s more.
pub const TTL: Duration = Duration::from_secs(16);
/// Time between two renewals: three may be lost.
pub const RENEW: Duration = Duration::from_secs(4);

/// Time between two changes of the entry while no account is near its limit. A fleet that restarts then takes
/// up to a fifth of a window's use for free, of which such accounts have two fifths left; written every 0.4 s, the
/// notes were a quarter of all calls to the store of a fleet of 18.
pub const CALM: Duration = Duration::from_millis(1600);

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Enter with a new lease.
    Enroll,
    /// Renew the lease. A change of the entry does not do that.
    Renew(Lease),
    /// Write the changed entry.
    Update(Lease),
}

/// What was done, and the store's epoch in which.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Done {
    /// Entered with this lease.
    Enrolled(Lease),
    /// Renewed.
    Renewed(Epoch),
    /// Written.
    Updated(Epoch),
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
    lease: Option<Lease>,
    renewed: Option<Instant>,
    told: Option<Entry>,
    updated: Option<Instant>,
}

impl Upkeep {
    /// What is due if the entry should read so; nothing if all is well. A lease that runs out goes
    /// before a change of the entry, and that waits unless it is urgent: an account is near its limit, or a request has been quarantined.
    pub fn due(&self, now: Instant, entry: &Entry, is_urgent: bool) -> Option<Step> {
        let Some(lease) = self.lease else { return Some(Step::Enroll) };
        let is_old = |at| now.saturating_duration_since(at) >= RENEW;
        if self.renewed.is_none_or(is_old) {
            return Some(Step::Renew(lease));
        }
        let is_calm = |at| now.saturating_duration_since(at) < CALM;
        let is_verdict =
            self.told.as_ref().is_some_and(|told| told.quarantined != entry.quarantined);
        let may_wait = !is_urgent && !is_verdict && self.updated.is_some_and(is_calm);
        (!may_wait && self.told.as_ref() != Some(entry)).then_some(Step::Update(lease))
    }

    /// Notes that a step begun at `began` was done. In a later epoch than that of the lease it was done to
    /// somebody else's lease, or to none.
    pub fn done(&mut self, began: Instant, done: Done, entry: Entry) {
        match done {
            Done::Enrolled(lease) => {
                self.lease = Some(lease);
                (self.renewed, self.told) = (Some(began), Some(entry));
            }
            Done::Renewed(epoch) | Done::Updated(epoch) if self.is_of_before(epoch) => self.lost(),
            Done::Renewed(_) => self.renewed = Some(began),
            Done::Updated(_) => (self.updated, self.told) = (Some(began), Some(entry)),
        }
    }

    /// Whether the lease was granted before an epoch of the store.
    pub fn is_of_before(&self, epoch: Epoch) -> bool {
        self.lease.is_some_and(|lease| lease.epoch < epoch)
    }

    /// Notes that the lease has ended.
    pub fn lost(&mut self) {
        *self = Upkeep::default();
    }

    /// The entry without notes, to be written at a stop if it has any: nobody keeps them up to date any more. Not in
    /// another epoch of the store, where the lease may be another instance's.
    pub fn last_word(&self, epoch: Epoch) -> Option<(Lease, Entry)> {
        let lease = self.lease.filter(|lease| lease.epoch >= epoch)?;
        let told = self.told.as_ref()?;
        let entry = Entry {
            paces: Vec::new(),
            used: Vec::new(),
            quarantined: Vec::new(),
            rollouts: Vec::new(),
            streams: Vec::new(),
            versions: Vec::new(),
            ..told.clone()
        };
        (*told != entry).then_some((lease, entry))
    }

    /// The lease, if there is one.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }
}
