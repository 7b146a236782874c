//! Fleet-wide limits per client account, enforced without a message per request.
//!
//! Each router enforces its own share of an account's limit. Shares are proportional to demand: a router with demand
//! `d` out of the fleet's `D` gets `limit x (f/n + (1 - f) x d/D)`, where `n` is the number of routers and `f` is a
//! small fraction that is divided equally. A router whose demand is covered by its floor `f/n` and a small burst
//! doesn't report that demand and stays at the floor, so the shares add up to the limit whatever the other routers do.
//! From its first report until the fleet's demand is known, about a second at most, a router uses twice an equal share.
//! See docs/design/limits.md for the bounds and the rejected alternatives.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::AccountLimits;
use crate::admission::usage::{PPM_SCALE, UsageEntry};
use crate::id::AccountId;

/// The fraction of a limit that is divided equally among routers, regardless of demand.
pub(crate) const FLOOR_FRACTION: f64 = 0.1;
/// How many equal shares a router uses until it knows the fleet's demand.
const COLD_START_SHARES: f64 = 2.0;
/// The fleet's demand, in millionths of a limit, from which a router reports an account even if its own demand is
/// small.
const NEAR_LIMIT_PPM: u32 = PPM_SCALE / 10 * 7;
/// The time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// The shortest period that a demand estimate is based on.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// The bucket size, as the time that a router's share takes to fill it.
const BURST_WINDOW: Duration = Duration::from_millis(500);
/// The request burst that any router may admit, however small its share, while the fleet's demand is low.
const MIN_BURST_REQUESTS: f64 = 4.0;
/// The requests that any router may have in flight, however small its share, while the fleet's demand is low.
const MIN_CONCURRENT_REQUESTS: u32 = 4;
/// The token burst that any router may admit, however small its share, while the fleet's demand is low.
const MIN_BURST_TOKENS: f64 = 65_536.0;
/// How long the state of an idle account is kept.
const IDLE_TTL: Duration = Duration::from_secs(60);
/// How long the fleet's total of an account is valid after it was received.
const TOTAL_TTL: Duration = Duration::from_secs(6);
/// The shortest and the longest retry delay that a refused caller is given.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

/// The limits of an account, in the field order of [`UsageEntry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Prompt and generated tokens per second.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// The result of checking a request against its account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limits; the caller must call [`Limiter::finish`] when it ends.
    Admitted,
    /// The request exceeds a limit, and nothing was charged against the limits.
    Refused {
        /// The limit that was reached.
        limit: LimitKind,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Enforces the limits of all client accounts at one router.
#[derive(Debug)]
pub struct Limiter {
    routers: f64,
    accounts: HashMap<AccountId, AccountState>,
    /// The heavy accounts: those whose demand at this router is reported to the fleet.
    heavy: BTreeSet<AccountId>,
    /// The accounts whose fleet-wide demand is near a limit, by name hash, with that demand and when it was received.
    near_limit: HashMap<u64, (UsageEntry, Duration)>,
    next_prune: Duration,
}

/// The use of one account at this router, and what is known of its use in the fleet.
#[derive(Debug)]
struct AccountState {
    /// The hash of the account's name, which identifies the account in usage messages.
    hash: u64,
    limits: AccountLimits,
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u32,
    /// Requests refused by the concurrency limit, averaged like the rates.
    refused_concurrency: DecayingSum,
    last_use: Duration,
    /// Whether the demand at this router is reported to the fleet.
    heavy: bool,
    /// When demand last exceeded what the floor and a small burst cover.
    under_pressure_at: Option<Duration>,
    /// This router's demand as last reported.
    reported: Option<UsageEntry>,
    /// The sum over all routers, and when it was received.
    total: Option<(UsageEntry, Duration)>,
}

/// A token bucket that may go into debt by one request, with the demand for it.
#[derive(Debug, Default)]
struct RateBucket {
    level: f64,
    refilled_at: Duration,
    demand: DecayingSum,
}

/// A sum that decays exponentially with the time constant [`DEMAND_WINDOW`].
#[derive(Debug, Default)]
struct DecayingSum {
    sum: f64,
    updated_at: Duration,
    /// When the sum last started from zero.
    started_at: Duration,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, now: Duration) {
        if now > self.updated_at + DEMAND_WINDOW * 5 || self.sum == 0.0 {
            self.started_at = now;
        }
        self.sum = self.get(now) + amount;
        self.updated_at = now;
    }

    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the average per second, corrected for a start that is more recent than the window.
    fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.started_at).max(MIN_DEMAND_WINDOW);
        let window = DEMAND_WINDOW.as_secs_f64();
        let covered = 1.0 - (-age.as_secs_f64() / window).exp();
        self.get(now) / (window * covered)
    }
}

impl RateBucket {
    /// Refills at `rate` per second, up to the burst that this rate allows or to `min_burst`, whichever is larger.
    fn refill(&mut self, rate: f64, min_burst: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(burst(rate, min_burst));
        self.refilled_at = now;
    }

    /// Returns the time until the debt is paid off at `rate` per second, within [`RETRY_AFTER_RANGE`].
    fn retry_after(&self, rate: f64) -> Duration {
        let seconds = -self.level / rate.max(f64::MIN_POSITIVE);
        let (min, max) = RETRY_AFTER_RANGE;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(max)
            .clamp(min, max)
    }
}

impl Limiter {
    /// Creates a limiter that knows only the number of routers in the fleet.
    #[must_use]
    pub fn new(routers: usize) -> Self {
        Self {
            routers: routers.max(1) as f64,
            accounts: HashMap::new(),
            heavy: BTreeSet::new(),
            near_limit: HashMap::new(),
            next_prune: Duration::ZERO,
        }
    }

    /// Checks a request with `prompt_tokens` against the limits of `account` and charges it if it is admitted.
    ///
    /// Refused requests count as demand as well.
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
            .or_insert_with(|| AccountState::new(account, *limits, routers, now));
        state.limits = *limits;
        state.last_use = now;
        if !state.heavy
            && let Some(total) = self.near_limit.get(&state.hash)
        {
            state.total = Some(*total);
            state.heavy = true;
            self.heavy.insert(account.clone());
        }
        let tokens = f64::from(prompt_tokens);
        // Credits the time since the last request at the share that applied until now.
        state.refill(routers, now);
        state.requests.demand.add(1.0, now);
        state.tokens.demand.add(tokens, now);
        let decision = state.try_admit(tokens, routers, now);
        if state.is_under_pressure(routers, now) {
            state.under_pressure_at = Some(now);
            if !state.heavy {
                state.heavy = true;
                self.heavy.insert(account.clone());
            }
        }
        decision
    }

    /// Records the end of an admitted request and charges its `generated_tokens`.
    ///
    /// # Panics
    ///
    /// Panics if the account has no request in flight.
    pub fn finish(&mut self, account: &AccountId, generated_tokens: u32, now: Duration) {
        let state = self.accounts.get_mut(account);
        let state = state.expect("an account with requests in flight has state");
        assert!(
            state.in_flight > 0,
            "finish called for {account} without a request in flight"
        );
        state.in_flight -= 1;
        let tokens = f64::from(generated_tokens);
        state.tokens.demand.add(tokens, now);
        state.tokens.level -= tokens;
        state.last_use = now;
    }

    /// Returns this router's demand for each heavy account, and drops idle accounts.
    pub fn report(&mut self, now: Duration) -> Vec<UsageEntry> {
        self.prune(now);
        let routers = self.routers;
        let mut entries = Vec::new();
        let accounts = &mut self.accounts;
        self.heavy.retain(|account| {
            let Some(state) = accounts.get_mut(account) else {
                return false;
            };
            // Credits the elapsed time at the share that applied until now; each report changes the share.
            state.refill(routers, now);
            state.heavy = state.is_still_heavy(routers, now);
            state.reported = state.heavy.then(|| state.usage_entry(now));
            entries.extend(state.reported);
            state.heavy
        });
        entries
    }

    /// Sets the number of routers and the fleet's demand per account, as received at `received_at`.
    pub fn set_totals(&mut self, totals: &[UsageEntry], routers: usize, received_at: Duration) {
        self.routers = routers.max(1) as f64;
        let by_account: HashMap<u64, &UsageEntry> =
            totals.iter().map(|total| (total.account, total)).collect();
        for account in &self.heavy {
            if let Some(state) = self.accounts.get_mut(account)
                && let Some(total) = by_account.get(&state.hash)
            {
                state.total = Some((**total, received_at));
            }
        }
        self.near_limit.clear();
        let near_limit = totals
            .iter()
            .filter(|total| total.max_ppm() >= NEAR_LIMIT_PPM);
        self.near_limit
            .extend(near_limit.map(|total| (total.account, (*total, received_at))));
    }

    /// Returns the number of accounts with state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account has state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the fraction of a limit of `account` that this router may use at `now`.
    #[must_use]
    pub fn share(&self, account: &AccountId, kind: LimitKind, now: Duration) -> f64 {
        self.accounts.get(account).map_or_else(
            || FLOOR_FRACTION / self.routers,
            |state| state.share(kind, self.routers, now),
        )
    }

    /// Removes accounts that have been idle for [`IDLE_TTL`], at most once in a sixth of that time.
    fn prune(&mut self, now: Duration) {
        if now < self.next_prune {
            return;
        }
        self.next_prune = now + IDLE_TTL / 6;
        self.accounts
            .retain(|_, state| state.in_flight > 0 || now < state.last_use + IDLE_TTL);
    }
}

impl AccountState {
    fn new(account: &AccountId, limits: AccountLimits, routers: f64, now: Duration) -> Self {
        let share = FLOOR_FRACTION / routers;
        let full_bucket = |limit: f64, min: f64| RateBucket {
            level: burst(limit * share, min),
            refilled_at: now,
            demand: DecayingSum::default(),
        };
        Self {
            hash: xxh3_64(account.as_bytes()),
            limits,
            requests: full_bucket(limits.requests_per_second, min_request_burst(&limits)),
            tokens: full_bucket(limits.tokens_per_second, min_token_burst(&limits)),
            in_flight: 0,
            refused_concurrency: DecayingSum::default(),
            last_use: now,
            heavy: false,
            under_pressure_at: None,
            reported: None,
            total: None,
        }
    }

    fn refill(&mut self, routers: f64, now: Duration) {
        let limits = self.limits;
        let near_limit = self.is_near_limit(now);
        let min_burst = |default: f64| if near_limit { 1.0 } else { default };
        let requests = self.local_limit(LimitKind::Requests, routers, now);
        self.requests
            .refill(requests, min_burst(min_request_burst(&limits)), now);
        let tokens = self.local_limit(LimitKind::Tokens, routers, now);
        self.tokens
            .refill(tokens, min_burst(min_token_burst(&limits)), now);
    }

    /// Returns whether demand at this router exceeds what the floor and a small burst cover.
    fn is_under_pressure(&self, routers: f64, now: Duration) -> bool {
        self.requests.level < min_request_burst(&self.limits) / 2.0
            || self.tokens.level < min_token_burst(&self.limits) / 2.0
            || self.in_flight * 2 >= self.local_concurrency(routers, now)
    }

    /// Returns whether a heavy account is still heavy.
    fn is_still_heavy(&self, routers: f64, now: Duration) -> bool {
        let recent_pressure = self
            .under_pressure_at
            .is_some_and(|at| now <= at + DEMAND_WINDOW);
        recent_pressure || self.is_near_limit(now) || self.exceeds_floor(routers, now)
    }

    /// Charges the request and returns `Admitted`, or returns the first limit that was reached.
    fn try_admit(&mut self, tokens: f64, routers: f64, now: Duration) -> LimitDecision {
        let max_in_flight = self.local_concurrency(routers, now);
        let refused = |limit, retry_after| LimitDecision::Refused { limit, retry_after };
        if self.requests.level <= 0.0 {
            let rate = self.local_limit(LimitKind::Requests, routers, now);
            return refused(LimitKind::Requests, self.requests.retry_after(rate));
        }
        if self.tokens.level <= 0.0 {
            let rate = self.local_limit(LimitKind::Tokens, routers, now);
            return refused(LimitKind::Tokens, self.tokens.retry_after(rate));
        }
        if self.in_flight >= max_in_flight {
            self.refused_concurrency.add(1.0, now);
            return refused(LimitKind::Concurrency, RETRY_AFTER_RANGE.0 * 4);
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens;
        self.in_flight += 1;
        assert!(
            self.in_flight <= max_in_flight,
            "{} requests in flight exceed this router's limit of {max_in_flight}",
            self.in_flight
        );
        LimitDecision::Admitted
    }

    /// Returns a limit multiplied by this router's share of it.
    fn local_limit(&self, kind: LimitKind, routers: f64, now: Duration) -> f64 {
        let limit = match kind {
            LimitKind::Requests => self.limits.requests_per_second,
            LimitKind::Tokens => self.limits.tokens_per_second,
            LimitKind::Concurrency => f64::from(self.limits.concurrent_requests),
        };
        limit * self.share(kind, routers, now)
    }

    /// Returns the number of requests that may be in flight at this router.
    fn local_concurrency(&self, routers: f64, now: Duration) -> u32 {
        let requests = self.local_limit(LimitKind::Concurrency, routers, now);
        let min_requests = if self.is_near_limit(now) {
            1
        } else {
            self.limits.concurrent_requests.min(MIN_CONCURRENT_REQUESTS)
        };
        (requests as u32).max(min_requests)
    }

    /// Returns the fraction of a limit that this router may use.
    ///
    /// The fractions of all routers add up to one once each knows the fleet's demand.
    fn share(&self, kind: LimitKind, routers: f64, now: Duration) -> f64 {
        let floor = FLOOR_FRACTION / routers;
        if !self.heavy {
            return floor;
        }
        let cold_start_share = (COLD_START_SHARES / routers).min(1.0);
        let Some(total) = self.fresh_total(now) else {
            return cold_start_share;
        };
        let Some(own) = &self.reported else {
            return floor;
        };
        let own = f64::from(own.ppm(kind));
        let total = f64::from(total.ppm(kind)).max(own);
        let share = if total == 0.0 {
            cold_start_share
        } else {
            (1.0 - FLOOR_FRACTION).mul_add(own / total, floor)
        };
        assert!(
            share > 0.0 && share <= 1.0 + 1e-9,
            "share {share} of a limit is not in (0, 1]"
        );
        share
    }

    /// Returns the fleet's total unless it is older than [`TOTAL_TTL`].
    fn fresh_total(&self, now: Duration) -> Option<&UsageEntry> {
        let (total, at) = self.total.as_ref()?;
        (now <= *at + TOTAL_TTL).then_some(total)
    }

    /// Returns whether the fleet's demand is near a limit, so that this router must report even small demand.
    fn is_near_limit(&self, now: Duration) -> bool {
        self.fresh_total(now)
            .is_some_and(|total| total.max_ppm() >= NEAR_LIMIT_PPM)
            && now <= self.last_use + IDLE_TTL
    }

    /// Returns whether demand at this router reaches the floor share of any limit.
    fn exceeds_floor(&self, routers: f64, now: Duration) -> bool {
        let threshold = FLOOR_FRACTION / routers;
        self.limit_fractions(now)
            .into_iter()
            .any(|fraction| fraction >= threshold)
    }

    /// Returns this router's demand as fractions of the fleet-wide limits, in the order of [`LimitKind`].
    fn limit_fractions(&self, now: Duration) -> SmallVec<[f64; 3]> {
        let limits = &self.limits;
        let concurrency = f64::from(self.in_flight) + self.refused_concurrency.per_second(now);
        SmallVec::from([
            self.requests.demand.per_second(now) / limits.requests_per_second,
            self.tokens.demand.per_second(now) / limits.tokens_per_second,
            concurrency / f64::from(limits.concurrent_requests.max(1)),
        ])
    }

    /// Returns this router's demand as it is reported to the fleet.
    fn usage_entry(&self, now: Duration) -> UsageEntry {
        let to_ppm = |fraction: &f64| (fraction * f64::from(PPM_SCALE)) as u32;
        let fractions = self.limit_fractions(now);
        UsageEntry {
            account: self.hash,
            requests_ppm: to_ppm(&fractions[0]),
            tokens_ppm: to_ppm(&fractions[1]),
            concurrency_ppm: to_ppm(&fractions[2]),
        }
    }
}

/// Returns the bucket size that refills at `rate` per second, at least `min`.
fn burst(rate: f64, min: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(min)
}

fn min_request_burst(limits: &AccountLimits) -> f64 {
    limits.requests_per_second.clamp(1.0, MIN_BURST_REQUESTS)
}

fn min_token_burst(limits: &AccountLimits) -> f64 {
    limits.tokens_per_second.clamp(1.0, MIN_BURST_TOKENS)
}
