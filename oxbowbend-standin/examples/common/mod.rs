//! What the examples share: settings of a daemon beside the stand-ins.

use std::net::SocketAddr;

use oxbowbend_daemon::settings;
use oxbowbend_standin::local;

/// Anything that can go wrong in an example.
pub type Failure = Box<dyn std::error::Error>;

/// Settings of a daemon in an availability zone, at free ports of loopback.
pub async fn settings(zone: &str, platform: SocketAddr) -> Result<settings::Settings, Failure> {
    let flags = settings::Flags {
        instance: Some(format!("entry-{zone}")),
        zone: Some(zone.to_owned()),
        caller_listen: Some(local::free_address().await?.to_string()),
        operator_listen: Some(local::free_address().await?.to_string()),
        peer_listen: Some(local::free_address().await?.to_string()),
        kv: Some(platform.to_string()),
        list: Some(platform.to_string()),
        ..settings::Flags::default()
    };
    let secrets = |name: &str| match name {
        "OXBOWD_PEER_SECRET" => Some(local::PEER_SECRET.to_owned()),
        "OXBOWD_OPERATOR_KEY" => Some(local::OPERATOR_KEY.to_owned()),
        _ => None,
    };
    Ok(settings::Settings::read_with(&flags, secrets)?)
}
