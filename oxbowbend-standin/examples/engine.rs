//! The engine stand-in as a process.

use std::time::Duration;

use async_std::net::TcpListener;
use gumdrop::Options;
use oxbowbend_standin::engine;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:9000")]
    listen: String,
    #[options(help = "requests that run at once", meta = "N", default = "8")]
    slots: usize,
    #[options(help = "prompt tokens per second", meta = "N", default = "100000")]
    prefill_rate: f64,
    #[options(help = "output tokens per second and request", meta = "N", default = "1000")]
    decode_rate: f64,
    #[options(help = "prompt tokens that the prefix cache holds", meta = "N", default = "65536")]
    cache_tokens: u64,
    #[options(help = "age of the load report in milliseconds", meta = "MS", default = "500")]
    report_lag: u64,
    #[options(help = "take orders whatever their fencing number")]
    ignore_fencing: bool,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let options = engine::Options {
        slots: flags.slots,
        prefill_rate: flags.prefill_rate,
        decode_rate: flags.decode_rate,
        cache_tokens: flags.cache_tokens,
        report_lag: Duration::from_millis(flags.report_lag),
        checks_fencing: !flags.ignore_fencing,
    };
    let listener = TcpListener::bind(&flags.listen).await?;
    engine::Engine::new(options).serve(listener).await
}
