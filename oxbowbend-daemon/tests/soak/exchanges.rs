//! What endpoints say of themselves, and a check of what they get afterwards, by the users' own words.
//!
//! An instance knows what an answer said once it has passed it on. Restarts, freezes and cuts of an instance excuse it
//! from what it was told before.

use std::collections::{BTreeMap, HashMap, HashSet};
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
    /// Requests a second that it bears to turn away.
    pub brittle: Option<f64>,
}

impl Says {
    /// Puts it into the head of an answer.
    pub fn write(self, headers: &mut HeaderMap) {
        let mut set = |name: &'static str, value: Option<String>| {
            value.map(|value| headers.insert(name, value.parse().unwrap()))
        };
        set("server-limit", self.limit.map(|limit| limit.to_string()));
        set("server-brittle", self.brittle.map(|n| n.to_string()));
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
    /// The endpoint's start.
    start: u64,
    /// When it was answered, and what that said; none if it was not.
    said: Option<(Instant, Says)>,
}

#[derive(Default)]
struct State {
    /// All requests that reached endpoints, by endpoint.
    all: HashMap<String, Vec<Exchange>>,
    /// Number of the present start of endpoints that have started again.
    starts: HashMap<String, u64>,
    /// Endpoints whose answers do not arrive now.
    unheard: HashSet<String>,
}

/// All requests that reached endpoints.
#[derive(Clone, Default)]
pub struct Exchanges(Arc<Mutex<State>>);

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
        let state = &mut *self.0.lock().unwrap();
        let start = state.starts.get(endpoint).copied().unwrap_or_default();
        let list = state.all.entry(endpoint.to_owned()).or_default();
        list.push(Exchange { at: Instant::now(), instance, called, start, said: None });
        Some(Arrived { endpoint: endpoint.to_owned(), index: list.len() - 1 })
    }

    /// Notes its answer, if that arrives.
    pub fn answered(&self, arrived: Option<Arrived>, says: Says) {
        let Some(Arrived { endpoint, index }) = arrived else { return };
        let state = &mut *self.0.lock().unwrap();
        if !state.unheard.contains(&endpoint) {
            state.all.get_mut(&endpoint).unwrap()[index].said = Some((Instant::now(), says));
        }
    }

    /// Whether an endpoint's answers do not arrive from now on.
    pub fn set_unheard(&self, endpoint: &str, is_unheard: bool) {
        let unheard = &mut self.0.lock().unwrap().unheard;
        match is_unheard {
            true => unheard.insert(endpoint.to_owned()),
            false => unheard.remove(endpoint),
        };
    }

    /// Notes that an endpoint has started again: it has told nobody anything.
    pub fn started(&self, endpoint: &str) {
        *self.0.lock().unwrap().starts.entry(endpoint.to_owned()).or_default() += 1;
    }

    /// Requests that reached an endpoint in a time.
    pub fn count(&self, endpoint: &str, from: Instant, to: Instant) -> usize {
        let state = self.0.lock().unwrap();
        let list = state.all.get(endpoint).into_iter().flatten();
        list.filter(|e| e.at >= from && e.at < to).count()
    }

    /// What was not as it must be while an endpoint said something.
    pub fn check(&self, episode: &Episode, excuses: &[Excuse]) -> Vec<String> {
        let state = self.0.lock().unwrap();
        let mut starts: BTreeMap<u64, Vec<&Exchange>> = BTreeMap::new();
        for e in state.all.get(&episode.endpoint).into_iter().flatten() {
            if e.at >= episode.from && e.at < episode.until {
                starts.entry(e.start).or_default().push(e);
            }
        }
        let broken =
            starts.into_values().flat_map(|list| Told { list, excuses }.check(episode.says));
        broken.map(|b| format!("{} {b}", episode.endpoint)).collect()
    }
}

/// A time in which an endpoint said the same.
#[derive(Clone, Debug)]
pub struct Episode {
    pub endpoint: String,
    pub says: Says,
    pub from: Instant,
    pub until: Instant,
}

/// A restart, freeze or cut of an instance, which excuses it from what it was told before.
pub type Excuse = (SocketAddr, Instant);

/// What reached an endpoint in an episode, and what of that told whom.
struct Told<'a> {
    list: Vec<&'a Exchange>,
    excuses: &'a [Excuse],
}

impl Told<'_> {
    fn check(&self, says: Says) -> impl Iterator<Item = String> {
        let rest = says.rest_s.map(Duration::from_secs_f64);
        let broken = [
            says.limit.and_then(|limit| self.beyond_limit(limit)),
            says.leaves.then(|| self.after_leaving()).flatten(),
            rest.and_then(|rest| self.in_rests(rest)),
        ];
        broken.into_iter().flatten()
    }

    /// Times of answers that told this request's instance and of which nothing excuses it.
    fn told_before<'b>(&'b self, e: &'b Exchange) -> impl Iterator<Item = Instant> + 'b {
        let is_excused = move |told: Instant| {
            let is_since = |at: Instant| at >= told && at <= e.at;
            self.excuses.iter().any(|(who, at)| *who == e.instance && is_since(*at))
        };
        let same = self.list.iter().filter(|other| other.instance == e.instance);
        let told = same.filter_map(|other| Some(other.said?.0)).filter(move |at| *at <= e.at);
        told.filter(move |told| !is_excused(*told))
    }

    /// A window in which the endpoint got more than one and a half times what its limit allows, and five, from instances that had
    /// been told.
    fn beyond_limit(&self, limit: f64) -> Option<String> {
        let first = self.list.iter().filter_map(|e| Some(e.said?.0)).min()?;
        let is_told = |e: &&&Exchange| self.told_before(e).any(|told| told + KNOWN <= e.at);
        let mut times: Vec<_> = self.list.iter().filter(is_told).map(|e| e.at).collect();
        times.retain(|at| *at >= first + CONTACT);
        times.sort();
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let count = |(n, from): (usize, &Instant)| {
            times[n..].iter().take_while(|at| **at < *from + WINDOW).count()
        };
        let most = times.iter().enumerate().map(count).max()?;
        (most as f64 > allowed)
            .then(|| format!("named {limit} a second and got {most} in 4 s; allowed {allowed:.0}"))
    }

    /// Requests that reached it though their instance had passed on that it leaves.
    fn after_leaving(&self) -> Option<String> {
        let is_late = |e: &&&Exchange| self.told_before(e).any(|told| e.called > told + DRAIN);
        let late: Vec<_> = self.list.iter().filter(is_late).collect();
        let first = late.first()?.instance;
        Some(format!("had said that it leaves, and got {} requests, one from {first}", late.len()))
    }

    /// Requests in a rest that it had asked an instance for.
    fn in_rests(&self, rest: Duration) -> Option<String> {
        let count = |asked: &&Exchange| {
            let (told, _) = asked.said?;
            let is_within = |e: &&&Exchange| {
                e.instance == asked.instance
                    && e.at > told + KNOWN
                    && e.at < told + rest
                    && self.told_before(e).any(|t| t == told)
            };
            Some((self.list.iter().filter(is_within).count(), asked.instance))
        };
        let most = self.list.iter().filter_map(count).max()?;
        (most.0 > IN_REST)
            .then(|| format!("asked {} for {rest:?} of rest, and got {}", most.1, most.0))
    }
}

/// The moment from which callers count.
pub fn beginning() -> Instant {
    static BEGINNING: OnceLock<Instant> = OnceLock::new();
    *BEGINNING.get_or_init(Instant::now)
}
