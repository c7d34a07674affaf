//! Endpoints that say something of themselves, beside the faults of a seed: limits, rests, and that they leave.

use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::exchanges::{Episode, Says};
use crate::fleet::{Fleet, Starter};
use crate::proxy;

/// Endpoints that say something by turns; the others never do, so that there is always somebody to send to.
const SPEAKERS: [&[usize]; 2] = [&[0, 1], &[2]];
/// Times for which one says the same.
const TIMES: std::ops::Range<f64> = 2.5..7.0;
/// Limits that are named, in requests a second.
const LIMITS: [f64; 4] = [0.0, 0.5, 2.0, 8.0];
/// Rests that are asked for, in seconds.
const RESTS_S: [f64; 3] = [0.3, 1.0, 2.5];
/// Time for which an endpoint that has left is gone.
const GONE: Duration = Duration::from_millis(400);

/// Speakers at work.
pub struct Signalling(Vec<JoinHandle<Vec<Episode>>>);

impl Signalling {
    /// Lets endpoints speak for a while.
    pub fn start(fleet: &Fleet, seed: u64, length: Duration) -> Signalling {
        let until = Instant::now() + length;
        let speak = |(track, endpoints): (usize, &&[usize])| {
            let rng = Pcg64::seed_from_u64(seed * 10 + track as u64);
            let starters = endpoints.iter().map(|n| fleet.starter(*n)).collect();
            task::spawn(speak(starters, rng, until))
        };
        Signalling(SPEAKERS.iter().enumerate().map(speak).collect())
    }

    /// What was said, when all have ended.
    pub async fn ended(self) -> Vec<Episode> {
        futures::future::join_all(self.0).await.concat()
    }
}

async fn speak(starters: Vec<Starter>, mut rng: Pcg64, until: Instant) -> Vec<Episode> {
    let mut episodes = Vec::new();
    loop {
        task::sleep(Duration::from_millis(rng.random_range(0..1000))).await;
        let starter = &starters[rng.random_range(0..starters.len())];
        let says = draw(&mut rng);
        let time = Duration::from_secs_f64(rng.random_range(TIMES));
        let from = Instant::now();
        let ends = (from + time).min(until);
        if ends < from + Duration::from_secs_f64(TIMES.start) {
            return episodes;
        }
        println!("{} says {says:?} for {:?}", starter.endpoint.id, ends - from);
        starter.endpoint.set_says(says);
        task::sleep(ends - from).await;
        let endpoint = starter.endpoint.id.clone();
        episodes.push(Episode { endpoint, says, from, until: Instant::now() });
        starter.endpoint.set_says(Says::default());
        if says.leaves {
            starter.start_again(proxy::Mode::Reset, GONE).await;
        }
    }
}

fn draw(rng: &mut Pcg64) -> Says {
    let (limit, rest_s) = (LIMITS[rng.random_range(0..4)], RESTS_S[rng.random_range(0..3)]);
    match rng.random_range(0..4) {
        0 | 1 => Says { limit: Some(limit), ..Says::default() },
        2 => Says { leaves: true, ..Says::default() },
        _ => Says { rest_s: Some(rest_s), ..Says::default() },
    }
}
