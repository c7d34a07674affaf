//! Settings: everything that is wrong is reported at once, and secrets are not shown.

use oxbowbend_daemon::settings::{Flags, Settings};

fn flags(change: impl FnOnce(&mut Flags)) -> Flags {
    let mut flags = Flags {
        instance: Some("entry".to_owned()),
        zone: Some("zone".to_owned()),
        kv: Some("127.0.0.1:1, 127.0.0.1:2".to_owned()),
        list: Some("127.0.0.1:3".to_owned()),
        ..Flags::default()
    };
    change(&mut flags);
    flags
}

fn environment(name: &str) -> Option<String> {
    match name {
        "OXBOWD_PEER_SECRET" => Some("a-peer-secret-0123".to_owned()),
        "OXBOWD_OPERATOR_KEY" => Some("an-operator-key-0123".to_owned()),
        "OXBOWD_MAX_OPEN" => Some("77".to_owned()),
        _ => None,
    }
}

type Change = fn(&mut Flags);

#[test]
fn what_is_wrong_is_named() {
    let cases: [(Change, &str); 8] = [
        (|f| f.instance = None, "--instance or OXBOWD_INSTANCE is required"),
        (|f| f.kv = Some("nowhere".to_owned()), "--kv: \"nowhere\" is not a list"),
        (|f| f.list = Some("host:80".to_owned()), "--list: \"host:80\" is not an IP number"),
        (|f| f.max_body = Some("0".to_owned()), "--max-body: \"0\" is not a whole number"),
        (
            |f| f.list_ttl = Some("3".to_owned()),
            "--list-ttl: \"3\" is not a whole number of at least 4",
        ),
        (|f| f.log = Some("loud".to_owned()), "--log: \"loud\" is not a level"),
        (|f| f.peer_listen = Some("0.0.0.0:1".to_owned()), "--peer-listen: name the address"),
        (|f| f.peer_secret_file = Some("/none".to_owned()), "--peer-secret-file: cannot read"),
    ];
    for (change, words) in cases {
        let error = Settings::read_with(&flags(change), environment).expect_err(words);
        assert!(error.to_string().contains(words), "{error}");
    }
    let error = Settings::read_with(&Flags::default(), |_| None).expect_err("all is missing");
    assert_eq!(error.to_string().lines().count(), 6, "{error}");
}

#[test]
fn the_environment_fills_in_and_secrets_are_not_shown() {
    let settings = Settings::read_with(&flags(|_| {}), environment).expect("all is there");
    assert_eq!((settings.max_open, settings.kv.len()), (77, 2));
    let shown = format!("{settings:?}");
    assert!(!shown.contains("a-peer-secret") && !shown.contains("an-operator-key"), "{shown}");
    let flags = flags(|f| f.max_open = Some("5".to_owned()));
    assert_eq!(Settings::read_with(&flags, environment).expect("good").max_open, 5);
}
