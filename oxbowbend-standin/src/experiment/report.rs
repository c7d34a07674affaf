//! Tables and plots of outcomes.

use plotters::prelude::*;

use super::run;

/// Rows of a table, one for each outcome.
pub fn table(outcomes: &[run::Outcome]) -> String {
    let mut text = format!(
        "{:12}{:20}{:>8}{:>8}{:>8}{:>10}{:>10}{:>10}{:>9}{:>9}{:>10}\n",
        "scenario",
        "policy",
        "good 0",
        "good 1",
        "good 2",
        "p50 ms 0",
        "p95 ms 0",
        "p99 ms 0",
        "wasted%",
        "repeat%",
        "passed",
    );
    for o in outcomes {
        let good = |t: usize| {
            let tier = o.tiers.get(t);
            tier.map_or(0.0, |t| 100.0 * t.good as f64 / t.offered.max(1) as f64)
        };
        let first = o.tiers.first().map_or([0.0; 3], |t| t.first_ms);
        let share = |n: u64| 100.0 * n as f64 / o.prefilled.max(1) as f64;
        text.push_str(&format!(
            "{:12}{:20}{:>8.2}{:>8.2}{:>8.2}{:>10.0}{:>10.0}{:>10.0}{:>9.2}{:>9.2}{:>10}\n",
            o.scenario,
            o.policy,
            good(0),
            good(1),
            good(2),
            first[0],
            first[1],
            first[2],
            share(o.wasted),
            share(o.repeated),
            o.limits_passed,
        ));
    }
    text
}

/// Writes a plot of the goodput of the highest tier, a bar for each outcome, as SVG.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot(outcomes: &[run::Outcome], path: &str) -> Result<(), Box<dyn std::error::Error>> {
    let height = 60 + 22 * outcomes.len() as u32;
    let root = SVGBackend::new(path, (800, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let style = ("sans-serif", 13).into_font().color(&BLACK);
    root.draw(&Text::new("goodput by tier in percent: 0, 1, 2", (10, 8), style.clone()))?;
    for (row, o) in outcomes.iter().enumerate() {
        let y = 34 + 22 * row as i32;
        let name = format!("{} / {}", o.scenario, o.policy);
        root.draw(&Text::new(name, (10, y), style.clone()))?;
        for (n, tier) in o.tiers.iter().enumerate() {
            let share = tier.good as f64 / tier.offered.max(1) as f64;
            let top = y + 6 * n as i32;
            let end = 280 + (500.0 * share) as i32;
            let bar = Rectangle::new([(280, top), (end, top + 5)], Palette99::pick(n).filled());
            root.draw(&bar)?;
        }
    }
    root.present()?;
    Ok(())
}
