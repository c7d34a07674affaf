//! Fakes of engines: slots, two speeds, a prefix cache, and a queue that knows no priorities.

use std::collections::{BTreeSet, HashMap, VecDeque};

use oxbowbend_core::cache;

use super::deployment;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request.
    pub request: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
}

/// What beginning a job at an engine comes to.
#[derive(Clone, Debug)]
pub struct Begun {
    /// Number of the request.
    pub request: usize,
    /// Seconds until the first token.
    pub first: f64,
    /// Seconds until the end.
    pub total: f64,
    /// Prompt tokens that were processed.
    pub prefilled: u32,
    /// Of those, tokens that some engine had processed before.
    pub repeated: u32,
    /// Prompt tokens found in the cache.
    pub cached: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its kind.
    pub group: deployment::Group,
    /// Whether it lives.
    pub alive: bool,
    /// Factor by which it is slower than its kind.
    pub slow: f64,
    cache: cache::PrefixCache,
    running: BTreeSet<usize>,
    queue: VecDeque<Job>,
}

/// Blocks that any engine has ever processed.
pub type Processed = HashMap<u64, ()>;

impl Engine {
    /// Creates an idle engine.
    pub fn new(group: deployment::Group) -> Engine {
        let cache = cache::PrefixCache::new(group.cache_tokens);
        let (running, queue) = Default::default();
        Engine { group, alive: true, slow: 1.0, cache, running, queue }
    }

    /// Requests running or waiting inside.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Takes a job in; it begins at once if a slot is free.
    pub fn admit(&mut self, job: Job, processed: &mut Processed) -> Option<Begun> {
        if self.running.len() < self.group.slots as usize {
            return Some(self.begin(job, processed));
        }
        self.queue.push_back(job);
        None
    }

    fn begin(&mut self, job: Job, processed: &mut Processed) -> Begun {
        let cached = self.cache.cached_tokens(&job.prefix).min(job.prompt);
        self.cache.insert(&job.prefix);
        let skipped = (cached / cache::BLOCK_TOKENS) as usize;
        let fresh = job.prefix.iter().skip(skipped);
        let known = fresh.filter(|h| processed.insert(**h, ()).is_some()).count() as u32;
        let prefilled = job.prompt - cached;
        let first = f64::from(prefilled) / self.group.prefill_rate * self.slow;
        let decode = f64::from(job.output) / self.group.decode_rate * self.slow;
        self.running.insert(job.request);
        Begun {
            request: job.request,
            first,
            total: first + decode,
            prefilled,
            repeated: known * cache::BLOCK_TOKENS,
            cached,
        }
    }

    /// Ends or cancels a request; the next one in the queue begins.
    pub fn end(&mut self, request: usize, processed: &mut Processed) -> Option<Begun> {
        self.queue.retain(|j| j.request != request);
        if !self.running.remove(&request) || !self.alive {
            return None;
        }
        let next = self.queue.pop_front()?;
        Some(self.begin(next, processed))
    }

    /// Dies; returns what was running or waiting.
    pub fn kill(&mut self) -> Vec<usize> {
        self.alive = false;
        let waiting = std::mem::take(&mut self.queue).into_iter().map(|j| j.request);
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(waiting).collect()
    }
}
