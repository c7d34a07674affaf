//! Selection of the next request and its endpoint, and refusal of requests that would finish late.

use std::time::{Duration, Instant};

use super::{endpoint, Directory, Scheduler, State, REPLY_TIMEOUT};
use crate::ids;
use crate::message;
use crate::node;
use crate::queue;
use crate::selection::{self, SelectionPolicy};

/// Oldest requests of an account that are searched for a prompt cached at a free endpoint.
const CACHE_LOOKAHEAD: usize = 32;
/// The search is skipped when more endpoints than this are free: the first request then has a wide
/// enough choice.
const MAX_CACHE_CANDIDATES: usize = 24;
/// Number of times that a request may be skipped for one with a cached prompt.
const MAX_SKIPS: u32 = 64;
/// Fraction of the pool's slots reserved from a tier, multiplied by the tier's level.
const RESERVED_PER_TIER: f64 = 0.04;
/// Time between recomputations of the fastest endpoint.
const FASTEST_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Lower bound of the retry delay sent with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the retry delay sent with a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Every permit of the account is in use.
struct AccountExhausted;

impl<C: SelectionPolicy> Scheduler<C> {
    /// Refuses, grants and sheds requests until no further decision is possible.
    pub fn schedule(
        &mut self,
        now: Instant,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) {
        self.refuse_infeasible(now, out);
        self.retry_unanswered(now, out);
        while self.grant_next(now, directory, out) {}
        self.shed_excess(now, directory, out);
    }

    fn refuse_infeasible(&mut self, now: Instant, out: &mut Vec<node::Action>) {
        if self.deadlines.is_empty() {
            return;
        }
        let best = self.fastest_token_time(now);
        if !best.is_finite() {
            return;
        }
        while let Some((deadline, id)) = self.deadlines.first().cloned() {
            let Some(tracked) = self.requests.get(&id) else { break };
            let least = best * f64::from(tracked.info.output_tokens);
            if now + Duration::from_secs_f64(least.min(86_400.0)) < deadline {
                break;
            }
            self.deadlines.pop_first();
            if tracked.state == State::Queued {
                self.refuse(now, &id, message::RefusalReason::Deadline, out);
            }
        }
    }

    /// Seconds per output token at the fastest usable endpoint, cached for a short time.
    fn fastest_token_time(&mut self, now: Instant) -> f64 {
        if let Some((at, best)) = self.cached_fastest {
            if now.saturating_duration_since(at) < FASTEST_REFRESH_INTERVAL {
                return best;
            }
        }
        let usable = self.endpoints.iter().filter(|e| e.is_usable(now));
        let seconds = usable.map(|e| e.speed.predict_seconds(0, 1));
        let best = seconds.fold(f64::INFINITY, f64::min);
        self.cached_fastest = Some((now, best));
        best
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: &ids::RequestId,
        reason: message::RefusalReason,
        out: &mut Vec<node::Action>,
    ) {
        let retry_after_ms = self.retry_after().as_millis() as u64;
        self.queue.remove(id);
        let Some(tracked) = self.requests.get_mut(id) else { return };
        tracked.state = State::Refused { reason, retry_after_ms, sent_at: now };
        self.unanswered.insert((now, id.clone()));
        let (request, attempt) = (id.clone(), tracked.info.attempt);
        let message = message::Message::Refuse { request, attempt, reason, retry_after_ms };
        out.push(node::Action::send(&tracked.ingress, message));
    }

    /// Estimated time to serve all queued work, within the bounds of the retry delay.
    fn retry_after(&self) -> Duration {
        let rate = |e: &endpoint::EndpointState| {
            f64::from(e.config.slots) / e.speed.predict_seconds(0, 1).max(1e-9)
        };
        let rate: f64 = self.endpoints.iter().filter(|e| !e.config.leaving).map(rate).sum();
        let seconds = self.queue.work_at_or_above(ids::TierLevel::MAX) as f64 / rate.max(1e-9);
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_RETRY_AFTER)
    }

    /// Repeats refusals that were not answered and requeues requests whose grant was not answered.
    fn retry_unanswered(&mut self, now: Instant, out: &mut Vec<node::Action>) {
        while let Some((sent_at, id)) = self.unanswered.first().cloned() {
            if now.saturating_duration_since(sent_at) < REPLY_TIMEOUT {
                break;
            }
            self.unanswered.pop_first();
            match self.requests.get(&id).map(|r| r.state.clone()) {
                Some(State::Refused { reason, .. }) => self.refuse(now, &id, reason, out),
                Some(State::Granted { .. }) => self.requeue(now, &id),
                _ => {}
            }
        }
    }

    fn grant_next(
        &mut self,
        now: Instant,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) -> bool {
        let free: u32 = self.available_endpoints(now).map(|(_, e)| e.free).sum();
        if free == 0 {
            return false;
        }
        for level in self.queue.waiting_tiers() {
            if free <= reserved_slots(level, self.total_slots) {
                return false;
            }
            let accounts = &self.account_usage;
            let eligible = |i: &queue::QueuedRequest| {
                let backoff_until = accounts.get(&i.account).and_then(|a| a.backoff_until);
                backoff_until.is_none_or(|until| until <= now)
            };
            let Some(head) = self.queue.peek_tier(level, eligible).cloned() else { continue };
            let (id, index) = match self.find_cached(now, &head) {
                Some(pair) => pair,
                None => match self.choose_endpoint(now, &head.id) {
                    Some(index) => (head.id, index),
                    None => return false,
                },
            };
            self.grant(now, &id, index, directory, out);
            return true;
        }
        false
    }

    /// Finds a request of the account whose prompt is cached at a free endpoint.
    ///
    /// This breaks arrival order within the account, but not fairness between accounts.
    fn find_cached(
        &mut self,
        now: Instant,
        head: &queue::QueuedRequest,
    ) -> Option<(ids::RequestId, usize)> {
        if self.requests.get(&head.id)?.times_skipped >= MAX_SKIPS {
            return None;
        }
        let free = self.available_endpoints(now).filter(|(_, e)| !e.speed.should_avoid(now));
        let free: Vec<(usize, &endpoint::EndpointState)> =
            free.take(MAX_CACHE_CANDIDATES + 1).collect();
        if free.len() > MAX_CACHE_CANDIDATES {
            return None;
        }
        let mut best: Option<(u32, &ids::RequestId, usize)> = None;
        for queued in self.queue.oldest_of_account(head.tier, &head.account, CACHE_LOOKAHEAD) {
            let Some(tracked) = self.requests.get(&queued.id) else { continue };
            for (index, endpoint) in &free {
                let cached = endpoint.cache.cached_tokens(&tracked.info.prefix);
                if cached > best.as_ref().map_or(0, |b| b.0) {
                    best = Some((cached, &queued.id, *index));
                }
            }
        }
        let (_, id, index) = best?;
        let id = id.clone();
        if id != head.id {
            self.requests.get_mut(&head.id)?.times_skipped += 1;
        }
        Some((id, index))
    }

    fn choose_endpoint(&mut self, now: Instant, id: &ids::RequestId) -> Option<usize> {
        let info = &self.requests.get(id)?.info;
        let candidates: Vec<selection::Candidate> = self
            .available_endpoints(now)
            .map(|(index, e)| selection::Candidate {
                index,
                predicted_seconds: e.predicted_cost(info, self.prefill_bias),
                outstanding: e.running,
                reported_running: e.reported,
                avoid: e.speed.should_avoid(now),
            })
            .collect();
        let chosen = self.choose.select(&candidates)?;
        Some(candidates[chosen].index)
    }

    fn grant(
        &mut self,
        now: Instant,
        id: &ids::RequestId,
        index: usize,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) {
        let Some(owner) = self.endpoints[index].pick_owner(&self.me) else { return };
        let Some(tracked) = self.requests.get(id).cloned() else { return };
        let account = &tracked.info.account;
        let Ok(account_hop) = self.account_hop(now, account, directory) else { return };
        self.queue.serve(id);
        let seq = self.grant_seq.entry(owner.clone()).or_default();
        *seq += 1;
        let seq = *seq;
        let target = &mut self.endpoints[index];
        target.running += 1;
        target.cache.insert(&tracked.info.prefix);
        target.speed.start_probe();
        target.offers.entry(owner.clone()).or_default().in_flight.insert(seq);
        self.update_free(index);
        let target = &self.endpoints[index];
        let key = message::PermitKey::Endpoint(target.id.clone());
        let endpoint = target.id.clone();
        let account_owner = account_hop.as_ref().map(|h| h.owner.clone());
        let mut hops: Vec<message::Hop> = account_hop.into_iter().collect();
        hops.push(message::Hop { owner: owner.clone(), key, index: None });
        let grant = message::Grant {
            request: id.clone(),
            attempt: tracked.info.attempt,
            pool: self.pool.clone(),
            endpoint,
            ingress: tracked.ingress.clone(),
            scheduler: self.me.clone(),
            seq,
            hops,
        };
        let first = grant.hops[0].owner.clone();
        out.push(node::Action::send(&first, message::Message::Grant(grant)));
        self.unanswered.insert((now, id.clone()));
        if let Some(tracked) = self.requests.get_mut(id) {
            tracked.account_owner = account_owner;
            tracked.state = State::Granted { index, owner, seq, sent_at: now };
        }
    }

    /// Returns the hop to the owner of an account permit, or `None` if the account has no limit.
    ///
    /// An account without a free permit backs off for a short time, or until one of its runs ends.
    fn account_hop(
        &mut self,
        now: Instant,
        account: &ids::AccountId,
        directory: &impl Directory,
    ) -> Result<Option<message::Hop>, AccountExhausted> {
        let Some(shares) = directory.account_owners(account) else { return Ok(None) };
        let usage = self.account_usage.entry(account.clone()).or_default();
        let Some(owner) = usage.pick_owner(shares) else {
            usage.back_off(now);
            return Err(AccountExhausted);
        };
        *usage.in_use.entry(owner.clone()).or_default() += 1;
        Ok(Some(message::Hop {
            owner,
            key: message::PermitKey::Account(account.clone()),
            index: None,
        }))
    }
}

/// Slots that a tier must leave free, so that its long requests do not delay higher tiers.
fn reserved_slots(level: ids::TierLevel, total: u32) -> u32 {
    (f64::from(total) * RESERVED_PER_TIER * f64::from(level)) as u32
}
