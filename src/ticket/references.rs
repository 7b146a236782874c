//! Checks the references between the objects of a configuration.

use std::collections::HashMap;

use super::Ticket;
use crate::configuration::Configuration;
use crate::field_error::FieldError;

/// Adds an error for each dangling reference and each duplicate key in `after`, the configuration that `ticket` would
/// create.
pub(super) fn check(after: &Configuration, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    check_accounts(after, ticket, faults);
    check_services(after, ticket, faults);
    check_keys(after, ticket, faults);
}

fn check_accounts(after: &Configuration, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    for (name, account) in &after.accounts {
        let is_missing = |service: &&_| !after.services.contains_key(*service);
        for service in account.services.iter().filter(is_missing) {
            let path = if ticket.accounts.contains_key(name) {
                format!("accounts.{name}.services")
            } else {
                format!("services.{service}")
            };
            let reason = format!("account {name} may call service {service}, which does not exist");
            faults.push(FieldError { path, reason });
        }
    }
}

fn check_services(after: &Configuration, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    for (name, service) in &after.services {
        let is_changed = ticket.services.contains_key(name);
        if !after.pools.contains_key(&service.pool) {
            let path = match is_changed {
                true => format!("services.{name}.pool"),
                false => format!("pools.{}", service.pool),
            };
            let reason = format!(
                "service {name} uses pool {}, which does not exist",
                service.pool
            );
            faults.push(FieldError { path, reason });
        }
        let Some(preference) = &service.preference else {
            continue;
        };
        if !after.preferences.contains_key(preference) {
            let path = match is_changed {
                true => format!("services.{name}.preference"),
                false => format!("preferences.{preference}"),
            };
            let reason =
                format!("service {name} uses preference {preference}, which does not exist");
            faults.push(FieldError { path, reason });
        }
    }
}

/// Checks that no two accounts have the same key, because either could then send requests as the other.
fn check_keys(after: &Configuration, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    let mut accounts_by_digest = HashMap::with_capacity(after.accounts.len());
    for (name, account) in &after.accounts {
        for digest in &account.key_sha256 {
            let Some(other) = accounts_by_digest.insert(digest, name) else {
                continue;
            };
            let changed = if ticket.accounts.contains_key(name) {
                name
            } else {
                other
            };
            let path = format!("accounts.{changed}.key_sha256");
            let reason = match other == name {
                true => "a digest stands twice".to_owned(),
                false => format!("accounts {other} and {name} hold the same key"),
            };
            faults.push(FieldError { path, reason });
        }
    }
}
