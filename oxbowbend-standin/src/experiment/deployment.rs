//! Descriptions of a deployment, its load and its faults, read from a file.

use serde::{Deserialize, Serialize};

/// A deployment with its load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Seconds of load.
    pub seconds: f64,
    /// Waiting requests above which the pool sheds.
    pub queue_bound: usize,
    /// How much more prefill counts than decoding when an engine is chosen.
    #[serde(default)]
    pub prefill_bias: f64,
    /// Engines, in groups of equal ones.
    pub engines: Vec<Group>,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Scenarios by name.
    pub scenarios: Vec<Scenario>,
}

/// Engines of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Hardware generation.
    pub generation: String,
    /// How many.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Output tokens per second and request.
    pub decode_rate: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u64,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Tier.
    pub tier: u8,
    /// Client accounts that send it, in equal parts.
    pub accounts: Vec<String>,
    /// Share of the offered work.
    pub share: f64,
    /// Prompt tokens, from and to.
    pub prompt: [u32; 2],
    /// Output tokens, from and to.
    pub output: [u32; 2],
    /// Seconds in which the answer is of use.
    pub deadline: f64,
    /// Different beginnings that prompts share; 0 for none.
    #[serde(default)]
    pub prefixes: u32,
    /// Prompt tokens of a shared beginning.
    #[serde(default)]
    pub prefix_tokens: u32,
}

/// A load and what goes wrong.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Offered work relative to what the engines can do.
    pub load: f64,
    /// Factor by which all classes grow in the middle third.
    pub burst: Option<f64>,
    /// Engine that is slower by a factor from a third of the time on.
    pub straggler: Option<f64>,
    /// Engines that die at half of the time.
    pub kill_engines: usize,
    /// Seconds without a scheduler from half of the time on.
    pub scheduler_gap: f64,
    /// Seconds by which reports lag.
    pub report_lag: f64,
    /// Client account whose requests are multiplied by ten.
    pub flood: Option<String>,
}

impl Class {
    fn mean(range: [u32; 2]) -> f64 {
        f64::from(range[0] + range[1]) / 2.0
    }

    /// Seconds that a request of the class takes on average at an engine without its prefix.
    fn seconds(&self, group: &Group) -> f64 {
        Class::mean(self.prompt) / group.prefill_rate + Class::mean(self.output) / group.decode_rate
    }
}

impl Deployment {
    /// Requests per second of each class that make up `load`, at engines that cache nothing.
    pub fn rates(&self, load: f64) -> Vec<f64> {
        let rate = |class: &Class| {
            let weighted =
                self.engines.iter().map(|g| g.count as f64 * f64::from(g.slots) / class.seconds(g));
            let alone: f64 = weighted.sum();
            load * class.share * alone
        };
        self.classes.iter().map(rate).collect()
    }

    /// Finds a scenario.
    pub fn scenario(&self, name: &str) -> Option<&Scenario> {
        self.scenarios.iter().find(|s| s.name == name)
    }
}
