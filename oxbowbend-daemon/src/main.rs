//! The oxbowbend daemon.

use std::process::ExitCode;

use gumdrop::Options;
use oxbowbend_daemon::daemon;
use oxbowbend_daemon::settings;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

#[async_std::main]
async fn main() -> ExitCode {
    let flags = settings::Flags::parse_args_default_or_exit();
    if flags.version {
        println!("oxbowd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match settings::Settings::read(&flags) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("oxbowd: the settings cannot be used:\n{e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    start_log(&settings);
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("daemon: {e}.");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: settings::Settings) -> Result<(), oxbowbend_daemon::daemon::DaemonError> {
    let daemon = daemon::Daemon::start(settings).await?;
    daemon.drain_on_signals()?;
    daemon.stopped().await
}

fn start_log(settings: &settings::Settings) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(simplelog::LevelFilter::Off)
        .set_thread_level(simplelog::LevelFilter::Off)
        .add_filter_ignore_str("jsonrpsee")
        .add_filter_ignore_str("soketto")
        .add_filter_ignore_str("async_io")
        .add_filter_ignore_str("polling")
        .build();
    let started = TermLogger::init(settings.log, config, TerminalMode::Stderr, ColorChoice::Never);
    if let Err(e) = started {
        eprintln!("oxbowd: cannot start the log: {e}");
    }
}
