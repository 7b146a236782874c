//! The sum of all routers' usage of heavy accounts, over a tree of heartbeats.
//!
//! Routers stand in the order of their hashes; each reports to one parent what its subtree uses and hears from it what
//! the fleet uses. A router so exchanges bounded messages with at most six others, whatever the size of the fleet. What
//! changes much is passed on at once, the rest every few seconds. A parent that is gone leaves the members, and the tree
//! closes by itself.
//!
//! Rejected: every router's usage to all others, which takes some 40 KB/s at 400 routers, and averaging by gossip,
//! which loses or doubles usage with each lost message.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::limit::LimitKind;
use crate::id::RouterId;
use crate::membership::Ring;

/// The parts of a limit in which usage is counted.
pub(crate) const MILLION: u32 = 1_000_000;
/// The routers that report to one.
const CHILDREN: usize = 5;
/// The most accounts in one message.
const MAX_ENTRIES: usize = 32;
/// How often usage is told where little changes.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How soon after a message the next one may follow.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a child's report holds.
const REPORT_LIFE: Duration = Duration::from_secs(6);
/// The change of a value, in percent, that is told at once.
const URGENT_PERCENT: u64 = 20;
/// The fleet's usage of a limit below which no change is urgent.
const URGENT_FROM_PPM: u32 = MILLION / 4;

/// One account's usage as parts of a million of its limits.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct UsageEntry {
    /// The hash of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// The demanded part of the requests per second.
    #[prost(uint32, tag = "2")]
    pub requests_ppm: u32,
    /// The demanded part of the tokens per second.
    #[prost(uint32, tag = "3")]
    pub tokens_ppm: u32,
    /// The demanded part of the concurrent requests.
    #[prost(uint32, tag = "4")]
    pub concurrency_ppm: u32,
}

impl UsageEntry {
    /// Returns the part of one limit.
    #[must_use]
    pub const fn parts(&self, kind: LimitKind) -> u32 {
        match kind {
            LimitKind::Requests => self.requests_ppm,
            LimitKind::Tokens => self.tokens_ppm,
            LimitKind::Concurrency => self.concurrency_ppm,
        }
    }

    pub(crate) fn largest(&self) -> u32 {
        self.requests_ppm
            .max(self.tokens_ppm)
            .max(self.concurrency_ppm)
    }

    fn add(&mut self, other: &Self) {
        self.requests_ppm = self.requests_ppm.saturating_add(other.requests_ppm);
        self.tokens_ppm = self.tokens_ppm.saturating_add(other.tokens_ppm);
        self.concurrency_ppm = self.concurrency_ppm.saturating_add(other.concurrency_ppm);
    }

    /// Tells whether the step from `before` should be told at once.
    fn differs_much(&self, before: &Self) -> bool {
        let much = |now: u32, before: u32| {
            let change = u64::from(now.abs_diff(before)) * 100;
            now.max(before) >= URGENT_FROM_PPM / 16 && change > u64::from(before) * URGENT_PERCENT
        };
        much(self.requests_ppm, before.requests_ppm)
            || much(self.tokens_ppm, before.tokens_ppm)
            || much(self.concurrency_ppm, before.concurrency_ppm)
    }
}

/// What goes between a router and its parent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Usage {
    /// Whether this is the fleet's usage on its way down, and not a subtree's on its way up.
    #[prost(bool, tag = "1")]
    pub total: bool,
    /// The usage per account.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<UsageEntry>,
}

type Entries = BTreeMap<u64, UsageEntry>;

/// One router's place in the tree.
#[derive(Debug, Default)]
pub struct UsageTree {
    children: BTreeMap<RouterId, Report>,
    totals: Entries,
    totals_at: Duration,
    parent: Option<RouterId>,
    told_up: Told,
    told_down: BTreeMap<RouterId, Told>,
}

#[derive(Debug)]
struct Report {
    entries: Entries,
    at: Duration,
}

#[derive(Debug, Default)]
struct Told {
    entries: Entries,
    at: Option<Duration>,
}

impl Told {
    /// Tells whether `entries` should be told now, and notes them if so.
    fn is_due(&mut self, entries: &Entries, now: Duration) -> bool {
        let age = self.at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        let news = || {
            let appeared = entries.iter().any(|(account, entry)| {
                self.entries
                    .get(account)
                    .is_none_or(|before| entry.differs_much(before))
            });
            appeared
                || self
                    .entries
                    .keys()
                    .any(|account| !entries.contains_key(account))
        };
        let something = !entries.is_empty() || !self.entries.is_empty();
        let due = something && (age >= REPEAT_INTERVAL || age >= MIN_INTERVAL && news());
        if due {
            self.entries.clone_from(entries);
            self.at = Some(now);
        }
        due
    }
}

impl UsageTree {
    /// Takes a message of another router.
    pub fn receive(&mut self, from: &RouterId, usage: &Usage, now: Duration) {
        let entries: Entries = usage
            .entries
            .iter()
            .take(MAX_ENTRIES)
            .map(|entry| (entry.account, *entry))
            .collect();
        if !usage.total {
            let report = Report { entries, at: now };
            self.children.insert(from.clone(), report);
        } else if self.parent.as_ref() == Some(from) {
            self.totals = entries;
            self.totals_at = now;
        }
    }

    /// Takes this router's own usage and returns what to send to whom.
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
            .and_then(|before| ring.get(before / CHILDREN))
            .cloned();
        let first = position * CHILDREN + 1;
        let children: Vec<RouterId> = (first..first + CHILDREN)
            .filter_map(|child| ring.get(child).cloned())
            .collect();
        self.children.retain(|child, report| {
            children.contains(child) && now.saturating_sub(report.at) < REPORT_LIFE
        });
        self.told_down.retain(|child, _| children.contains(child));
        let subtree = self.sum(usage);
        let mut messages = Vec::new();
        if let Some(parent) = &self.parent {
            if now.saturating_sub(self.totals_at) >= REPORT_LIFE {
                self.totals.clear();
            }
            if self.told_up.is_due(&subtree, now) {
                messages.push((parent.clone(), message(false, subtree)));
            }
        } else {
            self.totals = subtree;
            self.totals_at = now;
        }
        for child in children {
            messages.extend(self.tell_child(child, now));
        }
        messages
    }

    /// Returns the fleet's usage as last heard; empty where nothing was heard lately.
    #[must_use]
    pub fn totals(&self) -> Vec<UsageEntry> {
        self.totals.values().copied().collect()
    }

    /// Returns when [`UsageTree::totals`] was heard.
    #[must_use]
    pub const fn totals_at(&self) -> Duration {
        self.totals_at
    }

    /// Tells a child the totals of what its subtree reported, and of the accounts that reached a limit.
    fn tell_child(&mut self, child: RouterId, now: Duration) -> Option<(RouterId, Usage)> {
        let none = Entries::new();
        let reported = self
            .children
            .get(&child)
            .map_or(&none, |report| &report.entries);
        let wanted: Entries = self
            .totals
            .iter()
            .filter(|(account, total)| reported.contains_key(account) || total.largest() >= MILLION)
            .map(|(account, entry)| (*account, *entry))
            .collect();
        let told = self.told_down.entry(child.clone()).or_default();
        told.is_due(&wanted, now)
            .then(|| (child, message(true, wanted)))
    }

    /// Adds up this router's and its children's usage and keeps the accounts nearest to their limits.
    fn sum(&self, own: &[UsageEntry]) -> Entries {
        let mut sum: Entries = BTreeMap::new();
        let reported = self
            .children
            .values()
            .flat_map(|report| report.entries.values());
        for entry in own.iter().chain(reported) {
            sum.entry(entry.account)
                .and_modify(|total| total.add(entry))
                .or_insert(*entry);
        }
        let mut order: Vec<UsageEntry> = sum.into_values().collect();
        order.sort_by_key(|entry| (std::cmp::Reverse(entry.largest()), entry.account));
        order.truncate(MAX_ENTRIES);
        order
            .into_iter()
            .map(|entry| (entry.account, entry))
            .collect()
    }
}

fn message(total: bool, entries: Entries) -> Usage {
    Usage {
        total,
        entries: entries.into_values().collect(),
    }
}
