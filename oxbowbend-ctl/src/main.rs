//! The operators' command-line client.

use std::process::ExitCode;

use gumdrop::Options;
use oxbowbend_ctl::command;
use oxbowbend_ctl::failure;

#[async_std::main]
async fn main() -> ExitCode {
    let flags = command::Flags::parse_args_default_or_exit();
    if flags.version {
        println!("oxbowctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match oxbowbend_ctl::run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            report(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}

fn report(failure: &failure::Failure) {
    eprintln!("oxbowctl: {failure}");
}
