//! What is asked of a key-value service, checked against both that there are: the one inside the
//! process and the etcd gateway of the platform stand-in; and the store and ledger on top under
//! every fault at every call.

use std::time::Duration;

use async_std::task;
use oxbowbend_core::ledger::{Step, StepAction, StepResult};
use oxbowbend_resource::kinds::{Kind, Place, Resource, Spec};
use oxbowbend_resource::manifest::{Change, Manifest, Operation};
use oxbowbend_standin::local::{free_address, listen};
use oxbowbend_standin::platform::{Options, Platform};
use oxbowbend_standin::switches::Switches;
use oxbowbend_store::config::{ConfigError, ConfigStore};
use oxbowbend_store::etcd::Etcd;
use oxbowbend_store::kv::{KeyValue, KvError, Swap};
use oxbowbend_store::ledger::{Ledger, LedgerError};
use oxbowbend_store::memory::{Fault, Memory};

const SECOND: Duration = Duration::from_secs(1);
const FAULTS: [Fault; 3] = [Fault::Unreachable, Fault::ReplyLost, Fault::RequestLost];

async fn etcd() -> (Etcd, Platform) {
    let platform = Platform::new(Options::default());
    let (listener, address) = listen().await.expect("a port is free");
    task::spawn(platform.clone().serve(listener));
    // The first address answers nobody; the second one is tried.
    let nobody = free_address().await.expect("a port is free");
    (Etcd::new(vec![nobody, address], SECOND, SECOND), platform)
}

async fn swaps<K: KeyValue>(kv: &K) {
    assert_eq!(kv.get("k").await, Ok(None));
    let Ok(Swap::Written(first)) = kv.swap("k", 0, b"1".to_vec(), None).await else {
        panic!("an absent key is written")
    };
    assert_eq!(kv.swap("k", 0, b"2".to_vec(), None).await, Ok(Swap::Conflict));
    assert_eq!(kv.swap("k", first + 1, b"2".to_vec(), None).await, Ok(Swap::Conflict));
    let stored = kv.get("k").await.expect("it answers").expect("it is there");
    assert_eq!((stored.value.as_slice(), stored.version), (&b"1"[..], first));
    let Ok(Swap::Written(second)) = kv.swap("k", first, b"2".to_vec(), None).await else {
        panic!("the right version is written")
    };
    assert!(second > first);
    let newer = kv.changed("k", first).await.expect("it answers").expect("it has changed");
    assert_eq!((newer.value.as_slice(), newer.version), (&b"2"[..], second));
    kv.swap("k/a", 0, Vec::new(), None).await.expect("it answers");
    assert_eq!(kv.keys("k/").await, Ok(vec!["k/a".to_owned()]));
    kv.delete("k").await.expect("it answers");
    assert_eq!(kv.get("k").await, Ok(None));
    let lease = kv.grant_lease(SECOND).await.expect("it answers");
    assert_eq!(kv.renew_lease(lease).await, Ok(true));
    assert_eq!(kv.renew_lease(lease + 1).await, Ok(false));
}

#[test]
fn both_services_keep_the_contract() {
    task::block_on(Box::pin(async {
        swaps(&Memory::new()).await;
        swaps(&etcd().await.0).await;
    }));
}

#[test]
fn a_gateway_tells_lost_replies_from_refusals() {
    task::block_on(Box::pin(async {
        let (kv, platform) = etcd().await;
        platform.panel().set(Switches { lose_replies: 1, ..Switches::default() });
        let lost = kv.swap("k", 0, b"1".to_vec(), None).await.expect_err("no reply comes");
        assert!(lost.is_ambiguous(), "{lost}");
        assert!(kv.get("k").await.expect("it answers").is_some());
        platform.panel().set(Switches { refuse: true, ..Switches::default() });
        let refused = kv.swap("k", 0, b"1".to_vec(), None).await.expect_err("an outage");
        assert!(matches!(refused, KvError::Refused(_)), "{refused}");
        platform.panel().set(Switches { stall: true, ..Switches::default() });
        let late = kv.swap("k", 0, b"1".to_vec(), None).await.expect_err("no reply comes");
        assert!(late.is_ambiguous(), "{late}");
        let nobody = free_address().await.expect("a port is free");
        let unreachable = Etcd::new(vec![nobody], SECOND, SECOND).get("k").await;
        assert!(matches!(unreachable, Err(KvError::Unreachable(_))), "{unreachable:?}");
    }));
}

#[test]
fn leases_end() {
    task::block_on(Box::pin(async {
        let kv = Memory::new();
        let lease = kv.grant_lease(SECOND).await.expect("it answers");
        kv.swap("k", 0, Vec::new(), Some(lease)).await.expect("it answers");
        kv.end_lease(lease);
        assert_eq!(kv.get("k").await, Ok(None));
        assert_eq!(kv.renew_lease(lease).await, Ok(false));
    }));
}

fn change(id: &str, zone: &str, version: u64) -> Change {
    let spec = Spec::Place(Place { zones: vec![zone.to_owned()] });
    let resource = Resource { name: "p".to_owned(), version, spec };
    Change { id: id.to_owned(), operations: vec![Operation::Put(resource)] }
}

/// Every fault at every call of a change: what is said of its acceptance is true, and sending it
/// again accepts it exactly once.
#[test]
fn a_change_is_accepted_once_whatever_fails() {
    task::block_on(Box::pin(async {
        for fault in FAULTS {
            for call in 0..10 {
                let kv = Memory::new();
                let store = ConfigStore::new(kv.clone());
                let none = Manifest::default();
                store.apply(&change("c0", "a", 0), &none).await.expect("accepted");
                let wanted = change("c1", "b", 1);
                kv.inject_after(call, fault);
                let said = store.apply(&wanted, &none).await;
                kv.inject(&[]);
                let head = store.head().await.expect("it answers").head;
                let accepted = head.revision_of("c1").is_some();
                match &said {
                    Ok(_) => assert!(accepted, "{fault:?} at {call}"),
                    Err(ConfigError::Unknown(_)) => {}
                    Err(e) => assert!(!accepted, "{fault:?} at {call}: {e}"),
                }
                let again = store.apply(&wanted, &none).await.expect("accepted");
                assert_eq!(again.revision(), 2, "{fault:?} at {call}");
                let found = again.set().get(Kind::Place, "p").expect("it is there").version;
                assert_eq!(found, 2, "{fault:?} at {call}");
            }
        }
    }));
}

fn hold(run: &str) -> Step {
    let action =
        StepAction::Hold { holder: "i".into(), body_digest: 1, takeover: false, retention_s: 60 };
    Step { key: "k".to_owned(), run: run.into(), action }
}

/// Every fault at every call of a step: a true verdict, or "not taken" when it was not, or
/// "unknown".
#[test]
fn ledger_steps_are_told_truly_whatever_fails() {
    task::block_on(Box::pin(async {
        for fault in FAULTS {
            for call in 0..4 {
                let kv = Memory::new();
                let ledger = || Ledger::new(kv.clone(), 1, SECOND, Duration::ZERO);
                kv.inject_after(call, fault);
                let said = ledger().take(hold("one")).await;
                kv.inject(&[]);
                let other = ledger().take(hold("two")).await.expect("it answers");
                let taken = matches!(other, StepResult::HeldBy { .. });
                match said {
                    Ok(StepResult::Applied) => assert!(taken, "{fault:?} at {call}"),
                    Ok(other) => panic!("{fault:?} at {call}: {other:?}"),
                    Err(LedgerError::Unavailable(_)) => assert!(!taken, "{fault:?} at {call}"),
                    Err(LedgerError::Unknown(_)) => {}
                }
            }
        }
    }));
}
