//! What endpoints say of themselves, and a check of what they get afterwards, by the users' own words.
//!
//! An instance knows what an answer said once it has passed it on. Restarts, freezes and cuts of an instance excuse it
//! from what it was told before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use http::HeaderMap;

/// What an endpoint says in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Says {
    /// Requests a second that it takes from all instances together.
    pub limit: Option<f64>,
    /// Whether it leaves.
    pub leaves: bool,
    /// Seconds of rest for which it turns requests away.
    pub rest_s: Option<f64>,
}

impl Says {
    /// Puts it into the head of an answer.
    pub fn write(self, headers: &mut HeaderMap) {
        let mut set = |name: &'static str, value: Option<String>| {
            value.map(|value| headers.insert(name, value.parse().unwrap()))
        };
        set("server-limit", self.limit.map(|limit| limit.to_string()));
        set("server-leaving", self.leaves.then(|| "1".to_owned()));
        set("retry-after", self.rest_s.map(|rest| rest.to_string()));
    }
}

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
struct Exchange {
    at: Instant,
    /// The instance that its caller sent it to, and when.
    instance: SocketAddr,
    called: Instant,
    /// When it was answered, and what that said; none if it was not.
    said: Option<(Instant, Says)>,
}

/// All requests that reached endpoints, by endpoint.
#[derive(Clone, Default)]
pub struct Exchanges(Arc<Mutex<HashMap<String, Vec<Exchange>>>>);

/// One of them.
pub struct Arrived {
    endpoint: String,
    index: usize,
}

/// Header by which callers tell endpoints which instance they sent a request to.
pub const SENT_TO: &str = "x-sent-to";
/// Header by which callers tell when, in microseconds since [`beginning`].
pub const SENT_AT: &str = "x-sent-at";
/// Time after an answer from which it binds the instance that passed it on.
const KNOWN: Duration = Duration::from_millis(500);
/// Time after a limit was first named from which it binds.
const CONTACT: Duration = Duration::from_millis(3000);
/// Time after an instance has passed on that an endpoint leaves from which its callers' requests must not reach it.
const DRAIN: Duration = Duration::from_millis(2000);
/// Requests that may reach an endpoint from one instance in the rest that it asked that one for.
const IN_REST: usize = 2;
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

impl Exchanges {
    /// Notes a request; none if it is nobody's whom this fleet knows.
    pub fn arrived(&self, endpoint: &str, headers: &HeaderMap) -> Option<Arrived> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let instance = text(SENT_TO)?.parse().ok()?;
        let called = beginning() + Duration::from_micros(text(SENT_AT)?.parse().ok()?);
        let mut all = self.0.lock().unwrap();
        let list = all.entry(endpoint.to_owned()).or_default();
        list.push(Exchange { at: Instant::now(), instance, called, said: None });
        Some(Arrived { endpoint: endpoint.to_owned(), index: list.len() - 1 })
    }

    /// Notes its answer.
    pub fn answered(&self, arrived: Option<Arrived>, says: Says) {
        let Some(Arrived { endpoint, index }) = arrived else { return };
        let mut all = self.0.lock().unwrap();
        all.get_mut(&endpoint).unwrap()[index].said = Some((Instant::now(), says));
    }

    /// Requests that reached an endpoint in a time.
    pub fn count(&self, endpoint: &str, from: Instant, to: Instant) -> usize {
        let all = self.0.lock().unwrap();
        let list = all.get(endpoint).into_iter().flatten();
        list.filter(|e| e.at >= from && e.at < to).count()
    }

    /// Windows in which an endpoint got more than one and a half times what its limit allows, and five: from the instances
    /// that had been told of it, since their last excuse.
    pub fn beyond_limit(
        &self,
        endpoint: &str,
        limit: f64,
        excused: &[(SocketAddr, Instant)],
    ) -> Vec<String> {
        let all = self.0.lock().unwrap();
        let Some(list) = all.get(endpoint) else { return Vec::new() };
        let told: Vec<_> = list
            .iter()
            .filter_map(|e| {
                let (at, says) = e.said?;
                (says.limit.is_some() && !is_excused(excused, e.instance, at))
                    .then_some((e.instance, at))
            })
            .collect();
        let Some(first) = told.iter().map(|(_, at)| *at).min() else { return Vec::new() };
        let is_told = |e: &&Exchange| {
            told.iter().any(|(instance, at)| *instance == e.instance && *at + KNOWN <= e.at)
        };
        let mut times: Vec<_> = list.iter().filter(is_told).map(|e| e.at).collect();
        times.retain(|at| *at >= first + CONTACT);
        times.sort();
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let in_window = |(n, from): (usize, &Instant)| {
            let count = times[n..].iter().take_while(|at| **at < *from + WINDOW).count();
            (count as f64 > allowed).then(|| {
                format!("{endpoint} named {limit} a second and got {count} in 4 s; allowed {allowed:.0}")
            })
        };
        times.iter().enumerate().filter_map(in_window).take(1).collect()
    }
}

impl Exchanges {
    /// Requests that reached an endpoint though their instance had passed on that it leaves.
    pub fn after_leaving(&self, endpoint: &str, excused: &[(SocketAddr, Instant)]) -> Vec<String> {
        let all = self.0.lock().unwrap();
        let Some(list) = all.get(endpoint) else { return Vec::new() };
        let mut told: HashMap<SocketAddr, Instant> = HashMap::new();
        for e in list {
            let Some((at, says)) = e.said else { continue };
            if says.leaves && !is_excused(excused, e.instance, at) {
                let first = told.entry(e.instance).or_insert(at);
                *first = at.min(*first);
            }
        }
        let late = |e: &&Exchange| told.get(&e.instance).is_some_and(|at| e.called > *at + DRAIN);
        let late: Vec<_> = list.iter().filter(late).collect();
        let tell = |e: &&Exchange| {
            let after = e.called.duration_since(told[&e.instance]);
            format!(
                "{endpoint} had said that it leaves, and got {} from {}, the first {after:?} after",
                late.len(),
                e.instance
            )
        };
        late.first().map(tell).into_iter().collect()
    }

    /// Rests that an endpoint asked an instance for and did not get.
    pub fn in_rests(&self, endpoint: &str, excused: &[(SocketAddr, Instant)]) -> Vec<String> {
        let all = self.0.lock().unwrap();
        let Some(list) = all.get(endpoint) else { return Vec::new() };
        let rest = |asked: &Exchange| {
            let (at, says) = asked.said?;
            let ends = at + Duration::from_secs_f64(says.rest_s?);
            let is_within =
                |e: &&Exchange| e.instance == asked.instance && e.at > at + KNOWN && e.at < ends;
            let count = list.iter().filter(is_within).count();
            let is_broken = count > IN_REST && !is_excused(excused, asked.instance, at);
            let rest = says.rest_s?;
            let instance = asked.instance;
            is_broken.then(|| format!("{endpoint} asked {instance} for {rest} s, and got {count}"))
        };
        list.iter().filter_map(rest).take(1).collect()
    }
}

/// The moment from which callers count.
pub fn beginning() -> Instant {
    static BEGINNING: OnceLock<Instant> = OnceLock::new();
    *BEGINNING.get_or_init(Instant::now)
}

/// Whether an instance was told something before its last excuse.
fn is_excused(excused: &[(SocketAddr, Instant)], instance: SocketAddr, told: Instant) -> bool {
    excused.iter().any(|(excused, at)| *excused == instance && *at >= told)
}
