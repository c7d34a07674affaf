//! Properties of files, checks and revisions, and tables of mistakes.

use oxbowbend_resource::check::check;
use oxbowbend_resource::file;
use oxbowbend_resource::kinds::{Place, Resource, Spec};
use oxbowbend_resource::manifest::{Change, ChangeError, Manifest, Operation};
use oxbowbend_resource::set::ResourceSet;
use quickcheck::quickcheck;

fn place(n: u8, version: u64, zones: usize) -> Resource {
    let zones = (0..=zones).map(|z| format!("z{z}")).collect();
    Resource { name: format!("place-{}", n % 8), version, spec: Spec::Place(Place { zones }) }
}

quickcheck! {
    /// Any text is read or refused with words, never with a panic.
    fn any_text_is_read_or_refused(text: String) -> bool {
        match file::parse(&text, &ResourceSet::default()) {
            Ok(resources) => !resources.is_empty(),
            Err(mistakes) => mistakes.iter().all(|m| !m.place.is_empty() && !m.reason.is_empty()),
        }
    }

    /// Revisions rise by one for each accepted change; a stale version is never accepted, and the
    /// set loaded from the buckets is the one that was planned.
    fn changes_never_overwrite_blindly(steps: Vec<(u8, u8)>) -> bool {
        let mut manifest = Manifest::default();
        for (n, (name, version)) in steps.into_iter().enumerate() {
            let put = place(name, u64::from(version % 4), n % 3);
            let id = put.id();
            let present = manifest.set().get(id.kind, &id.name).map_or(0, |r| r.version);
            let expected = put.version;
            let change = Change { id: format!("c{n}"), operations: vec![Operation::Put(put)] };
            match manifest.plan(&change) {
                Ok(plan) => {
                    let buckets = plan.head.buckets.keys().map(|b| plan.manifest.bucket(b));
                    let loaded = Manifest::new(plan.head.clone(), buckets);
                    let good = present == expected
                        && plan.head.revision == manifest.revision() + 1
                        && loaded == plan.manifest
                        && plan.head.revision_of(&change.id) == Some(plan.head.revision);
                    if !good {
                        return false;
                    }
                    manifest = plan.manifest;
                }
                Err(ChangeError::Conflict { .. }) if present != expected => {}
                Err(_) => return false,
            }
        }
        true
    }
}

/// Files with mistakes, and the places at which they must be named.
const WRONG: [(&str, &[&str]); 9] = [
    ("", &["file"]),
    ("kind: [", &["document 1"]),
    ("just words", &["document 1"]),
    ("kind: Node\nname: n\n", &["document 1 kind"]),
    ("kind: Tier\nname: t\nspec: { level: x, colour: red }\n", &["document 1 spec.level", "document 1 spec.colour", "Tier/t spec.level"]),
    ("kind: Place\nname: P\nspec: { zones: [a, a] }\n", &["Place/P name", "Place/P spec.zones"]),
    ("kind: Place\nname: p\nspec: { zones: [a] }\n---\nkind: Place\nname: p\nspec: { zones: [b] }\n", &["document 2"]),
    (
        "kind: Endpoint\nname: e\nspec: { address: host, slots: 0, prefillRate: -1 }\n",
        &["Endpoint/e spec.place", "Endpoint/e spec.address", "Endpoint/e spec", "Endpoint/e spec.slots", "Endpoint/e spec.prefillRate"],
    ),
    (
        "kind: ClientAccount\nname: c\nspec: { keyHashes: [abc], tiers: [none], maxRunning: 0 }\n",
        &["ClientAccount/c spec.keyHashes[0]", "ClientAccount/c spec.tiers[0]", "ClientAccount/c spec.places", "ClientAccount/c spec.maxRunning"],
    ),
];

#[test]
fn every_mistake_is_named_with_its_place() {
    for (text, places) in WRONG {
        let mistakes = file::parse(text, &ResourceSet::default()).expect_err(text);
        let named: Vec<&str> = mistakes.iter().map(|m| m.place.as_str()).collect();
        for place in places {
            assert!(named.contains(place), "{text}: {place} is not among {named:?}");
        }
    }
}

#[test]
fn what_two_resources_may_not_share_is_named() {
    let text =
        "kind: Tier\nname: a\nspec: { level: 1 }\n---\nkind: Tier\nname: b\nspec: { level: 1 }\n";
    let mistakes = file::parse(text, &ResourceSet::default()).expect_err("one level");
    assert_eq!(mistakes[0].to_string(), "Tier/b spec.level: level 1 is also that of Tier/a");
    assert!(check(&ResourceSet::default()).is_empty());
}

/// Permits in doubt wait for as long as the endpoint's own report may lag behind. One value for all,
/// the largest, made every start of the demo wait for 5.6 s: its plain service declares none.
#[test]
fn an_endpoint_without_a_lag_does_not_slow_the_others() {
    let endpoint = |name: &str, port: u16, lag: &str| {
        format!(
            "kind: Endpoint\nname: {name}\nspec: {{ place: p, address: \"127.0.0.1:{port}\", \
             service: s, slots: 4{lag} }}\n"
        )
    };
    let place = "kind: Place\nname: p\nspec: { zones: [z] }\n".to_owned();
    let service = "kind: Service\nname: s\nspec: {}\n".to_owned();
    let all = [place, service, endpoint("a", 1, ", reportLagSeconds: 1"), endpoint("b", 2, "")];
    let all = all.join("---\n");
    let resources = file::parse(&all, &ResourceSet::default()).expect("a file");
    let mut set = ResourceSet::default();
    resources.into_iter().for_each(|r| drop(set.insert(r)));
    let topology = oxbowbend_resource::derive::topology(&set);
    let lag = |name| topology.report_lag_of(name).expect("declared").as_secs();
    assert_eq!((lag("a"), lag("b")), (1, 5));
}
