//! Endpoints that answer later than expected, all of them: a request that may be sent to no further one is answered.

use std::time::Duration;

use async_std::task;

use crate::caller;
use crate::fleet::{Fleet, DAEMONS};

/// Loopback addresses of its own, beside those of the seeds that are played meanwhile.
const SEED: u64 = 183;
/// What an answer takes: longer than an endpoint may be silent unsuspected, and less than a caller waits.
const TAKES: Duration = Duration::from_millis(900);

#[test]
fn the_last_attempt_at_a_request_waits_for_its_endpoint() {
    task::block_on(async {
        let fleet = Fleet::start(SEED).await;
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
        fleet.endpoints.iter().for_each(|endpoint| endpoint.set_work(TAKES));
        let send = |n: usize| caller::send(fleet.daemons[n].callers, "again", format!("slow-{n}"));
        let seen = futures::future::join_all((0..DAEMONS).map(send)).await;
        for seen in seen {
            assert!(seen.is_served(), "{seen:?}");
        }
    });
}
