//! Admission: reading the body, matching a route, authenticating the client account, and checking
//! the quarantine and the quota.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use http::{request, Request};
use hyper::body::{Body as _, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::PrefillStall;
use oxbowbend_core::config_order;
use oxbowbend_core::fingerprint::{fingerprint, Fingerprint};
use oxbowbend_core::memory;
use oxbowbend_core::routes::{Account, Route, RoutingTable};
use oxbowbend_http::h1;
use oxbowbend_http::memory::ConnectionHandle;
use rand::Rng;

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::{time_until, AttemptHistory, Offered, Origin, Relay};
use crate::seam::{Ask, Wire};

/// Time for a body of a request that states no deadline and has no route.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);
/// Longest body that is kept although its head alone decides that the request is refused.
const SMALL_BODY: u64 = memory::SMALL_BODY as u64;
/// Time for which the rest of a refused body is read and thrown away.
pub(super) const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` delay for lack of memory; the retry reaches another instance.
const OVER_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum body size while no configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Most parts of a prompt that are logged.
const MAX_PARTS_LOGGED: usize = 8;
/// Number of route tiers within each account tier of a rank.
const ROUTE_TIERS: u16 = 256;

/// Prompt tokens that engines process between two decoding steps of other requests, the common
/// chunk size of chunked prefill.
const PREFILL_CHUNK_TOKENS: u32 = 1024;

/// Time that a request waits for the initial load from the store after the instance has started.
/// Clients that reconnect after a restart of the fleet arrive before it is complete.
const INITIAL_CONFIG_TIMEOUT: Duration = Duration::from_millis(120);
/// `Retry-After` delay if another instance already has the configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Random factor of not-ready delays, so that refused clients do not all retry at the same time.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Id of the refused request, for the log, and the refusal.
type AdmitError = (String, Refusal);

impl<W: Wire> Relay<W> {
    /// Admits a request. The body is read before any refusal is returned, because a client may not
    /// read a response while it is still sending. It is not kept if it is long and the head alone decides on a refusal.
    pub(super) async fn admit(
        &self,
        req: Request<Incoming>,
        origin: Origin,
        offered: Offered,
        arrived_at: Instant,
    ) -> Result<AdmittedRequest, AdmitError> {
        let (mut head, mut body) = req.into_parts();
        let handle = head.extensions.remove();
        let table = self.shared.table();
        let max_body_bytes =
            table.as_ref().map_or(DEFAULT_MAX_BODY_BYTES, |t| t.limits().max_body_bytes);
        let metadata = self.wire.read(&head);
        let id = metadata.as_ref().map_or("-", |metadata| &metadata.id).to_owned();
        let with_id = |refusal| (id.clone(), refusal);
        let route = match (&table, &metadata) {
            (Some(table), Ok(metadata)) => Some(allowed_route(table, metadata, &head)),
            _ => None,
        };
        let timeout = metadata.as_ref().ok().and_then(|metadata| metadata.patience);
        let timeout = match route {
            Some(Some(route)) => timeout.unwrap_or(Duration::MAX).min(route.timeout),
            _ => timeout.unwrap_or(MAX_BODY_TIME).min(MAX_BODY_TIME),
        };
        let is_refused = metadata.is_err() || matches!(route, Some(None));
        let body = match is_refused && body.size_hint().exact().is_none_or(|n| n > SMALL_BODY) {
            true => {
                let max_bytes = max_discarded_bytes(max_body_bytes);
                h1::discard(&mut body, handle.as_ref(), max_bytes, timeout).await;
                None
            }
            false => {
                let read = read_body(&mut body, handle.as_ref(), max_body_bytes, timeout);
                Some(self.until_exit(None, read).await.map_err(with_id)?)
            }
        };
        let metadata = metadata.map_err(|e| with_id(Refusal::InvalidHead(e.0)))?;
        let table = match table {
            Some(table) => table,
            None => self.wait_for_config(arrived_at).await.map_err(with_id)?,
        };
        let table = self.certain_table(table, &metadata, &head).await.map_err(with_id)?;
        if body.is_none() && is_allowed(&table, &metadata, &head) {
            // A configuration that has come meanwhile allows what could not be kept.
            return Err(with_id(self.not_ready_refusal(clock::now())));
        }
        let body = body.unwrap_or_default();
        if !config_order::may_handle(offered.config, table.version()) {
            return Err(with_id(Refusal::OtherConfiguration));
        }
        let mut request =
            self.create_request(&table, head, metadata, body, arrived_at).map_err(with_id)?;
        (request.origin, request.handle) = (origin, handle);
        request.earlier_attempts = offered.attempts;
        self.bind_stream(&mut request).await.map_err(with_id)?;
        Ok(request)
    }

    /// Waits for the configuration, unless the store is unavailable.
    async fn wait_for_config(&self, arrived_at: Instant) -> Result<Arc<RoutingTable>, Refusal> {
        let is_store_away = self.shared.lock().world.is_store_away();
        if !is_store_away
            && future::timeout(INITIAL_CONFIG_TIMEOUT, self.shared.loaded()).await.is_ok()
        {
            if let Some(table) = self.shared.table() {
                return Ok(table);
            }
        }
        Err(self.not_ready_refusal(arrived_at))
    }

    /// Returns the configuration by which a request is handled. If it lacks the request's route or account,
    /// these may be newer than it: right after a suspension, or when nobody has confirmed it for long. A
    /// client that is told that its route does not exist gives up.
    async fn certain_table(
        &self,
        table: Arc<RoutingTable>,
        metadata: &Ask,
        head: &request::Parts,
    ) -> Result<Arc<RoutingTable>, Refusal> {
        if is_allowed(&table, metadata, head) {
            return Ok(table);
        }
        let catch_up = self.shared.catch_up_left();
        if !catch_up.is_zero() {
            task::sleep(catch_up).await;
        }
        let (now, table) = (clock::now(), self.shared.table().unwrap_or(table));
        if is_allowed(&table, metadata, head) || self.shared.lock().is_config_confirmed(now) {
            return Ok(table);
        }
        Err(self.not_ready_refusal(now))
    }

    /// Creates the refusal for a request that arrived before the configuration. The delay is short if
    /// another instance has the configuration, since this one will receive it soon.
    fn not_ready_refusal(&self, now: Instant) -> Refusal {
        let state = self.shared.lock();
        let retry_after = match state.cell.live_reports(now).any(|r| r.config_version > 0) {
            true => NOT_READY_RETRY_AFTER,
            false => state.world.come_back(now),
        };
        drop(state);
        Refusal::NotReady {
            retry_after: retry_after.mul_f64(rand::rng().random_range(RETRY_AFTER_JITTER)),
        }
    }

    fn create_request(
        &self,
        table: &RoutingTable,
        head: request::Parts,
        metadata: Ask,
        body: h1::HeldBody,
        arrived_at: Instant,
    ) -> Result<AdmittedRequest, Refusal> {
        let route = table.route(&metadata.host, head.uri.path()).ok_or(Refusal::NoRoute)?.clone();
        let account = authenticate(table, &route, &metadata)?;
        let service = route.pick_target(rand::random()).cloned().ok_or(Refusal::NoRoute)?;
        let quota_units = account.map_or(0, |a| quota_units(a, &metadata));
        let fingerprint = request_fingerprint(account, &head, &body);
        let mut state = self.shared.lock();
        let parts = &metadata.shared_parts;
        if let Some(remaining) = state.quarantine.blocked_for(arrived_at, fingerprint, parts) {
            return Err(Refusal::Quarantined { fingerprint, retry_after: remaining });
        }
        let age = state.ages.estimate(&route.name, metadata.patience, route.timeout);
        drop(state);
        let timeout = metadata.patience.unwrap_or(Duration::MAX).min(route.timeout);
        let tier = account.and_then(|a| a.tier).map_or(0, u16::from);
        let rank = tier * ROUTE_TIERS + u16::from(route.tier);
        let tokens_per_event = table.service(&service).map_or(0, |s| s.tokens_per_event);
        let prefill_stall = PrefillStall {
            chunk_tokens: metadata
                .prompt
                .min(tokens_per_event.saturating_mul(PREFILL_CHUNK_TOKENS)),
            max_gap_ms: route.event_gap_objective.map_or(0, |p| p.as_millis() as u32),
        };
        Ok(AdmittedRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            handle: None,
            fingerprint,
            service,
            account: account.map(|a| a.name.clone()),
            quota_units,
            rank,
            prefill_stall,
            age,
            arrived_at,
            deadline: arrived_at + timeout,
            route,
            metadata,
            origin: Origin::Client,
            config_version: table.version(),
            is_counted: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            earlier_attempts: 0,
            stream_key: None,
            bound_to: None,
        })
    }

    /// Waits until it is known what others have admitted for the request's account, if this instance was
    /// just suspended: it would admit once more what they have used up.
    pub(super) async fn await_usage(&self, request: &AdmittedRequest) {
        let Some(account) = &request.account else { return };
        if request.is_counted.load(Ordering::SeqCst) {
            return;
        }
        let wait = self.shared.usage_known_in(account);
        if !wait.is_zero() {
            task::sleep(wait.min(time_until(request.deadline))).await;
        }
    }

    /// Counts a request that this instance serves itself: in its account's quota and in the retry
    /// budget. One that a peer serves is counted there, since what others have been told of a
    /// quota cannot be taken back.
    pub(super) fn count(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> Result<(), Refusal> {
        if request.is_counted.swap(true, Ordering::SeqCst) {
            return Ok(());
        }
        let (now, mut state) = (clock::now(), self.shared.lock());
        if let Some(account) = &request.account {
            let (units, tier) = (request.quota_units, request.route.tier);
            let admitted = state.admission.admit(now, account, units, tier);
            if let Err(exceeded) = admitted {
                request.is_counted.store(false, Ordering::SeqCst);
                let account = account.clone();
                return Err(Refusal::OverQuota { account, exceeded, quota_units: units });
            }
        }
        // A peer that may have served it has counted it: its requests and ours add up.
        if history.possibly_executed == 0 {
            state.repeats.record_request(now, &request.service);
        }
        drop(state);
        log::info!(
            "event=admitted id={} fingerprint={:016x} route={} service={} account={} version={} \
             units={} prompt={} output={} patience_ms={} age_ms={} rank={} after={} resumes={} \
             parts={:08x?}",
            request.metadata.id,
            request.fingerprint,
            request.route.name,
            request.service,
            request.account.as_deref().unwrap_or("-"),
            request.config_version,
            request.quota_units,
            request.metadata.prompt,
            request.metadata.output.map_or(-1, i64::from),
            request.deadline.duration_since(request.arrived_at).as_millis(),
            request.age.as_millis(),
            request.rank,
            request.metadata.after.map_or(-1, |id| id as i64),
            request.metadata.resumes.as_deref().unwrap_or("-"),
            shown_parts(&request.metadata.shared_parts)
        );
        Ok(())
    }
}

/// Returns the first parts of a prompt, shortened, for the log.
fn shown_parts(parts: &[Fingerprint]) -> Vec<u32> {
    parts.iter().take(MAX_PARTS_LOGGED).map(|part| (part >> 32) as u32).collect()
}

/// Whether the configuration has the route of a request, and lets its account use it.
fn is_allowed(table: &RoutingTable, metadata: &Ask, head: &request::Parts) -> bool {
    allowed_route(table, metadata, head).is_some()
}

/// The route of a request, if the configuration has it and lets the request's account use it.
fn allowed_route<'a>(
    table: &'a RoutingTable,
    metadata: &Ask,
    head: &request::Parts,
) -> Option<&'a Arc<Route>> {
    let route = table.route(&metadata.host, head.uri.path())?;
    authenticate(table, route, metadata).is_ok().then_some(route)
}

fn authenticate<'a>(
    table: &'a RoutingTable,
    route: &Route,
    metadata: &Ask,
) -> Result<Option<&'a Account>, Refusal> {
    let account = metadata.key.as_ref().and_then(|key| table.account_by_key(key));
    match account {
        Some(account) => Ok(Some(account)),
        None if route.public || !table.has_accounts() => Ok(None),
        None => Err(Refusal::UnknownAccount),
    }
}

fn request_fingerprint(
    account: Option<&Account>,
    head: &request::Parts,
    body: &h1::HeldBody,
) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    fingerprint(
        account.map(|a| &a.name),
        head.method.as_str(),
        path,
        body.pieces().iter().map(Bytes::as_ref),
    )
}

fn quota_units(account: &Account, metadata: &Ask) -> u64 {
    match account.counts_tokens {
        true => metadata.units.unwrap_or(account.default_units),
        false => 1,
    }
}

/// Returns how much of a refused body is read and thrown away: a client whose body is not much too long sees the refusal
/// also if it reads only after it has sent all.
fn max_discarded_bytes(max_body_bytes: usize) -> usize {
    max_body_bytes.saturating_mul(2)
}

/// Reads a body within a time. The rest of one that is refused is thrown away.
async fn read_body(
    body: &mut Incoming,
    handle: Option<&Arc<ConnectionHandle>>,
    max_body_bytes: usize,
    timeout: Duration,
) -> Result<h1::HeldBody, Refusal> {
    let held = future::timeout(timeout, h1::hold(body, handle, max_body_bytes)).await;
    let refusal = match held {
        Ok(Ok(body)) => return Ok(body),
        Err(_) => Refusal::BodyTooSlow,
        Ok(Err(h1::HoldError::TooLarge)) => Refusal::BodyTooLarge,
        Ok(Err(h1::HoldError::Broken(_))) => return Err(Refusal::IncompleteBody),
        Ok(Err(h1::HoldError::OverBudget(_) | h1::HoldError::Yielded)) => {
            let jitter = rand::rng().random_range(RETRY_AFTER_JITTER);
            Refusal::OverMemory { retry_after: OVER_MEMORY_RETRY_AFTER.mul_f64(jitter) }
        }
    };
    h1::discard(body, handle, max_discarded_bytes(max_body_bytes), DISCARD_TIMEOUT).await;
    Err(refusal)
}
