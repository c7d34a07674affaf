//! Which instance writes a shard of the ledger.
//!
//! Any instance may: every step is a compare-and-swap under the run's id. But instances that write
//! one shard at once make each other's swaps fail, so each shard has a preferred writer, to which
//! steps are sent. If it does not answer, the step is taken here; having been taken twice is no
//! different from once.

use std::collections::BTreeSet;
use std::sync::Arc;

use oxbowbend_core::ids;
use oxbowbend_core::ledger;
use oxbowbend_store::kv::KeyValue;
use oxbowbend_store::ledger::{Ledger, LedgerError};

use crate::hub;
use crate::peers;

/// The ledger as callers' requests use it.
pub(crate) struct Router<K> {
    ledger: Ledger<K>,
    hub: Arc<hub::Hub>,
    peers: Arc<peers::Peers>,
}

impl<K> Clone for Router<K> {
    fn clone(&self) -> Router<K> {
        let (hub, peers) = (self.hub.clone(), self.peers.clone());
        Router { ledger: self.ledger.clone(), hub, peers }
    }
}

impl<K: KeyValue> Router<K> {
    /// Creates the router of an instance.
    pub(crate) fn new(
        ledger: Ledger<K>,
        hub: Arc<hub::Hub>,
        peers: Arc<peers::Peers>,
    ) -> Router<K> {
        Router { ledger, hub, peers }
    }

    /// Takes a step, at the shard's preferred writer if it answers.
    pub(crate) async fn take(&self, step: ledger::Step) -> Result<ledger::StepResult, LedgerError> {
        let writer = self.writer(self.ledger.shard(&step));
        let elsewhere = writer.filter(|id| id != self.hub.me());
        if let Some(writer) = elsewhere {
            match self.peers.ledger_step(&writer, &step).await {
                Ok(Some(result)) => return Ok(result),
                Ok(None) => {}
                Err(e) => log::debug!("ledger: Taking a step here: {e}."),
            }
        }
        self.ledger.take(step).await
    }

    fn writer(&self, shard: u32) -> Option<ids::InstanceId> {
        let everywhere = BTreeSet::new();
        self.hub.node().members().preferred(&everywhere, &format!("ledger/{shard}"))
    }
}
