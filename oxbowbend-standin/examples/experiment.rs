//! Plays the scenarios of a deployment under all policies and prints a table.

use gumdrop::Options;
use oxbowbend_standin::experiment::deployment;
use oxbowbend_standin::experiment::policy;
use oxbowbend_standin::experiment::{report, run};

/// Anything that can go wrong here.
type Failure = Box<dyn std::error::Error>;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "file that describes the deployment")]
    file: String,
    #[options(help = "only this scenario", meta = "NAME")]
    scenario: Option<String>,
    #[options(help = "only this policy", meta = "NAME")]
    policy: Option<String>,
    #[options(help = "seed", meta = "N", default = "1")]
    seed: u64,
    #[options(help = "write the outcomes as JSON", meta = "FILE")]
    json: Option<String>,
    #[options(help = "write a plot as SVG", meta = "FILE", no_short)]
    svg: Option<String>,
    #[options(help = "print p95 by account and class too", no_short)]
    accounts: bool,
}

fn main() -> Result<(), Failure> {
    let flags = Flags::parse_args_default_or_exit();
    let text = std::fs::read_to_string(&flags.file)?;
    let deployment: deployment::Deployment = serde_yaml_ng::from_str(&text)?;
    let mut outcomes = Vec::new();
    let wanted = |only: &Option<String>, name: &str| only.as_deref().is_none_or(|o| o == name);
    for scenario in deployment.scenarios.iter().filter(|s| wanted(&flags.scenario, &s.name)) {
        for policy in policy::POLICIES.iter().filter(|p| wanted(&flags.policy, p)) {
            let outcome = run::play(&deployment, scenario, policy, flags.seed);
            outcomes.push(outcome.ok_or("no such policy")?);
        }
    }
    print!("{}", report::table(&outcomes));
    if flags.accounts {
        for o in &outcomes {
            println!("{} {}: {:.0?}", o.scenario, o.policy, o.p95_ms);
        }
    }
    if let Some(path) = &flags.json {
        std::fs::write(path, serde_json::to_string_pretty(&outcomes)?)?;
    }
    if let Some(path) = &flags.svg {
        report::plot(&outcomes, path)?;
    }
    Ok(())
}
