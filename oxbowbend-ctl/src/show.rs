//! Commands that show something.

use http_types::Method;
use oxbowbend_resource::kinds;
use serde_json::Value;

use crate::api;
use crate::apply;
use crate::command;
use crate::failure;

/// Form of what is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

impl Output {
    pub(crate) fn parse(text: Option<&str>) -> Result<Output, failure::Failure> {
        match text {
            None | Some("table") => Ok(Output::Table),
            Some("json") => Ok(Output::Json),
            Some(other) => Err(failure::Failure::Usage(format!(
                "--output: {other:?} is neither table nor json"
            ))),
        }
    }
}

fn print_json(value: &impl serde::Serialize) -> Result<(), failure::Failure> {
    let text =
        serde_json::to_string_pretty(value).map_err(|e| failure::Failure::Other(e.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints rows in columns as wide as they need to be.
fn print_table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

/// Shows resources.
pub(crate) async fn get(
    api: &api::Api,
    flags: &command::Get,
    output: Output,
) -> Result<(), failure::Failure> {
    let Some(first) = flags.what.first() else {
        return Err(failure::Failure::Usage("name a kind".to_owned()));
    };
    if flags.what.len() > 1 || first.contains('/') {
        let (kind, name) = apply::kind_and_name(&flags.what)?;
        let found = api.get(kind, &name).await?;
        let found = found
            .ok_or_else(|| failure::Failure::Other(format!("{kind}/{name} is not declared")))?;
        return print_json(&found);
    }
    let kind = apply::find_kind(first)?;
    let mut filter = String::new();
    if let Some(prefix) = &flags.prefix {
        filter.push_str(&format!("&prefix={prefix}"));
    }
    for field in &flags.field {
        filter.push_str(&format!("&spec.{field}"));
    }
    let found = api.list(kind, &filter).await?;
    if output == Output::Json {
        return print_json(&found);
    }
    let mut rows = vec![heading(kind.name())];
    rows.extend(found.iter().map(row));
    print_table(&rows);
    Ok(())
}

fn heading(kind: &str) -> Vec<String> {
    let columns: &[&str] = match kind {
        "ClientAccount" => &["NAME", "VERSION", "TIERS", "PLACES", "WEIGHT", "RUNNING"],
        "Tier" => &["NAME", "VERSION", "LEVEL", "DEADLINE"],
        "Place" => &["NAME", "VERSION", "ZONES"],
        "Endpoint" => &["NAME", "VERSION", "PLACE", "ADDRESS", "SERVES", "SLOTS", "LEAVING"],
        "Model" => &["NAME", "VERSION", "QUEUE", "OUTPUT"],
        _ => &["NAME", "VERSION", "QUEUE", "REPEATABLE"],
    };
    columns.iter().map(|c| (*c).to_owned()).collect()
}

fn row(resource: &kinds::Resource) -> Vec<String> {
    let mut row = vec![resource.name.clone(), resource.version.to_string()];
    row.extend(match &resource.spec {
        kinds::Spec::ClientAccount(s) => {
            vec![s.tiers.join(","), s.places.join(","), or_dash(s.weight), or_dash(s.max_running)]
        }
        kinds::Spec::Tier(s) => vec![or_dash(s.level), or_dash(s.deadline_seconds)],
        kinds::Spec::Place(s) => vec![s.zones.join(",")],
        kinds::Spec::Endpoint(s) => vec![
            s.place.clone(),
            s.address.clone(),
            s.model.clone().or_else(|| s.service.clone()).unwrap_or_default(),
            s.slots.to_string(),
            s.leaving.to_string(),
        ],
        kinds::Spec::Model(s) => vec![or_dash(s.queue_bound), or_dash(s.output_tokens)],
        kinds::Spec::Service(s) => {
            let routes = s.repeatable.iter().map(|r| format!("{} {}", r.method, r.path_prefix));
            vec![or_dash(s.queue_bound), routes.collect::<Vec<_>>().join(",")]
        }
    });
    row
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

/// Shows instances and pools, or where one resource is in force.
pub(crate) async fn status(
    api: &api::Api,
    flags: &command::Status,
    output: Output,
) -> Result<(), failure::Failure> {
    let path = if flags.what.is_empty() {
        "/v1/status".to_owned()
    } else {
        let (kind, name) = apply::kind_and_name(&flags.what)?;
        format!("/v1/resources/{kind}/{name}/status")
    };
    let status: Value = api.call(Method::Get, &path, None).await?;
    if output == Output::Json {
        return print_json(&status);
    }
    let fields = ["instance", "zone", "revision", "answers", "leaving"];
    let mut rows: Vec<Vec<String>> = vec![fields.iter().map(|f| f.to_uppercase()).collect()];
    for instance in status["instances"].as_array().into_iter().flatten() {
        rows.push(fields.iter().map(|f| text(&instance[*f])).collect());
    }
    print_table(&rows);
    if let Some(in_force) = status.get("in_force") {
        println!("\nversion {} in force everywhere: {in_force}", status["version"]);
    }
    if let Some(pools) = status["pools"].as_object() {
        println!();
        let fields = ["endpoints", "slots", "scheduler", "waiting_here"];
        let mut rows = vec![vec!["POOL".to_owned()]];
        rows[0].extend(fields.iter().map(|f| f.to_uppercase()));
        for (name, pool) in pools {
            let mut row = vec![name.clone()];
            row.extend(fields.iter().map(|f| text(&pool[*f])));
            rows.push(row);
        }
        print_table(&rows);
    }
    Ok(())
}

/// Shows changes as lines of JSON as they come.
pub(crate) async fn watch(api: &api::Api, flags: &command::Watch) -> Result<(), failure::Failure> {
    let kind = flags.what.first().map(|k| apply::find_kind(k)).transpose()?;
    let mut answer = api.watch(kind).await?;
    if !answer.head.status().is_success() {
        return Err(failure::Failure::Other(format!(
            "the instance answered {}",
            answer.head.status()
        )));
    }
    let mut shown = 0;
    let mut line = Vec::new();
    let ended =
        |e: &dyn std::fmt::Display| failure::Failure::Unreachable(format!("the watch ended: {e}"));
    while let Some(piece) = answer.next().await.map_err(|e| ended(&e))? {
        for byte in piece {
            if byte != b'\n' {
                line.push(byte);
                continue;
            }
            let text = String::from_utf8_lossy(&std::mem::take(&mut line)).into_owned();
            if text.is_empty() {
                continue;
            }
            println!("{text}");
            shown += 1;
            if flags.count > 0 && shown >= flags.count {
                return Ok(());
            }
        }
    }
    Err(ended(&"the instance closed it"))
}
