//! The quarantine as the parts of a gateway share it, and its lines in the log.

use std::time::Instant;

use oxbowbend_clock as clock;
use oxbowbend_core::cell::Outcome;
use oxbowbend_core::fingerprint::Fingerprint;
use oxbowbend_core::ids::EndpointKey;
use oxbowbend_core::quarantine::{
    InterruptedAttempt, Quarantine, QuarantineEvent, QuarantineUpdate, SendPermission,
};
use oxbowbend_core::routes::Endpoint;

use crate::observe;
use crate::shared::{Shared, State};
use crate::world::News;

impl Shared {
    /// Whether a request with these parts may be sent to an endpoint now.
    pub(crate) fn gate(&self, fingerprint: Fingerprint, parts: &[Fingerprint]) -> SendPermission {
        let mut state = self.lock();
        let gate = state.quarantine.check_send(clock::now(), fingerprint, parts);
        if gate == SendPermission::Trial {
            log_changes(&mut state.quarantine);
            drop(state);
            self.tell_others();
        }
        gate
    }

    /// Notes that a request had a whole answer.
    pub(crate) fn request_answered(&self, fingerprint: Fingerprint) {
        let mut state = self.lock();
        state.quarantine.request_succeeded(clock::now(), fingerprint);
        log_changes(&mut state.quarantine);
    }

    /// Records that an endpoint wrote a response to a request with these parts.
    pub(crate) fn parts_answered(&self, parts: &[Fingerprint]) {
        if parts.is_empty() {
            return;
        }
        let mut state = self.lock();
        state.quarantine.parts_succeeded(clock::now(), parts);
        log_changes(&mut state.quarantine);
    }

    /// Notes a run that broke off; tells whether its endpoint must be checked. One that leaves, or has left, may
    /// end without anybody's doing.
    pub(crate) fn run_broke_off(
        &self,
        endpoint: &Endpoint,
        run: InterruptedAttempt,
        parts: &[Fingerprint],
    ) -> bool {
        let (now, key) = (clock::now(), endpoint.key());
        let mut state = self.lock();
        let State { world, quarantine, .. } = &mut *state;
        let Some(newest) = world.endpoint(&endpoint.id).filter(|e| !e.leaving) else {
            return false;
        };
        quarantine.attempt_interrupted(now, &endpoint.id, key, run, parts);
        if newest.key() != key {
            quarantine.endpoint_crashed(now, key);
        }
        log_changes(quarantine);
        quarantine.has_pending_attempts(key) || quarantine.is_unproven(key)
    }

    /// Notes that an endpoint has responded.
    pub(crate) fn endpoint_responded(&self, endpoint: &Endpoint) {
        self.lock().quarantine.endpoint_alive(clock::now(), endpoint.key());
    }

    /// Notes that a start of an endpoint has ended.
    pub(crate) fn endpoint_ended(&self, endpoint: &Endpoint) {
        let now = clock::now();
        let mut state = self.lock();
        state.quarantine.endpoint_crashed(now, endpoint.key());
        state.set_ended_aside(now, [endpoint.key()]);
        log_changes(&mut state.quarantine);
        drop(state);
        self.tell_others();
    }

    /// Takes in what instances have noted in the store.
    pub(crate) fn read_notes(&self, now: Instant) {
        let mut state = self.lock();
        let State { world, quarantine, .. } = &mut *state;
        for entry in world.instances().values() {
            quarantine.apply_decisions(now, &entry.quarantined);
        }
        log_changes(quarantine);
    }
}

impl State {
    /// Notes of endpoints that news names whether they are alive. Entries of the first list, or of one that the store has come
    /// back with from an older copy, may be of endpoints that are gone.
    pub(crate) fn note_starts(&mut self, now: Instant, news: &[News], is_first_list: bool) {
        let is_list = is_first_list || news.iter().any(|n| matches!(n, News::Restored { .. }));
        for item in news {
            let (News::Endpoint(endpoint) | News::Restarted(endpoint)) = item else { continue };
            match is_list {
                true => self.quarantine.endpoint_listed(endpoint.key()),
                false => self.quarantine.endpoint_alive(now, endpoint.key()),
            }
        }
    }

    /// Takes in what another instance tells.
    pub(crate) fn hear_of_ends(&mut self, now: Instant, told: &QuarantineUpdate) {
        if told.is_empty() {
            return;
        }
        let ended = self.quarantine.apply_update(now, told);
        self.set_ended_aside(now, ended);
        log_changes(&mut self.quarantine);
    }

    /// Judges requests by ends that are known long enough.
    pub(crate) fn judge_ends(&mut self, now: Instant) {
        self.quarantine.evaluate(now);
        log_changes(&mut self.quarantine);
    }

    /// Nothing is sent to starts of endpoints that have ended.
    fn set_ended_aside(&mut self, now: Instant, ended: impl IntoIterator<Item = EndpointKey>) {
        ended.into_iter().for_each(|key| self.cell.record_outcome(now, key, Outcome::Absent));
    }
}

/// Writes and counts what has newly been believed.
pub(crate) fn log_changes(quarantine: &mut Quarantine) {
    let changes = quarantine.take_events();
    if changes.is_empty() {
        return;
    }
    changes.iter().for_each(log_change);
    observe::quarantined(quarantine.quarantined_count());
}

fn log_change(change: &QuarantineEvent) {
    match change {
        QuarantineEvent::EndpointCrashed { endpoint, suspects, parts, is_local: is_own } => {
            observe::endpoint_ended();
            log::warn!(
                "event=endpoint_ended start={endpoint:08x} own={is_own} suspects={suspects:016x?} \
                 parts={parts:016x?}"
            );
        }
        QuarantineEvent::InterruptionDisregarded { endpoint } => {
            observe::quarantine_changed("disregarded");
            log::info!("event=interruption_disregarded start={endpoint:08x}");
        }
        QuarantineEvent::Quarantined { fingerprint, crashes: ends, trial_delay: pause } => {
            observe::quarantine_changed("quarantined");
            let from = if ends.is_empty() { "told" } else { "evidence" };
            log::warn!(
                "event=request_quarantined fingerprint={fingerprint:016x} from={from} \
                 ends={ends:08x?} pause_ms={}",
                pause.as_millis()
            );
        }
        QuarantineEvent::TrialStarted { fingerprint, trials } => {
            observe::quarantine_changed("trial");
            log::warn!("event=quarantine_trial fingerprint={fingerprint:016x} trials={trials}");
        }
        QuarantineEvent::TrialDue { fingerprint } => {
            observe::quarantine_changed("trial_due");
            log::warn!("event=quarantine_trial_due fingerprint={fingerprint:016x}");
        }
        QuarantineEvent::Released { fingerprint } => {
            observe::quarantine_changed("released");
            log::warn!("event=request_released fingerprint={fingerprint:016x}");
        }
    }
}
