/*!
The operators' client, as a library that the binary `oxbowctl` wraps.

# Usage

[`run`] carries out one command. Exit codes are in [`failure`].

# Limits

Speaks to the operators' listener of any instance over plain HTTP.
*/

pub mod command;
pub mod failure;

mod api;
mod apply;
mod show;
mod wait;

use command::{Command, Flags};
use failure::Failure;

/// Carries out a command.
///
/// # Errors
///
/// Returns what went wrong, with the exit code that tells it.
pub async fn run(flags: Flags) -> Result<(), Failure> {
    let output = show::Output::parse(flags.output.as_deref())?;
    let command = flags.command.clone();
    let command = command.ok_or_else(|| Failure::Usage("name a command; see --help".to_owned()))?;
    let api = api::Api::new(&flags)?;
    match command {
        Command::Get(get) => show::get(&api, &get, output).await,
        Command::Apply(apply) => apply::apply(&api, &apply, output).await,
        Command::Check(check) => apply::check(&api, &check).await,
        Command::Delete(delete) => apply::delete(&api, &delete).await,
        Command::Drain(drain) => apply::drain(&api, &drain).await,
        Command::Watch(watch) => show::watch(&api, &watch).await,
        Command::Wait(wait) => wait::wait(&api, &wait).await,
        Command::Status(status) => show::status(&api, &status, output).await,
    }
}
