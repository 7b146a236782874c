//! Applies a ticket to the stored configuration.
//!
//! One conditional update of the root accepts a ticket, regardless of how many objects the ticket changes, because the
//! root references immutable shards that are written beforehand. Rejected: one platform object per client account,
//! which takes one write per account and is never atomic.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::{NewState, Ticket, references};
use crate::configuration::{
    AcceptedTicket, Entries, Entry, LogPage, ObjectKind, RetiredShard, Root, Shard, ShardName,
    SlotId, StoredState, shard_name,
};
use crate::field_error::FieldError;
use crate::id::{Revision, TicketNumber};
use crate::store::MAX_VALUE_BYTES;

/// The maximum number of tickets on one page of the log.
pub(crate) const TICKETS_PER_PAGE: usize = 256;
/// The maximum number of pages in the log. When a page is dropped, the floor rises and rejects its ticket numbers.
pub(crate) const MAX_LOG_PAGES: usize = 32;
/// The time for which a retired shard is kept for readers of an older root.
pub(crate) const SHARD_GRACE_PERIOD: Duration = Duration::from_secs(600);
/// The maximum number of retired shards in a root, which keeps the root below the platform's limit for a value.
const MAX_RETIRED_SHARDS: usize = 4_096;
/// The maximum distance of a ticket number above the highest accepted one. It prevents a typing error from making all
/// numbers in between unusable.
const MAX_NUMBER_GAP: TicketNumber = 100_000_000;

/// The result of applying a ticket to a state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// The ticket is invalid for this state; nothing changes.
    Refused(Vec<FieldError>),
    /// This ticket was already accepted, as this revision.
    AlreadyAccepted(Revision),
    /// A different ticket with this number was already accepted, as this revision.
    Conflict(Revision),
    /// The ticket is valid; it is accepted once the root of this change is stored.
    Apply(Box<Change>),
}

/// The writes that make a ticket take effect: first the shards, then the root.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Change {
    /// The state after the change; its root version is not known yet.
    pub(crate) state: StoredState,
    /// The shards to write before the root.
    pub(crate) shards: Vec<(ShardName, Bytes)>,
    /// The serialized root.
    pub(crate) root: Bytes,
    /// The shards to remove once the root is stored.
    pub(crate) expired: Vec<ShardName>,
}

/// Applies `ticket` to `state`.
///
/// `log` contains the newest page and each page whose range includes the ticket number.
pub(crate) fn apply(
    state: &StoredState,
    log: &BTreeMap<ShardName, Vec<AcceptedTicket>>,
    ticket: &Ticket,
    unix_now: Duration,
) -> Decision {
    let digest = ticket.digest();
    let accepted = log
        .values()
        .flatten()
        .find(|accepted| accepted.ticket == ticket.ticket);
    if let Some(accepted) = accepted {
        return match accepted.digest == digest {
            true => Decision::AlreadyAccepted(accepted.revision),
            false => Decision::Conflict(accepted.revision),
        };
    }
    let mut faults = Vec::new();
    check_number(state, ticket, &mut faults);
    check_order(state, ticket, &mut faults);
    let mut change = ChangeBuilder::new(state, unix_now);
    change.put_objects(ticket);
    change.append_to_log(log, ticket.ticket, digest);
    let change = change.build(&mut faults);
    references::check(&change.state.configuration(), ticket, &mut faults);
    if !faults.is_empty() {
        return Decision::Refused(faults);
    }
    assert_monotonic(state, &change.state, ticket);
    Decision::Apply(Box::new(change))
}

/// Returns the validation errors of `ticket` against `state` that can be found without the log of accepted tickets.
#[must_use]
pub fn check_against(state: &StoredState, ticket: &Ticket) -> Vec<FieldError> {
    let mut faults = Vec::new();
    check_number(state, ticket, &mut faults);
    check_order(state, ticket, &mut faults);
    let mut change = ChangeBuilder::new(state, Duration::ZERO);
    change.put_objects(ticket);
    let change = change.build(&mut faults);
    references::check(&change.state.configuration(), ticket, &mut faults);
    faults
}

fn check_number(state: &StoredState, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    let root = &state.root;
    let mut add_fault = |reason| {
        let path = "ticket".to_owned();
        faults.push(FieldError { path, reason });
    };
    if ticket.ticket <= root.floor {
        add_fault(format!("numbers up to {} are closed", root.floor));
    }
    let highest = root.log.iter().map(|page| page.highest).max();
    let limit = highest.map(|highest| highest.saturating_add(MAX_NUMBER_GAP));
    if let Some(limit) = limit.filter(|limit| ticket.ticket > *limit) {
        add_fault(format!(
            "numbers above {limit} are too far from the highest accepted one"
        ));
    }
}

fn check_order(state: &StoredState, ticket: &Ticket, faults: &mut Vec<FieldError>) {
    for (kind, name) in ticket.changed_objects() {
        let Some(last) = state.ticket_of(kind, name) else {
            continue;
        };
        if last >= ticket.ticket {
            let path = format!("{}.{name}", kind.section());
            let reason =
                format!("ticket {last} wrote this object last; a lower number can't change it");
            faults.push(FieldError { path, reason });
        }
    }
}

/// Asserts that the change reverts no object, because aborting is safer than storing such a root.
///
/// # Panics
///
/// Panics if the revision does not increase by one or if an object was last written by this or a higher ticket.
fn assert_monotonic(before: &StoredState, after: &StoredState, ticket: &Ticket) {
    assert_eq!(
        after.revision(),
        before.revision() + 1,
        "a ticket must increase the revision by one"
    );
    for (kind, name) in ticket.changed_objects() {
        let last = before.ticket_of(kind, name).unwrap_or(0);
        assert!(
            last < ticket.ticket,
            "a ticket must not overwrite an object of the same or a higher ticket"
        );
        assert_eq!(
            after.ticket_of(kind, name),
            Some(ticket.ticket),
            "a ticket must write all of its objects"
        );
    }
}

/// Builds the [`Change`] for one ticket.
struct ChangeBuilder<'a> {
    before: &'a StoredState,
    root: Root,
    shards: BTreeMap<SlotId, Arc<Shard>>,
    new_shards: Vec<(ShardName, Bytes)>,
    unix_now_ms: u64,
}

impl<'a> ChangeBuilder<'a> {
    fn new(before: &'a StoredState, unix_now: Duration) -> Self {
        let mut root = Root::clone(&before.root);
        root.revision += 1;
        Self {
            before,
            root,
            shards: before.shards.clone(),
            new_shards: Vec::new(),
            unix_now_ms: u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Writes all objects of the ticket to their shards.
    fn put_objects(&mut self, ticket: &Ticket) {
        let mut changed = BTreeMap::new();
        let number = ticket.ticket;
        for (name, state) in &ticket.accounts {
            let shard = self.shard_mut(&mut changed, ObjectKind::Accounts, name);
            insert_entry(&mut shard.accounts, name, state, number);
        }
        for (name, state) in &ticket.services {
            let shard = self.shard_mut(&mut changed, ObjectKind::Services, name);
            insert_entry(&mut shard.services, name, state, number);
        }
        for (name, state) in &ticket.pools {
            let shard = self.shard_mut(&mut changed, ObjectKind::Pools, name);
            insert_entry(&mut shard.pools, name, state, number);
        }
        for (name, state) in &ticket.preferences {
            let shard = self.shard_mut(&mut changed, ObjectKind::Preferences, name);
            insert_entry(&mut shard.preferences, name, state, number);
        }
        for (slot, shard) in changed {
            self.replace_shard(slot, shard);
        }
    }

    /// Returns the shard of an object in `changed`, after copying it there from the previous state if necessary.
    fn shard_mut<'t>(
        &self,
        changed: &'t mut BTreeMap<SlotId, Shard>,
        kind: ObjectKind,
        name: &str,
    ) -> &'t mut Shard {
        let slot = kind.slot_of(name);
        changed.entry(slot).or_insert_with_key(|slot| {
            let before = self.before.shards.get(slot);
            before.map_or_else(Shard::default, |shard| Shard::clone(shard))
        })
    }

    /// Stores a changed shard and retires the previous one.
    fn replace_shard(&mut self, slot: SlotId, mut shard: Shard) {
        shard.drop_tombstones(self.root.floor);
        if shard == Shard::default() {
            // Empty shards of different slots would have the same name, so removing one would remove the other.
            self.shards.remove(&slot);
            let old = self.root.shards.remove(&slot);
            old.into_iter().for_each(|old| self.retire(old));
            return;
        }
        let bytes =
            serde_json::to_vec(&shard).expect("shard has only string keys and finite numbers");
        let name = self.stage_shard(bytes);
        if let Some(old) = self.root.shards.insert(slot.clone(), name) {
            self.retire(old);
        }
        self.shards.insert(slot, Arc::new(shard));
    }

    /// Appends the ticket to the newest page of the log, or to a new page if the newest one is full.
    fn append_to_log(
        &mut self,
        log: &BTreeMap<ShardName, Vec<AcceptedTicket>>,
        ticket: TicketNumber,
        digest: Arc<str>,
    ) {
        let revision = self.root.revision;
        let mut page = match self.root.log.pop_if(|page| page.tickets < TICKETS_PER_PAGE) {
            Some(newest) => {
                let page = log.get(&newest.shard).cloned();
                self.retire(newest.shard);
                page.expect("newest page of the log is loaded")
            }
            None => Vec::new(),
        };
        page.push(AcceptedTicket {
            ticket,
            digest,
            revision,
        });
        let bytes = serde_json::to_vec(&page).expect("page contains only strings and integers");
        let numbers = || page.iter().map(|accepted| accepted.ticket);
        let page = LogPage {
            shard: self.stage_shard(bytes),
            tickets: page.len(),
            lowest: numbers().min().unwrap_or(ticket),
            highest: numbers().max().unwrap_or(ticket),
        };
        self.root.log.push(page);
        if self.root.log.len() > MAX_LOG_PAGES {
            let oldest = self.root.log.remove(0);
            self.root.floor = self.root.floor.max(oldest.highest);
            self.retire(oldest.shard);
        }
    }

    /// Adds a shard to those to write and returns its name.
    fn stage_shard(&mut self, bytes: Vec<u8>) -> ShardName {
        let name = shard_name(self.root.revision, &bytes);
        self.new_shards.push((name.clone(), bytes.into()));
        name
    }

    fn retire(&mut self, shard: ShardName) {
        let retired_unix_ms = self.unix_now_ms;
        self.root.retired.push(RetiredShard {
            shard,
            retired_unix_ms,
        });
    }

    fn build(mut self, faults: &mut Vec<FieldError>) -> Change {
        let expired = self.remove_expired();
        let root = serde_json::to_vec(&self.root).expect("root contains only strings and integers");
        let sizes = self.new_shards.iter().map(|(_, bytes)| bytes.len());
        let largest = sizes.chain([root.len()]).max().unwrap_or(0);
        if largest > MAX_VALUE_BYTES {
            let path = ".".to_owned();
            let reason = format!(
                "a part of the configuration would take {largest} bytes, above {MAX_VALUE_BYTES}"
            );
            faults.push(FieldError { path, reason });
        }
        let in_use: BTreeSet<_> = self.root.shards.values().collect();
        assert!(
            expired.iter().all(|shard| !in_use.contains(shard)),
            "a shard that is in use must not be removed"
        );
        Change {
            state: StoredState {
                root_version: None,
                root: Arc::new(self.root),
                shards: self.shards,
            },
            shards: self.new_shards,
            root: root.into(),
            expired,
        }
    }

    /// Removes the expired entries from the list of retired shards, and the oldest ones beyond the limit. Returns the
    /// names of their shards.
    fn remove_expired(&mut self) -> Vec<ShardName> {
        let grace_ms = SHARD_GRACE_PERIOD.as_millis() as u64;
        let now = self.unix_now_ms;
        let surplus = self.root.retired.len().saturating_sub(MAX_RETIRED_SHARDS);
        let mut expired: Vec<_> = self
            .root
            .retired
            .drain(..surplus)
            .map(|old| old.shard)
            .collect();
        self.root.retired.retain(|old| {
            let is_expired = old.retired_unix_ms.saturating_add(grace_ms) <= now;
            if is_expired {
                expired.push(old.shard.clone());
            }
            !is_expired
        });
        expired
    }
}

fn insert_entry<T>(
    entries: &mut Entries<T>,
    name: &Arc<str>,
    state: &NewState<T>,
    ticket: TicketNumber,
) {
    let state = state.clone();
    entries.insert(name.clone(), Entry { ticket, state });
}
