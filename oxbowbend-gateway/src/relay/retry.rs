//! Retries that the limit on retries of all instances allows.

use oxbowbend_clock as clock;
use oxbowbend_core::ids::ServiceId;
use oxbowbend_core::retries::RetryDecision;

use super::request::AdmittedRequest;
use super::{AttemptHistory, Relay};
use crate::observe;
use crate::shared::Shared;

/// A retry that is allowed. Dropping it before it is sent gives it back.
pub(crate) struct RetryPermit {
    shared: Shared,
    service: ServiceId,
    is_sent: bool,
}

impl RetryPermit {
    /// Records that the retry is sent.
    fn send(mut self) {
        self.is_sent = true;
        self.shared.lock().repeats.retry_sent(clock::now(), &self.service);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.shared.lock().repeats.retry_cancelled(&self.service);
        }
    }
}

impl AttemptHistory {
    /// Records that the next attempt is sent, which uses up the retry that was allowed.
    pub(super) fn start_retry(&mut self) {
        if let Some(permit) = self.retry.take() {
            permit.send();
        }
    }
}

impl<W> Relay<W> {
    /// Takes one retry from the retry budget for the next attempt, and returns whether there was one
    /// left.
    pub(super) fn acquire_retry(
        &self,
        request: &AdmittedRequest,
        reason: &'static str,
        history: &mut AttemptHistory,
    ) -> bool {
        let mut state = self.shared.lock();
        let decision = state.repeats.try_retry(clock::now(), &request.service);
        drop(state);
        let RetryDecision { is_allowed, retries, requests, fixed_part, instances } = decision;
        observe::retry_decided(reason, is_allowed);
        log::info!(
            "event=repeat id={} service={} why={reason} allowed={is_allowed} instances={instances} \
             retries={retries} requests={requests} fixed_part={fixed_part:.2}",
            request.metadata.id,
            request.service
        );
        let (shared, service) = (self.shared.clone(), request.service.clone());
        history.retry = is_allowed.then_some(RetryPermit { shared, service, is_sent: false });
        is_allowed
    }
}
