//! Metrics, and who may be named in them.

use std::collections::BTreeSet;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use metrics::{counter, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Client accounts that get series of their own; the others share one.
const MAX_ACCOUNTS: usize = 256;
/// Label of all other client accounts.
const OTHER: &str = "(other)";
/// Upper bounds of the histograms' buckets in seconds.
const BUCKETS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0];

/// Installs the recorder of the process, once.
pub(crate) fn install() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let start = || {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
        builder.ok()?.install_recorder().ok()
    };
    HANDLE.get_or_init(start).as_ref()
}

/// The label of an account, with a bound on how many there are.
fn account_label(account: &str) -> String {
    static KNOWN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut known = KNOWN.lock().expect("no panic under lock");
    if known.contains(account) {
        return account.to_owned();
    }
    if known.len() >= MAX_ACCOUNTS {
        return OTHER.to_owned();
    }
    known.insert(account.to_owned());
    account.to_owned()
}

/// Notes a request that has got its last byte or its refusal.
pub(crate) fn answered(tier: &str, account: &str, outcome: &'static str, time: Duration) {
    let (tier, account) = (tier.to_owned(), account_label(account));
    counter!("oxbow_requests_total", "tier" => tier.clone(), "outcome" => outcome).increment(1);
    histogram!("oxbow_request_seconds", "tier" => tier, "account" => account).record(time);
}

/// Notes how long a request waited for its grant.
pub(crate) fn granted(tier: &str, account: &str, time: Duration) {
    let (tier, account) = (tier.to_owned(), account_label(account));
    histogram!("oxbow_wait_seconds", "tier" => tier, "account" => account).record(time);
}

/// Notes the time from arrival to the first event of an answer.
pub(crate) fn first_token(tier: &str, account: &str, time: Duration) {
    let (tier, account) = (tier.to_owned(), account_label(account));
    histogram!("oxbow_first_token_seconds", "tier" => tier, "account" => account).record(time);
}

/// Notes that an answer was picked up again after a cut.
pub(crate) fn resumed(times: u32) {
    counter!("oxbow_resumes_total").increment(u64::from(times));
}

/// Notes a batch of messages to another instance.
pub(crate) fn sent(messages: usize, bytes: usize) {
    counter!("oxbow_peer_messages_total").increment(messages as u64);
    counter!("oxbow_peer_bytes_total").increment(bytes as u64);
}
