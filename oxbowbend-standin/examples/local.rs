//! The main job on an embedded default: stand-ins and three daemons in one process serve requests
//! of three tiers, and what happened is printed. Ends with a non-zero code if anything was wrong.

mod common;

use std::process::ExitCode;
use std::time::Duration;

use common::{settings, Failure};
use oxbowbend_daemon::daemon;
use oxbowbend_standin::engine;
use oxbowbend_standin::load;
use oxbowbend_standin::local;

/// Requests of each tier.
const REQUESTS: usize = 60;
/// Callers at once.
const CALLERS: usize = 24;
/// Availability zones, one daemon in each.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

#[async_std::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("local: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool, Failure> {
    let fast = engine::Options { slots: 4, ..engine::Options::default() };
    let slow = engine::Options { decode_rate: 400.0, prefill_rate: 40_000.0, ..fast.clone() };
    let surroundings = local::Surroundings::start(&[fast.clone(), fast, slow]).await?;
    let mut callers = Vec::new();
    let mut operators = Vec::new();
    let mut daemons = Vec::new();
    for zone in ZONES {
        let settings = settings(zone, surroundings.platform_address).await?;
        callers.push(settings.caller_listen);
        operators.push(settings.operator_listen);
        daemons.push(daemon::Daemon::start(settings).await?);
    }
    println!("started 3 engines, 1 plain service, the platform and {} daemons", daemons.len());
    local::declare(operators[0], surroundings.resources(&ZONES)).await?;
    for caller in &callers {
        if !local::wait_ok(*caller, "/readyz", Duration::from_secs(20)).await {
            return Err("a daemon did not become ready".into());
        }
    }
    println!("declared the resources; all daemons are ready");
    let results = load::closed_loop(callers, asks(), CALLERS).await;
    let good = report(&results) & check_engines(&surroundings);
    for daemon in &daemons {
        daemon.drain();
    }
    for daemon in &daemons {
        daemon.stopped().await?;
    }
    println!("{}", if good { "everything was as it should be" } else { "SOMETHING WAS WRONG" });
    Ok(good)
}

fn asks() -> Vec<load::Ask> {
    let ask = |n: usize| {
        let tier = local::TIERS[n % local::TIERS.len()];
        let long = if tier == "batch" { 40 } else { 2 };
        load::Ask {
            key: if n.is_multiple_of(2) { local::ACCOUNT.1 } else { local::OTHER_ACCOUNT.1 }
                .to_owned(),
            model: local::MODEL.to_owned(),
            tier: Some(tier.to_owned()),
            prompt: format!("request {n} {}", "of the hearing ".repeat(long)),
            max_tokens: 5 * long as u32,
            stream: n % 4 < 2,
            run: None,
            headers: Vec::new(),
        }
    };
    (0..REQUESTS * local::TIERS.len()).map(ask).collect()
}

fn report(results: &[oxbowbend_standin::load::Result]) -> bool {
    let mut good = true;
    println!("{:8}{:>6}{:>7}{:>9}{:>9}{:>7}", "tier", "sent", "whole", "p50 ms", "p95 ms", "wrong");
    for (n, tier) in local::TIERS.iter().enumerate() {
        let mut summary = load::Summary::default();
        results.iter().skip(n).step_by(local::TIERS.len()).for_each(|r| summary.add(r));
        let wrong = summary.sent - summary.whole;
        println!(
            "{tier:8}{:>6}{:>7}{:>9.1}{:>9.1}{wrong:>7}",
            summary.sent,
            summary.whole,
            summary.total_ms(0.5),
            summary.total_ms(0.95),
        );
        summary.wrong.iter().take(3).for_each(|w| println!("  {w}"));
        if !summary.refused.is_empty() {
            println!("  refused: {:?}", summary.refused);
        }
        good &= wrong == 0;
    }
    good
}

/// Every request must have run exactly once, and no engine more at once than it has slots.
fn check_engines(surroundings: &local::Surroundings) -> bool {
    let mut runs = 0;
    let mut good = true;
    for (n, (engine, _, options)) in surroundings.engines.iter().enumerate() {
        let records = engine.runs();
        runs += records.len();
        let doubled = records.iter().filter(|r| r.starts != 1).count();
        let (peak, slots) = (engine.peak(), options.slots);
        println!("engine-{n}: {} runs, {doubled} doubled, {peak} of {slots} slots", records.len());
        good &= doubled == 0 && peak <= slots;
    }
    good && runs == REQUESTS * local::TIERS.len()
}
