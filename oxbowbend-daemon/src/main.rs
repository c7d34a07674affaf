//! The oxbowbend daemon.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use oxbowbend_daemon::daemon;
use oxbowbend_daemon::settings;
use oxbowbend_gateway::gateway;
use oxbowbend_platform::settings as platform_settings;
use oxbowbend_platform::store;
use oxbowbend_platform::wire;
use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;
/// Lines that may wait to be written; what comes on top is dropped and counted. At 200 bytes a
/// line this is 1.6 MB.
const LOG_LINES: usize = 8192;
/// Time between two looks at how many lines were dropped.
const LOG_LOOK: Duration = Duration::from_secs(5);

#[async_std::main]
async fn main() -> ExitCode {
    let flags = settings::Flags::parse_args_default_or_exit();
    if flags.version {
        println!("oxbowd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match settings::Wire::read(&flags) {
        Ok(settings::Wire::Own) => serve_own(&flags).await,
        Ok(settings::Wire::Platform { metrics_port, cell_size, features, log }) => {
            let choices = platform_settings::Choices { metrics_port, cell_size, features };
            serve_platform(&flags, choices, log).await
        }
        Err(e) => unusable(&e),
    }
}

async fn serve_own(flags: &settings::Flags) -> ExitCode {
    let settings = match settings::Settings::read(flags) {
        Ok(settings) => settings,
        Err(e) => return unusable(&e),
    };
    if flags.check {
        println!("oxbowd: the settings can be used");
        return ExitCode::SUCCESS;
    }
    let _log = start_log(settings.log);
    ended(run_own(settings).await)
}

async fn run_own(settings: settings::Settings) -> Result<(), daemon::DaemonError> {
    let daemon = daemon::Daemon::start(settings).await?;
    daemon.drain_on_signals()?;
    daemon.stopped().await
}

async fn serve_platform(
    flags: &settings::Flags,
    choices: platform_settings::Choices,
    log: LevelFilter,
) -> ExitCode {
    let variable = platform_settings::PATH_VARIABLE;
    let text = match std::env::var(variable).map(std::fs::read_to_string) {
        Ok(Ok(text)) => text,
        Ok(Err(e)) => return unusable(&format!("cannot read the file that {variable} names: {e}")),
        Err(e) => return unusable(&format!("{variable}: {e}")),
    };
    let settings = match platform_settings::read(&text, choices) {
        Ok(settings) => settings,
        Err(e) => return unusable(&e),
    };
    if flags.check {
        println!("oxbowd: the settings can be used");
        return ExitCode::SUCCESS;
    }
    let _log = start_log(log);
    ended(run_platform(settings).await)
}

async fn run_platform(settings: platform_settings::Settings) -> Result<(), gateway::GatewayError> {
    let store = store::PlatformStore::new(settings.store);
    let gateway = gateway::Gateway::start(settings.gateway, wire::PlatformWire, store).await?;
    gateway.stopped().await
}

fn unusable(e: &impl std::fmt::Display) -> ExitCode {
    eprintln!("oxbowd: the settings cannot be used:\n{e}");
    ExitCode::from(BAD_SETTINGS)
}

fn ended(result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=ended error=\"{e}\"");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log on standard output, written by a thread of its own so that nobody waits for it.
/// The guard writes out what is left when it is dropped.
fn start_log(level: LevelFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    if let Err(e) = WriteLogger::init(level, log_config(), writer) {
        eprintln!("oxbowd: cannot start the log: {e}");
    }
    async_std::task::spawn(tell_dropped(dropped));
    guard
}

fn log_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_ignore_str("jsonrpsee")
        .add_filter_ignore_str("soketto")
        .add_filter_ignore_str("async_io")
        .add_filter_ignore_str("polling")
        .add_filter_ignore_str("hyper")
        .build()
}

async fn tell_dropped(dropped: ErrorCounter) {
    let mut told = 0;
    loop {
        async_std::task::sleep(LOG_LOOK).await;
        let now = dropped.dropped_lines();
        if now > told {
            log::warn!("event=log_lines_dropped lines={}", now - told);
            told = now;
        }
    }
}
