//! Streams that clients take up again after a break.
//!
//! Such a request goes only to endpoints of the software version that began the stream. It is
//! refused where that is not known, or where there is no such endpoint any more: the client has to
//! begin anew.

use std::time::Duration;

use oxbowbend_clock as clock;
use oxbowbend_core::streams::{
    resolve, stream_key, Basis, Binding, LocalKnowledge, PeerAnswer, StreamOrigin, Unresolved,
};

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::Relay;
use crate::observe;
use crate::seam::Wire;
use crate::streams::shown;

/// `Retry-After` delay while it may still become known where a stream began.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time after a start or after a peer was lost in which that is so: reports of peers arrive, and
/// notes in the store are read.
const SETTLING: Duration = Duration::from_secs(2);

/// Why a stream is not taken up.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NotTakenUp {
    /// It is not known where it began.
    Unresolved(Unresolved),
    /// No endpoint of the version that began it accepts requests.
    VersionGone(StreamOrigin),
}

impl NotTakenUp {
    /// Returns the name used in logs, metrics and response bodies.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            NotTakenUp::Unresolved(Unresolved::Unknown) => "stream_unknown",
            NotTakenUp::Unresolved(Unresolved::Ambiguous) => "stream_ambiguous",
            NotTakenUp::Unresolved(Unresolved::Moved) => "stream_moved",
            NotTakenUp::VersionGone(_) => "stream_version_gone",
        }
    }
}

impl AdmittedRequest {
    /// Returns whether the client continues a stream that an earlier attempt began.
    fn is_taken_up(&self) -> bool {
        let has_events = self.metadata.after.is_some_and(|id| id > 0);
        let is_resumable = self.route.stream && self.route.resumable;
        is_resumable && (self.metadata.resumes.is_some() || has_events)
    }
}

impl<W: Wire> Relay<W> {
    /// Determines which stream a request begins or continues, and binds it to the service and
    /// version that began that.
    pub(super) async fn bind_stream(&self, request: &mut AdmittedRequest) -> Result<(), Refusal> {
        if !request.route.stream || !request.route.resumable {
            return Ok(());
        }
        let key = |id: &str| stream_key(request.account.as_ref(), id);
        if !request.is_taken_up() {
            request.stream_key = Some(key(&request.metadata.id));
            return Ok(());
        }
        request.stream_key = request.metadata.resumes.as_deref().map(key);
        let binding = self.resolve_stream(request).await;
        let (result, binding) = match binding {
            Ok(binding) => (basis_name(binding.basis), binding),
            Err((reason, is_settling)) => {
                let reason = NotTakenUp::Unresolved(reason);
                observe::stream_taken_up(reason.name());
                let retry_after = is_settling.then_some(UNKNOWN_RETRY_AFTER);
                return Err(Refusal::StreamNotTakenUp { reason, retry_after });
            }
        };
        observe::stream_taken_up(result);
        log::info!(
            "event=stream_taken_up id={} resumes={} after={} service={} software={} known_from={result} \
             age_ms={} versions_age_ms={}",
            request.metadata.id,
            request.metadata.resumes.as_deref().unwrap_or("-"),
            request.metadata.after.map_or(-1, |id| id as i64),
            binding.origin.service,
            shown(&binding.origin.version),
            shown_ms(self.record_age(request)),
            shown_ms(self.versions_age())
        );
        request.service = binding.origin.service.clone();
        request.bound_to = Some(binding.origin);
        Ok(())
    }

    /// Decides from this instance's knowledge, which the store confirms if it rests on having heard of no other version,
    /// or else from that of its peers. An error tells whether more may be known soon.
    async fn resolve_stream(
        &self,
        request: &AdmittedRequest,
    ) -> Result<Binding, (Unresolved, bool)> {
        let taken_up_at = clock::now();
        let mut known = self.knowledge(request);
        let mut binding = resolve(taken_up_at, &known, &[]);
        let mut is_confirmed = known.only_seen.is_none();
        if binding == Err(Unresolved::Unknown) && known.sole.is_some() {
            is_confirmed = self.shared.confirm_versions().await;
            known = self.knowledge(request);
            binding = resolve(taken_up_at, &known, &[]);
        }
        if binding != Err(Unresolved::Unknown) {
            return binding.map_err(|reason| (reason, false));
        }
        let key = request.stream_key;
        let answers =
            self.shared.ask_for_stream(&self.pool, key, &known.targets, is_confirmed).await;
        // Reports may have arrived meanwhile.
        let known = self.knowledge(request);
        let binding = resolve(taken_up_at, &known, &answers);
        if let (Ok(Binding { origin, basis: Basis::PeerRecord }), Some(key)) = (&binding, key) {
            self.shared.adopt_stream(key, account(request), origin);
        }
        let may_settle = |reason| reason == Unresolved::Unknown && key.is_some();
        binding.map_err(|reason| (reason, may_settle(reason) && self.is_settling(&answers)))
    }

    fn knowledge(&self, request: &AdmittedRequest) -> LocalKnowledge {
        let state = self.shared.lock();
        state.knowledge_of_stream(clock::now(), request.stream_key, &request.route)
    }

    fn record_age(&self, request: &AdmittedRequest) -> Option<Duration> {
        self.shared.lock().stream_age(clock::now(), request.stream_key?)
    }

    fn versions_age(&self) -> Option<Duration> {
        self.shared.lock().versions_age(clock::now())
    }

    /// Returns whether instances that may know more have not answered, or have just started.
    fn is_settling(&self, answers: &[PeerAnswer]) -> bool {
        let (now, state) = (clock::now(), self.shared.lock());
        let others = state.cell.live_peer_count(now);
        answers.len() < others.min(1) || state.is_younger_than(now, SETTLING)
    }

    /// Returns the refusal of a request whose version has no endpoint that accepts requests.
    pub(super) fn version_gone(&self, origin: &StreamOrigin) -> Refusal {
        let reason = NotTakenUp::VersionGone(origin.clone());
        observe::stream_taken_up(reason.name());
        Refusal::StreamNotTakenUp { reason, retry_after: None }
    }
}

/// Returns the account of a request, or an empty name if it has none.
pub(super) fn account(request: &AdmittedRequest) -> &str {
    request.account.as_deref().unwrap_or_default()
}

/// Returns a time in milliseconds as logs show it, -1 if there is none.
fn shown_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}

fn basis_name(basis: Basis) -> &'static str {
    match basis {
        Basis::Record => "record",
        Basis::PeerRecord => "peer_record",
        Basis::SoleVersion => "sole_version",
        Basis::PeerSoleVersion => "peer_sole_version",
        Basis::AllInstances => "all_instances",
    }
}
