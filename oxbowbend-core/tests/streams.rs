//! Which version a stream that is taken up goes on at, as tables.

use std::time::{Duration, Instant};

use oxbowbend_core::ids::StreamKey;
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::streams::{
    resolve, Basis, LocalKnowledge, Lookup, PeerAnswer, ReportedStream, ServiceVersions,
    SoleVersion, StreamOrigin, StreamRegistry, Unresolved, VersionHistory,
};

const RETENTION: Duration = Duration::from_secs(30);
const KEY: StreamKey = 7;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "s".into(), version: version.into() }
}

fn begin(registry: &mut StreamRegistry, now: Instant, key: StreamKey, version: &str) {
    registry.record_began(now, ReportedStream { key, account: 1 }, &origin(version), RETENTION);
}

fn known(version: &str) -> Lookup {
    Lookup::Known(origin(version))
}

fn endpoint(id: &str, version: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 1,
        leaving: false,
        started_at_ms: 0,
        version: version.into(),
    }
}

/// Passes everything that one instance would report to another.
fn report(from: &StreamRegistry, to: &mut StreamRegistry, now: Instant) {
    to.receive(now, &from.to_report(now, true, |_| true), RETENTION);
}

#[test]
fn a_stream_goes_on_only_where_it_is_known_to_have_begun() {
    let now = Instant::now();
    let answer = |record: Lookup, confirmed: Option<&str>, is_mixed: bool| PeerAnswer {
        record,
        confirmed: confirmed.map(Into::into),
        only_seen: confirmed.map(Into::into),
        is_mixed,
        is_whole: true,
    };
    let unknown = || answer(Lookup::Unknown, None, false);
    let local = |record: Lookup, sole: Option<&str>, only_seen: Option<&str>| LocalKnowledge {
        targets: vec!["s".into()],
        record,
        sole: sole.map(|version| SoleVersion { version: version.into(), until: now }),
        only_seen: only_seen.map(Into::into),
        others: Some(2),
    };
    let nothing = || local(Lookup::Unknown, None, None);
    let seen = || local(Lookup::Unknown, None, Some("v1"));
    let bound = |version, basis| Ok((origin(version), basis));
    for (known, answers, expected) in [
        (local(known("v1"), None, None), vec![], bound("v1", Basis::Record)),
        // A record goes before what the endpoints show.
        (local(known("v1"), Some("v2"), Some("v2")), vec![], bound("v1", Basis::Record)),
        (local(Lookup::Ambiguous, Some("v1"), None), vec![], Err(Unresolved::Ambiguous)),
        (nothing(), vec![], Err(Unresolved::Unknown)),
        (nothing(), vec![unknown()], Err(Unresolved::Unknown)),
        (
            nothing(),
            vec![unknown(), answer(known("v2"), None, true)],
            bound("v2", Basis::PeerRecord),
        ),
        (
            nothing(),
            vec![answer(known("v1"), None, true), answer(known("v2"), None, true)],
            Err(Unresolved::Ambiguous),
        ),
        (nothing(), vec![answer(Lookup::Ambiguous, None, true)], Err(Unresolved::Ambiguous)),
        (local(Lookup::Unknown, Some("v1"), Some("v1")), vec![], bound("v1", Basis::SoleVersion)),
        // That all endpoints show one version now proves nothing.
        (seen(), vec![], Err(Unresolved::Unknown)),
        (seen(), vec![unknown()], Err(Unresolved::Unknown)),
        (
            seen(),
            vec![unknown(), answer(Lookup::Unknown, Some("v1"), false)],
            bound("v1", Basis::PeerSoleVersion),
        ),
        (seen(), vec![answer(Lookup::Unknown, Some("v2"), false)], Err(Unresolved::Unknown)),
        (
            seen(),
            vec![answer(Lookup::Unknown, Some("v1"), false), answer(Lookup::Unknown, None, true)],
            Err(Unresolved::Unknown),
        ),
        (nothing(), vec![answer(Lookup::Unknown, Some("v1"), false)], Err(Unresolved::Unknown)),
    ] {
        let decided = resolve(now, &known, &answers);
        let decided = decided.map(|binding| (binding.origin, binding.basis));
        assert_eq!(decided, expected, "{known:?} {answers:?}");
    }
}

#[test]
fn a_stream_of_a_route_that_leads_elsewhere_goes_on_nowhere() {
    let targets = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    for (names, record, expected) in [
        (&["t"][..], known("v1"), Err(Unresolved::Moved)),
        (&["t", "s"], known("v1"), Ok("s")),
        // Of several services it may have begun at any.
        (&["t", "s"], Lookup::Unknown, Err(Unresolved::Unknown)),
    ] {
        let now = Instant::now();
        let sole = Some(SoleVersion { version: "v1".into(), until: now });
        let targets = targets(names);
        let known = LocalKnowledge { targets, record, sole, ..LocalKnowledge::default() };
        let service = resolve(now, &known, &[]).map(|binding| binding.origin.service);
        assert_eq!(service, expected.map(Into::into), "{known:?}");
    }
}

#[test]
fn one_id_at_two_instances_and_versions_names_no_stream() {
    let now = Instant::now();
    let [mut a, mut b, mut c, mut d] = [(); 4].map(|()| StreamRegistry::default());
    begin(&mut a, now, KEY, "v1");
    begin(&mut b, now, KEY, "v2");
    report(&a, &mut c, now);
    report(&b, &mut c, now);
    report(&a, &mut b, now);
    // A restart does not make it clear again.
    d.receive(now, &c.to_note(now, |_| true), RETENTION);
    for registry in [b, c, d] {
        assert_eq!(registry.lookup(now, KEY), Lookup::Ambiguous);
    }
}

#[test]
fn one_id_at_two_instances_and_one_version_is_known() {
    let now = Instant::now();
    let [mut a, mut b] = [(); 2].map(|()| StreamRegistry::default());
    begin(&mut a, now, KEY, "v1");
    begin(&mut b, now, KEY, "v1");
    report(&a, &mut b, now);
    assert_eq!(b.lookup(now, KEY), known("v1"));
}

#[test]
fn a_stream_that_goes_on_keeps_its_record_for_as_long_again() {
    let now = Instant::now();
    let (mut a, mut b) = (StreamRegistry::default(), StreamRegistry::default());
    begin(&mut a, now, KEY, "v1");
    report(&a, &mut b, now);
    let later = now + RETENTION - Duration::from_millis(1);
    begin(&mut b, later, KEY, "v1");
    b.record_ended(later, KEY);
    a.record_ended(later, KEY);
    let end = later + RETENTION;
    assert_eq!(b.lookup(end - Duration::from_millis(1), KEY), known("v1"));
    assert_eq!((a.lookup(end, KEY), b.lookup(end, KEY)), (Lookup::Unknown, Lookup::Unknown));
    b.sweep(end);
    assert!(b.is_empty());
}

#[test]
fn streams_are_reported_and_noted_while_they_run_and_a_little_longer() {
    let now = Instant::now();
    let (mut a, mut b) = (StreamRegistry::default(), StreamRegistry::default());
    begin(&mut a, now, KEY, "v1");
    let reported = |a: &StreamRegistry, at, is_heartbeat| a.to_report(at, is_heartbeat, |_| true);
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(reported(&a, after(100), false).len(), 1);
    assert_eq!(reported(&a, after(200), false).len(), 0);
    assert_eq!(reported(&a, after(20_000), true).len(), 1);
    assert!(a.to_report(now, true, |origin| &*origin.version != "v1").is_empty());
    report(&a, &mut b, after(20_000));
    // Each instance reports its own streams; any of them notes all.
    assert!(reported(&b, after(20_000), true).is_empty());
    assert_eq!(b.to_note(after(22_000), |_| true).len(), 1);
    assert!(b.to_note(after(23_000), |_| true).is_empty());
    a.record_ended(after(20_000), KEY);
    assert_eq!(reported(&a, after(20_900), true).len(), 1);
    assert!(reported(&a, after(21_000), true).is_empty());
}

#[test]
fn an_account_with_very_many_streams_pushes_out_only_its_own() {
    let now = Instant::now();
    let mut registry = StreamRegistry::default();
    let other = ReportedStream { key: KEY, account: 2 };
    registry.record_began(now, other, &origin("v1"), RETENTION);
    registry.record_ended(now, KEY);
    for key in 1000..60_000 {
        begin(&mut registry, now, key, "v1");
        registry.record_ended(now, key);
    }
    assert!(registry.len() <= 16_384, "{} records", registry.len());
    assert_eq!(registry.lookup(now, KEY), known("v1"));
    assert_eq!(registry.lookup(now, 59_999), known("v1"));
}

/// An instance that had been suspended took streams of a new version to be of the only one that it had heard of.
#[test]
fn that_no_other_version_was_heard_of_holds_only_until_the_store_was_asked() {
    let asked_at = Instant::now();
    let later = asked_at + Duration::from_millis(1);
    let known = |others| LocalKnowledge {
        targets: vec!["s".into()],
        sole: Some(SoleVersion { version: "v1".into(), until: asked_at }),
        only_seen: Some("v1".into()),
        others,
        ..LocalKnowledge::default()
    };
    let seen = |version: Option<&str>| PeerAnswer {
        only_seen: version.map(Into::into),
        is_whole: true,
        ..PeerAnswer::default()
    };
    let confirmed = |version: &str| PeerAnswer { confirmed: Some(version.into()), ..seen(None) };
    // An instance of an older version does not tell what it has seen.
    let silent = PeerAnswer::default();
    for (taken_up_at, others, answers, expected) in [
        (asked_at, None, vec![], Ok(Basis::SoleVersion)),
        (later, None, vec![], Err(Unresolved::Unknown)),
        (later, None, vec![seen(Some("v1"))], Err(Unresolved::Unknown)),
        (later, None, vec![seen(None), confirmed("v1")], Ok(Basis::PeerSoleVersion)),
        (later, None, vec![confirmed("v2")], Err(Unresolved::Unknown)),
        (later, None, vec![seen(Some("v2")), confirmed("v1")], Err(Unresolved::Unknown)),
        // All instances that may have begun the stream were asked since.
        (later, Some(0), vec![], Ok(Basis::AllInstances)),
        (later, Some(2), vec![seen(Some("v1")), seen(None)], Ok(Basis::AllInstances)),
        (later, Some(2), vec![seen(Some("v1"))], Err(Unresolved::Unknown)),
        (later, Some(2), vec![seen(Some("v1")), silent.clone()], Err(Unresolved::Unknown)),
        (later, Some(2), vec![seen(Some("v1")), seen(Some("v2"))], Err(Unresolved::Unknown)),
    ] {
        let decided = resolve(taken_up_at, &known(others), &answers).map(|binding| binding.basis);
        assert_eq!(decided, expected, "{others:?} {answers:?}");
    }
    // Without a history of its own, an instance needs one of somebody else.
    let new = LocalKnowledge { sole: None, ..known(Some(1)) };
    assert_eq!(resolve(later, &new, &[seen(Some("v1"))]), Err(Unresolved::Unknown));
}

#[test]
fn one_version_is_claimed_only_after_a_history_without_gaps() {
    let now = Instant::now();
    let after = |s| now + Duration::from_secs(s);
    let claim = |history: &VersionHistory, at| history.sole_version(at, "s", RETENTION);
    let sole = |history: &VersionHistory, at| claim(history, at).map(|sole| sole.version);
    let (one, two) = (vec![endpoint("a", "v1")], vec![endpoint("a", "v1"), endpoint("b", "v2")]);

    let mut history = VersionHistory::default();
    history.set_endpoints(now, one.iter());
    assert_eq!(sole(&history, now), None, "nothing is known of the past");
    history.record_changes(now);
    assert_eq!(sole(&history, after(30)), None, "changes without what was there before");
    history.record_list(now);
    assert_eq!(sole(&history, after(29)), None);
    assert_eq!(sole(&history, after(30)).as_deref(), Some("v1"));
    assert_eq!(claim(&history, after(30)).unwrap().until, now, "nothing has been asked since");
    history.record_changes(after(30));
    assert_eq!(claim(&history, after(30)).unwrap().until, after(30));

    // Another version was there a moment ago.
    history.set_endpoints(after(31), two.iter());
    history.set_endpoints(after(32), one.iter());
    assert!(history.is_mixed(after(33), "s", RETENTION));
    assert_eq!(sole(&history, after(61)), None);
    assert_eq!(sole(&history, after(62)).as_deref(), Some("v1"));

    // One that only a peer has seen counts too.
    history.record_heard(after(63), &"s".into(), &"v3".into());
    assert_eq!(sole(&history, after(64)), None);

    // A list goes on from a word of the store that is hardly older.
    history.record_changes(after(98));
    history.record_list(after(100));
    assert_eq!(sole(&history, after(100)).as_deref(), Some("v1"));
    history.record_list(after(103));
    assert_eq!(sole(&history, after(132)), None, "what came and went is not listed");
    assert_eq!(sole(&history, after(133)).as_deref(), Some("v1"));
    assert_eq!(claim(&history, after(133)).unwrap().until, after(103));
    assert_eq!(history.sole_version(after(133), "t", RETENTION), None);
}

#[test]
fn an_instance_goes_on_from_what_an_earlier_one_noted() {
    let now = Instant::now();
    let endpoints = [endpoint("a", "v1")];
    let note = |versions: &[&str]| ServiceVersions {
        service: "s".into(),
        versions: versions.iter().map(|version| (*version).into()).collect(),
    };
    for (noted, expected) in [
        (vec![note(&["v1"])], Some("v1")),
        (vec![note(&["v1", "v2"])], None),
        // Of notes of two instances one is older.
        (vec![note(&["v1"]), note(&["v2"])], None),
    ] {
        let mut history = VersionHistory::default();
        history.set_endpoints(now, endpoints.iter());
        history.restore(now, &noted);
        history.trust_past(now);
        let sole = history.sole_version(now, "s", RETENTION).map(|sole| sole.version);
        assert_eq!(sole.as_deref(), expected, "{noted:?}");
        let versions: Vec<_> = history.to_note(now, RETENTION).remove(0).versions;
        assert_eq!(versions.len(), if expected.is_some() { 1 } else { 2 });
    }
    let unknown = VersionHistory::default();
    assert!(unknown.to_note(now, RETENTION).is_empty(), "a note is a claim");
}
