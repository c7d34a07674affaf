//! Simulation of instances that watch a store: the store, an outage, and the reports between
//! instances.

use std::time::{Duration, Instant};

use oxbowbend_core::subscription::{Role, Subscription, WatchFailure};

/// Step of simulated time.
const STEP: Duration = Duration::from_millis(10);
const INSTANCES: usize = 3;
/// Steps between two reports.
const REPORT_STEPS: u32 = 13;
/// Response time of the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);
/// Pause after a change, and after a failure of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Simulated time after the outage in milliseconds.
const RUN_AFTER_OUTAGE_MS: i64 = 6000;
/// Time before the outage in milliseconds.
const WARM_UP_MS: i64 = 3000;

/// What is lost in an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutageMode {
    /// Requests sent during the outage; pending watches continue afterwards.
    DropRequests,
    /// Answers sent during the outage.
    DropAnswers,
    DropBoth,
    /// Nothing: requests are refused and pending watches fail.
    Refuse,
}

/// An outage of the store.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub start_ms: i64,
    pub duration_ms: i64,
    pub mode: OutageMode,
}

/// A watch as seen by the store.
#[derive(Clone, Copy, Debug)]
struct Watch {
    started_ms: i64,
    wait_ms: i64,
    timeout_ms: i64,
    known_version: u64,
    is_lost: bool,
}

#[derive(Debug, Default)]
struct Follower {
    subscription: Subscription,
    version: u64,
    watch: Option<Watch>,
    paused_until: i64,
    has_store: bool,
    has_crashed: bool,
}

/// State that an instance reports to the others.
#[derive(Clone, Copy, Debug)]
struct ReportedState {
    version: u64,
    confirmed_ms: i64,
    has_store: bool,
}

pub struct Simulation {
    start: Instant,
    outage: Outage,
    /// When the first instance fails, and when the configuration changes, in milliseconds.
    crash_ms: Option<i64>,
    change_ms: i64,
    followers: Vec<Follower>,
    reports: Vec<Option<ReportedState>>,
}

impl Simulation {
    pub fn new(outage: Outage, crash_ms: Option<i64>, change_ms: i64) -> Simulation {
        let outage = Outage { start_ms: outage.start_ms + WARM_UP_MS, ..outage };
        let start = Instant::now();
        let mut followers: Vec<_> = (0..INSTANCES).map(|_| Follower::default()).collect();
        followers.iter_mut().for_each(|f| {
            f.subscription.reset(start);
            f.has_store = true;
        });
        let crash_ms = crash_ms.map(|after| outage.start_ms + after);
        let reports = vec![None; INSTANCES];
        Simulation {
            start,
            outage,
            crash_ms,
            change_ms: change_ms + WARM_UP_MS,
            followers,
            reports,
        }
    }

    /// Runs the simulation until some time after the outage. Fails if a change is not in force in
    /// time.
    pub fn run(&mut self, in_force: Duration, recovery: Duration) -> Result<(), String> {
        let outage_end = self.outage.start_ms + self.outage.duration_ms;
        let committed =
            if self.is_during_outage(self.change_ms) { outage_end } else { self.change_ms };
        let deadline = (committed + millis(in_force)).max(outage_end + millis(recovery));
        let mut now = 0;
        let mut step = 0;
        while now < deadline.max(outage_end) + RUN_AFTER_OUTAGE_MS {
            if self.crash_ms.is_some_and(|at| now >= at) {
                self.followers[0].has_crashed = true;
                self.reports[0] = None;
            }
            (0..INSTANCES).for_each(|n| self.step(n, now, in_force));
            if step % REPORT_STEPS == 0 {
                self.exchange_reports(now);
            }
            self.check(now, deadline)?;
            now += millis(STEP);
            step += 1;
        }
        Ok(())
    }

    fn check(&self, now: i64, deadline: i64) -> Result<(), String> {
        let alive = self.followers.iter().enumerate().filter(|(_, f)| !f.has_crashed);
        for (n, follower) in alive {
            if now >= deadline && follower.version < self.stored_version(now) {
                return Err(format!(
                    "instance {n} has not applied the change {} ms after the deadline",
                    now - deadline
                ));
            }
        }
        Ok(())
    }

    fn is_during_outage(&self, at: i64) -> bool {
        (self.outage.start_ms..self.outage.start_ms + self.outage.duration_ms).contains(&at)
    }

    /// Version in the store. Changes are also made during an outage.
    fn stored_version(&self, at: i64) -> u64 {
        u64::from(at >= self.change_ms)
    }

    fn instant(&self, ms: i64) -> Instant {
        self.start + Duration::from_millis(ms as u64)
    }

    fn role(&self, n: usize, in_force: Duration) -> Role {
        let rank = self.reports[..n].iter().flatten().filter(|r| r.has_store).count();
        Role::new(rank, in_force)
    }

    fn step(&mut self, n: usize, now: i64, in_force: Duration) {
        let (at, role) = (self.instant(now), self.role(n, in_force));
        if self.followers[n].has_crashed {
            return;
        }
        if let Some(watch) = self.followers[n].watch {
            self.advance_watch(n, now, watch);
        }
        let is_outage = self.is_during_outage(now);
        let outage = self.outage;
        let follower = &mut self.followers[n];
        if follower.subscription.check_cancel(at, role).is_some() {
            follower.watch = None;
        }
        if follower.watch.is_some() || now < follower.paused_until {
            return;
        }
        let params = follower.subscription.start_watch(at, role);
        if is_outage && outage.mode == OutageMode::Refuse {
            follower.record_failure(now, WatchFailure::Refused);
            return;
        }
        let is_lost =
            is_outage && matches!(outage.mode, OutageMode::DropRequests | OutageMode::DropBoth);
        let (wait_ms, timeout_ms) = (millis(params.wait), millis(params.timeout));
        let known_version = follower.version;
        follower.watch =
            Some(Watch { started_ms: now, wait_ms, timeout_ms, known_version, is_lost });
    }

    /// Advances a pending watch.
    fn advance_watch(&mut self, n: usize, now: i64, mut watch: Watch) {
        let (at, stored, is_outage) =
            (self.instant(now), self.stored_version(now), self.is_during_outage(now));
        let mode = self.outage.mode;
        let follower = &mut self.followers[n];
        if is_outage && mode == OutageMode::Refuse {
            follower.record_failure(now, WatchFailure::Refused);
            return;
        }
        if now - watch.started_ms >= watch.timeout_ms {
            follower.record_failure(now, WatchFailure::Unanswered);
            return;
        }
        let is_complete = stored > watch.known_version || now - watch.started_ms >= watch.wait_ms;
        if !is_complete || watch.is_lost || now - watch.started_ms < millis(STORE_LATENCY) {
            return;
        }
        if is_outage {
            watch.is_lost = mode != OutageMode::DropRequests;
            follower.watch = Some(watch);
            return;
        }
        if stored > follower.version {
            follower.paused_until = now + millis(RETRY_PAUSE);
        }
        follower.version = follower.version.max(stored);
        follower.has_store = true;
        follower.subscription.record_answer(at);
        follower.watch = None;
    }

    /// Exchanges reports between all instances.
    fn exchange_reports(&mut self, now: i64) {
        let at = self.instant(now);
        for n in 0..INSTANCES {
            let follower = &self.followers[n];
            let age = follower.subscription.own_age(at).filter(|_| !follower.has_crashed);
            let (version, has_store) = (follower.version, follower.has_store);
            self.reports[n] = age.map(|age| ReportedState {
                version,
                confirmed_ms: now - millis(age),
                has_store,
            });
        }
        for n in 0..INSTANCES {
            let others = (0..INSTANCES).filter(|m| *m != n).filter_map(|m| self.reports[m]);
            let others: Vec<_> =
                others.map(|state| (state, self.instant(state.confirmed_ms.max(0)))).collect();
            let follower = &mut self.followers[n];
            for (state, confirmed_at) in others {
                if state.version >= follower.version {
                    let is_same = state.version == follower.version;
                    follower.subscription.record_peer(at, confirmed_at, is_same);
                }
            }
        }
    }
}

impl Follower {
    fn record_failure(&mut self, now: i64, failure: WatchFailure) {
        self.watch = None;
        if self.subscription.record_failure(failure) {
            self.has_store = false;
            self.paused_until = now + millis(RETRY_PAUSE);
        }
    }
}

fn millis(time: Duration) -> i64 {
    time.as_millis() as i64
}
