//! An aggregation tree that sums the usage of heavy accounts over all routers.
//!
//! Routers are ordered by hash and form a tree. Each router reports the usage of its subtree to its parent and receives
//! the fleet's totals from it, so it exchanges messages of bounded size with at most six others, whatever the size of
//! the fleet. Significant changes are sent at once, the rest every few seconds. A failed parent drops out of the
//! membership, which rebuilds the tree without it.
//!
//! Rejected: sending every router's usage to all others, which takes about 40 KB/s at 400 routers, and averaging by
//! gossip, where each lost message loses or doubles usage.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::limit::LimitKind;
use crate::id::RouterId;
use crate::membership::Ring;

/// The usage value that stands for a whole limit: usage is counted in parts per million.
pub(crate) const PPM_SCALE: u32 = 1_000_000;
/// The number of children of a router in the tree.
const FANOUT: usize = 5;
/// The maximum number of accounts in one message.
const MAX_MESSAGE_ENTRIES: usize = 32;
/// The interval at which usage without significant changes is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The minimum interval between two messages to the same router.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a child's report or the parent's totals are valid after they were received.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// The relative change of a value, in percent, above which it is sent at once.
const SIGNIFICANT_CHANGE_PERCENT: u64 = 20;
/// The usage of a limit that the threshold for significant changes is derived from: changes of values below a sixteenth
/// of it wait for [`REPEAT_INTERVAL`].
const SIGNIFICANT_USAGE_PPM: u32 = PPM_SCALE / 4;

/// The usage of one account, in parts per million of its limits.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct UsageEntry {
    /// The hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The demand for requests per second, in parts per million of the limit.
    #[prost(uint32, tag = "2")]
    pub requests_ppm: u32,
    /// The demand for tokens per second, in parts per million of the limit.
    #[prost(uint32, tag = "3")]
    pub tokens_ppm: u32,
    /// The demand for concurrent requests, in parts per million of the limit.
    #[prost(uint32, tag = "4")]
    pub concurrency_ppm: u32,
}

impl UsageEntry {
    /// Returns the demand for one limit, in parts per million.
    #[must_use]
    pub const fn ppm(&self, kind: LimitKind) -> u32 {
        match kind {
            LimitKind::Requests => self.requests_ppm,
            LimitKind::Tokens => self.tokens_ppm,
            LimitKind::Concurrency => self.concurrency_ppm,
        }
    }

    /// Returns the highest demand for any of the limits, in parts per million.
    pub(crate) fn max_ppm(&self) -> u32 {
        self.requests_ppm
            .max(self.tokens_ppm)
            .max(self.concurrency_ppm)
    }

    fn add(&mut self, other: &Self) {
        self.requests_ppm = self.requests_ppm.saturating_add(other.requests_ppm);
        self.tokens_ppm = self.tokens_ppm.saturating_add(other.tokens_ppm);
        self.concurrency_ppm = self.concurrency_ppm.saturating_add(other.concurrency_ppm);
    }

    /// Returns whether the change from `previous` should be sent at once.
    fn differs_significantly(&self, previous: &Self) -> bool {
        let significant = |now: u32, previous: u32| {
            let change = u64::from(now.abs_diff(previous)) * 100;
            now.max(previous) >= SIGNIFICANT_USAGE_PPM / 16
                && change > u64::from(previous) * SIGNIFICANT_CHANGE_PERCENT
        };
        significant(self.requests_ppm, previous.requests_ppm)
            || significant(self.tokens_ppm, previous.tokens_ppm)
            || significant(self.concurrency_ppm, previous.concurrency_ppm)
    }
}

/// A message between a router and its parent in the tree.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Usage {
    /// Whether this is the fleet's usage, sent to a child; otherwise it is a subtree's usage, sent to the parent.
    #[prost(bool, tag = "1")]
    pub total: bool,
    /// The usage per account.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<UsageEntry>,
}

/// Usage by the hash of the account's name.
type UsageByAccount = BTreeMap<u64, UsageEntry>;

/// The state of one router in the aggregation tree.
#[derive(Debug, Default)]
pub struct UsageTree {
    children: BTreeMap<RouterId, ChildReport>,
    totals: UsageByAccount,
    totals_at: Duration,
    parent: Option<RouterId>,
    sent_to_parent: SentUsage,
    sent_to_children: BTreeMap<RouterId, SentUsage>,
}

/// The last usage that a child reported for its subtree.
#[derive(Debug)]
struct ChildReport {
    entries: UsageByAccount,
    received_at: Duration,
}

/// The last usage that was sent to one router.
#[derive(Debug, Default)]
struct SentUsage {
    entries: UsageByAccount,
    sent_at: Option<Duration>,
}

impl SentUsage {
    /// Returns whether `entries` are due to be sent at `now`, and records them as sent if so.
    fn mark_sent_if_due(&mut self, entries: &UsageByAccount, now: Duration) -> bool {
        let age = self
            .sent_at
            .map_or(Duration::MAX, |sent_at| now.saturating_sub(sent_at));
        let changed = || {
            let added_or_changed = entries.iter().any(|(account, entry)| {
                self.entries
                    .get(account)
                    .is_none_or(|previous| entry.differs_significantly(previous))
            });
            added_or_changed
                || self
                    .entries
                    .keys()
                    .any(|account| !entries.contains_key(account))
        };
        let has_content = !entries.is_empty() || !self.entries.is_empty();
        let due = has_content && (age >= REPEAT_INTERVAL || age >= MIN_INTERVAL && changed());
        if due {
            self.entries.clone_from(entries);
            self.sent_at = Some(now);
        }
        due
    }
}

impl UsageTree {
    /// Processes a message from another router.
    ///
    /// Totals are accepted from the current parent only.
    pub fn receive(&mut self, from: &RouterId, usage: &Usage, now: Duration) {
        let entries: UsageByAccount = usage
            .entries
            .iter()
            .take(MAX_MESSAGE_ENTRIES)
            .map(|entry| (entry.account, *entry))
            .collect();
        if !usage.total {
            let report = ChildReport {
                entries,
                received_at: now,
            };
            self.children.insert(from.clone(), report);
        } else if self.parent.as_ref() == Some(from) {
            self.totals = entries;
            self.totals_at = now;
        }
    }

    /// Updates the tree from the membership and this router's own usage, and returns the messages to send.
    pub fn tick(
        &mut self,
        own: &RouterId,
        ring: &Ring,
        usage: &[UsageEntry],
        now: Duration,
    ) -> Vec<(RouterId, Usage)> {
        let Some(position) = ring.position(own) else {
            return Vec::new();
        };
        self.parent = position
            .checked_sub(1)
            .and_then(|predecessor| ring.get(predecessor / FANOUT))
            .cloned();
        let first = position * FANOUT + 1;
        let children: Vec<RouterId> = (first..first + FANOUT)
            .filter_map(|child| ring.get(child).cloned())
            .collect();
        self.children.retain(|child, report| {
            children.contains(child) && now.saturating_sub(report.received_at) < REPORT_TTL
        });
        self.sent_to_children
            .retain(|child, _| children.contains(child));
        let subtree = self.sum(usage);
        let mut messages = Vec::new();
        if let Some(parent) = &self.parent {
            if now.saturating_sub(self.totals_at) >= REPORT_TTL {
                self.totals.clear();
            }
            if self.sent_to_parent.mark_sent_if_due(&subtree, now) {
                messages.push((parent.clone(), message(false, subtree)));
            }
        } else {
            self.totals = subtree;
            self.totals_at = now;
        }
        for child in children {
            messages.extend(self.message_to_child(child, now));
        }
        messages
    }

    /// Returns the fleet's usage as last received, or nothing if it has expired.
    #[must_use]
    pub fn totals(&self) -> Vec<UsageEntry> {
        self.totals.values().copied().collect()
    }

    /// Returns when [`UsageTree::totals`] was received.
    #[must_use]
    pub const fn totals_at(&self) -> Duration {
        self.totals_at
    }

    /// Returns the message that is due to a child: the totals of the accounts that its subtree reported, and of those
    /// that have reached a limit.
    fn message_to_child(&mut self, child: RouterId, now: Duration) -> Option<(RouterId, Usage)> {
        let empty = UsageByAccount::new();
        let reported = self
            .children
            .get(&child)
            .map_or(&empty, |report| &report.entries);
        let relevant: UsageByAccount = self
            .totals
            .iter()
            .filter(|(account, total)| {
                reported.contains_key(account) || total.max_ppm() >= PPM_SCALE
            })
            .map(|(account, entry)| (*account, *entry))
            .collect();
        let sent = self.sent_to_children.entry(child.clone()).or_default();
        sent.mark_sent_if_due(&relevant, now)
            .then(|| (child, message(true, relevant)))
    }

    /// Returns the sum of this router's and its children's usage, for the accounts nearest to their limits.
    fn sum(&self, own: &[UsageEntry]) -> UsageByAccount {
        let mut sum: UsageByAccount = BTreeMap::new();
        let reported = self
            .children
            .values()
            .flat_map(|report| report.entries.values());
        for entry in own.iter().chain(reported) {
            sum.entry(entry.account)
                .and_modify(|total| total.add(entry))
                .or_insert(*entry);
        }
        let mut ranked: Vec<UsageEntry> = sum.into_values().collect();
        ranked.sort_by_key(|entry| (std::cmp::Reverse(entry.max_ppm()), entry.account));
        ranked.truncate(MAX_MESSAGE_ENTRIES);
        ranked
            .into_iter()
            .map(|entry| (entry.account, entry))
            .collect()
    }
}

/// Creates a message with the fleet's usage if `total`, else with a subtree's usage.
fn message(total: bool, entries: UsageByAccount) -> Usage {
    Usage {
        total,
        entries: entries.into_values().collect(),
    }
}
