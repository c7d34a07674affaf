//! How long an instance has known that others have a newer configuration.

use std::time::{Duration, Instant};

/// Versions that reports of other instances show, against the one in force here.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::config_lag::ConfigLag;
///
/// let now = Instant::now();
/// let mut lag = ConfigLag::default();
/// lag.record(now, 7, 9);
/// let later = now + Duration::from_secs(1);
/// assert_eq!(lag.behind(later, 7), Some((9, Duration::from_secs(1))));
/// // A peer that is behind as well changes nothing.
/// lag.record(later, 7, 7);
/// assert!(lag.behind(later, 7).is_some());
/// assert!(lag.behind(later, 9).is_none());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigLag {
    newest: u64,
    since: Option<Instant>,
}

impl ConfigLag {
    /// Records the version in force here and the one that another instance reports.
    pub fn record(&mut self, now: Instant, version: u64, reported: u64) {
        if version >= self.newest {
            self.since = None;
        }
        if reported > version {
            self.since.get_or_insert(now);
        }
        self.newest = self.newest.max(reported);
    }

    /// Returns the newest version known and for how long one newer than `version` has been, if any is.
    pub fn behind(&self, now: Instant, version: u64) -> Option<(u64, Duration)> {
        let since = self.since.filter(|_| version < self.newest)?;
        Some((self.newest, now.saturating_duration_since(since)))
    }
}
