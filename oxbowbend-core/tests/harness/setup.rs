//! Common fixtures: one pool, one account, and equal endpoints and requests.

use std::time::Duration;

use oxbowbend_core::message::RequestInfo;
use oxbowbend_core::topology::{Account, Endpoint, Pool, Topology};

/// The pool of [`topology`].
pub const POOL: &str = "p/m";
/// Maximum run time.
pub const MAX_RUN: Duration = Duration::from_secs(60);

pub fn endpoint(slots: u32) -> Endpoint {
    Endpoint {
        slots,
        generation: "g1".into(),
        prefill_rate: 10_000.0,
        decode_rate: 100.0,
        cache_tokens: 10_000,
        leaving: false,
        report_lag: Duration::from_secs(1),
    }
}

pub fn topology(endpoints: &[(&str, u32)], account_limit: Option<u32>) -> Topology {
    let mut pool =
        Pool { zones: ["z".into()].into(), queue_bound: 100, max_run: MAX_RUN, ..Pool::default() };
    for (name, slots) in endpoints {
        pool.endpoints.insert((*name).into(), endpoint(*slots));
    }
    let account = Account { max_running: account_limit };
    Topology {
        pools: [(POOL.into(), pool)].into(),
        accounts: [("acc".into(), account)].into(),
        lowest_tier: 2,
        max_run: MAX_RUN,
    }
}

pub fn request_info(id: &str, tier: u8) -> RequestInfo {
    RequestInfo {
        id: id.into(),
        attempt: 1,
        pool: POOL.into(),
        account: "acc".into(),
        tier,
        weight: 1,
        prompt_tokens: 100,
        output_tokens: 10,
        prefix: Vec::new(),
        due_in_ms: 300_000,
    }
}
