//! The commands as an operator types them, against a daemon in the test's process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use async_std::task;
use oxbowbend_daemon::daemon::Daemon;
use oxbowbend_daemon::settings::{Flags, Settings};
use oxbowbend_standin::local::{free_address, wait_ok, Surroundings, OPERATOR_KEY, PEER_SECRET};
use oxbowbend_standin::switches::Switches;

const RESOURCES: &str = include_str!("resources.yaml");

/// Runs a command with text on its standard input; returns exit code, output and errors.
fn ctl(server: SocketAddr, args: &[&str], input: &str) -> (i32, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oxbowctl"))
        .args(["--server", &server.to_string()])
        .args(args)
        .env("OXBOWCTL_KEY", OPERATOR_KEY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("oxbowctl starts");
    let mut stdin = child.stdin.take().expect("its input is ours");
    stdin.write_all(input.as_bytes()).ok();
    drop(stdin);
    let output = child.wait_with_output().expect("it ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

struct Deployment {
    around: Surroundings,
    operators: SocketAddr,
    _daemon: Daemon,
}

async fn start() -> Deployment {
    let around = Surroundings::start(&[]).await.expect("ports are free");
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(free_address().await.expect("a port is free"));
    }
    let flags = Flags {
        instance: Some("entry".to_owned()),
        zone: Some("zone-a".to_owned()),
        caller_listen: Some(listeners[0].to_string()),
        operator_listen: Some(listeners[1].to_string()),
        peer_listen: Some(listeners[2].to_string()),
        kv: Some(around.platform_address.to_string()),
        list: Some(around.platform_address.to_string()),
        ..Flags::default()
    };
    let secrets = |name: &str| match name {
        "OXBOWD_PEER_SECRET" => Some(PEER_SECRET.to_owned()),
        "OXBOWD_OPERATOR_KEY" => Some(OPERATOR_KEY.to_owned()),
        _ => None,
    };
    let settings = Settings::read_with(&flags, secrets).expect("the settings are good");
    let daemon = Daemon::start(settings).await.expect("the daemon starts");
    assert!(wait_ok(listeners[1], "/readyz", Duration::from_secs(20)).await);
    Deployment { around, operators: listeners[1], _daemon: daemon }
}

#[test]
fn resources_are_declared_shown_and_deleted() {
    task::block_on(Box::pin(async {
        let deployment = start().await;
        let to = deployment.operators;
        let (code, out, err) = ctl(to, &["apply", "--file", "-", "--wait"], RESOURCES);
        assert_eq!(code, 0, "{err}");
        assert!(out.contains("Endpoint/engine-1 created"), "{out}");
        let (code, out, _) = ctl(to, &["apply", "--file", "-"], RESOURCES);
        assert!(code == 0 && out.contains("unchanged") && !out.contains("created"), "{out}");
        let cases: [(&[&str], i32, &str); 13] = [
            (&["get", "endpoints"], 0, "engine-1"),
            (&["get", "Endpoint/engine-1"], 0, "\"slots\": 4"),
            (&["get", "endpoints", "--field", "place=izmir"], 0, "NAME"),
            (&["get", "Tier", "none"], 1, ""),
            (&["get", "nodes"], 2, ""),
            (&["status"], 0, "zone-a"),
            (&["status", "Tier", "live"], 0, "in force everywhere: true"),
            (&["wait", "Tier", "live"], 0, "in force everywhere"),
            (&["watch", "Tier", "--count", "2"], 0, "\"type\":\"put\""),
            (&["--output", "json", "get", "tiers"], 0, "["),
            (&["drain", "endpoint", "engine-1"], 0, "no new work"),
            (&["delete", "Place", "ankara"], 1, ""),
            (&["delete", "Endpoint/engine-1"], 0, "deleted"),
        ];
        for (args, code, text) in cases {
            let (found, out, err) = ctl(to, args, "");
            assert_eq!(found, code, "{args:?}: {out}{err}");
            assert!(out.contains(text), "{args:?}: {out}");
        }
    }));
}

#[test]
fn failures_have_codes_and_words() {
    task::block_on(Box::pin(async {
        let deployment = start().await;
        let to = deployment.operators;
        let wrong = "kind: Tier\nname: T\nspec:\n  level: high\n---\nkind: Place\nname: p\n";
        let (code, _, err) = ctl(to, &["check", "--file", "-"], wrong);
        assert_eq!(code, 2, "{err}");
        assert!(err.contains("document 1 spec.level") && err.contains("Place/p"), "{err}");
        let (code, _, err) = ctl(to, &["check", "--file", "-", "--offline"], RESOURCES);
        assert_eq!(code, 0, "{err}");
        assert_eq!(ctl(to, &["apply", "--file", "-"], RESOURCES).0, 0);
        // A version that somebody else has moved on from.
        let stale = "kind: Tier\nname: live\nversion: 77\nspec: { level: 0, deadlineSeconds: 9 }\n";
        let (code, _, err) = ctl(to, &["apply", "--file", "-"], stale);
        assert_eq!(code, 3, "{err}");
        // An outage, and a reply that is lost.
        let changed = "kind: Tier\nname: live\nspec: { level: 0, deadlineSeconds: 9 }\n";
        let panel = deployment.around.platform.panel();
        panel.set(Switches { refuse: true, ..Switches::default() });
        let (code, _, err) = ctl(to, &["apply", "--file", "-"], changed);
        assert_eq!(code, 1, "{err}");
        assert!(err.contains("503"), "{err}");
        panel.set(Switches { lose_replies: 2, ..Switches::default() });
        let (code, _, err) = ctl(to, &["apply", "--file", "-"], changed);
        assert!(matches!(code, 0 | 1), "{err}");
        let nobody = free_address().await.expect("a port is free");
        assert_eq!(ctl(nobody, &["status"], "").0, 6);
    }));
}
