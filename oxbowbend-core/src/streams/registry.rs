//! The version of each stream, recorded when its first event goes to the client.
//!
//! A request that fails before its first event may be sent again to another version. A record that
//! was made when it was sent would be wrong then, and stay so with every instance and note that the
//! later one does not reach. So a send leaves no record: what others know of a stream is either right
//! or nothing.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::StreamOrigin;
use crate::ids::StreamKey;

/// Maximum number of records, about 100 bytes each.
pub const MAX_RECORDS: usize = 16_384;
/// Fraction of the records that are discarded at once when there are too many.
const DISCARDED_FRACTION: usize = 16;
/// Time for which a stream is reported after its last run ended here, to tolerate packet loss.
const REPORTED_AFTER_END: Duration = Duration::from_secs(1);
/// Time for which reports between heartbeats include a new stream.
const NEW_STREAM_PERIOD: Duration = Duration::from_millis(150);
/// Time for which a stream is noted after its last run is known to have ended: clients that lost
/// their instance are back by then.
const NOTED_AFTER_END: Duration = Duration::from_secs(3);
/// Minimum time between two sweeps of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A stream in a report or note. Serialized as a tuple of its fields in this order.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(from = "(StreamKey, u16)", into = "(StreamKey, u16)")]
pub struct ReportedStream {
    /// The stream.
    pub key: StreamKey,
    /// Tag of the client account.
    pub account: u16,
}

impl From<(StreamKey, u16)> for ReportedStream {
    fn from((key, account): (StreamKey, u16)) -> ReportedStream {
        ReportedStream { key, account }
    }
}

impl From<ReportedStream> for (StreamKey, u16) {
    fn from(stream: ReportedStream) -> (StreamKey, u16) {
        (stream.key, stream.account)
    }
}

/// Streams with the same origin.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StreamGroup {
    /// Where they began.
    #[serde(flatten)]
    pub origin: StreamOrigin,
    /// The streams.
    #[serde(rename = "k")]
    pub streams: Vec<ReportedStream>,
}

/// What is known of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Lookup {
    /// Where it began.
    Known(StreamOrigin),
    /// Its id names streams that began at different versions.
    Ambiguous,
    /// Nothing.
    #[default]
    Unknown,
}

#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    /// Another origin of a stream with this id, which makes the id ambiguous.
    other_origin: Option<StreamOrigin>,
    account: u16,
    /// Number of its runs at this instance.
    local_runs: u32,
    /// When a run of this instance last began to bring events.
    began_at: Option<Instant>,
    last_running: Instant,
    expires_at: Instant,
}

impl Record {
    fn new(now: Instant, origin: &StreamOrigin, account: u16) -> Record {
        Record {
            origin: origin.clone(),
            other_origin: None,
            account,
            local_runs: 0,
            began_at: None,
            last_running: now,
            expires_at: now,
        }
    }

    fn extend(&mut self, now: Instant, origin: &StreamOrigin, retention: Duration) {
        if self.origin != *origin {
            self.other_origin.get_or_insert_with(|| origin.clone());
        }
        self.last_running = now;
        self.expires_at = self.expires_at.max(now + retention);
    }

    fn origins(&self) -> impl Iterator<Item = &StreamOrigin> {
        std::iter::once(&self.origin).chain(&self.other_origin)
    }

    fn is_in_use(&self, now: Instant, after_end: Duration) -> bool {
        self.local_runs > 0 || now.saturating_duration_since(self.last_running) < after_end
    }
}

/// The streams that began at this instance or a peer.
#[derive(Debug, Default)]
pub struct StreamRegistry {
    records: HashMap<StreamKey, Record>,
    swept_at: Option<Instant>,
}

impl StreamRegistry {
    /// Records that the first event of a run at this instance is about to go to the client. The
    /// record is kept for `retention`.
    pub fn record_began(
        &mut self,
        now: Instant,
        stream: ReportedStream,
        origin: &StreamOrigin,
        retention: Duration,
    ) {
        let record = self.receive_one(now, stream, origin, retention);
        record.local_runs += 1;
        record.began_at = Some(now);
    }

    /// Records that such a run ended.
    pub fn record_ended(&mut self, now: Instant, key: StreamKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.local_runs = record.local_runs.saturating_sub(1);
            record.last_running = now;
        }
    }

    /// Takes in streams that a peer reports or that were noted.
    pub fn receive(&mut self, now: Instant, groups: &[StreamGroup], retention: Duration) {
        for StreamGroup { origin, streams } in groups {
            for stream in streams {
                self.receive_one(now, *stream, origin, retention);
            }
        }
    }

    fn receive_one(
        &mut self,
        now: Instant,
        stream: ReportedStream,
        origin: &StreamOrigin,
        retention: Duration,
    ) -> &mut Record {
        let ReportedStream { key, account } = stream;
        self.make_room(now, key);
        let record = self.records.entry(key).or_insert_with(|| Record::new(now, origin, account));
        record.extend(now, origin, retention);
        record
    }

    /// Takes in where a peer knows that a stream began.
    pub fn adopt(
        &mut self,
        now: Instant,
        stream: ReportedStream,
        origin: &StreamOrigin,
        retention: Duration,
    ) {
        self.receive_one(now, stream, origin, retention);
    }

    /// Returns how long ago a stream was last known to run, or zero if it runs here.
    pub fn age(&self, now: Instant, key: StreamKey) -> Option<Duration> {
        let record = self.records.get(&key)?;
        match record.local_runs {
            0 => Some(now.saturating_duration_since(record.last_running)),
            _ => Some(Duration::ZERO),
        }
    }

    /// Returns where a stream began.
    pub fn lookup(&self, now: Instant, key: StreamKey) -> Lookup {
        match self.records.get(&key).filter(|r| r.local_runs > 0 || r.expires_at > now) {
            Some(record) if record.other_origin.is_some() => Lookup::Ambiguous,
            Some(record) => Lookup::Known(record.origin.clone()),
            None => Lookup::Unknown,
        }
    }

    /// Returns the streams to report: those of this instance that run or have just ended, or only
    /// new ones if this is no heartbeat. `is_needed` tells of which services.
    pub fn to_report(
        &self,
        now: Instant,
        is_heartbeat: bool,
        is_needed: impl Fn(&StreamOrigin) -> bool,
    ) -> Vec<StreamGroup> {
        let is_due = |record: &Record| {
            let Some(began_at) = record.began_at else { return false };
            match is_heartbeat {
                true => record.is_in_use(now, REPORTED_AFTER_END),
                false => now.saturating_duration_since(began_at) < NEW_STREAM_PERIOD,
            }
        };
        self.groups(|record| is_due(record) && is_needed(&record.origin))
    }

    /// Returns the streams to note in the store: those that run at any instance or ended lately.
    pub fn to_note(
        &self,
        now: Instant,
        is_needed: impl Fn(&StreamOrigin) -> bool,
    ) -> Vec<StreamGroup> {
        self.groups(|record| record.is_in_use(now, NOTED_AFTER_END) && is_needed(&record.origin))
    }

    fn groups(&self, is_included: impl Fn(&Record) -> bool) -> Vec<StreamGroup> {
        let mut groups: BTreeMap<&StreamOrigin, Vec<ReportedStream>> = BTreeMap::new();
        for (key, record) in self.records.iter().filter(|(_, record)| is_included(record)) {
            let stream = ReportedStream { key: *key, account: record.account };
            for origin in record.origins() {
                groups.entry(origin).or_default().push(stream);
            }
        }
        let sorted = |mut streams: Vec<ReportedStream>| {
            streams.sort_unstable();
            streams
        };
        let group = |(origin, streams): (&StreamOrigin, _)| StreamGroup {
            origin: origin.clone(),
            streams: sorted(streams),
        };
        groups.into_iter().map(group).collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Discards expired records now and then.
    pub fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.swept_at.is_some_and(is_recent) {
            return;
        }
        self.swept_at = Some(now);
        self.records.retain(|_, record| record.local_runs > 0 || record.expires_at > now);
    }

    /// Makes room for a record if there are too many. The account with most records loses those that
    /// expire first, so that no account pushes out the records of others.
    fn make_room(&mut self, now: Instant, key: StreamKey) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&key) {
            return;
        }
        self.swept_at = None;
        self.sweep(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let mut counts: HashMap<u16, usize> = HashMap::new();
        for record in self.records.values() {
            *counts.entry(record.account).or_default() += 1;
        }
        let Some((account, count)) = counts.into_iter().max_by_key(|(_, count)| *count) else {
            return;
        };
        let of_account = self.records.iter().filter(|(_, record)| record.account == account);
        let mut by_expiry: Vec<_> = of_account.map(|(key, r)| (r.expires_at, *key)).collect();
        by_expiry.sort_unstable();
        for (_, key) in by_expiry.into_iter().take(count.div_ceil(DISCARDED_FRACTION)) {
            self.records.remove(&key);
        }
    }
}
