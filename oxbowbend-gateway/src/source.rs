//! From whom an instance learns what the store holds.
//!
//! Every call to the store costs the users, and each change of an endpoint costs one call of
//! every instance that follows the store. So in a fleet of several cells, one instance of each
//! cell follows it, and the others copy what that one knows: its reports carry a digest of its list
//! of endpoints, and whoever holds another list asks for the whole one.
//!
//! Nobody is elected. Each instance copies from the first one by name that it hears to have been
//! answered by the store lately, and follows the store itself if there is none before it. What was
//! traded: two may follow for a moment after a start, and the loss of a source is noticed after half
//! of the time within which changes must be in force; a fleet of one cell does without.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxbowbend_core::cell::Report;
use oxbowbend_core::ids::InstanceId;

/// Part of the time within which changes must be in force for which a watch of endpoints waits. Its
/// answer is the sign that the store is still reached.
const WATCH_SHARE: f64 = 0.25;
/// Longest time after a change before the next ones are asked for by an instance that others copy
/// from. Each time the others fetch its list of endpoints: 11 of them 22 KB each at the users' larger
/// sites, 0.2 s of a link of 10 Mbit/s.
pub const GATHER: Duration = Duration::from_millis(400);
/// Time after a start before changes are asked for. Until then most instances of a large fleet have
/// heard from whom to copy.
const SETTLE: Duration = Duration::from_millis(800);
/// Part of it after the store's last answer for which an instance is copied from. The rest is for
/// those who copied to read the store themselves, some tens of milliseconds.
const FRESH_SHARE: f64 = 0.5;
/// Part of it for which an instance may know that its source has another list without getting it. A
/// source whose link is full answers late, and is relieved by each one that leaves it.
const BEHIND_SHARE: f64 = 0.25;
/// Part of it for which an instance that did not answer is not copied from.
const DISTRUST_SHARE: f64 = 1.0;

/// Returns the time after the first reading of the store before changes are asked for. Changes since
/// the reading are not lost, but arrive that much later; an instance that accepts requests and knows
/// no endpoint asks at once.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_gateway::source;
///
/// assert_eq!(source::settle_time(true, false), Duration::ZERO);
/// ```
pub fn settle_time(accepts_requests: bool, has_endpoints: bool) -> Duration {
    match accepts_requests && !has_endpoints {
        true => Duration::ZERO,
        false => SETTLE,
    }
}

/// Whom an instance learns from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store itself.
    Store,
    /// An instance of the same cell.
    Instance(InstanceId, SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("store"),
            Source::Instance(name, _) => f.write_str(name),
        }
    }
}

/// Chooses the source as time goes by.
#[derive(Debug)]
pub struct Sources {
    in_force: Duration,
    source: Source,
    /// Last answer of the store to this instance.
    answered: Option<Instant>,
    /// An instance that did not answer, and until when it is left alone.
    distrusted: Option<(InstanceId, Instant)>,
    /// Since when the source has had another list, and nothing was copied.
    behind: Option<Instant>,
}

impl Sources {
    /// Starts with the store. `in_force` is the time within which changes must be in force.
    pub fn new(in_force: Duration) -> Sources {
        Sources { in_force, source: Source::Store, answered: None, distrusted: None, behind: None }
    }

    /// The source.
    pub fn get(&self) -> &Source {
        &self.source
    }

    /// Whether this instance follows the store.
    pub fn is_store(&self) -> bool {
        self.source == Source::Store
    }

    /// Whether this instance copies from that one.
    pub fn is(&self, instance: &InstanceId) -> bool {
        matches!(&self.source, Source::Instance(name, _) if name == instance)
    }

    /// Time within which changes must be in force.
    pub fn in_force(&self) -> Duration {
        self.in_force
    }

    /// Time for which a watch that others rely on waits.
    pub fn watch(&self) -> Duration {
        self.in_force.mul_f64(WATCH_SHARE)
    }

    /// Notes an answer of the store.
    pub fn answered(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// Milliseconds since the store's last answer, to tell others; none while this instance does
    /// not follow it.
    pub fn seen_ms(&self, now: Instant) -> Option<u32> {
        let answered = self.answered.filter(|_| self.is_store())?;
        Some(now.saturating_duration_since(answered).as_millis().min(u32::MAX.into()) as u32)
    }

    /// Milliseconds since the list of endpoints was confirmed, to tell instances that could copy it;
    /// `None` unless this instance follows the store and the store answers it. Other instances with
    /// the same list can keep its age low, but do not tell this one of a newer configuration.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use oxbowbend_gateway::source::Sources;
    ///
    /// let sources = Sources::new(Duration::from_secs(3));
    /// let age = Some(Duration::from_millis(20));
    /// assert_eq!(sources.offered_age_ms(false, age), Some(20));
    /// assert_eq!(sources.offered_age_ms(true, age), None);
    /// ```
    pub fn offered_age_ms(&self, is_store_away: bool, list_age: Option<Duration>) -> Option<u32> {
        let age = list_age.filter(|_| self.is_store() && !is_store_away)?;
        Some(age.as_millis().min(u32::MAX.into()) as u32)
    }

    /// Notes whether the source, by its last report, has another list than this instance. One that has
    /// had it for too long is left.
    pub fn compared(&mut self, now: Instant, source: &InstanceId, is_other: bool) {
        if !is_other {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        let limit = self.in_force.mul_f64(BEHIND_SHARE);
        if now.saturating_duration_since(since) >= limit {
            log::warn!("event=source_too_slow source={source} behind_ms={}", limit.as_millis());
            self.failed(now, source);
        }
    }

    /// Notes that the source's list was copied. It may have changed again meanwhile.
    pub fn copied(&mut self) {
        self.behind = None;
    }

    /// Notes that an instance did not answer.
    pub fn failed(&mut self, now: Instant, instance: &InstanceId) {
        self.behind = None;
        let until = now + self.in_force.mul_f64(DISTRUST_SHARE);
        self.distrusted = Some((instance.clone(), until));
    }

    /// Chooses anew among the last reports of the cell's other instances, each with its age. One that
    /// the store does not answer copies from any that it answers, and goes on to. Returns whether the
    /// source is another one.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        me: &InstanceId,
        is_store_away: bool,
        reports: impl Iterator<Item = (&'a Report, Duration)>,
    ) -> bool {
        let fresh = self.in_force.mul_f64(FRESH_SHARE);
        let distrusted = self.distrusted.as_ref().filter(|(_, until)| now < *until);
        let distrusted = distrusted.map(|(instance, _)| instance);
        let is_source = |(report, age): &(&Report, Duration)| {
            let seen = report.endpoints_age_ms.map(|ms| Duration::from_millis(ms.into()) + *age);
            let is_in_order = report.instance < *me || is_store_away || self.is(&report.instance);
            is_in_order
                && seen.is_some_and(|seen| seen < fresh)
                && Some(&report.instance) != distrusted
        };
        let first = reports.filter(is_source).min_by(|(a, _), (b, _)| a.instance.cmp(&b.instance));
        let chosen = match first {
            Some((report, _)) => report.address.map_or(Source::Store, |address| {
                Source::Instance(report.instance.clone(), address)
            }),
            None => Source::Store,
        };
        let is_new = chosen != self.source;
        if is_new {
            self.behind = None;
        }
        self.source = chosen;
        is_new
    }
}
