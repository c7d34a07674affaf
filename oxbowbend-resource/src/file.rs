//! Files of resources: YAML documents, or JSON, which is YAML too.
//!
//! Each document holds `kind`, `name` and `spec`, and may hold the `version` it was made from.
//! Reading goes on after a mistake, so that one run finds all of them.

use serde_yaml_ng::{Deserializer, Mapping, Value};

use serde::Deserialize;

use crate::check::{check, Mistake};
use crate::kinds;
use crate::set;

/// Mistakes in one document after which reading it is given up.
const MAX_MISTAKES: usize = 50;

/// Reads a file's text. `known` holds resources declared elsewhere that these may refer to.
///
/// # Errors
///
/// Returns every mistake found, with its place.
///
/// ```
/// use oxbowbend_resource::{file, set};
/// let known = set::ResourceSet::default();
/// let text = "kind: Place\nname: north\nspec:\n  zones: [z1]\n";
/// assert_eq!(file::parse(text, &known).unwrap().len(), 1);
/// let wrong = "kind: Tier\nname: T\nspec:\n  level: high\n  colour: red\n";
/// assert_eq!(file::parse(wrong, &known).unwrap_err().len(), 4);
/// ```
pub fn parse(text: &str, known: &set::ResourceSet) -> Result<Vec<kinds::Resource>, Vec<Mistake>> {
    let mut mistakes = Vec::new();
    let mut resources = Vec::new();
    let mut set = known.clone();
    let mut named = std::collections::BTreeSet::new();
    for (at, document) in Deserializer::from_str(text).enumerate() {
        let place = format!("document {}", at + 1);
        let value = match Value::deserialize(document) {
            Ok(Value::Null) => continue,
            Ok(value) => value,
            Err(e) => {
                // The reader cannot find the next document after broken syntax.
                mistakes.push(Mistake { place, reason: e.to_string() });
                break;
            }
        };
        let Some(resource) = read(value, &place, &mut mistakes) else { continue };
        if !named.insert(resource.id()) {
            let reason = format!("{} is declared twice", resource.id());
            mistakes.push(Mistake { place, reason });
        }
        set.insert(resource.clone());
        resources.push(resource);
    }
    let mine = |m: &Mistake| resources.iter().any(|r| starts_with_id(&m.place, r));
    mistakes.extend(check(&set).into_iter().filter(mine));
    if resources.is_empty() && mistakes.is_empty() {
        let reason = "holds no resource".to_owned();
        mistakes.push(Mistake { place: "file".to_owned(), reason });
    }
    if mistakes.is_empty() {
        Ok(resources)
    } else {
        Err(mistakes)
    }
}

fn starts_with_id(place: &str, resource: &kinds::Resource) -> bool {
    place.split(' ').next() == Some(&resource.id().to_string())
}

/// Reads one document. A field that cannot be read is noted and taken out, and the rest read
/// again, until nothing is wrong.
fn read(mut value: Value, place: &str, mistakes: &mut Vec<Mistake>) -> Option<kinds::Resource> {
    let mut note = |field: &str, reason: String| {
        mistakes.push(Mistake { place: format!("{place} {field}").trim().to_owned(), reason });
    };
    let Some(fields) = value.as_mapping_mut() else {
        note("", "is not a mapping with kind, name and spec".to_owned());
        return None;
    };
    note_unknown_fields(fields, &mut note);
    let kind = fields.get("kind").and_then(Value::as_str).unwrap_or_default();
    if !kinds::Kind::ALL.iter().any(|k| k.name() == kind) {
        let kinds: Vec<&str> = kinds::Kind::ALL.iter().map(|k| k.name()).collect();
        note("kind", format!("must be one of {}", kinds.join(", ")));
        return None;
    }
    fields.entry("spec".into()).or_insert_with(|| Value::Mapping(Mapping::new()));
    for _ in 0..MAX_MISTAKES {
        match serde_path_to_error::deserialize::<_, kinds::Resource>(value.clone()) {
            Ok(resource) => return Some(resource),
            Err(e) => {
                let reason = e.inner().to_string();
                let path = locate(&value, &e.path().to_string(), &reason);
                note(&path, reason);
                if !remove(&mut value, &path) {
                    return None;
                }
            }
        }
    }
    None
}

fn note_unknown_fields(fields: &mut Mapping, note: &mut impl FnMut(&str, String)) {
    let known = |k: &Value| matches!(k.as_str(), Some("kind" | "name" | "spec" | "version"));
    let unknown: Vec<Value> = fields.keys().filter(|k| !known(k)).cloned().collect();
    for key in unknown {
        fields.remove(&key);
        note(key.as_str().unwrap_or("a key"), "is not a field of a resource".to_owned());
    }
}

/// Flattened parts lose their path, so the field of `spec` at fault is found by trying each alone.
fn locate(value: &Value, path: &str, reason: &str) -> String {
    if path != "." {
        return path.to_owned();
    }
    let Some(spec) = value.get("spec").and_then(Value::as_mapping) else {
        return "spec".to_owned();
    };
    for (key, field) in spec {
        let mut alone = value.clone();
        let single: Mapping = [(key.clone(), field.clone())].into_iter().collect();
        alone["spec"] = Value::Mapping(single);
        let error = kinds::Resource::deserialize(alone).err();
        if error.is_some_and(|e| e.to_string() == reason) {
            return format!("spec.{}", key.as_str().unwrap_or("?"));
        }
    }
    String::new()
}

fn remove(value: &mut Value, path: &str) -> bool {
    let field = path.split(['[', '.']).nth(1).filter(|_| path.starts_with("spec."));
    match field {
        Some(field) => {
            let spec = value.get_mut("spec").and_then(Value::as_mapping_mut);
            spec.is_some_and(|s| s.remove(field).is_some())
        }
        None => false,
    }
}
