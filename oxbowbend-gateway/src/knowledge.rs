//! What an instance asks another one for, and is told: configuration, endpoints and instances.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::EndpointNotices;
use oxbowbend_core::ids::{EndpointId, InstanceId};
use oxbowbend_core::routes::Endpoint;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::link::Link;
use crate::seam::{Entry, Position, Record, Snapshot};
use crate::shared::{Shared, State};

/// Method of the question.
pub(crate) const SNAPSHOT: &str = "snapshot";
/// Answer to a question that nobody asks here.
pub(crate) const METHOD_NOT_FOUND: &[u8] =
    br#"{"jsonrpc":"2.0","id":null,"error":{"code":-32601,"message":"Method not found"}}"#;

/// What one instance tells another that knows less.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Knowledge {
    #[serde(default)]
    pub(crate) epoch: u64,
    pub(crate) revision: u64,
    pub(crate) version: u64,
    /// Whether the store answers the one who tells.
    #[serde(default)]
    pub(crate) has_store: bool,
    pub(crate) document: String,
    /// None if the one who asks has the same list.
    #[serde(default)]
    pub(crate) endpoints: Option<Vec<Endpoint>>,
    /// Those of them that it only keeps for a moment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) lapsed: Vec<EndpointId>,
    pub(crate) instances: Vec<(InstanceId, Entry)>,
    /// What endpoints have said of themselves.
    #[serde(default, skip_serializing_if = "EndpointNotices::is_empty")]
    pub(crate) said: EndpointNotices,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Question {
    pub(crate) jsonrpc: String,
    pub(crate) id: u64,
    pub(crate) method: String,
    #[serde(default)]
    pub(crate) params: Value,
}

/// What the one who asks knows and need not be told.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct Known {
    /// Version of the configuration; the highest number if it is not to be told.
    pub(crate) version: u64,
    /// Digest of the endpoints, if it knows any list of them.
    #[serde(default)]
    pub(crate) digest: Option<u64>,
    /// Whether it knows the other instances.
    pub(crate) instances: bool,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Answer<T> {
    pub(crate) jsonrpc: String,
    pub(crate) id: u64,
    pub(crate) result: T,
}

impl Knowledge {
    /// What this instance knows.
    pub(crate) fn of(shared: &Shared, me: &InstanceId, address: SocketAddr) -> Knowledge {
        let mut state = shared.lock();
        let used = state.admission.quotas.window_usage(clock::now());
        let paces = state.cell.known_paces(clock::now());
        let zone = state.zone.clone();
        let has_store = state.has_store();
        let said = state.cell.signals_for_new_instance(clock::now());
        let State { world, quarantine, .. } = &*state;
        let others = world.instances().iter().filter(|(name, _)| *name != me);
        let mut instances: Vec<_> = others.map(|(n, e)| (n.clone(), e.clone())).collect();
        let quarantined = quarantine.decisions_to_store(clock::now(), true);
        let position = if world.is_loaded() { world.position() } else { Position::default() };
        let Position { epoch, revision } = position;
        let rollouts = state.rollout_notes(clock::now());
        let streams = state.streams_to_note(clock::now());
        let versions = state.versions_to_note(clock::now());
        let mine =
            Entry { zone, address, paces, used, epoch, quarantined, rollouts, streams, versions };
        instances.push((me.clone(), mine));
        Knowledge {
            epoch,
            revision,
            version: world.table().map_or(0, |t| t.version()),
            has_store,
            document: String::from_utf8_lossy(world.document()).into_owned(),
            endpoints: Some(world.entries().cloned().collect()),
            lapsed: world.lapsed().cloned().collect(),
            instances,
            said,
        }
    }

    /// Leaves out what the one who asks knows, and a document for which there is no time now: it will ask again.
    pub(crate) fn without(mut self, known: Known, digest: u64, link: &Mutex<Link>) -> Knowledge {
        let (now, bytes) = (clock::now(), self.document.len());
        let is_known = self.version <= known.version;
        let may_send = || link.lock().expect("no panic under lock").admits(now, bytes);
        if is_known || !may_send() {
            self.document.clear();
        }
        if known.digest == Some(digest) {
            self.endpoints = None;
        }
        if known.instances {
            self.instances.clear();
        }
        self
    }

    /// The same as if it came from the store.
    pub(crate) fn into_snapshot(self) -> Snapshot {
        let mut records = Vec::new();
        if !self.document.is_empty() {
            records.push(Record::Config(Bytes::from(self.document)));
        }
        records.extend(self.endpoints.into_iter().flatten().map(Record::Endpoint));
        records.extend(self.instances.into_iter().map(|(n, e)| Record::Instance(n, e)));
        let (epoch, revision) = (self.epoch, self.revision);
        Snapshot { epoch, revision, records, lapsed: self.lapsed }
    }
}
