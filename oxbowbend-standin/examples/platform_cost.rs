//! Measures what the platform's service is asked for: the ledger's group commit, and the time for a
//! change of configuration to be in force everywhere.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use common::{settings, Failure};
use futures::future;
use http_types::Method;
use oxbowbend_core::ledger;
use oxbowbend_daemon::daemon;
use oxbowbend_standin::engine;
use oxbowbend_standin::load;
use oxbowbend_standin::local;
use oxbowbend_standin::platform;
use oxbowbend_standin::switches;
use oxbowbend_store::etcd;
use oxbowbend_store::ledger::Ledger;
use serde_json::json;

/// Claims at once.
const CLAIMERS: usize = 256;
/// Claims by each.
const CLAIMS: usize = 20;
/// Time that the service takes for an answer.
const ANSWER_MS: u64 = 3;
/// Time between two writes of the whole ledger.
const PACE_MS: u64 = 5;

#[async_std::main]
async fn main() -> Result<(), Failure> {
    println!("ledger: {CLAIMERS} claimers, {ANSWER_MS} ms for an answer of the service");
    println!(
        "{:>8}{:>10}{:>12}{:>12}{:>12}{:>12}",
        "writers", "shards", "claims/s", "writes/s", "conflicts", "mean ms"
    );
    for (writers, shards) in [(1, 1), (1, 4), (1, 16), (1, 64), (7, 16)] {
        group_commit(writers, shards).await?;
    }
    println!("\nconfiguration: time from the request to a change until it is in force everywhere");
    println!("{:>10}{:>10}{:>10}", "daemons", "p50 ms", "max ms");
    for daemons in [1, 3, 5, 7] {
        in_force(daemons).await?;
    }
    println!("\nleaving: time from the request to the last dispatch to the endpoint, 3 daemons");
    for _ in 0..5 {
        let (millis, before) = leaving().await?;
        println!("{millis:>10.1} ms at the most, after {before} runs there");
    }
    Ok(())
}

/// Milliseconds from the operator's request to the last run that began at the endpoint, under load,
/// and the runs that began there before.
async fn leaving() -> Result<(f64, usize), Failure> {
    let options = engine::Options { decode_rate: 500.0, ..engine::Options::default() };
    let around = local::Surroundings::start(&[options.clone(), options]).await?;
    let zones = ["zone-0", "zone-1", "zone-2"];
    let (operators, callers) = start_daemons(&zones, &around).await?;
    let asks = (0..20_000).map(|n| load::Ask {
        key: local::ACCOUNT.1.to_owned(),
        model: local::MODEL.to_owned(),
        tier: None,
        prompt: format!("request {n}"),
        max_tokens: 5,
        stream: false,
        run: None,
        headers: Vec::new(),
    });
    let callers = task::spawn(load::closed_loop(callers, asks.collect(), 24));
    task::sleep(Duration::from_secs(8)).await;
    let path = "/v1/resources/Endpoint/engine-0";
    let (_, mut engine) = local::operator_call(operators[0], Method::Get, path, None).await?;
    engine["spec"]["leaving"] = json!(true);
    let began = Instant::now();
    local::operator_call(operators[0], Method::Put, path, Some(&engine)).await?;
    // What began while the operator waited is counted as begun when the answer came.
    let mut last = (around.engines[0].0.runs().len(), began.elapsed());
    let before = last.0;
    while began.elapsed() < last.1 + Duration::from_secs(1) {
        let runs = around.engines[0].0.runs().len();
        if runs > last.0 {
            last = (runs, began.elapsed());
        }
        task::sleep(Duration::from_millis(1)).await;
    }
    callers.cancel().await;
    Ok((last.1.as_secs_f64() * 1000.0, before))
}

/// Starts daemons in the given zones, declares the resources and waits until all are ready.
async fn start_daemons(
    zones: &[&str],
    around: &local::Surroundings,
) -> Result<(Vec<SocketAddr>, Vec<SocketAddr>), Failure> {
    let mut operators = Vec::new();
    let mut callers = Vec::new();
    for zone in zones {
        let settings = settings(zone, around.platform_address).await?;
        operators.push(settings.operator_listen);
        callers.push(settings.caller_listen);
        daemon::Daemon::start(settings).await?;
    }
    local::declare(operators[0], around.resources(zones)).await?;
    for caller in &callers {
        local::wait_ok(*caller, "/readyz", Duration::from_secs(20)).await;
    }
    Ok((operators, callers))
}

async fn group_commit(writers: usize, shards: u32) -> Result<(), Failure> {
    let platform = platform::Platform::new(platform::Options::default());
    let (listener, address) = local::listen().await?;
    task::spawn(platform.clone().serve(listener));
    platform
        .panel()
        .set(switches::Switches { delay_ms: ANSWER_MS, ..switches::Switches::default() });
    let time = Duration::from_secs(5);
    let window = Duration::from_millis(PACE_MS) * shards;
    let ledger = || Ledger::new(etcd::Etcd::new(vec![address], time, time), shards, time, window);
    let ledgers: Vec<_> = (0..writers).map(|_| ledger()).collect();
    let began = Instant::now();
    let claimers = (0..CLAIMERS).map(|claimer| {
        let ledger = ledgers[claimer % writers].clone();
        task::spawn(async move {
            let mut failed = 0;
            for n in 0..CLAIMS {
                let name = format!("{claimer}-{n}");
                let action = ledger::StepAction::Hold {
                    holder: "entry-zone-a-0123abcd".into(),
                    body_digest: 1,
                    takeover: false,
                    retention_s: 900,
                };
                let key = ledger::ledger_key("court", &name);
                let step = ledger::Step { key, run: name.as_str().into(), action };
                failed += usize::from(ledger.take(step).await.is_err());
            }
            failed
        })
    });
    let failed: usize = future::join_all(claimers).await.into_iter().sum();
    let seconds = began.elapsed().as_secs_f64();
    let counts = ledgers.iter().map(Ledger::counts);
    let (swaps, conflicts) = counts.fold((0, 0), |(s, c), n| (s + n.swaps, c + n.conflicts));
    let claims = (CLAIMERS * CLAIMS) as f64;
    println!(
        "{writers:>8}{shards:>10}{:>12.0}{:>12.0}{conflicts:>12}{:>12.1}{}",
        claims / seconds,
        swaps as f64 / seconds,
        seconds * 1000.0 / CLAIMS as f64,
        if failed > 0 { format!("  {failed} failed") } else { String::new() },
    );
    Ok(())
}

async fn in_force(daemons: usize) -> Result<(), Failure> {
    let around = local::Surroundings::start(&[]).await?;
    let zones: Vec<String> = (0..daemons).map(|n| format!("zone-{n}")).collect();
    let names: Vec<&str> = zones.iter().map(String::as_str).collect();
    let (operators, _) = start_daemons(&names, &around).await?;
    let mut times = Vec::new();
    for n in 0..20 {
        let path = "/v1/resources/Tier/live";
        let (_, mut tier) = local::operator_call(operators[0], Method::Get, path, None).await?;
        tier["spec"]["deadlineSeconds"] = json!(30 + n);
        let began = Instant::now();
        local::operator_call(operators[0], Method::Put, path, Some(&tier)).await?;
        let wanted = 2 + n;
        for operator in &operators {
            loop {
                let (_, status) =
                    local::operator_call(*operator, Method::Get, "/v1/resources/Tier/live", None)
                        .await?;
                if status["version"].as_u64() >= Some(wanted) {
                    break;
                }
                task::sleep(Duration::from_millis(1)).await;
            }
        }
        times.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    times.sort_by(f64::total_cmp);
    println!("{daemons:>10}{:>10.1}{:>10.1}", times[times.len() / 2], times[times.len() - 1]);
    Ok(())
}
