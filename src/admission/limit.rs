//! Limits per client account over the whole fleet, without a message per request.
//!
//! Each router admits by its own share of an account's limit. Shares are in proportion to demand: a router whose demand
//! is `d` of the fleet's `D` gets `limit x (f/n + (1 - f) x d/D)`, where `n` is the number of routers and `f` a small
//! floor. A router with so little demand that the floor and a small burst serve it does not report it and keeps to the
//! floor, so that all shares add up to the limit whatever the others do. From the first report until the fleet's demand
//! is known, about a second at most, a router takes two equal shares. See docs/design/limits.md for the bounds and what was rejected.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::AccountLimits;
use crate::admission::usage::{MILLION, UsageEntry};
use crate::id::AccountId;

/// The part of a limit that is shared out equally, whatever the demand.
pub(crate) const FLOOR: f64 = 0.1;
/// The equal shares that a router takes until it knows the fleet's demand.
const UNINFORMED_SHARES: f64 = 2.0;
/// The fleet's demand, as part of a limit, from which an account is reported even where its demand here is small.
const HOT_PPM: u32 = MILLION / 10 * 7;
/// The time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// The shortest time from which demand is concluded.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// The time's worth of a share that may be used at once.
const BURST: Duration = Duration::from_millis(500);
/// The requests that any router may admit at once, however small its share, while the fleet's demand is low.
const MIN_BURST_REQUESTS: f64 = 4.0;
/// The requests that any router may have in flight, likewise.
const MIN_CONCURRENT_REQUESTS: u32 = 4;
/// The tokens that any router may admit at once, likewise.
const MIN_BURST_TOKENS: f64 = 65_536.0;
/// How long an account without use is remembered.
const IDLE_LIFE: Duration = Duration::from_secs(60);
/// How long a fleet's total holds.
const TOTAL_LIFE: Duration = Duration::from_secs(6);
/// The bounds of the time after which a refused caller is told to return.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(30));

/// The limits of an account, in the order in which usage carries them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Prompt and generated tokens per second.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// Whether a request is within its account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// It is; [`Limiter::finish`] has to follow.
    Admitted,
    /// It is not, and nothing was counted against the limits.
    Refused {
        /// The limit that was reached.
        limit: LimitKind,
        /// When the caller should try again.
        retry_after: Duration,
    },
}

/// The limits of all client accounts at one router.
#[derive(Debug)]
pub struct Limiter {
    routers: f64,
    accounts: HashMap<AccountId, AccountUse>,
    /// The accounts whose demand here is worth a report.
    heavy: BTreeSet<AccountId>,
    /// The accounts near a limit in the fleet, by hash, with the fleet's demand and when it was heard.
    hot: HashMap<u64, (UsageEntry, Duration)>,
    next_prune: Duration,
}

#[derive(Debug)]
struct AccountUse {
    /// The hash of the account's name, by which usage names it.
    hash: u64,
    limits: AccountLimits,
    requests: Rate,
    tokens: Rate,
    in_flight: u32,
    /// Requests that were refused for concurrency, averaged like the rates.
    refused_in_flight: Decayed,
    last_use: Duration,
    /// Whether the demand here is worth a report.
    heavy: bool,
    /// When more was last used than the floor and a small burst serve.
    strained_at: Option<Duration>,
    /// What the fleet knows: this router's part as it was reported, and the sum over all routers.
    reported: Option<UsageEntry>,
    total: Option<(UsageEntry, Duration)>,
}

/// A limit on a rate: a bucket that may go into debt by one request, and the demand.
#[derive(Debug, Default)]
struct Rate {
    level: f64,
    refilled: Duration,
    demand: Decayed,
}

/// A sum that decays over [`DEMAND_WINDOW`].
#[derive(Debug, Default)]
struct Decayed {
    sum: f64,
    at: Duration,
    /// When the sum began to grow from nothing.
    since: Duration,
}

impl Decayed {
    fn add(&mut self, amount: f64, now: Duration) {
        if now > self.at + DEMAND_WINDOW * 5 || self.sum == 0.0 {
            self.since = now;
        }
        self.sum = self.get(now) + amount;
        self.at = now;
    }

    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the average per second, over the time since the beginning where that is shorter than the window.
    fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since).max(MIN_DEMAND_WINDOW);
        let window = DEMAND_WINDOW.as_secs_f64();
        let seen = 1.0 - (-age.as_secs_f64() / window).exp();
        self.get(now) / (window * seen)
    }
}

impl Rate {
    /// Fills up to the burst that `share` per second allows, or to `least`.
    fn refill(&mut self, share: f64, least: f64, now: Duration) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.level = (self.level + share * passed).min(burst(share, least));
        self.refilled = now;
    }

    fn retry_after(&self, share: f64) -> Duration {
        let seconds = -self.level / share.max(f64::MIN_POSITIVE);
        let (least, most) = RETRY_AFTER;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(most)
            .clamp(least, most)
    }
}

impl Limiter {
    /// Begins with nothing known of the fleet but its size.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        Self {
            routers: routers.max(1) as f64,
            accounts: HashMap::new(),
            heavy: BTreeSet::new(),
            hot: HashMap::new(),
            next_prune: Duration::ZERO,
        }
    }

    /// Decides on a request with `prompt_tokens` and counts it.
    pub fn admit(
        &mut self,
        account: &AccountId,
        limits: &AccountLimits,
        prompt_tokens: u32,
        now: Duration,
    ) -> LimitDecision {
        let routers = self.routers;
        let state = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountUse::new(account, *limits, routers, now));
        state.limits = *limits;
        state.last_use = now;
        if !state.heavy
            && let Some(total) = self.hot.get(&state.hash)
        {
            state.total = Some(*total);
            state.heavy = true;
            self.heavy.insert(account.clone());
        }
        let tokens = f64::from(prompt_tokens);
        // What passed since the last request goes by the share that was in force then.
        state.refill(routers, now);
        state.requests.demand.add(1.0, now);
        state.tokens.demand.add(tokens, now);
        let decision = state.decide(tokens, routers, now);
        if state.is_strained(routers, now) {
            state.strained_at = Some(now);
            if !state.heavy {
                state.heavy = true;
                self.heavy.insert(account.clone());
            }
        }
        decision
    }

    /// Ends an admitted request, which generated `generated_tokens`.
    ///
    /// # Panics
    ///
    /// Where no request of the account is in flight.
    pub fn finish(&mut self, account: &AccountId, generated_tokens: u32, now: Duration) {
        let state = self.accounts.get_mut(account);
        let state = state.expect("an account with requests in flight is remembered");
        assert!(state.in_flight > 0, "a request of {account} ended twice");
        state.in_flight -= 1;
        let tokens = f64::from(generated_tokens);
        state.tokens.demand.add(tokens, now);
        state.tokens.level -= tokens;
        state.last_use = now;
    }

    /// Returns this router's demand of the accounts that are worth a report.
    pub fn report(&mut self, now: Duration) -> Vec<UsageEntry> {
        self.prune(now);
        let routers = self.routers;
        let mut entries = Vec::new();
        let accounts = &mut self.accounts;
        self.heavy.retain(|account| {
            let Some(state) = accounts.get_mut(account) else {
                return false;
            };
            // What passed goes by the share that was in force, which changes with each report.
            state.refill(routers, now);
            state.heavy = state.stays_heavy(routers, now);
            state.reported = state.heavy.then(|| state.usage(now));
            entries.extend(state.reported);
            state.heavy
        });
        entries
    }

    /// Takes the fleet's size and its demand as it was heard at `heard_at`.
    pub fn set_totals(&mut self, totals: &[UsageEntry], routers: usize, heard_at: Duration) {
        self.routers = routers.max(1) as f64;
        let by_account: HashMap<u64, &UsageEntry> =
            totals.iter().map(|total| (total.account, total)).collect();
        for account in &self.heavy {
            if let Some(state) = self.accounts.get_mut(account)
                && let Some(total) = by_account.get(&state.hash)
            {
                state.total = Some((**total, heard_at));
            }
        }
        self.hot.clear();
        let hot = totals.iter().filter(|total| total.largest() >= HOT_PPM);
        self.hot
            .extend(hot.map(|total| (total.account, (*total, heard_at))));
    }

    /// Returns the number of accounts that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether no account is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the part of a limit that this router may use of `account` now.
    #[must_use]
    pub fn share(&self, account: &AccountId, kind: LimitKind, now: Duration) -> f64 {
        self.accounts.get(account).map_or_else(
            || FLOOR / self.routers,
            |state| state.share(kind, self.routers, now),
        )
    }

    fn prune(&mut self, now: Duration) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + IDLE_LIFE / 6;
        self.accounts
            .retain(|_, state| state.in_flight > 0 || now < state.last_use + IDLE_LIFE);
    }
}

impl AccountUse {
    fn new(account: &AccountId, limits: AccountLimits, routers: f64, now: Duration) -> Self {
        let share = FLOOR / routers;
        let full = |limit: f64, least: f64| Rate {
            level: burst(limit * share, least),
            refilled: now,
            demand: Decayed::default(),
        };
        Self {
            hash: xxh3_64(account.as_bytes()),
            limits,
            requests: full(limits.requests_per_second, least_requests(&limits)),
            tokens: full(limits.tokens_per_second, least_tokens(&limits)),
            in_flight: 0,
            refused_in_flight: Decayed::default(),
            last_use: now,
            heavy: false,
            strained_at: None,
            reported: None,
            total: None,
        }
    }

    fn refill(&mut self, routers: f64, now: Duration) {
        let limits = self.limits;
        let hot = self.is_hot(now);
        let least = |least: f64| if hot { 1.0 } else { least };
        let requests = self.rate_share(LimitKind::Requests, routers, now);
        self.requests
            .refill(requests, least(least_requests(&limits)), now);
        let tokens = self.rate_share(LimitKind::Tokens, routers, now);
        self.tokens
            .refill(tokens, least(least_tokens(&limits)), now);
    }

    /// Tells whether more is used here than the floor and a small burst serve.
    fn is_strained(&self, routers: f64, now: Duration) -> bool {
        self.requests.level < least_requests(&self.limits) / 2.0
            || self.tokens.level < least_tokens(&self.limits) / 2.0
            || self.in_flight * 2 >= self.concurrency_share(routers, now)
    }

    /// Tells whether an account that was worth a report still is.
    fn stays_heavy(&self, routers: f64, now: Duration) -> bool {
        let strained = self.strained_at.is_some_and(|at| now <= at + DEMAND_WINDOW);
        strained || self.is_hot(now) || self.exceeds_floor(routers, now)
    }

    fn decide(&mut self, tokens: f64, routers: f64, now: Duration) -> LimitDecision {
        let concurrent = self.concurrency_share(routers, now);
        let refused = |limit, retry_after| LimitDecision::Refused { limit, retry_after };
        if self.requests.level <= 0.0 {
            let share = self.rate_share(LimitKind::Requests, routers, now);
            return refused(LimitKind::Requests, self.requests.retry_after(share));
        }
        if self.tokens.level <= 0.0 {
            let share = self.rate_share(LimitKind::Tokens, routers, now);
            return refused(LimitKind::Tokens, self.tokens.retry_after(share));
        }
        if self.in_flight >= concurrent {
            self.refused_in_flight.add(1.0, now);
            return refused(LimitKind::Concurrency, RETRY_AFTER.0 * 4);
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens;
        self.in_flight += 1;
        assert!(
            self.in_flight <= concurrent,
            "{} requests in flight with a share of {concurrent}",
            self.in_flight
        );
        LimitDecision::Admitted
    }

    /// Returns the part of a limit per second that this router may use.
    fn rate_share(&self, kind: LimitKind, routers: f64, now: Duration) -> f64 {
        let limit = match kind {
            LimitKind::Requests => self.limits.requests_per_second,
            LimitKind::Tokens => self.limits.tokens_per_second,
            LimitKind::Concurrency => f64::from(self.limits.concurrent_requests),
        };
        limit * self.share(kind, routers, now)
    }

    /// Returns the requests that may be in flight here.
    fn concurrency_share(&self, routers: f64, now: Duration) -> u32 {
        let requests = self.rate_share(LimitKind::Concurrency, routers, now);
        let least = if self.is_hot(now) {
            1
        } else {
            self.limits.concurrent_requests.min(MIN_CONCURRENT_REQUESTS)
        };
        (requests as u32).max(least)
    }

    /// Returns the part of a limit that this router may use: all parts add up to one where all are informed.
    fn share(&self, kind: LimitKind, routers: f64, now: Duration) -> f64 {
        let floor = FLOOR / routers;
        if !self.heavy {
            return floor;
        }
        let uninformed = (UNINFORMED_SHARES / routers).min(1.0);
        let Some(total) = self.fresh_total(now) else {
            return uninformed;
        };
        let Some(own) = &self.reported else {
            return floor;
        };
        let own = f64::from(own.parts(kind));
        let total = f64::from(total.parts(kind)).max(own);
        let share = if total == 0.0 {
            uninformed
        } else {
            (1.0 - FLOOR).mul_add(own / total, floor)
        };
        assert!(
            share > 0.0 && share <= 1.0 + 1e-9,
            "a share of {share} of a limit"
        );
        share
    }

    fn fresh_total(&self, now: Duration) -> Option<&UsageEntry> {
        let (total, at) = self.total.as_ref()?;
        (now <= *at + TOTAL_LIFE).then_some(total)
    }

    /// Tells whether the fleet's demand is near a limit, so that small demand here has to be reported as well.
    fn is_hot(&self, now: Duration) -> bool {
        self.fresh_total(now)
            .is_some_and(|total| total.largest() >= HOT_PPM)
            && now <= self.last_use + IDLE_LIFE
    }

    fn exceeds_floor(&self, routers: f64, now: Duration) -> bool {
        let threshold = FLOOR / routers;
        self.fractions(now)
            .into_iter()
            .any(|fraction| fraction >= threshold)
    }

    /// Returns the demand here as fractions of the fleet's limits.
    fn fractions(&self, now: Duration) -> SmallVec<[f64; 3]> {
        let limits = &self.limits;
        let concurrent = f64::from(self.in_flight) + self.refused_in_flight.per_second(now);
        SmallVec::from([
            self.requests.demand.per_second(now) / limits.requests_per_second,
            self.tokens.demand.per_second(now) / limits.tokens_per_second,
            concurrent / f64::from(limits.concurrent_requests.max(1)),
        ])
    }

    fn usage(&self, now: Duration) -> UsageEntry {
        let parts = |fraction: &f64| (fraction * f64::from(MILLION)) as u32;
        let fractions = self.fractions(now);
        UsageEntry {
            account: self.hash,
            requests_ppm: parts(&fractions[0]),
            tokens_ppm: parts(&fractions[1]),
            concurrency_ppm: parts(&fractions[2]),
        }
    }
}

/// Returns what may be used at once of a rate.
fn burst(share: f64, least: f64) -> f64 {
    (share * BURST.as_secs_f64()).max(least)
}

fn least_requests(limits: &AccountLimits) -> f64 {
    limits.requests_per_second.clamp(1.0, MIN_BURST_REQUESTS)
}

fn least_tokens(limits: &AccountLimits) -> f64 {
    limits.tokens_per_second.clamp(1.0, MIN_BURST_TOKENS)
}
