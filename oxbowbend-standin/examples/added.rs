//! Measures what a daemon adds to a request: the same client straight at the engine stand-in and
//! through one or three daemons, in one run. Prints a table; all in one process, on loopback.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{settings, Failure};
use gumdrop::Options;
use oxbowbend_daemon::daemon;
use oxbowbend_standin::engine;
use oxbowbend_standin::load;
use oxbowbend_standin::local;
use rustix::time::{clock_gettime, ClockId};

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "callers at once", meta = "N", default = "64")]
    callers: usize,
    #[options(help = "requests of each kind", meta = "N", default = "10000")]
    requests: usize,
    #[options(help = "milliseconds that the engine takes", meta = "MS", default = "10")]
    engine_ms: f64,
}

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

#[async_std::main]
async fn main() -> Result<(), Failure> {
    let flags = Flags::parse_args_default_or_exit();
    let options = engine::Options {
        slots: 4000,
        prefill_rate: 1e12,
        decode_rate: 1000.0 / flags.engine_ms.max(1e-9),
        ..engine::Options::default()
    };
    println!(
        "place {}, {} callers, {} requests each, {} ms at the engine\n",
        local::PLACE,
        flags.callers,
        flags.requests,
        flags.engine_ms
    );
    println!(
        "{:22}{:>10}{:>10}{:>10}{:>12}{:>10}",
        "", "p50 ms", "p99 ms", "req/s", "cpu us/req", "failed"
    );
    for daemons in [1, 3] {
        let around = local::Surroundings::start(std::slice::from_ref(&options)).await?;
        let mut callers = Vec::new();
        let mut operators = Vec::new();
        for zone in &ZONES[..daemons] {
            let settings = settings(zone, around.platform_address).await?;
            callers.push(settings.caller_listen);
            operators.push(settings.operator_listen);
            daemon::Daemon::start(settings).await?;
        }
        local::declare(operators[0], around.resources(&ZONES[..daemons])).await?;
        for caller in &callers {
            local::wait_ok(*caller, "/readyz", Duration::from_secs(20)).await;
        }
        async_std::task::sleep(Duration::from_secs(8)).await;
        let engine = vec![around.engines[0].1];
        for stream in [false, true] {
            let kind = if stream { "streamed" } else { "plain" };
            // The first round warms up connections and is not shown.
            measure(&flags, &engine, stream, 1000).await;
            measure(&flags, &callers, stream, 1000).await;
            let straight = measure(&flags, &engine, stream, flags.requests).await;
            let through = measure(&flags, &callers, stream, flags.requests).await;
            print(&format!("{kind}, straight"), &straight);
            print(&format!("{kind}, {daemons} daemon(s)"), &through);
            println!(
                "{:22}{:>10.3}{:>10.3}{:>10}{:>12.0}",
                "  added",
                through.p50 - straight.p50,
                through.p99 - straight.p99,
                "",
                through.cpu - straight.cpu
            );
        }
    }
    Ok(())
}

struct Measured {
    p50: f64,
    p99: f64,
    rate: f64,
    cpu: f64,
    failed: usize,
}

async fn measure(flags: &Flags, to: &[SocketAddr], stream: bool, requests: usize) -> Measured {
    let ask = |n: usize| load::Ask {
        key: local::ACCOUNT.1.to_owned(),
        model: local::MODEL.to_owned(),
        tier: None,
        prompt: format!("request {n}"),
        max_tokens: 1,
        stream,
        run: Some(format!("{:032x}", rand::random::<u128>())),
        headers: Vec::new(),
    };
    let asks = (0..requests).map(ask).collect();
    let began = Instant::now();
    let cpu = cpu_time();
    let results = load::closed_loop(to.to_vec(), asks, flags.callers).await;
    let cpu = cpu_time() - cpu;
    let time = began.elapsed();
    let mut summary = load::Summary::default();
    results.iter().for_each(|r| summary.add(r));
    Measured {
        p50: summary.total_ms(0.5),
        p99: summary.total_ms(0.99),
        rate: requests as f64 / time.as_secs_f64(),
        cpu: cpu.as_secs_f64() * 1e6 / requests as f64,
        failed: summary.sent - summary.whole,
    }
}

fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn print(name: &str, m: &Measured) {
    println!(
        "{name:22}{:>10.3}{:>10.3}{:>10.0}{:>12.0}{:>10}",
        m.p50, m.p99, m.rate, m.cpu, m.failed
    );
}
