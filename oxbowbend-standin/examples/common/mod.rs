//! What the examples share: settings of a daemon beside the stand-ins.

use std::net::SocketAddr;

use oxbowbend_daemon::settings::{Flags, Settings};
use oxbowbend_standin::local::{free_address, OPERATOR_KEY, PEER_SECRET};

/// Anything that can go wrong in an example.
pub type Failure = Box<dyn std::error::Error>;

/// Settings of a daemon in an availability zone, at free ports of loopback.
pub async fn settings(zone: &str, platform: SocketAddr) -> Result<Settings, Failure> {
    let flags = Flags {
        instance: Some(format!("entry-{zone}")),
        zone: Some(zone.to_owned()),
        caller_listen: Some(free_address().await?.to_string()),
        operator_listen: Some(free_address().await?.to_string()),
        peer_listen: Some(free_address().await?.to_string()),
        kv: Some(platform.to_string()),
        list: Some(platform.to_string()),
        ..Flags::default()
    };
    let secrets = |name: &str| match name {
        "OXBOWD_PEER_SECRET" => Some(PEER_SECRET.to_owned()),
        "OXBOWD_OPERATOR_KEY" => Some(OPERATOR_KEY.to_owned()),
        _ => None,
    };
    Ok(Settings::read_with(&flags, secrets)?)
}
