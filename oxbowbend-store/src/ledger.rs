//! The ledger in the key-value service, with group commit.
//!
//! One task per shard gathers the steps that have arrived, applies them to its copy of the shard
//! and writes them with one compare-and-swap. Whoever else writes the shard makes that swap fail,
//! and the steps are applied again to the newer value. Which instance writes is only a matter of
//! cost: writers that share a shard conflict, so requests are better routed to one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use async_std::channel::{bounded, unbounded, Receiver, Sender};
use async_std::{future, task};
use oxbowbend_clock as clock;
use oxbowbend_core::ledger;
use rand::Rng;
use thiserror::Error;

use crate::kv::{self, KeyValue};

/// Steps that one write carries at most.
const MAX_BATCH: usize = 512;
/// Longest pause after a conflict.
const MAX_PAUSE_MS: u64 = 20;

/// Why a step has no verdict.
#[derive(Clone, Debug, Error)]
pub enum LedgerError {
    /// The step was not taken.
    #[error("the ledger cannot be reached: {0}")]
    Unavailable(kv::KvError),
    /// The step may have been taken. Taking it again is safe.
    #[error("the ledger gave no answer: {0}")]
    Unknown(kv::KvError),
}

type Reply = Sender<Result<ledger::StepResult, LedgerError>>;

struct Job {
    step: ledger::Step,
    reply: Reply,
}

/// Counts of what the ledger has done, for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Steps that got a verdict.
    pub steps: u64,
    /// Swaps tried.
    pub swaps: u64,
    /// Swaps that another writer got ahead of.
    pub conflicts: u64,
}

struct Inner<K> {
    kv: K,
    shards: u32,
    patience: Duration,
    window: Duration,
    writers: Mutex<HashMap<u32, Sender<Job>>>,
    counts: Mutex<Counts>,
}

/// The ledger; clones share it.
///
/// ```
/// use std::time::Duration;
/// use oxbowbend_core::ledger::{Step, StepAction, StepResult};
/// use oxbowbend_store::{ledger::Ledger, memory::Memory};
/// async_std::task::block_on(async {
///     let ledger = Ledger::new(Memory::new(), 4, Duration::from_secs(1), Duration::ZERO);
///     let action = StepAction::Hold {
///         holder: "a".into(),
///         body_digest: 1,
///         takeover: false,
///         retention_s: 60,
///     };
///     let step = Step { key: "key".into(), run: "run".into(), action };
///     assert_eq!(ledger.take(step).await.unwrap(), StepResult::Applied);
/// });
/// ```
pub struct Ledger<K> {
    inner: Arc<Inner<K>>,
}

impl<K> Clone for Ledger<K> {
    fn clone(&self) -> Ledger<K> {
        Ledger { inner: self.inner.clone() }
    }
}

impl<K> std::fmt::Debug for Ledger<K> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ledger").field("shards", &self.inner.shards).finish_non_exhaustive()
    }
}

impl<K: KeyValue> Ledger<K> {
    /// Creates the ledger. Every instance must use the same number of shards. A step fails once
    /// the service has not served it for `patience`. A shard is written at most once in every
    /// `window`, which bounds what the service is asked for; steps that arrive meanwhile go along.
    pub fn new(kv: K, shards: u32, patience: Duration, window: Duration) -> Ledger<K> {
        let inner = Inner {
            kv,
            shards,
            patience,
            window,
            writers: Mutex::new(HashMap::new()),
            counts: Mutex::new(Counts::default()),
        };
        Ledger { inner: Arc::new(inner) }
    }

    /// Takes a step.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Unavailable`] if it was surely not taken, [`LedgerError::Unknown`] if it
    /// may have been.
    pub async fn take(&self, step: ledger::Step) -> Result<ledger::StepResult, LedgerError> {
        let shard = self.shard(&step);
        let (reply, answer) = bounded(1);
        self.writer(shard).send(Job { step, reply }).await.ok();
        let lost = || LedgerError::Unknown(kv::KvError::NoReply("the writer stopped".to_owned()));
        answer.recv().await.unwrap_or_else(|_| Err(lost()))
    }

    /// The shard that a step belongs to.
    pub fn shard(&self, step: &ledger::Step) -> u32 {
        ledger::shard_of(&step.key, self.inner.shards)
    }

    /// What has been done so far.
    pub fn counts(&self) -> Counts {
        *self.inner.counts.lock().expect("no panic under lock")
    }

    fn writer(&self, shard: u32) -> Sender<Job> {
        let mut writers = self.inner.writers.lock().expect("no panic under lock");
        let start = || {
            let (tx, rx) = unbounded();
            task::spawn(Writer::new(self.inner.clone(), shard).run(rx));
            tx
        };
        writers.entry(shard).or_insert_with(start).clone()
    }
}

struct Writer<K> {
    inner: Arc<Inner<K>>,
    key: String,
    shard: ledger::Shard,
    version: Option<kv::KeyVersion>,
}

impl<K: KeyValue> Writer<K> {
    fn new(inner: Arc<Inner<K>>, shard: u32) -> Writer<K> {
        let key = format!("oxbowbend/ledger/{}/{shard}", inner.shards);
        Writer { inner, key, shard: ledger::Shard::default(), version: None }
    }

    async fn run(mut self, jobs: Receiver<Job>) {
        let mut last: Option<Instant> = None;
        while let Ok(first) = jobs.recv().await {
            let wait = last.map(|at| self.inner.window.saturating_sub(clock::since(at)));
            task::sleep(wait.unwrap_or_default()).await;
            last = Some(clock::now());
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH {
                let Ok(job) = jobs.try_recv() else { break };
                batch.push(job);
            }
            let steps: Vec<ledger::Step> = batch.iter().map(|j| j.step.clone()).collect();
            let mut written = false;
            let patience = self.inner.patience;
            let commit = future::timeout(patience, self.commit(&steps, &mut written)).await;
            let timed_out = || Err(kv::KvError::NoReply("timed out".to_owned()));
            let outcome = commit.unwrap_or_else(|_| timed_out());
            self.answer(batch, outcome, written);
        }
    }

    fn answer(
        &mut self,
        batch: Vec<Job>,
        outcome: Result<Vec<ledger::StepResult>, kv::KvError>,
        written: bool,
    ) {
        match outcome {
            Ok(results) => {
                let mut counts = self.inner.counts.lock().expect("no panic under lock");
                counts.steps += results.len() as u64;
                for (job, result) in batch.into_iter().zip(results) {
                    job.reply.try_send(Ok(result)).ok();
                }
            }
            Err(e) => {
                self.version = None;
                let error = match written {
                    true => LedgerError::Unknown(e),
                    false => LedgerError::Unavailable(e),
                };
                for job in batch {
                    job.reply.try_send(Err(error.clone())).ok();
                }
            }
        }
    }

    /// Applies the steps and writes the result, again and again until one swap succeeds. Sets
    /// `written` as soon as a write may have taken effect.
    async fn commit(
        &mut self,
        steps: &[ledger::Step],
        written: &mut bool,
    ) -> Result<Vec<ledger::StepResult>, kv::KvError> {
        loop {
            let version = match self.version {
                Some(version) => version,
                None => self.read().await?,
            };
            let now = unix_now();
            let mut next = self.shard.clone();
            next.expire(now);
            let results: Vec<ledger::StepResult> =
                steps.iter().map(|s| next.apply(now, s)).collect();
            if next == self.shard && !*written {
                // A refusal rests on this copy; it must be the newest.
                if self.read().await? == version {
                    return Ok(results);
                }
                continue;
            }
            match self.write(version, &next, written).await {
                Ok(true) => return Ok(results),
                Ok(false) => self.pause().await,
                Err(e) if e.is_ambiguous() => self.version = None,
                Err(e) => return Err(e),
            }
        }
    }

    async fn read(&mut self) -> Result<kv::KeyVersion, kv::KvError> {
        let stored = self.inner.kv.get(&self.key).await?;
        let (shard, version) = match stored {
            None => (ledger::Shard::default(), 0),
            Some(v) => {
                let shard = serde_json::from_slice(&v.value);
                (shard.map_err(|e| kv::KvError::Refused(e.to_string()))?, v.version)
            }
        };
        self.shard = shard;
        self.version = Some(version);
        Ok(version)
    }

    async fn write(
        &mut self,
        version: kv::KeyVersion,
        next: &ledger::Shard,
        written: &mut bool,
    ) -> Result<bool, kv::KvError> {
        let value = serde_json::to_vec(next).expect("shards have string keys");
        let swap = self.inner.kv.swap(&self.key, version, value, None);
        // Dropped at the time limit, the swap may yet take effect.
        let before = std::mem::replace(written, true);
        let swapped = swap.await;
        let mut counts = self.inner.counts.lock().expect("no panic under lock");
        counts.swaps += 1;
        match swapped {
            Ok(kv::Swap::Written(version)) => {
                self.shard = next.clone();
                self.version = Some(version);
                Ok(true)
            }
            Ok(kv::Swap::Conflict) => {
                counts.conflicts += 1;
                *written = before;
                self.version = None;
                Ok(false)
            }
            Err(e) => {
                *written = before || e.is_ambiguous();
                Err(e)
            }
        }
    }

    async fn pause(&self) {
        let millis = rand::rng().random_range(0..MAX_PAUSE_MS);
        task::sleep(Duration::from_millis(millis)).await;
    }
}

fn unix_now() -> ledger::UnixSeconds {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}
