//! Real processes, real signals: what must hold while they are stopped, killed and frozen.

mod fleet;

use std::time::Duration;

use async_std::task;
use fleet::{
    all, ask, bounded, engine, eventually, keyed, send, slow_engine, whole, Fleet, Instance,
};
use oxbowbend_standin::load::Ended;
use oxbowbend_standin::switches::Switches;

#[test]
fn a_hundred_callers_each_get_their_own_answer() {
    bounded(async {
        let fleet = Fleet::start(&[engine(8), engine(8)]).await;
        let to = fleet.callers();
        let requests = (0..100).map(|n| {
            send(to[n % 3], ask(&format!("own-{n}"), "live", 20 + n as u32 % 7, n % 2 == 0))
        });
        let results = all(requests.collect()).await;
        assert_eq!(whole(&results), 100, "{results:?}");
        fleet.check(&results);
    });
}

#[test]
fn stopping_the_scheduler_under_load_cuts_nothing_off() {
    bounded(async {
        let mut fleet = Fleet::start(&[slow_engine(4), slow_engine(4)]).await;
        let to = fleet.callers();
        let requests: Vec<_> = (0..30)
            .map(|n| send(to[n % 3], ask(&format!("stop-{n}"), "draft", 10, n % 2 == 0)))
            .collect();
        eventually("requests run", || fleet.runs().len() >= 8).await;
        let scheduler = fleet.scheduler().await;
        fleet.instances[scheduler].terminate();
        let results = all(requests).await;
        assert_eq!(whole(&results), 30, "{results:?}");
        assert!(fleet.instances[scheduler].ended_well().await);
        fleet.check(&results);
    });
}

#[test]
fn a_rolling_restart_loses_nothing() {
    bounded(async {
        let mut fleet = Fleet::start(&[engine(4), engine(4)]).await;
        let mut results = Vec::new();
        for restarted in 0..3 {
            let to = fleet.callers();
            let requests: Vec<_> = (0..15)
                .map(|n| {
                    let name = format!("roll-{restarted}-{n}");
                    send(to[n % 3], ask(&name, "draft", 200, n % 2 == 0))
                })
                .collect();
            fleet.instances[restarted].terminate();
            results.extend(all(requests).await);
            assert!(fleet.instances[restarted].ended_well().await);
            let zone = fleet::ZONES[restarted];
            let platform = fleet.around.platform_address;
            fleet.instances[restarted] = Instance::start(zone, platform).await;
            fleet.ready().await;
        }
        assert_eq!(whole(&results), 45, "{results:?}");
        fleet.check(&results);
    });
}

#[test]
fn a_killed_scheduler_is_replaced() {
    bounded(async {
        let mut fleet = Fleet::start(&[slow_engine(4), slow_engine(4)]).await;
        let scheduler = fleet.scheduler().await;
        let to = fleet.callers();
        let survivors: Vec<_> = (0..3).filter(|n| *n != scheduler).collect();
        let requests: Vec<_> = (0..24)
            .map(|n| send(to[survivors[n % 2]], ask(&format!("kill-{n}"), "draft", 10, n % 2 == 0)))
            .collect();
        eventually("requests run", || fleet.runs().len() >= 4).await;
        fleet.instances[scheduler].kill();
        let results = all(requests).await;
        assert_eq!(whole(&results), 24, "{results:?}");
        fleet.check(&results);
    });
}

#[test]
fn a_frozen_scheduler_that_wakes_does_no_harm() {
    bounded(async {
        let fleet = Fleet::start(&[slow_engine(3), slow_engine(3)]).await;
        let scheduler = fleet.scheduler().await;
        let to = fleet.callers();
        let requests: Vec<_> = (0..30)
            .map(|n| send(to[n % 3], ask(&format!("freeze-{n}"), "draft", 10, n % 2 == 0)))
            .collect();
        eventually("requests run", || fleet.runs().len() >= 3).await;
        fleet.instances[scheduler].freeze();
        task::sleep(Duration::from_secs(4)).await;
        fleet.instances[scheduler].wake();
        let results = all(requests).await;
        let elsewhere = results.iter().enumerate().filter(|(n, _)| n % 3 != scheduler);
        let lost: Vec<_> = elsewhere.filter(|(_, (_, r))| r.ended != Ended::Whole).collect();
        assert!(lost.is_empty(), "{lost:?}");
        fleet.check(&results);
    });
}

/// A keyed request whose first instance is killed while it waits, and while it runs.
#[test]
fn a_keyed_request_runs_once_though_its_instance_is_killed() {
    bounded(async {
        let mut fleet = Fleet::start(&[slow_engine(1)]).await;
        let to = fleet.callers();
        let blocker = send(to[1], ask("blocker", "live", 30, true));
        eventually("the blocker runs", || fleet.runs().len() == 1).await;
        let waiting = keyed(ask("waits", "draft", 10, true), "key-waits");
        let first = send(to[0], waiting.clone());
        task::sleep(Duration::from_millis(300)).await;
        fleet.instances[0].kill();
        first.await;
        let (asked, retried) = send(to[1], waiting).await;
        assert_eq!(retried.ended, Ended::Whole, "{asked:?}");
        let running = keyed(ask("runs", "draft", 40, false), "key-runs");
        let first = send(to[2], running.clone());
        eventually("it runs", || fleet.runs().iter().any(|r| r.marker.contains("runs"))).await;
        fleet.instances[2].kill();
        first.await;
        let (asked, retried) = send(to[1], running).await;
        assert_eq!(retried.ended, Ended::Whole, "{asked:?}");
        let blocked = blocker.await;
        assert_eq!(blocked.1.ended, Ended::Whole);
        fleet.check(&[blocked]);
    });
}

/// An instance is frozen while it holds a keyed request that waits; another one takes over.
#[test]
fn a_frozen_holder_finds_its_request_taken_over() {
    bounded(async {
        let fleet = Fleet::start(&[slow_engine(1)]).await;
        let to = fleet.callers();
        let blocker = send(to[1], ask("blocker", "live", 60, true));
        eventually("the blocker runs", || fleet.runs().len() == 1).await;
        let waiting = keyed(ask("waits", "draft", 10, true), "key-waits");
        let first = send(to[0], waiting.clone());
        task::sleep(Duration::from_millis(300)).await;
        fleet.instances[0].freeze();
        let second = send(to[1], waiting);
        task::sleep(Duration::from_millis(1500)).await;
        fleet.instances[0].wake();
        let mut results = all(vec![first, second, blocker]).await;
        assert_eq!(whole(&results), 2, "{results:?}");
        fleet.check(&results.split_off(1));
    });
}

#[test]
fn an_outage_of_the_platform_stops_only_what_needs_it() {
    bounded(async {
        let fleet = Fleet::start(&[engine(4)]).await;
        let to = fleet.callers();
        let outage = Switches { refuse: true, refuse_list: true, ..Switches::default() };
        fleet.switch_platform(outage);
        let requests = (0..9).map(|n| send(to[n % 3], ask(&format!("out-{n}"), "live", 10, true)));
        let mut results = all(requests.collect()).await;
        assert!(results.iter().all(|(_, r)| r.ended == Ended::Whole), "{results:?}");
        let asked = keyed(ask("keyed", "live", 10, true), "key-out");
        let refused = send(to[0], asked.clone()).await;
        let Ended::Refused { status, outcome, retry_after } = &refused.1.ended else {
            panic!("{refused:?}")
        };
        assert_eq!((*status, outcome.as_str()), (503, "unknown"));
        assert!(retry_after.is_some());
        fleet.switch_platform(Switches::default());
        let again = send(to[0], asked).await;
        assert_eq!(again.1.ended, Ended::Whole);
        results.extend([refused, again]);
        fleet.check(&results);
    });
}

#[test]
fn higher_tiers_are_not_shed_while_lower_ones_wait() {
    bounded(async {
        let fleet = Fleet::start_undeclared(&[slow_engine(2)]).await;
        let mut resources = fleet.around.resources(&fleet::ZONES);
        for resource in &mut resources {
            if let oxbowbend_resource::kinds::Spec::Model(model) = &mut resource.spec {
                model.queue_bound = Some(10);
            }
        }
        let declared = oxbowbend_standin::local::declare(fleet.instances[0].operators, resources);
        declared.await.expect("the resources are accepted");
        fleet.ready().await;
        let to = fleet.callers();
        let send_tier = |tier: &'static str, count: usize| {
            let to = to.clone();
            (0..count).map(move |n| send(to[n % 3], ask(&format!("{tier}-{n}"), tier, 5, false)))
        };
        let mut requests: Vec<_> = send_tier("batch", 30).collect();
        task::sleep(Duration::from_millis(200)).await;
        requests.extend(send_tier("live", 9));
        let results = all(requests).await;
        let live_lost = results
            .iter()
            .filter(|(a, r)| a.tier.as_deref() == Some("live") && r.ended != Ended::Whole)
            .count();
        let shed = results.iter().filter(|(_, r)| matches!(r.ended, Ended::Refused { .. })).count();
        assert_eq!(live_lost, 0, "{results:?}");
        assert!(shed >= 10, "only {shed} were shed");
        fleet.check(&results);
    });
}

/// A keyed request whose instance is killed at any time from its arrival to its last byte, with a
/// service slow enough for every step of the ledger to be struck. The caller's retry elsewhere
/// gets the answer or hears that the fate is not known; the request never runs twice.
#[test]
fn a_keyed_request_never_runs_twice_whenever_its_instance_is_killed() {
    bounded(async {
        let mut fleet = Fleet::start(&[slow_engine(4)]).await;
        let platform = fleet.around.platform_address;
        fleet.switch_platform(Switches { delay_ms: 100, ..Switches::default() });
        for (n, millis) in [0, 60, 150, 250, 350, 600, 1200, 1500].into_iter().enumerate() {
            let asked =
                keyed(ask(&format!("struck-{n}."), "draft", 20, n % 2 == 0), &format!("k{n}"));
            let first = send(fleet.instances[0].callers, asked.clone());
            task::sleep(Duration::from_millis(millis)).await;
            fleet.instances[0].kill();
            first.await;
            let mut last = None;
            for _ in 0..20 {
                let (_, result) = send(fleet.instances[1].callers, asked.clone()).await;
                let answered = result.ended == Ended::Whole;
                last = Some(result.ended);
                if answered {
                    break;
                }
                task::sleep(Duration::from_millis(200)).await;
            }
            let runs = fleet.runs();
            let starts: Vec<u32> = runs
                .iter()
                .filter(|r| r.marker.contains(&format!("struck-{n}.")))
                .map(|r| r.starts)
                .collect();
            match last {
                Some(Ended::Whole) => assert_eq!(starts, [1], "killed after {millis} ms"),
                Some(Ended::Refused { ref outcome, .. }) if outcome == "unknown" => {
                    assert!(
                        starts.iter().sum::<u32>() <= 1,
                        "killed after {millis} ms: {starts:?}"
                    );
                }
                other => panic!("killed after {millis} ms: {other:?}"),
            }
            fleet.instances[0] = Instance::start(fleet::ZONES[0], platform).await;
            let ready = oxbowbend_standin::local::wait_ok(
                fleet.instances[0].callers,
                "/readyz",
                fleet::LONGEST,
            );
            assert!(ready.await, "not ready");
        }
    });
}
