//! Final answers of this instance's own, each true about whether the request has run.

use std::time::{Duration, Instant};

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_core::admission::{AccountUsage, QuotaExceeded};
use oxbowbend_core::cell::RetryAfter;
use oxbowbend_core::fingerprint::Fingerprint;
use oxbowbend_core::ids::AccountId;
use oxbowbend_http::h1;

/// When to come back to another instance, if this one stops.
const STOPPING: Duration = Duration::from_millis(200);

/// Why a request is not answered by an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NotReady { retry_after: Duration },
    /// This instance is about to end.
    Stopping,
    /// The head contradicts the protocol.
    Unreadable(String),
    /// No route has that host and path.
    NoRoute,
    /// No client account has that key.
    NoAccount,
    /// The body is larger than the operator allows.
    TooLarge,
    /// The caller did not send the whole body.
    CutBody,
    /// The client account has used its quota up.
    OverQuota { account: AccountId, exceeded: QuotaExceeded, units: u64 },
    /// No endpoint had a place in time.
    Busy { retry_after: RetryAfter, on_arrival: bool },
    /// It has ended the endpoints that ran it.
    Quarantined { fingerprint: Fingerprint, retry_after: Duration },
    /// An endpoint was asked and gave no usable answer.
    Failed,
    /// An endpoint was asked and gave no answer in time.
    TimedOut,
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::NotReady { .. }
            | Refusal::Stopping
            | Refusal::Busy { .. }
            | Refusal::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Unreadable(_) | Refusal::CutBody => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoAccount => StatusCode::UNAUTHORIZED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request has certainly not run.
    pub(crate) fn is_not_run(&self) -> bool {
        !matches!(self, Refusal::Failed | Refusal::TimedOut)
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Stopping => Some(STOPPING),
            Refusal::NotReady { retry_after } | Refusal::Quarantined { retry_after, .. } => {
                Some(*retry_after)
            }
            Refusal::OverQuota { exceeded, .. } => Some(exceeded.retry_after),
            Refusal::Busy { retry_after, .. } => Some(retry_after.after),
            _ => None,
        }
    }

    /// Name in logs and metrics.
    pub(crate) fn outcome(&self) -> &'static str {
        match self {
            Refusal::NotReady { .. } => "not_ready",
            Refusal::Stopping => "stopping",
            Refusal::Unreadable(_) => "unreadable",
            Refusal::NoRoute => "no_route",
            Refusal::NoAccount => "no_account",
            Refusal::TooLarge => "too_large",
            Refusal::CutBody => "cut_body",
            Refusal::OverQuota { .. } => "over_quota",
            Refusal::Busy { .. } => "busy",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::Failed => "failed",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// What it was decided from.
    fn detail(&self) -> String {
        match self {
            Refusal::Unreadable(e) => e.clone(),
            Refusal::OverQuota { account, exceeded, units } => {
                over_quota(account, exceeded, *units)
            }
            Refusal::Busy { retry_after, on_arrival } => {
                let RetryAfter { placed, refused, is_withheld, .. } = retry_after;
                format!(
                    "on_arrival={on_arrival} placed_last_s={placed} refused_last_s={refused} \
                     withheld={is_withheld}"
                )
            }
            Refusal::Quarantined { fingerprint, .. } => format!("fingerprint={fingerprint:016x}"),
            _ => String::new(),
        }
    }

    /// Logs it.
    pub(crate) fn log(&self, id: &str, route: &str, arrived: Instant) {
        let retry_after = self.retry_after().map_or(-1, |d| d.as_millis() as i64);
        log::info!(
            "event=refused id={id} route={route} outcome={} status={} not_run={} after_ms={} \
             retry_after_ms={retry_after} detail=\"{}\"",
            self.outcome(),
            self.status().as_u16(),
            self.is_not_run(),
            clock::since(arrived).as_millis(),
            self.detail()
        );
    }

    /// The answer for the caller.
    pub(crate) fn into_answer(self) -> Response<h1::Whole> {
        let mut answer = Response::new(h1::Whole::from(format!("{}\n", self.outcome())));
        *answer.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// What a refusal over a quota was decided from.
fn over_quota(account: &AccountId, exceeded: &QuotaExceeded, units: u64) -> String {
    let AccountUsage {
        admitted_units: live,
        restored_units: noted,
        limit,
        bucket_level: level,
        refill_per_s: per_s,
        reachable_share: share,
    } = exceeded.usage;
    format!(
        "bound={:?} account={account} units={units} live={live:.0} noted={noted:.0} \
         limit={limit:.0} level={level:.0} per_s={per_s:.0} share={share:.3}",
        exceeded.kind
    )
}
