//! Requests of an instance that is shutting down. The rule is in [`oxbowbend_core::shutdown`].

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::future::{select, Either};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::{Assignment, Outcome};
use oxbowbend_core::shutdown::{expected_response_time, Shutdown};

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::{Relay, Slot};
use crate::seam::Wire;
use crate::shared::State;

impl<W: Wire> Relay<W> {
    /// Rejects a request that this instance takes on in no way any more, before it waits or is offered
    /// to a peer.
    pub(super) fn check_open(&self) -> Result<(), Refusal> {
        self.check_admits(|_| Some(Duration::ZERO))
    }

    /// Rejects a request that a peer would probably not answer before this instance exits.
    pub(super) fn check_time_for_peer(&self, request: &AdmittedRequest) -> Result<(), Refusal> {
        self.check_admits(|state| state.expected_time(clock::now(), request))
    }

    /// Rejects a request that its endpoint would probably not answer before this instance exits.
    pub(super) fn check_shutdown(
        &self,
        request: &AdmittedRequest,
        slot: Slot,
    ) -> Result<Slot, Refusal> {
        let expected = |state: &mut State| state.expected_time_at(request, &slot.assignment);
        match self.check_admits(expected) {
            Ok(()) => Ok(slot),
            Err(refusal) => {
                self.give_back(&slot);
                Err(refusal)
            }
        }
    }

    /// The same for a response that goes on at another endpoint.
    pub(super) fn check_may_continue(
        &self,
        request: &AdmittedRequest,
        slot: Slot,
    ) -> Result<Slot, Refusal> {
        let mut state = self.shared.lock();
        let expected = state.expected_time_at(request, &slot.assignment);
        let may_continue = |s: Shutdown| s.may_continue(clock::now(), expected);
        if state.shutdown.is_none_or(may_continue) {
            return Ok(slot);
        }
        drop(state);
        self.give_back(&slot);
        Err(Refusal::Stopping)
    }

    fn check_admits(
        &self,
        expected: impl FnOnce(&mut State) -> Option<Duration>,
    ) -> Result<(), Refusal> {
        let (now, mut state) = (clock::now(), self.shared.lock());
        let Some(shutdown) = state.shutdown else { return Ok(()) };
        let expected = expected(&mut state);
        match shutdown.admits(now, expected, state.are_others_ready(now)) {
            true => Ok(()),
            false => Err(Refusal::Stopping),
        }
    }

    fn give_back(&self, slot: &Slot) {
        let Assignment { endpoint, prompt_tokens, .. } = &slot.assignment;
        self.shared.finish(endpoint.key(), *prompt_tokens, Outcome::Neutral);
    }

    /// Waits for the result of a request, or refuses it shortly before this instance exits: as not
    /// executed if it has not been admitted or sent anywhere, and else as one that may have been.
    pub(super) async fn until_exit<T>(
        &self,
        request: Option<&AdmittedRequest>,
        result: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let exit = pin!(self.shared.response_deadline());
        if let Either::Left((result, _)) = select(pin!(result), exit).await {
            return result;
        }
        let may_have_run = request.is_some_and(|r| r.may_have_run.load(Ordering::SeqCst));
        Err(if may_have_run { Refusal::Interrupted } else { Refusal::Stopping })
    }
}

impl State {
    /// Expected duration of a request at an idle endpoint of its service, wherever that is.
    fn expected_time(&mut self, now: Instant, request: &AdmittedRequest) -> Option<Duration> {
        let (service, prompt) = (&request.service, request.metadata.prompt);
        if request.route.stream {
            let output = request.metadata.output.unwrap_or(0);
            return self.cell.service_total(now, service, prompt, output);
        }
        let measured = self.cell.service_expectation(now, service, prompt);
        expected_response_time(request.route.objective, measured)
    }

    /// Expected duration of a request at the endpoint that it is assigned to.
    fn expected_time_at(
        &mut self,
        request: &AdmittedRequest,
        assignment: &Assignment,
    ) -> Option<Duration> {
        if request.route.stream {
            return assignment.expected_total;
        }
        let tokens = assignment.prompt_tokens.saturating_add(assignment.backlog_tokens);
        let measured = self.cell.expectation(clock::now(), assignment.endpoint.key(), tokens);
        expected_response_time(request.route.objective, measured)
    }
}
