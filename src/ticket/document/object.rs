//! Deserializes one object of a ticket and collects all of its errors.
//!
//! A deserializer stops at its first error. Therefore the invalid field is removed, or a missing field is added with a
//! placeholder, and deserialization is repeated until it reports no new error.

use std::collections::HashSet;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use serde_path_to_error::{Path, Segment};

use crate::field_error::{FieldError, FieldErrors};

/// The maximum number of deserialization attempts for one object, which also limits how many errors are reported.
const MAX_ATTEMPTS: usize = 100;

/// Deserializes and validates `value`, the object at `path`. Returns `None` if a field is missing or can't be
/// deserialized; values out of range are only reported.
pub(super) fn parse<T: DeserializeOwned>(
    mut value: Value,
    path: &str,
    faults: &mut Vec<FieldError>,
    check: impl Fn(&T, &mut FieldErrors<'_>),
) -> Option<T> {
    let mut faulty_fields = HashSet::new();
    for _ in 0..MAX_ATTEMPTS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(object) => {
                check_ranges(&object, path, &faulty_fields, faults, check);
                let is_valid = faulty_fields.is_empty();
                return is_valid.then_some(object);
            }
            Err(error) => error,
        };
        let reason = error.inner().to_string();
        let missing = missing_field(&reason);
        let field = field_path(path, error.path(), missing);
        let is_new = faulty_fields.insert(field.clone());
        if is_new {
            let path = field;
            faults.push(FieldError {
                path,
                reason: reason.clone(),
            });
        }
        let can_retry = match missing {
            Some(name) => insert_placeholder(&mut value, error.path(), name),
            None => is_new && remove_field(&mut value, error.path()),
        };
        if !can_retry {
            return None;
        }
    }
    None
}

fn check_ranges<T>(
    object: &T,
    path: &str,
    faulty_fields: &HashSet<String>,
    faults: &mut Vec<FieldError>,
    check: impl Fn(&T, &mut FieldErrors<'_>),
) {
    let mut violations = Vec::new();
    check(object, &mut FieldErrors::under(path, &mut violations));
    // Placeholder values are not part of the ticket, so their violations are ignored.
    violations.retain(|fault| !faulty_fields.contains(&fault.path));
    faults.extend(violations);
}

/// Returns the name of the missing field if `reason` is the error message of serde for one.
fn missing_field(reason: &str) -> Option<&str> {
    reason.strip_prefix("missing field `")?.strip_suffix('`')
}

fn field_path(path: &str, inner: &Path, missing: Option<&str>) -> String {
    let mut field = path.to_owned();
    for segment in inner {
        match segment {
            Segment::Seq { index } => field.push_str(&format!("[{index}]")),
            Segment::Map { key } => field.push_str(&format!(".{key}")),
            Segment::Enum { variant } => field.push_str(&format!(".{variant}")),
            Segment::Unknown => {}
        }
    }
    if let Some(name) = missing {
        field.push_str(&format!(".{name}"));
    }
    field
}

/// Removes the field at `path` from `value` and returns whether this succeeded.
///
/// An array element is replaced by an empty value of another type, so that the indices of the others stay the same.
fn remove_field(value: &mut Value, path: &Path) -> bool {
    let segments: Vec<_> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let Some(parent) = get_mut_at(value, parents) else {
        return false;
    };
    match (last, parent) {
        (Segment::Map { key }, Value::Object(fields)) => fields.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(items)) => match items.get_mut(*index) {
            Some(item) => {
                *item = if item.is_string() {
                    json!({})
                } else {
                    json!("")
                };
                true
            }
            None => false,
        },
        _ => false,
    }
}

/// Inserts a placeholder of the right type for the missing field `name` into the object at `path`, and returns whether
/// this succeeded.
fn insert_placeholder(value: &mut Value, path: &Path, name: &str) -> bool {
    let placeholder = match name {
        "key_sha256" | "services" | "replicas" => json!([]),
        "kind" => json!("model"),
        "address" => json!("127.0.0.1:1"),
        "import_tokens_per_second" | "total_tokens_per_second" => json!(1.0),
        _ => json!("x"),
    };
    let segments: Vec<_> = path.iter().collect();
    match get_mut_at(value, &segments) {
        Some(Value::Object(fields)) => fields.insert(name.to_owned(), placeholder).is_none(),
        _ => false,
    }
}

/// Returns the value at the end of the path `segments`.
fn get_mut_at<'a>(value: &'a mut Value, segments: &[&Segment]) -> Option<&'a mut Value> {
    segments
        .iter()
        .try_fold(value, |parent, segment| match segment {
            Segment::Map { key } => parent.get_mut(key),
            Segment::Seq { index } => parent.get_mut(*index),
            _ => None,
        })
}
