//! Which peer serves a request of an instance that reaches no endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use oxbowbend_core::cell::Report;
use oxbowbend_core::handover::{Criteria, Handovers};
use oxbowbend_core::ids::InstanceId;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);

fn report(name: &str, zone: &str) -> Report {
    Report {
        instance: name.into(),
        zone: zone.into(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 7600))),
        handover_port: Some(7601),
        is_ready: true,
        config_version: 5,
        ..Report::default()
    }
}

fn choose(
    handovers: &Handovers,
    peers: &[(Report, Duration)],
    excluded: &[InstanceId],
) -> Option<String> {
    let (zone, service) = ("z-1".into(), "s".into());
    let criteria = Criteria { zone: &zone, config_version: 5, service: &service, excluded };
    let reports = peers.iter().map(|(report, age)| (report, *age));
    let peer = handovers.choose(reports, criteria, &mut Pcg64::seed_from_u64(1))?;
    assert_eq!(peer.address.port(), 7601);
    Some(peer.instance.to_string())
}

#[test]
fn a_peer_that_cannot_serve_is_not_chosen() {
    type Change = fn(&mut Report);
    let changes: [(&str, Change); 9] = [
        ("an older version of the program", |r| r.handover_port = None),
        ("no address", |r| r.address = None),
        ("not ready", |r| r.is_ready = false),
        ("stopping", |r| r.is_stopping = true),
        ("no path to the service", |r| r.isolated_services = vec!["s".into()]),
        ("an older configuration", |r| r.config_version = 4),
        // The next request that stays here would take back what its callers have seen.
        ("a newer configuration", |r| r.config_version = 6),
        ("excluded", |r| r.instance = "x".into()),
        ("another service out of reach", |r| r.isolated_services = vec!["t".into()]),
    ];
    for (case, change) in changes {
        let mut peer = report("a", "z-1");
        change(&mut peer);
        let chosen = choose(&Handovers::default(), &[(peer, MS)], &["x".into()]);
        assert_eq!(chosen.is_some(), case == "another service out of reach", "{case}");
    }
    let aged = |ms: u32| choose(&Handovers::default(), &[(report("a", "z-1"), ms * MS)], &[]);
    assert!(aged(399).is_some() && aged(400).is_none());
}

#[test]
fn requests_are_spread_over_peers_and_the_zone_decides_between_equals() {
    let peers = [(report("a", "z-1"), MS), (report("b", "z-2"), MS), (report("c", "z-2"), MS)];
    let mut handovers = Handovers::default();
    let mut counts = [0; 3];
    for n in 0..30 {
        let chosen = choose(&handovers, &peers, &[]).expect("a peer");
        assert!(n % 3 != 0 || chosen == "a", "the zone goes first: {chosen}");
        counts[["a", "b", "c"].iter().position(|name| *name == chosen).expect("known")] += 1;
        handovers.start(&chosen.as_str().into());
    }
    assert_eq!(counts, [10, 10, 10]);
    assert_eq!(handovers.in_progress(), 30);
    (0..10).for_each(|_| handovers.finish(&"b".into()));
    assert_eq!(choose(&handovers, &peers, &[]).as_deref(), Some("b"));
    handovers.finish(&"nobody".into());
    assert_eq!(handovers.in_progress(), 20);
}
