//! The version of each stream, recorded before the stream begins.
//!
//! A record is made when a request is sent, which leaves the time until the first event to report
//! it. A request that fails before its first event may be sent again to another version; each record
//! counts the sends of its instance, so that an earlier report does not replace a later one.

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
/// Time for which reports between heartbeats include a new send.
const NEW_SEND_PERIOD: Duration = Duration::from_millis(150);
/// Time for which a stream is noted after its last run is known to have ended: clients that lost
/// their instance are back by then.
const NOTED_AFTER_END: Duration = Duration::from_secs(3);
/// Minimum time between two sweeps of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Added to the send count of a request that another instance handed over, since that instance may
/// have sent it before.
const HANDOVER_SENDS: u32 = 1000;

/// A stream in a report or note. Serialized as a tuple of its fields in this order.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(from = "(StreamKey, u32, u16, u16)", into = "(StreamKey, u32, u16, u16)")]
pub struct ReportedStream {
    /// The stream.
    pub key: StreamKey,
    /// Number of sends by `sender` so far.
    pub sends: u32,
    /// Tag of the instance that sent it.
    pub sender: u16,
    /// Tag of the client account.
    pub account: u16,
}

impl From<(StreamKey, u32, u16, u16)> for ReportedStream {
    fn from((key, sends, sender, account): (StreamKey, u32, u16, u16)) -> ReportedStream {
        ReportedStream { key, sends, sender, account }
    }
}

impl From<ReportedStream> for (StreamKey, u32, u16, u16) {
    fn from(stream: ReportedStream) -> (StreamKey, u32, u16, u16) {
        (stream.key, stream.sends, stream.sender, stream.account)
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
    /// Several instances sent it to different versions, and it is not known which one began it.
    Ambiguous,
    /// Nothing.
    #[default]
    Unknown,
}

/// A request for a stream that is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct StreamSend {
    /// The stream.
    pub key: StreamKey,
    /// Tag of the client account.
    pub account: u16,
    /// Service and version of the endpoint.
    pub origin: StreamOrigin,
    /// Whether another instance handed the request over.
    pub is_handed_over: bool,
}

#[derive(Clone, Debug)]
struct Record {
    origin: StreamOrigin,
    sends: u32,
    sender: u16,
    account: u16,
    is_ambiguous: bool,
    /// Number of its runs at this instance.
    local_runs: u32,
    /// When it was last sent by this instance.
    sent_at: Option<Instant>,
    last_running: Instant,
    expires_at: Instant,
}

impl Record {
    /// Takes in what another instance knows. Of two instances, one that was handed the request sent
    /// it later.
    fn merge(&mut self, origin: &StreamOrigin, stream: &ReportedStream) {
        let is_later = match self.sender == stream.sender {
            true => stream.sends > self.sends,
            false => stream.sends / HANDOVER_SENDS > self.sends / HANDOVER_SENDS,
        };
        let is_earlier = match self.sender == stream.sender {
            true => stream.sends < self.sends,
            false => stream.sends / HANDOVER_SENDS < self.sends / HANDOVER_SENDS,
        };
        if is_later {
            (self.origin, self.sends, self.sender) = (origin.clone(), stream.sends, stream.sender);
        } else if !is_earlier && self.origin != *origin {
            self.is_ambiguous = true;
        }
    }

    fn reported(&self, key: StreamKey) -> ReportedStream {
        let Record { sends, sender, account, .. } = *self;
        ReportedStream { key, sends, sender, account }
    }
}

/// The streams that this instance or a peer sent to endpoints.
#[derive(Debug)]
pub struct StreamRegistry {
    /// Tag of this run of this instance.
    sender: u16,
    records: HashMap<StreamKey, Record>,
    swept_at: Option<Instant>,
}

impl StreamRegistry {
    /// Creates a registry; `sender` tells this run of this instance from most others.
    pub fn new(sender: u16) -> StreamRegistry {
        StreamRegistry { sender, records: HashMap::new(), swept_at: None }
    }

    /// Records that a request is about to be sent to an endpoint. The record is kept for
    /// `retention`.
    pub fn record_sent(&mut self, now: Instant, send: StreamSend, retention: Duration) {
        let StreamSend { key, account, origin, is_handed_over } = send;
        let sender = self.sender;
        let first = if is_handed_over { HANDOVER_SENDS } else { 0 };
        self.make_room(now, key);
        let record = self.records.entry(key).or_insert_with(|| Record {
            origin: origin.clone(),
            sends: first,
            sender,
            account,
            is_ambiguous: false,
            local_runs: 0,
            sent_at: None,
            last_running: now,
            expires_at: now,
        });
        // A stream that goes on keeps its record, whoever made it.
        let is_other_request = record.sender != sender && !is_handed_over;
        if record.origin != origin && is_other_request {
            record.is_ambiguous = true;
        } else if record.origin != origin || record.sends == first {
            let sends = if record.sender == sender { record.sends } else { 0 };
            (record.sends, record.sender) = (sends.max(first) + 1, sender);
            record.origin = origin;
        }
        record.local_runs += 1;
        record.sent_at = Some(now);
        record.last_running = now;
        record.expires_at = now + retention;
    }

    /// Records that a run at this instance ended.
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
                self.receive_one(now, origin, stream, retention);
            }
        }
    }

    fn receive_one(
        &mut self,
        now: Instant,
        origin: &StreamOrigin,
        stream: &ReportedStream,
        retention: Duration,
    ) {
        self.make_room(now, stream.key);
        let record = self.records.entry(stream.key).or_insert_with(|| Record {
            origin: origin.clone(),
            sends: stream.sends,
            sender: stream.sender,
            account: stream.account,
            is_ambiguous: false,
            local_runs: 0,
            sent_at: None,
            last_running: now,
            expires_at: now,
        });
        record.merge(origin, stream);
        record.last_running = now;
        record.expires_at = record.expires_at.max(now + retention);
    }

    /// Takes in where a peer knows that a stream began, unless this instance has a record of its own.
    pub fn adopt(
        &mut self,
        now: Instant,
        key: StreamKey,
        account: u16,
        origin: &StreamOrigin,
        retention: Duration,
    ) {
        let stream = ReportedStream { key, sends: 0, sender: self.sender, account };
        self.receive_one(now, origin, &stream, retention);
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
            Some(record) if record.is_ambiguous => Lookup::Ambiguous,
            Some(record) => Lookup::Known(record.origin.clone()),
            None => Lookup::Unknown,
        }
    }

    /// Returns the streams to report: those of this instance that run or have just ended, or only
    /// new sends if this is no heartbeat. `is_needed` tells of which services.
    pub fn to_report(
        &self,
        now: Instant,
        is_heartbeat: bool,
        is_needed: impl Fn(&StreamOrigin) -> bool,
    ) -> Vec<StreamGroup> {
        let is_due = |record: &Record| {
            let Some(sent_at) = record.sent_at else { return false };
            match is_heartbeat {
                true => record.is_in_use(now, REPORTED_AFTER_END),
                false => now.saturating_duration_since(sent_at) < NEW_SEND_PERIOD,
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
            groups.entry(&record.origin).or_default().push(record.reported(*key));
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

impl Record {
    fn is_in_use(&self, now: Instant, after_end: Duration) -> bool {
        self.local_runs > 0 || now.saturating_duration_since(self.last_running) < after_end
    }
}
