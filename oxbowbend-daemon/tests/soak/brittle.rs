//! Endpoints that say that they are brittle do not fall over since all instances together send more than there is room for.
//!
//! Nobody read `Server-Brittle`. Instances that decide at the same moment send to the same free place, what one endpoint turns
//! away goes to the next one, and the load of one that fell goes to those that stand.

use std::time::{Duration, Instant};

use crate::exchanges::Says;
use crate::fleet::{Fleet, ENDPOINTS};
use crate::press::{play_in_turn, press, press_at_once};

/// Seeds of their own, beside those that are played meanwhile, of one cell and of two cells, and the requests a second that
/// endpoints bear to turn away: more and fewer than there are instances.
const SEEDS: [(u64, f64); 4] = [(151, 5.0), (152, 5.0), (153, 3.0), (154, 3.0)];
/// Requests that an endpoint runs at once, and the time that a plain one takes; a stream takes about as long.
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(180);
/// Times between two moments at which all instances get a request: 67 and 133 a second, where all endpoints together
/// have room for 83.
const PACES: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(30)];
/// Time for which each is kept, after the endpoints have said for [`KNOWN`] that they are brittle.
const LENGTH: Duration = Duration::from_secs(4);
const KNOWN: Duration = Duration::from_millis(3500);
/// Falls that the rule allows in one time in which endpoints are brittle.
const ALLOWED: f64 = 2.0 + 0.1 * ENDPOINTS as f64;
/// Least part of the room that is used where there are more requests than that: endpoints that get nothing do not fall.
const USED: f64 = 0.4;

async fn play(seed: u64, bears: f64) -> Vec<String> {
    let fleet = Fleet::start_with_slots(seed, SLOTS).await;
    fleet.let_endpoints_end(crate::endpoint::DOWN);
    for endpoint in &fleet.endpoints {
        endpoint.room.set_slots(SLOTS);
        endpoint.set_work(WORK);
    }
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    press(&fleet, "before", Duration::from_secs(1)).await;
    let says = Says { brittle: Some(bears), ..Says::default() };
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_says(says));
    press_at_once(&fleet, "known", PACES[0], KNOWN).await;
    let mut broken = Vec::new();
    for (n, pace) in PACES.into_iter().enumerate() {
        let from = Instant::now();
        let seen = press_at_once(&fleet, &n.to_string(), pace, LENGTH).await;
        let served = seen.iter().filter(|seen| seen.is_served()).count();
        let room =
            ENDPOINTS as f64 * f64::from(SLOTS) / WORK.as_secs_f64() * from.elapsed().as_secs_f64();
        println!("seed {seed}: {served} of {} served, room for {room:.0}", seen.len());
        if (served as f64) < USED * room.min(seen.len() as f64) {
            broken.push(format!("only {served} of {} served, room for {room:.0}", seen.len()));
        }
    }
    let rooms = || fleet.endpoints.iter().map(|endpoint| &endpoint.room);
    let falls: Vec<_> = rooms().map(|room| room.falls()).collect();
    let most: Vec<_> = rooms().map(|room| room.most_turned_away()).collect();
    println!("seed {seed}: bear {bears} a second; falls {falls:?}, most turned away {most:?}");
    if falls.iter().sum::<usize>() as f64 > ALLOWED {
        broken.push(format!(
            "endpoints that bear to turn {bears} a second away fell {falls:?} times, allowed {ALLOWED} in all; most turned \
             away in a second {most:?}"
        ));
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

#[test]
fn brittle_endpoints_do_not_fall_over_by_what_they_turn_away() {
    let broken = play_in_turn(SEEDS.into_iter().map(|(seed, bears)| play(seed, bears)));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
