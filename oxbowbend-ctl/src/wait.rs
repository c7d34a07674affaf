//! Waiting until what was accepted is in force everywhere.

use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use serde::Deserialize;

use crate::api;
use crate::apply;
use crate::command;
use crate::failure;

/// Longest wait if nothing is said.
const DEFAULT_TIMEOUT: u64 = 60;
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Status {
    revision: Option<u64>,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
struct Instance {
    instance: String,
    revision: Option<u64>,
}

/// Waits for one resource, or for all that the instance spoken to has.
pub(crate) async fn wait(api: &api::Api, flags: &command::Wait) -> Result<(), failure::Failure> {
    let wanted = if flags.what.is_empty() {
        let status: Status = api.call(Method::Get, "/v1/status", None).await?;
        status.revision.unwrap_or(0)
    } else {
        let (kind, name) = apply::kind_and_name(&flags.what)?;
        let missing = || failure::Failure::Other(format!("{kind}/{name} is not declared"));
        api.get(kind, &name).await?.ok_or_else(missing)?.version
    };
    revision(api, wanted, flags.timeout).await?;
    println!("revision {wanted} is in force everywhere");
    Ok(())
}

/// Waits until every listed instance has a revision in force, or names those that have not.
pub(crate) async fn revision(
    api: &api::Api,
    wanted: u64,
    timeout: Option<u64>,
) -> Result<(), failure::Failure> {
    let longest = Duration::from_secs(timeout.unwrap_or(DEFAULT_TIMEOUT));
    let began = Instant::now();
    loop {
        let status: Status = api.call(Method::Get, "/v1/status", None).await?;
        let behind = |i: &&Instance| i.revision.is_none_or(|r| r < wanted);
        let missing: Vec<&str> =
            status.instances.iter().filter(behind).map(|i| i.instance.as_str()).collect();
        if missing.is_empty() && !status.instances.is_empty() {
            return Ok(());
        }
        if began.elapsed() >= longest {
            return Err(failure::Failure::NotInForce(missing.join(", ")));
        }
        task::sleep(PAUSE).await;
    }
}
