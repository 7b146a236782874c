//! Decides how many tokens of an account the routers get.
//!
//! The owner of an account refills a token bucket at the account's rate up to its burst. Requests are granted whole or not
//! at all, since a part of what a request costs is useless to its router and expires. A request that costs more than the
//! burst is granted from a full bucket, whose level becomes negative. A denied request gets the time at which the account
//! has credit for it after all requests that were denied before it, so that callers return in the order of their denials
//! and not all at once. That time reserves nothing: a request that finds credit is granted, because the callers that were
//! denied may never return.
//!
//! Tokens that routers granted themselves while the owner did not answer are taken from the bucket, as far as the bucket
//! was refilled at that time, so that a connection that fails again and again does not add to the quota.
//!
//! An account whose owner changes starts with an empty bucket, and so does an owner that was paused, because another one
//! may have granted meanwhile.
//!
//! Load patterns handled: one account floods all routers at several times its rate; long and short requests of one account
//! on many routers; an owner that is paused, or that becomes the owner again after another one.

use std::collections::HashMap;
use std::time::Duration;

use super::message::{QuotaReply, QuotaRequest};
use super::{AccountKey, QuotaLimit};

/// The time without a tick after which the owner may have been paused.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// The maximum time after which a denied request is told to return.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// The minimum time after which a denied request is told to return.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// The maximum number of waiting requests in one message.
pub(crate) const MAX_COSTS: usize = 64;
/// The smallest share of the fleet in which a request larger than the burst is granted. One such request in each of many
/// parts of a fleet would exceed the quota.
const MIN_SHARE_FOR_DEBT: f64 = 0.5;
/// The maximum time of refilling that sends which ran without being granted may take from an account.
const MAX_DEBT: Duration = Duration::from_secs(8);
/// How long it is remembered that a router was the owner of an account; the window of the quota.
const LOST_MEMORY: Duration = Duration::from_secs(8);
/// The time of refilling that an owner lacks which was the owner before within [`LOST_MEMORY`]. Connections that fail again
/// and again make it the owner beside another one each time.
const RETURN_DEBT: Duration = Duration::from_secs(1);
/// How long a bucket of an account that is not in the configuration is kept without requests.
const UNKNOWN_TTL: Duration = Duration::from_secs(30);
/// The maximum number of accounts that are not in the configuration.
const MAX_UNKNOWN: usize = 1_024;
/// The maximum fraction of the level that is granted in advance; tokens that are not used are lost to the account.
const AHEAD_FRACTION: f64 = 0.25;

/// The buckets of the accounts that a router owns.
#[derive(Debug)]
pub(crate) struct QuotaOwner {
    buckets: HashMap<AccountKey, Bucket>,
    /// The accounts that have another owner now, and since when.
    lost: HashMap<AccountKey, Duration>,
    /// The share of each limit that this router may grant.
    share: f64,
    last_tick: Duration,
}

#[derive(Debug)]
struct Bucket {
    /// Whether a request that is larger than the burst is granted from a full bucket.
    may_owe: bool,
    /// The limit in force, as a share of the configured one.
    limit: QuotaLimit,
    level: f64,
    refilled_at: Duration,
    /// Since when the bucket has been refilled.
    filling_since: Duration,
    /// When the request that was denied last may return.
    reserved_until: Duration,
    /// Whether the limit comes from the requests and not from the configuration.
    is_unknown: bool,
    used_at: Duration,
}

impl QuotaOwner {
    /// Creates the state of a router that was started at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            buckets: HashMap::new(),
            lost: HashMap::new(),
            share: 1.0,
            last_tick: now,
        }
    }

    /// Empties the buckets if the router was paused; to be called at least every 500 ms.
    ///
    /// Returns the length of the pause, if there was one.
    pub(crate) fn tick(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap <= MAX_TICK_GAP {
            return None;
        }
        for bucket in self.buckets.values_mut() {
            bucket.empty(now);
        }
        Some(gap)
    }

    /// Sets the configured accounts that this router owns, and the share of each limit that it may grant.
    ///
    /// An account that is new here starts with an empty bucket, and one that has another owner loses its bucket. An account
    /// that comes back soon starts with a debt.
    pub(crate) fn set_owned(
        &mut self,
        owned: &HashMap<AccountKey, QuotaLimit>,
        share: f64,
        now: Duration,
    ) {
        self.share = share.clamp(0.0, 1.0);
        self.lost.retain(|_, lost_at| now < *lost_at + LOST_MEMORY);
        self.buckets.retain(|account, bucket| {
            let is_kept = owned.contains_key(account)
                || (bucket.is_unknown && now < bucket.used_at + UNKNOWN_TTL);
            if !is_kept && !bucket.is_unknown {
                self.lost.insert(*account, now);
            }
            is_kept
        });
        for (account, limit) in owned {
            let limit = limit.scaled(self.share);
            match self.buckets.get_mut(account) {
                Some(bucket) => {
                    bucket.set_limit(limit, now);
                    bucket.is_unknown = false;
                }
                None => {
                    let mut bucket = Bucket::new(limit, now);
                    if self.lost.contains_key(account) {
                        bucket.level = -limit.rate_per_s * RETURN_DEBT.as_secs_f64();
                    }
                    self.buckets.insert(*account, bucket);
                }
            }
        }
    }

    /// Removes the buckets of accounts that are not in the configuration and belong to other owners now.
    pub(crate) fn remove_unknown(&mut self, is_foreign: impl Fn(AccountKey) -> bool) {
        self.buckets
            .retain(|account, bucket| !bucket.is_unknown || !is_foreign(*account));
    }

    /// Decides on a request of a router; `limit` applies if the account has no bucket yet.
    pub(crate) fn request(
        &mut self,
        request: &QuotaRequest,
        limit: QuotaLimit,
        now: Duration,
    ) -> QuotaReply {
        // Requests that waited during a pause may be handled before the tick.
        if now.saturating_sub(self.last_tick) > MAX_TICK_GAP {
            self.tick(now);
        }
        let share = self.share;
        let Some(limit) = limit.checked().map(|limit| limit.scaled(share)) else {
            return QuotaReply::grant_all(request);
        };
        if !self.buckets.contains_key(&request.account) {
            let unknown = self.buckets.values().filter(|bucket| bucket.is_unknown);
            if unknown.count() >= MAX_UNKNOWN {
                return QuotaReply::deny_all(request, MAX_RETRY_AFTER);
            }
            let mut bucket = Bucket::new(limit, now);
            bucket.is_unknown = true;
            self.buckets.insert(request.account, bucket);
        }
        let bucket = self.buckets.get_mut(&request.account);
        let bucket = bucket.expect("the bucket was created above");
        if bucket.is_unknown {
            bucket.set_limit(limit, now);
        }
        bucket.used_at = now;
        bucket.may_owe = share >= MIN_SHARE_FOR_DEBT;
        bucket.decide(request, now)
    }
}

impl QuotaReply {
    /// Returns the reply to a request for an account without a limit.
    pub(crate) fn grant_all(request: &QuotaRequest) -> Self {
        let costs = request.costs.iter().map(|cost| u64::from(*cost));
        Self {
            granted: costs.sum::<u64>() + u64::from(request.ahead),
            ..Self::default()
        }
    }

    fn deny_all(request: &QuotaRequest, retry_after: Duration) -> Self {
        let retry_after_ms = retry_after.as_millis() as u32;
        Self {
            retry_after_ms: vec![retry_after_ms; request.costs.len().min(MAX_COSTS)],
            ..Self::default()
        }
    }
}

impl Bucket {
    fn new(limit: QuotaLimit, now: Duration) -> Self {
        Self {
            limit,
            level: 0.0,
            refilled_at: now,
            filling_since: now,
            reserved_until: now,
            is_unknown: false,
            may_owe: true,
            used_at: now,
        }
    }

    fn empty(&mut self, now: Duration) {
        self.level = self.level.min(0.0);
        self.refilled_at = now;
        self.filling_since = now;
    }

    fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.level + self.limit.rate_per_s * time.as_secs_f64();
        self.level = refilled.min(self.limit.burst);
    }

    /// Applies a change of the limit, which never raises the level.
    fn set_limit(&mut self, limit: QuotaLimit, now: Duration) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    fn decide(&mut self, request: &QuotaRequest, now: Duration) -> QuotaReply {
        self.refill(now);
        let max_debt = self.limit.rate_per_s * MAX_DEBT.as_secs_f64();
        let charged = request.charged as f64 + self.local_charge(request, now);
        let charged = charged.min(max_debt);
        self.level = (self.level - charged).max(-max_debt);
        let mut granted = 0;
        let mut retry_after_ms = Vec::new();
        let costs = &request.costs[..request.costs.len().min(MAX_COSTS)];
        for (index, cost) in costs.iter().enumerate() {
            if self.take(f64::from(*cost)) {
                granted += u64::from(*cost);
                continue;
            }
            retry_after_ms.resize(costs.len(), 0);
            let retry_after = self.reserve(f64::from(*cost), now);
            retry_after_ms[index] = retry_after.as_millis() as u32;
        }
        if retry_after_ms.is_empty() {
            granted += self.take_ahead(request.ahead);
        }
        QuotaReply {
            granted,
            retry_after_ms,
            is_not_owner: false,
        }
    }

    /// Returns how much of the tokens that a router granted itself is taken from the bucket.
    fn local_charge(&self, request: &QuotaRequest, now: Duration) -> f64 {
        let filling = now.saturating_sub(self.filling_since);
        let age = Duration::from_millis(u64::from(request.local_age_ms.max(1)));
        request.local as f64 * filling.div_duration_f64(age).min(1.0)
    }

    /// Takes `cost` if the bucket has as much, or is full and may owe the rest.
    fn take(&mut self, cost: f64) -> bool {
        let needed = if self.may_owe {
            cost.min(self.limit.burst)
        } else {
            cost
        };
        let is_granted = self.level >= needed;
        if is_granted {
            self.level -= cost;
        }
        is_granted
    }

    /// Takes `tokens` for expected requests if enough is left for others; a part of them may cover no request.
    fn take_ahead(&mut self, tokens: u32) -> u64 {
        if f64::from(tokens) > self.level * AHEAD_FRACTION {
            return 0;
        }
        self.level -= f64::from(tokens);
        u64::from(tokens)
    }

    /// Returns when a request that costs `cost` may return, and counts it for those that are denied after it.
    fn reserve(&mut self, cost: f64, now: Duration) -> Duration {
        let rate = self.limit.rate_per_s;
        let deficit = cost.min(self.limit.burst) - self.level;
        let seconds = |tokens: f64| {
            let seconds = (tokens / rate).clamp(0.0, MAX_RETRY_AFTER.as_secs_f64());
            Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
        };
        let without_others = now + seconds(deficit);
        let after_others = self.reserved_until.max(now) + seconds(cost);
        let latest = now + MAX_RETRY_AFTER;
        let is_first = self.reserved_until <= now;
        let at = if is_first {
            without_others
        } else {
            without_others.max(after_others)
        };
        self.reserved_until = at.clamp(now + MIN_RETRY_AFTER, latest);
        self.reserved_until - now
    }
}
