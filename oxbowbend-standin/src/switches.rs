//! Faults that a stand-in can be told to show.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use http_types::{Request, Response, StatusCode};
use oxbowbend_http::body;
use oxbowbend_http::problem;
use serde::{Deserialize, Serialize};

/// Path at which switches are read and set.
pub const PATH: &str = "/standin/switches";
/// Time for which a stalled answer is withheld.
const STALL: Duration = Duration::from_secs(3600);

/// The faults; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Refuse every request before doing anything.
    pub refuse: bool,
    /// Refuse to read or change the list of instances as well.
    pub refuse_list: bool,
    /// Do what is asked and never answer.
    pub stall: bool,
    /// Milliseconds by which every answer is late.
    pub delay_ms: u64,
    /// Factor by which work takes longer.
    pub slow: Option<f64>,
    /// Cut the connection of a streamed answer after so many events.
    pub cut_after: Option<usize>,
    /// Send only half of the next so many plain answers, under the length of the whole.
    pub cut_bodies: u32,
    /// Do what is asked and lose the reply of the next so many writes.
    pub lose_replies: u32,
    /// Behave as if leaving: finish what runs, refuse what is new.
    pub leaving: bool,
    /// Forget runs as soon as they are over.
    pub forget: bool,
}

/// Switches shared between a stand-in and whoever sets them.
#[derive(Clone, Debug, Default)]
pub struct Panel(Arc<Mutex<Switches>>);

impl Panel {
    /// The switches as they stand.
    pub fn get(&self) -> Switches {
        self.0.lock().expect("no panic under lock").clone()
    }

    /// Sets all switches.
    pub fn set(&self, switches: Switches) {
        *self.0.lock().expect("no panic under lock") = switches;
    }

    /// Counts down a switch that holds for a number of times; says whether it held.
    pub fn use_up(&self, counter: impl Fn(&mut Switches) -> &mut u32) -> bool {
        let mut switches = self.0.lock().expect("no panic under lock");
        let left = counter(&mut switches);
        if *left == 0 {
            return false;
        }
        *left -= 1;
        true
    }

    /// Reads or sets the switches over HTTP.
    pub async fn serve(&self, req: &mut Request) -> Response {
        if req.method() == http_types::Method::Get {
            return problem::json(StatusCode::Ok, &self.get());
        }
        let read = body::read_request(req, 64 * 1024, Duration::from_secs(5)).await;
        let parsed = read.map(|bytes| serde_json::from_slice::<Switches>(&bytes));
        match parsed {
            Ok(Ok(switches)) => {
                self.set(switches);
                problem::json(StatusCode::Ok, &self.get())
            }
            Ok(Err(e)) => {
                let problem =
                    problem::Problem::new(StatusCode::BadRequest, "not a set of switches");
                problem.detail(e.to_string()).into_response()
            }
            Err(e) => e.to_problem().into_response(),
        }
    }

    /// Waits as the switches say before an answer goes out.
    pub async fn hold_back(&self) {
        let switches = self.get();
        if switches.stall {
            task::sleep(STALL).await;
        }
        if switches.delay_ms > 0 {
            task::sleep(Duration::from_millis(switches.delay_ms)).await;
        }
    }
}
