//! Admission: the route, the client account, the body, the quota, in that order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use bytes::Bytes;
use http::{request, Request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use oxbowbend_core::cell::Stall;
use oxbowbend_core::fingerprint::{fingerprint, Fingerprint};
use oxbowbend_core::routes::{Account, Route, Table};
use rand::Rng;

use super::job::Job;
use super::refusal::Refusal;
use super::Relay;
use crate::seam::{Ask, Wire};

/// Largest body that is read before a configuration is known.
const MAX_UNKNOWN_BODY: usize = 4 << 20;
/// Tiers that a rank leaves room for below an account's.
const TIERS: u16 = 256;

/// Tokens of a prompt that engines read between two tokens of the other requests; the usual size of
/// such a chunk, and borne out by the pauses seen at slow endpoints.
const READ_CHUNK: u32 = 1024;

/// Time for which a request waits for an instance that has just started to know what the store holds.
/// That takes 8 to 20 ms, in which a restarted fleet of six meets 260 callers that have been trying to
/// connect, most of them for the last time.
const LOADING: Duration = Duration::from_millis(120);
/// When to come back to an instance that is being told the configuration.
const STARTING: Duration = Duration::from_millis(200);
/// Spread of the time to come back, so that refused callers do not return as one.
const SPREAD: std::ops::Range<f64> = 0.8..1.2;

type Refused = (String, Refusal);

impl<W: Wire> Relay<W> {
    /// Admits a request. The body is read before anything is refused, so that a refusal does not
    /// meet a caller that is still sending.
    pub(super) async fn admit(
        &self,
        req: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Job, Refused> {
        let (head, body) = req.into_parts();
        let table = self.shared.table();
        let limit = table.as_ref().map_or(MAX_UNKNOWN_BODY, |t| t.limits().body);
        let ask = self.wire.read(&head);
        let id = ask.as_ref().map_or("-", |ask| &ask.id).to_owned();
        let refused = |refusal| (id.clone(), refusal);
        let body = read_body(body, limit).await.map_err(refused)?;
        let ask = ask.map_err(|e| refused(Refusal::Unreadable(e.0)))?;
        let table = match table {
            Some(table) => table,
            None => self.await_table(arrived).await.map_err(refused)?,
        };
        let job = self.check(&table, head, ask, body, arrived).map_err(refused)?;
        Ok(job)
    }

    /// Waits a moment for what the store holds, after a start.
    async fn await_table(&self, arrived: Instant) -> Result<Arc<Table>, Refusal> {
        let is_store_away = self.shared.lock().world.is_store_away();
        if !is_store_away && future::timeout(LOADING, self.shared.loaded()).await.is_ok() {
            if let Some(table) = self.shared.table() {
                return Ok(table);
            }
        }
        Err(self.not_ready(arrived))
    }

    /// Nothing can be served yet. Where another instance knows the configuration, this one soon will.
    fn not_ready(&self, now: Instant) -> Refusal {
        let state = self.shared.lock();
        let come_back = match state.cell.live_reports(now).any(|r| r.version > 0) {
            true => STARTING,
            false => state.world.come_back(now),
        };
        drop(state);
        Refusal::NotReady { retry_after: come_back.mul_f64(rand::rng().random_range(SPREAD)) }
    }

    fn check(
        &self,
        table: &Table,
        head: request::Parts,
        ask: Ask,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Job, Refusal> {
        let route = table.route(&ask.host, head.uri.path()).ok_or(Refusal::NoRoute)?.clone();
        let account = account(table, &route, &ask)?;
        let service = route.target(rand::random()).cloned().ok_or(Refusal::NoRoute)?;
        let units = account.map_or(0, |a| units(a, &ask));
        let fingerprint = identify(account, &head, &body);
        let mut state = self.shared.lock();
        if let Some(left) = state.quarantine.blocked_for(arrived, fingerprint) {
            return Err(Refusal::Quarantined { fingerprint, retry_after: left });
        }
        let admitted = match account {
            Some(account) => state.admission.admit(arrived, &account.name, units, route.tier),
            None => Ok(()),
        };
        admitted.map_err(|exceeded| {
            let account = account.map(|a| a.name.clone()).unwrap_or_default();
            Refusal::OverQuota { account, exceeded, units }
        })?;
        state.repeats.requested(arrived, &service);
        let age = state.ages.age(&route.name, ask.patience, route.timeout);
        drop(state);
        let patience = ask.patience.unwrap_or(Duration::MAX).min(route.timeout);
        let tier = account.and_then(|a| a.tier).map_or(0, u16::from);
        let rank = tier * TIERS + u16::from(route.tier);
        log::info!(
            "event=admitted id={} fingerprint={fingerprint:016x} route={} service={service} account={} \
             version={} units={units} prompt={} output={} patience_ms={} age_ms={} rank={rank}",
            ask.id,
            route.name,
            account.map_or("-", |a| &a.name),
            table.version(),
            ask.prompt,
            ask.output.map_or(-1, i64::from),
            patience.as_millis(),
            age.as_millis()
        );
        let tokens_per_event = table.service(&service).map_or(0, |s| s.tokens_per_event);
        let stall = Stall {
            tokens: ask.prompt.min(tokens_per_event.saturating_mul(READ_CHUNK)),
            pause_ms: route.pause.map_or(0, |p| p.as_millis() as u32),
        };
        Ok(Job {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            fingerprint,
            service,
            account: account.map(|a| a.name.clone()),
            units,
            rank,
            stall,
            age,
            arrived,
            limit: arrived + patience,
            route,
            ask,
        })
    }
}

fn account<'a>(table: &'a Table, route: &Route, ask: &Ask) -> Result<Option<&'a Account>, Refusal> {
    let account = ask.key.as_ref().and_then(|key| table.account_of(key));
    match account {
        Some(account) => Ok(Some(account)),
        None if route.public || !table.has_accounts() => Ok(None),
        None => Err(Refusal::NoAccount),
    }
}

fn identify(account: Option<&Account>, head: &request::Parts, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    fingerprint(account.map(|a| &a.name), head.method.as_str(), path, body)
}

fn units(account: &Account, ask: &Ask) -> u64 {
    match account.by_tokens {
        true => ask.units.unwrap_or(account.plain_units),
        false => 1,
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::CutBody),
    }
}
