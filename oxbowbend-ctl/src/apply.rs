//! Commands that change what is declared.

use std::collections::BTreeMap;
use std::io::Read;
use std::time::Duration;

use async_std::task;
use http_types::Method;
use oxbowbend_resource::file;
use oxbowbend_resource::kinds;
use oxbowbend_resource::manifest;
use oxbowbend_resource::set;
use rand::Rng;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::api;
use crate::command;
use crate::failure;
use crate::show;
use crate::wait;

/// Times that a change whose fate is not known is sent again.
const MAX_TRIES: u32 = 5;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Accepted {
    revision: u64,
}

fn read(path: &str) -> Result<String, failure::Failure> {
    let mut text = String::new();
    let read = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        path => std::fs::read_to_string(path).map(|t| text = t),
    };
    read.map_err(|e| failure::Failure::Usage(format!("cannot read {path:?}: {e}")))?;
    Ok(text)
}

/// Finds every mistake in a file.
pub(crate) async fn check(api: &api::Api, flags: &command::Check) -> Result<(), failure::Failure> {
    let text = read(&flags.file)?;
    let known = if flags.offline { set::ResourceSet::default() } else { api.everything().await? };
    let resources = file::parse(&text, &known).map_err(failure::Failure::Mistakes)?;
    println!("{} resources, no mistakes", resources.len());
    Ok(())
}

/// Declares the resources of a file. What another operator changed between this command's reading
/// and its change is not overwritten: the change is refused.
pub(crate) async fn apply(
    api: &api::Api,
    flags: &command::Apply,
    output: show::Output,
) -> Result<(), failure::Failure> {
    let text = read(&flags.file)?;
    let known = api.everything().await?;
    let resources = file::parse(&text, &known).map_err(failure::Failure::Mistakes)?;
    let mut verbs = BTreeMap::new();
    let mut operations = Vec::new();
    for resource in resources {
        let id = resource.id();
        let present = known.get(id.kind, &id.name);
        let verb = match present {
            None => "created",
            Some(present) if present.spec == resource.spec => "unchanged",
            Some(_) => "changed",
        };
        verbs.insert(id.to_string(), verb);
        if verb != "unchanged" {
            operations.push(put(resource, present));
        }
    }
    if !operations.is_empty() {
        let revision = send(api, operations).await?;
        if flags.wait {
            wait::revision(api, revision, flags.timeout).await?;
        }
    }
    match output {
        show::Output::Json => println!("{}", json!(verbs)),
        show::Output::Table => verbs.iter().for_each(|(id, verb)| println!("{id} {verb}")),
    }
    Ok(())
}

/// A version in the file is the one that the operator has seen, and is kept.
fn put(mut resource: kinds::Resource, present: Option<&kinds::Resource>) -> manifest::Operation {
    if resource.version == 0 {
        resource.version = present.map_or(0, |p| p.version);
    }
    manifest::Operation::Put(resource)
}

/// Sends a change, again under the same id while its fate is not known; returns its revision.
async fn send(
    api: &api::Api,
    operations: Vec<manifest::Operation>,
) -> Result<u64, failure::Failure> {
    let id = format!("c{:032x}", rand::rng().random::<u128>());
    let change = manifest::Change { id: id.clone(), operations };
    let body = serde_json::to_value(&change).map_err(|e| failure::Failure::Other(e.to_string()))?;
    let mut reason = String::new();
    for _ in 0..MAX_TRIES {
        match api.try_call::<Accepted>(Method::Post, "/v1/changes", Some(&body)).await {
            Ok(accepted) => return Ok(accepted.revision),
            Err(api::SendError::Call(e)) if e.is_unsent() => return Err(e.into()),
            Err(api::SendError::Call(e)) => reason = e.to_string(),
            Err(api::SendError::Failure(failure::Failure::Refused(p))) if p.status == 504 => {
                reason = p.detail
            }
            Err(api::SendError::Failure(failure::Failure::Refused(p))) if p.status == 409 => {
                return Err(failure::Failure::Conflict(p.detail));
            }
            Err(api::SendError::Failure(e)) => return Err(e),
        }
        task::sleep(PAUSE).await;
    }
    Err(failure::Failure::Unknown { change: id, reason })
}

pub(crate) fn kind_and_name(what: &[String]) -> Result<(kinds::Kind, String), failure::Failure> {
    let parts: Vec<&str> = what.iter().flat_map(|w| w.split('/')).collect();
    let [kind, name] = parts.as_slice() else {
        return Err(failure::Failure::Usage("name a kind and a resource".to_owned()));
    };
    Ok((find_kind(kind)?, (*name).to_owned()))
}

pub(crate) fn find_kind(name: &str) -> Result<kinds::Kind, failure::Failure> {
    let kinds: Vec<&str> = kinds::Kind::ALL.iter().map(|k| k.name()).collect();
    let unknown =
        || failure::Failure::Usage(format!("no kind {name:?}; there are {}", kinds.join(", ")));
    kinds::Kind::find(name).ok_or_else(unknown)
}

/// Deletes a resource at the version it is at.
pub(crate) async fn delete(
    api: &api::Api,
    flags: &command::Delete,
) -> Result<(), failure::Failure> {
    let (kind, name) = kind_and_name(&flags.what)?;
    let present = present(api, kind, &name).await?;
    let id = kinds::ResourceId { kind, name };
    send(api, vec![manifest::Operation::Delete { id: id.clone(), version: present.version }])
        .await?;
    println!("{id} deleted");
    Ok(())
}

async fn present(
    api: &api::Api,
    kind: kinds::Kind,
    name: &str,
) -> Result<kinds::Resource, failure::Failure> {
    let missing = || failure::Failure::Other(format!("{kind}/{name} is not declared"));
    api.get(kind, name).await?.ok_or_else(missing)
}

/// Takes an endpoint, or the instance spoken to, out of service.
pub(crate) async fn drain(api: &api::Api, flags: &command::Drain) -> Result<(), failure::Failure> {
    if flags.what == ["instance"] {
        let _: Value = api.call(Method::Post, "/v1/drain", None).await?;
        println!("the instance is stopping");
        return Ok(());
    }
    let (kind, name) = kind_and_name(&flags.what)?;
    let mut resource = present(api, kind, &name).await?;
    let kinds::Spec::Endpoint(endpoint) = &mut resource.spec else {
        return Err(failure::Failure::Usage(
            "only an endpoint or the instance can be drained".to_owned(),
        ));
    };
    endpoint.leaving = true;
    let revision = send(api, vec![manifest::Operation::Put(resource)]).await?;
    wait::revision(api, revision, None).await?;
    println!("Endpoint/{name} receives no new work");
    Ok(())
}
