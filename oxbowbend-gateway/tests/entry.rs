//! The upkeep of an instance's entry.

use std::time::{Duration, Instant};

use oxbowbend_gateway::entry::{Done, Step, Upkeep, CALM, TTL};
use oxbowbend_gateway::seam::{Entry, Lease};

fn entry(units: u64) -> Entry {
    let address = ([10, 0, 0, 1], 7600).into();
    let used = vec![("a".into(), vec![units])];
    Entry {
        zone: "z".into(),
        address,
        paces: Vec::new(),
        used,
        epoch: 1,
        quarantined: Vec::new(),
        rollouts: Vec::new(),
        streams: Vec::new(),
        versions: Vec::new(),
    }
}

const LEASE: Lease = Lease { id: 7, epoch: 1 };

/// A lease that is not renewed ends, however often the entry changes; the note of accounts' windows
/// goes with it (kalemdar-tutanak, hunt-884d-7).
#[test]
fn an_entry_that_always_changes_keeps_its_lease() {
    let start = Instant::now();
    let mut upkeep = Upkeep::default();
    let mut renewed = start;
    let mut written = 0;
    for look in 0..100 {
        let now = start + Duration::from_millis(400) * look;
        let entry = entry(look.into());
        match upkeep.due(now, &entry, true) {
            Some(Step::Enroll) => {
                renewed = now;
                upkeep.done(now, Done::Enrolled(LEASE), entry);
            }
            Some(Step::Renew(_)) => {
                renewed = now;
                upkeep.done(now, Done::Renewed(1), entry);
            }
            Some(Step::Update(_)) => {
                written += 1;
                upkeep.done(now, Done::Updated(1), entry);
            }
            None => {}
        }
        assert!(now - renewed < TTL, "the lease ends at look {look}");
    }
    assert!(written > 80, "{written} changes were written");
}

#[test]
fn steps_follow_from_what_was_done() {
    let now = Instant::now();
    let mut upkeep = Upkeep::default();
    assert_eq!(upkeep.due(now, &entry(1), true), Some(Step::Enroll));
    upkeep.done(now, Done::Enrolled(LEASE), entry(1));
    assert_eq!(upkeep.due(now, &entry(1), true), None);
    assert_eq!(upkeep.due(now, &entry(2), true), Some(Step::Update(LEASE)));
    assert_eq!(upkeep.due(now + TTL, &entry(1), true), Some(Step::Renew(LEASE)));
    upkeep.lost();
    assert_eq!(upkeep.due(now, &entry(1), true), Some(Step::Enroll));
}

#[test]
fn a_change_waits_while_no_account_is_near_its_limit() {
    let now = Instant::now();
    let mut upkeep = Upkeep::default();
    upkeep.done(now, Done::Enrolled(LEASE), entry(1));
    assert_eq!(upkeep.due(now, &entry(2), false), Some(Step::Update(LEASE)));
    upkeep.done(now, Done::Updated(1), entry(2));
    let soon = now + CALM / 2;
    assert_eq!(upkeep.due(soon, &entry(3), false), None);
    assert_eq!(upkeep.due(soon, &entry(3), true), Some(Step::Update(LEASE)));
    assert_eq!(upkeep.due(now + CALM, &entry(3), false), Some(Step::Update(LEASE)));
    assert_eq!(upkeep.due(now + CALM, &entry(2), false), None);
}

/// After the store has come back from an older copy the number of a lease may be another instance's.
#[test]
fn a_lease_ends_with_the_epoch_in_which_it_was_granted() {
    let now = Instant::now();
    for done in [Done::Renewed(2), Done::Updated(2)] {
        let mut upkeep = Upkeep::default();
        upkeep.done(now, Done::Enrolled(LEASE), entry(1));
        upkeep.done(now, done, entry(1));
        assert_eq!(upkeep.lease(), None, "{done:?}");
        assert_eq!(upkeep.due(now, &entry(1), false), Some(Step::Enroll));
    }
    let mut upkeep = Upkeep::default();
    upkeep.done(now, Done::Enrolled(LEASE), entry(1));
    assert!(upkeep.is_of_before(2));
    assert!(!upkeep.is_of_before(1));
    // Of an answer that was late nothing follows.
    upkeep.done(now, Done::Renewed(0), entry(1));
    assert_eq!(upkeep.lease(), Some(LEASE));
}
