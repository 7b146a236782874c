//! Parses the JSON document of a ticket and validates it as far as possible without the configuration.
//!
//! All errors are reported at once, so that an operator can fix a ticket in one pass.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{NewState, Ticket};
use crate::account::Account;
use crate::configuration::ObjectKind;
use crate::field_error::{FieldError, FieldErrors, NAME_RULE, is_name};
use crate::id::TicketNumber;
use crate::pool::Pool;
use crate::preference::Preference;
use crate::service::Service;

mod object;
mod unique_keys;

/// The highest ticket number. Above 2^53 - 1, JSON implementations that use doubles lose precision.
const MAX_TICKET_NUMBER: TicketNumber = (1 << 53) - 1;

/// The sections of a ticket, in the order of [`Ticket`]'s fields.
const SECTIONS: [&str; 4] = ["accounts", "services", "pools", "preferences"];

/// Parses and validates a ticket on its own; references to other objects are checked on submission.
///
/// # Errors
///
/// Returns all validation errors, each with the path of its field.
pub fn check(document: &[u8]) -> Result<Ticket, Vec<FieldError>> {
    let value = unique_keys::from_slice(document).map_err(|error| vec![syntax_error(&error)])?;
    let Value::Object(mut root) = value else {
        let reason = "a ticket is a JSON object".to_owned();
        let path = ".".to_owned();
        return Err(vec![FieldError { path, reason }]);
    };
    let mut faults = Vec::new();
    let ticket = Ticket {
        ticket: parse_number(&mut root, &mut faults),
        accounts: parse_section(&mut root, &mut faults, ObjectKind::Accounts, Account::check),
        services: parse_section(&mut root, &mut faults, ObjectKind::Services, Service::check),
        pools: parse_section(&mut root, &mut faults, ObjectKind::Pools, Pool::check),
        preferences: parse_section(
            &mut root,
            &mut faults,
            ObjectKind::Preferences,
            Preference::check,
        ),
    };
    for field in root.keys() {
        let reason = format!(
            "unknown field, expected ticket or one of {}",
            SECTIONS.join(", ")
        );
        faults.push(FieldError {
            path: field.clone(),
            reason,
        });
    }
    if faults.is_empty() && ticket.changed_objects().next().is_none() {
        let reason = "the ticket touches nothing".to_owned();
        faults.push(FieldError {
            path: ".".to_owned(),
            reason,
        });
    }
    if faults.is_empty() {
        Ok(ticket)
    } else {
        Err(faults)
    }
}

fn syntax_error(error: &serde_json::Error) -> FieldError {
    let path = format!("line {} column {}", error.line(), error.column());
    let reason = error.to_string();
    FieldError { path, reason }
}

fn parse_number(root: &mut Map<String, Value>, faults: &mut Vec<FieldError>) -> TicketNumber {
    let number = root.remove("ticket");
    match number.as_ref().and_then(Value::as_u64) {
        Some(number) if (1..=MAX_TICKET_NUMBER).contains(&number) => return number,
        _ => {}
    }
    let value = number.unwrap_or_default();
    let reason = format!("{value} is no whole number between 1 and {MAX_TICKET_NUMBER}");
    faults.push(FieldError {
        path: "ticket".to_owned(),
        reason,
    });
    0
}

fn parse_section<T: DeserializeOwned>(
    root: &mut Map<String, Value>,
    faults: &mut Vec<FieldError>,
    kind: ObjectKind,
    check: impl Fn(&T, &mut FieldErrors<'_>),
) -> BTreeMap<Arc<str>, NewState<T>> {
    let section = kind.section();
    let mut objects = BTreeMap::new();
    let objects_by_name = match root.remove(section) {
        None => return objects,
        Some(Value::Object(objects_by_name)) => objects_by_name,
        Some(_) => {
            let reason = "a section is an object of named states".to_owned();
            let path = section.to_owned();
            faults.push(FieldError { path, reason });
            return objects;
        }
    };
    for (name, value) in objects_by_name {
        let path = format!("{section}.{name}");
        FieldErrors::under(&path, faults).require(is_name(&name), "", NAME_RULE);
        let state = match value {
            Value::Null => None,
            value => object::parse(value, &path, faults, &check).map(Arc::new),
        };
        objects.insert(name.into(), state);
    }
    objects
}
