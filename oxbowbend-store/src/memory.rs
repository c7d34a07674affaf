//! A key-value service inside the process, with faults, for tests and experiments.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::kv::{self, KeyValue};

/// A fault to inject into the next calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The service is not reached.
    Unreachable,
    /// The call takes effect and its reply is lost.
    ReplyLost,
    /// The call has no effect and no reply comes.
    RequestLost,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<String, kv::Versioned>,
    leased: HashMap<kv::LeaseId, Vec<String>>,
    revision: kv::KeyVersion,
    faults: Vec<Option<Fault>>,
    down: bool,
    writes: u64,
    reads: u64,
}

/// The service; clones share its content.
///
/// ```
/// use oxbowbend_store::kv::{KeyValue, Swap};
/// use oxbowbend_store::memory::{Fault, Memory};
/// async_std::task::block_on(async {
///     let kv = Memory::new();
///     kv.inject(&[Fault::ReplyLost]);
///     assert!(kv.swap("key", 0, b"1".to_vec(), None).await.unwrap_err().is_ambiguous());
///     // The write took effect all the same.
///     assert_eq!(kv.swap("key", 0, b"2".to_vec(), None).await, Ok(Swap::Conflict));
/// });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

impl Memory {
    /// Creates an empty service.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Makes the next call, and those after it, fail as listed.
    pub fn inject(&self, faults: &[Fault]) {
        let mut state = self.lock();
        state.faults = faults.iter().rev().copied().map(Some).collect();
    }

    /// Makes one call fail after `calls` that succeed.
    pub fn inject_after(&self, calls: usize, fault: Fault) {
        let mut faults = vec![Some(fault)];
        faults.resize(calls + 1, None);
        self.lock().faults = faults;
    }

    /// Makes every call fail, or none.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Ends a lease and deletes its keys.
    pub fn end_lease(&self, lease: kv::LeaseId) {
        let mut state = self.lock();
        for key in state.leased.remove(&lease).unwrap_or_default() {
            state.values.remove(&key);
        }
    }

    /// Reads and writes served so far.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> Result<T, kv::KvError> {
        let mut state = self.lock();
        if state.down {
            return Err(kv::KvError::Unreachable("down".to_owned()));
        }
        match state.faults.pop().flatten() {
            None => Ok(act(&mut state)),
            Some(Fault::Unreachable) => Err(kv::KvError::Unreachable("injected".to_owned())),
            Some(Fault::RequestLost) => Err(kv::KvError::NoReply("request lost".to_owned())),
            Some(Fault::ReplyLost) => {
                act(&mut state);
                Err(kv::KvError::NoReply("reply lost".to_owned()))
            }
        }
    }
}

impl KeyValue for Memory {
    async fn get(&self, key: &str) -> Result<Option<kv::Versioned>, kv::KvError> {
        self.with(|s| {
            s.reads += 1;
            s.values.get(key).cloned()
        })
    }

    async fn swap(
        &self,
        key: &str,
        expected: kv::KeyVersion,
        value: Vec<u8>,
        lease: Option<kv::LeaseId>,
    ) -> Result<kv::Swap, kv::KvError> {
        self.with(|s| {
            s.writes += 1;
            let current = s.values.get(key).map_or(0, |v| v.version);
            if current != expected {
                return kv::Swap::Conflict;
            }
            s.revision += 1;
            let version = s.revision;
            s.values.insert(key.to_owned(), kv::Versioned { value, version });
            if let Some(lease) = lease {
                s.leased.entry(lease).or_default().push(key.to_owned());
            }
            kv::Swap::Written(version)
        })
    }

    async fn delete(&self, key: &str) -> Result<(), kv::KvError> {
        self.with(|s| {
            s.writes += 1;
            s.values.remove(key);
        })
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>, kv::KvError> {
        self.with(|s| {
            s.reads += 1;
            let from = s.values.range(prefix.to_owned()..);
            from.map(|(k, _)| k.clone()).take_while(|k| k.starts_with(prefix)).collect()
        })
    }

    async fn changed(
        &self,
        key: &str,
        after: kv::KeyVersion,
    ) -> Result<Option<kv::Versioned>, kv::KvError> {
        self.with(|s| {
            s.reads += 1;
            s.values.get(key).filter(|v| v.version > after).cloned()
        })
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<kv::LeaseId, kv::KvError> {
        self.with(|s| {
            s.writes += 1;
            s.revision += 1;
            let lease = s.revision as kv::LeaseId;
            s.leased.insert(lease, Vec::new());
            lease
        })
    }

    async fn renew_lease(&self, lease: kv::LeaseId) -> Result<bool, kv::KvError> {
        self.with(|s| s.leased.contains_key(&lease))
    }
}
