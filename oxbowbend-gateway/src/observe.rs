//! Counters and latency histograms, and the page that shows them.

use std::sync::OnceLock;
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use oxbowbend_core::cell::RetryAfter;
use oxbowbend_core::isolation::ProbeRound;
use oxbowbend_core::memory::{EndReason, Kind};
use oxbowbend_core::slot_leases::OwnerLoad;
use oxbowbend_http::memory::MemoryUse;

/// Upper bounds of the histograms' buckets in seconds, around the users' objectives of 0.1 to 0.8 s.
const BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 10.0];

/// The recorder of the process; none if another one was installed before.
pub(crate) fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let matcher = Matcher::Suffix("_seconds".to_owned());
            let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
            let installed = builder.map(|b| b.install_recorder());
            match installed {
                Ok(Ok(handle)) => Some(handle),
                Ok(Err(e)) | Err(e) => {
                    log::warn!("event=metrics_unavailable error=\"{e}\"");
                    None
                }
            }
        })
        .as_ref()
}

/// The page of all metrics.
pub(crate) fn page() -> String {
    recorder().map(PrometheusHandle::render).unwrap_or_default()
}

/// Notes a request that has got its final answer.
pub(crate) fn answered(route: &str, outcome: &'static str, took: Duration) {
    counter!("oxbow_requests_total", "route" => route.to_owned(), "outcome" => outcome)
        .increment(1);
    histogram!("oxbow_request_seconds", "route" => route.to_owned()).record(took);
}

/// Notes how long a request waited for its place, and whether another endpoint wanted none.
pub(crate) fn placed(route: &str, waited: Duration, is_moved: bool) {
    histogram!("oxbow_wait_seconds", "route" => route.to_owned()).record(waited);
    if is_moved {
        withheld("moved");
    }
}

/// Notes a request that endpoints did not want: one that was moved to another endpoint, or refused.
pub(crate) fn withheld(how: &'static str) {
    counter!("oxbow_requests_withheld_total", "how" => how).increment(1);
}

/// Records a request that got no slot and the time after which its caller is told to retry.
pub(crate) fn refused_busy(route: &str, retry: &RetryAfter, on_arrival: bool) {
    histogram!("oxbow_retry_delay_seconds", "route" => route.to_owned()).record(retry.delay);
    if on_arrival {
        let by = match retry {
            RetryAfter { is_throttled: true, .. } => "throttled",
            RetryAfter { forecast: Some(_), .. } => "expected_wait",
            RetryAfter { .. } => "outcomes",
        };
        counter!("oxbow_refused_on_arrival_total", "route" => route.to_owned(), "by" => by)
            .increment(1);
    }
}

/// Sets the number of endpoints that have named limits.
pub(crate) fn limited(n: usize) {
    gauge!("oxbow_endpoints_limited").set(n as f64);
}

/// Sets the number of endpoints that have said that they are brittle.
pub(crate) fn brittle(n: usize) {
    gauge!("oxbow_endpoints_brittle").set(n as f64);
}

/// Notes a request that a brittle endpoint turned away.
pub(crate) fn turned_away_by_brittle() {
    counter!("oxbow_brittle_rejections_total").increment(1);
}

/// Counts requests that got a slot because their rank was below its floor.
pub(crate) fn moved_by_floor(requests: u64) {
    counter!("oxbow_requests_moved_by_floor_total").increment(requests);
}

/// Sets the number of accounts over their fair share.
pub(crate) fn over_share(accounts: usize) {
    gauge!("oxbow_accounts_over_share").set(accounts as f64);
}

/// Counts an entry of the store of which something was not believed.
pub(crate) fn entry_doubted(why: &'static str) {
    counter!("oxbow_entries_doubted_total", "why" => why).increment(1);
}

/// Notes the time from a request's arrival to the first event of its answer.
pub(crate) fn began(route: &str, took: Duration) {
    histogram!("oxbow_first_event_seconds", "route" => route.to_owned()).record(took);
}

/// Counts a decision on a retry.
pub(crate) fn retry_decided(why: &'static str, is_allowed: bool) {
    let name = if is_allowed { "oxbow_sent_again_total" } else { "oxbow_retries_denied_total" };
    counter!(name, "why" => why).increment(1);
}

/// Notes a report to or from another instance.
pub(crate) fn reported(direction: &'static str, bytes: usize) {
    counter!("oxbow_reports_total", "direction" => direction).increment(1);
    counter!("oxbow_report_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Records a report that was delayed to leave the link to requests.
pub(crate) fn report_delayed(delay: Duration) {
    histogram!("oxbow_report_delay_seconds").record(delay);
}

/// Notes a call to the store.
pub(crate) fn store_call(what: &'static str, outcome: &'static str) {
    counter!("oxbow_store_calls_total", "call" => what, "outcome" => outcome).increment(1);
}

/// Notes an endpoint that has ended while requests ran there.
pub(crate) fn endpoint_ended() {
    counter!("oxbow_endpoint_ends_total").increment(1);
}

/// Notes a send that was held back.
pub(crate) fn send_held() {
    counter!("oxbow_sends_held_total").increment(1);
}

/// Sets the number of endpoints that have said that they leave.
pub(crate) fn leaving(n: usize) {
    gauge!("oxbow_endpoints_leaving").set(n as f64);
}

/// Sets the number of endpoints that have asked this instance for rest.
pub(crate) fn resting(n: usize) {
    gauge!("oxbow_endpoints_resting").set(n as f64);
}

/// Sets the number of roll-outs in progress.
pub(crate) fn rollouts(n: usize) {
    gauge!("oxbow_rollouts").set(n as f64);
}

/// Notes what was decided on a request that ends endpoints.
pub(crate) fn quarantine_changed(what: &'static str) {
    counter!("oxbow_quarantine_total", "what" => what).increment(1);
}

/// Notes how many requests are in quarantine.
pub(crate) fn quarantined(held: usize) {
    gauge!("oxbow_quarantined").set(held as f64);
}

/// Records a round of probes of the path to endpoints.
pub(crate) fn path_probed(round: ProbeRound) {
    counter!("oxbow_path_probes_total", "result" => "reached").increment(round.reached as u64);
    counter!("oxbow_path_probes_total", "result" => "silent").increment(round.silent as u64);
    counter!("oxbow_path_probes_total", "result" => "failed").increment(round.failed as u64);
}

/// Sets the number of services of which this instance reaches no endpoint.
pub(crate) fn isolated(services: usize) {
    gauge!("oxbow_isolated_services").set(services as f64);
}

/// Records what came of a request that a peer was asked to serve.
pub(crate) fn handed_over(result: &'static str) {
    counter!("oxbow_handovers_total", "result" => result).increment(1);
}

/// Records a request that another instance handed over, by whether it was accepted.
pub(crate) fn handover_received(result: &'static str) {
    counter!("oxbow_handovers_received_total", "result" => result).increment(1);
}

/// Records a response of an endpoint that is none to the request sent there.
pub(crate) fn foreign_response() {
    counter!("oxbow_foreign_responses_total").increment(1);
}

/// Counts a stream whose endpoint repeated events or went back.
pub(crate) fn stream_out_of_order() {
    counter!("oxbow_streams_out_of_order_total").increment(1);
}

/// Records what came of offering a request to an instance of another cell with free slots.
pub(crate) fn overflow_offered(result: &'static str) {
    counter!("oxbow_overflow_offers_total", "result" => result).increment(1);
}

/// Records a request of a cell without free slots that was offered here, by whether it was accepted.
pub(crate) fn overflow_received(result: &'static str) {
    counter!("oxbow_overflow_received_total", "result" => result).increment(1);
}

/// Sets the number of free slots that other cells have reported, less those offered requests since.
pub(crate) fn free_slots_elsewhere(slots: u32) {
    gauge!("oxbow_overflow_free_slots").set(f64::from(slots));
}

/// Sets for how long others have had a newer configuration.
pub(crate) fn config_behind(time: Duration) {
    gauge!("oxbow_config_behind_seconds").set(time.as_secs_f64());
}

/// Records a stream that a client takes up, by what its version is known from or why it goes on
/// nowhere.
pub(crate) fn stream_taken_up(result: &'static str) {
    counter!("oxbow_streams_taken_up_total", "result" => result).increment(1);
}

/// Records a question to peers for a stream, and how many answered.
pub(crate) fn stream_asked(answers: usize) {
    counter!("oxbow_stream_questions_total").increment(1);
    counter!("oxbow_stream_answers_total").increment(answers as u64);
}

/// Notes the present state.
pub(crate) fn state(waiting: usize, busy: usize, heard: usize) {
    gauge!("oxbow_waiting").set(waiting as f64);
    gauge!("oxbow_in_progress").set(busy as f64);
    gauge!("oxbow_instances_heard").set(heard as f64);
}

/// Sets the bytes per second on this instance's link and the mean delay of its timers.
pub(crate) fn load(received_per_s: u64, sent_per_s: u64, timer_delay: Duration) {
    gauge!("oxbow_link_bytes_per_second", "direction" => "in").set(received_per_s as f64);
    gauge!("oxbow_link_bytes_per_second", "direction" => "out").set(sent_per_s as f64);
    gauge!("oxbow_timer_delay_seconds").set(timer_delay.as_secs_f64());
}

/// Sets the number of connections that were closed unread since the start.
pub(crate) fn connections_closed(connections: u64) {
    counter!("oxbow_connections_closed_unread_total").absolute(connections);
}

/// Sets what clients make this instance hold, and what was ended or refused for it since the start.
pub(crate) fn client_memory(usage: &MemoryUse) {
    for (kind, bytes) in Kind::ALL.iter().zip(usage.held) {
        gauge!("oxbow_held_bytes", "kind" => kind.name()).set(bytes as f64);
    }
    gauge!("oxbow_held_bytes_limit").set(usage.limit as f64);
    for (reason, connections) in EndReason::ALL.iter().zip(usage.ended) {
        counter!("oxbow_connections_ended_total", "why" => reason.name()).absolute(connections);
    }
    counter!("oxbow_connections_refused_total").absolute(usage.closed_unread);
    counter!("oxbow_charges_denied_total").absolute(usage.denied);
}

/// Counts a slot that this instance granted.
pub(crate) fn slot_granted() {
    counter!("oxbow_slots_granted_total").increment(1);
}

/// Counts a request for a slot that this instance denied.
pub(crate) fn slot_denied(reason: &'static str) {
    counter!("oxbow_slots_denied_total", "reason" => reason).increment(1);
}

/// Counts leases that expired before they were released.
pub(crate) fn slot_leases_expired(n: usize) {
    counter!("oxbow_slot_leases_expired_total").increment(n as u64);
}

/// Counts a request that was placed without a lease although the slots of its service are leased.
pub(crate) fn slot_unleased(reason: &'static str) {
    counter!("oxbow_slots_unleased_total", "reason" => reason).increment(1);
}

/// Records the time from the search for a slot to its grant.
pub(crate) fn slot_obtained(service: &str, took: Duration) {
    histogram!("oxbow_slot_grant_seconds", "service" => service.to_owned()).record(took);
}

/// Counts a change of this instance's role as an owner of slots.
pub(crate) fn slot_owner_changed(change: &'static str) {
    counter!("oxbow_slot_owner_changes_total", "change" => change).increment(1);
}

/// Sets the load of the slots that this instance grants.
pub(crate) fn slot_owner(load: OwnerLoad) {
    gauge!("oxbow_slots_owned").set(load.slots);
    gauge!("oxbow_slots_leased").set(load.granted);
    gauge!("oxbow_slot_requests_waiting").set(load.waiting);
}
