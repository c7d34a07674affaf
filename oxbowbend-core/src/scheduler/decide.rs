//! Deciding what runs next, and where, and what can no longer be answered in time.

use std::time::{Duration, Instant};

use super::site;
use super::{Directory, Scheduler, State, ASK_AGAIN};
use crate::ids;
use crate::message;
use crate::node;
use crate::queue;
use crate::selection::{self, SelectionPolicy};

/// Requests of an account among which the one is chosen whose prompt a free endpoint has cached.
const LOOK_AHEAD: usize = 32;
/// Free endpoints up to which that choice is made; with more, the first request finds its own.
const FEW_SITES: usize = 24;
/// Times that a request may be passed over for the sake of a cached prompt.
const MAX_PASSED: u32 = 64;
/// Part of a pool's slots that is kept free of each lower tier, per level.
const KEEP_PER_LEVEL: f64 = 0.04;
/// Time between two looks at which endpoint is the fastest.
const LOOK_UP_FASTEST: Duration = Duration::from_millis(100);
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Every permit of an account is in use.
struct AccountFull;

impl<C: SelectionPolicy> Scheduler<C> {
    /// Decides everything that can be decided now.
    pub fn pump(&mut self, now: Instant, directory: &impl Directory, out: &mut Vec<node::Action>) {
        self.give_up_late(now, out);
        self.ask_again(now, out);
        while self.grant_next(now, directory, out) {}
        self.bound_queue(now, directory, out);
    }

    fn give_up_late(&mut self, now: Instant, out: &mut Vec<node::Action>) {
        if self.deadlines.is_empty() {
            return;
        }
        let best = self.fastest(now);
        if !best.is_finite() {
            return;
        }
        while let Some((due, id)) = self.deadlines.first().cloned() {
            let Some(known) = self.requests.get(&id) else { break };
            let least = best * f64::from(known.record.output_tokens);
            if now + Duration::from_secs_f64(least.min(86_400.0)) < due {
                break;
            }
            self.deadlines.pop_first();
            if known.state == State::Queued {
                self.refuse(now, &id, message::Refusal::Deadline, out);
            }
        }
    }

    /// Seconds that an output token takes at the fastest endpoint; looked up once in a while.
    fn fastest(&mut self, now: Instant) -> f64 {
        if let Some((at, best)) = self.fastest {
            if now.saturating_duration_since(at) < LOOK_UP_FASTEST {
                return best;
            }
        }
        let usable = self.sites.iter().filter(|s| s.usable(now));
        let seconds = usable.map(|s| s.speed.predict_seconds(0, 1));
        let best = seconds.fold(f64::INFINITY, f64::min);
        self.fastest = Some((now, best));
        best
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: &ids::RequestId,
        reason: message::Refusal,
        out: &mut Vec<node::Action>,
    ) {
        let retry_after_ms = self.retry_after().as_millis() as u64;
        self.queue.remove(id);
        let Some(known) = self.requests.get_mut(id) else { return };
        known.state = State::Refused { reason, retry_after_ms, at: now };
        self.unanswered.insert((now, id.clone()));
        let (request, attempt) = (id.clone(), known.record.attempt);
        let message = message::Message::Refuse { request, attempt, reason, retry_after_ms };
        out.push(node::Action::send(&known.entry, message));
    }

    /// Time after which the work that waits now should have been served.
    fn retry_after(&self) -> Duration {
        let rate =
            |s: &site::Site| f64::from(s.endpoint.slots) / s.speed.predict_seconds(0, 1).max(1e-9);
        let rate: f64 = self.sites.iter().filter(|s| !s.endpoint.leaving).map(rate).sum();
        let seconds = self.queue.work_down_to(ids::TierLevel::MAX) as f64 / rate.max(1e-9);
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_RETRY_AFTER)
    }

    /// A grant or refusal that nobody has answered may be lost.
    fn ask_again(&mut self, now: Instant, out: &mut Vec<node::Action>) {
        while let Some((at, id)) = self.unanswered.first().cloned() {
            if now.saturating_duration_since(at) < ASK_AGAIN {
                break;
            }
            self.unanswered.pop_first();
            match self.requests.get(&id).map(|k| k.state.clone()) {
                Some(State::Refused { reason, .. }) => self.refuse(now, &id, reason, out),
                Some(State::Asked { .. }) => self.put_back(now, &id),
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
        let free: u32 = self.open_sites(now).map(|(_, s)| s.free).sum();
        if free == 0 {
            return false;
        }
        for level in self.queue.levels() {
            if free <= kept_from(level, self.total_slots) {
                return false;
            }
            let accounts = &self.account_use;
            let eligible = |i: &queue::Item| {
                let paused = accounts.get(&i.account).and_then(|a| a.paused_until);
                paused.is_none_or(|until| until <= now)
            };
            let Some(head) = self.queue.next_in(level, eligible).cloned() else { continue };
            let (id, site) = match self.cached_pair(now, &head) {
                Some(pair) => pair,
                None => match self.choose_site(now, &head.id) {
                    Some(site) => (head.id, site),
                    None => return false,
                },
            };
            self.grant(now, &id, site, directory, out);
            return true;
        }
        false
    }

    /// When only a few endpoints are free, it is worth more to send them what they have cached than
    /// to keep to the order of arrival within the account. Whose turn it is stays as it was.
    fn cached_pair(&mut self, now: Instant, head: &queue::Item) -> Option<(ids::RequestId, usize)> {
        if self.requests.get(&head.id)?.passed >= MAX_PASSED {
            return None;
        }
        let free = self.open_sites(now).filter(|(_, s)| !s.speed.should_avoid(now));
        let free: Vec<(usize, &site::Site)> = free.take(FEW_SITES + 1).collect();
        if free.len() > FEW_SITES {
            return None;
        }
        let mut best: Option<(u32, &ids::RequestId, usize)> = None;
        for item in self.queue.first_of(head.tier, &head.account, LOOK_AHEAD) {
            let Some(known) = self.requests.get(&item.id) else { continue };
            for (index, site) in &free {
                let cached = site.cache.cached_tokens(&known.record.prefix);
                if cached > best.as_ref().map_or(0, |b| b.0) {
                    best = Some((cached, &item.id, *index));
                }
            }
        }
        let (_, id, site) = best?;
        let id = id.clone();
        if id != head.id {
            self.requests.get_mut(&head.id)?.passed += 1;
        }
        Some((id, site))
    }

    fn choose_site(&mut self, now: Instant, id: &ids::RequestId) -> Option<usize> {
        let record = &self.requests.get(id)?.record;
        let candidates: Vec<selection::Candidate> = self
            .open_sites(now)
            .map(|(index, s)| selection::Candidate {
                index,
                predicted_seconds: s.cost(record, self.prefill_bias),
                outstanding: s.running,
                reported_running: s.reported,
                avoid: s.speed.should_avoid(now),
            })
            .collect();
        let chosen = self.choose.select(&candidates)?;
        Some(candidates[chosen].index)
    }

    fn grant(
        &mut self,
        now: Instant,
        id: &ids::RequestId,
        site: usize,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) {
        let Some(owner) = self.sites[site].best_owner(&self.me) else { return };
        let Some(known) = self.requests.get(id).cloned() else { return };
        let account = &known.record.account;
        let Ok(account_hop) = self.account_hop(now, account, directory) else { return };
        self.queue.serve(id);
        let ask = self.asks.entry(owner.clone()).or_default();
        *ask += 1;
        let ask = *ask;
        let target = &mut self.sites[site];
        target.running += 1;
        target.cache.insert(&known.record.prefix);
        target.speed.start_probe();
        target.offers.entry(owner.clone()).or_default().pending.insert(ask);
        self.recount(site);
        let target = &self.sites[site];
        let key = message::PermitKey::Endpoint(target.id.clone());
        let endpoint = target.id.clone();
        let account_owner = account_hop.as_ref().map(|h| h.owner.clone());
        let mut hops: Vec<message::Hop> = account_hop.into_iter().collect();
        hops.push(message::Hop { owner: owner.clone(), key, index: None });
        let grant = message::Grant {
            request: id.clone(),
            attempt: known.record.attempt,
            pool: self.pool.clone(),
            endpoint,
            entry: known.entry.clone(),
            scheduler: self.me.clone(),
            ask,
            hops,
        };
        let first = grant.hops[0].owner.clone();
        out.push(node::Action::send(&first, message::Message::Grant(grant)));
        self.unanswered.insert((now, id.clone()));
        if let Some(k) = self.requests.get_mut(id) {
            k.account_owner = account_owner;
            k.state = State::Asked { site, owner, ask, at: now };
        }
    }

    /// The owner to ask for the account's permit, if it needs one. An account whose permits are
    /// all in use is passed over for a moment, or until one of its runs ends.
    fn account_hop(
        &mut self,
        now: Instant,
        account: &ids::AccountId,
        directory: &impl Directory,
    ) -> Result<Option<message::Hop>, AccountFull> {
        let Some(shares) = directory.account_owners(account) else { return Ok(None) };
        let used = self.account_use.entry(account.clone()).or_default();
        let Some(owner) = used.best_owner(shares) else {
            used.pause(now);
            return Err(AccountFull);
        };
        *used.in_use.entry(owner.clone()).or_default() += 1;
        Ok(Some(message::Hop {
            owner,
            key: message::PermitKey::Account(account.clone()),
            index: None,
        }))
    }
}

/// Slots that stay free of a tier, so that one long request of it does not hold up higher ones.
fn kept_from(level: ids::TierLevel, total: u32) -> u32 {
    (f64::from(total) * KEEP_PER_LEVEL * f64::from(level)) as u32
}
