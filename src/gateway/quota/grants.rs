//! Decides whether a request of this router may use its account's quota now, has to wait for the owner of the account, or
//! is refused.
//!
//! Tokens are requested from the owner ([`super::owner`]). There is at most one quota request in flight for each account;
//! requests that arrive meanwhile are combined into the next one. A router on which an account is busy also requests
//! tokens in advance, at most as many as it used in the last 200 ms. A grant expires 500 ms after its quota request was
//! sent. After a denial, this router refuses requests of the account itself for the time that the owner stated, so that a
//! flood does not reach the owner; only requests that cost much less than the denied one are still asked for.
//!
//! If the owner does not answer, this router grants half of its share of the rate itself, which is one in as many parts as
//! there are routers, without a burst and without debt, until a reply arrives. What it granted is reported to the owner once it
//! answers, since the owner may have gone on granting to others. One request at a time still goes to the owner, to find out
//! when it answers again.
//!
//! Load patterns handled: one account floods this router; the owner dies, is paused or is unreachable, or its replies are
//! late or lost; callers leave while they wait.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::message::{QuotaReply, QuotaRequest};
use super::owner::{MAX_COSTS, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::{AccountKey, QuotaCharge, QuotaLimit};

/// How long a grant may be used after its quota request was sent.
pub(crate) const GRANT_TTL: Duration = Duration::from_millis(500);
/// How long the owner may take to answer.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(300);
/// The time that a request needs from its grant to its send; a grant that expires earlier is not used.
const MIN_GRANT_LIFE: Duration = Duration::from_millis(50);
/// The time over which the use of an account is counted for requests in advance.
const USE_WINDOW: Duration = Duration::from_millis(200);
/// The number of requests within that time from which tokens are requested in advance. With 2, an account with 47,000
/// tokens per second lost 5 % of its quota to grants that were not used.
const MIN_USES: usize = 4;
/// The maximum time for which this router refuses requests itself; afterwards the owner is asked again, since other
/// routers may not have used what the denied requests left to them.
const MAX_REFUSAL: Duration = Duration::from_millis(500);
/// The minimum time for which this router refuses requests itself. An account with a high rate has credit again within
/// milliseconds; a flood of one at 24 routers sent its owner 1,100 quota requests per second.
const MIN_REFUSAL: Duration = Duration::from_millis(100);
/// The ratio to the denied cost from which a request is asked for in spite of a denial.
const SMALL_COST_RATIO: u32 = 4;
/// The maximum number of requests that wait for an account's owner.
const MAX_WAITING: usize = 1_024;
/// The part of its share of the rate that a router grants itself while the owner does not answer; the owner may go on
/// granting the whole rate to the other half of the fleet.
const LOCAL_FRACTION: f64 = 0.5;
/// How long an unanswered quota request shows that the owner does not answer. The share of the rate would accumulate while
/// no request comes, and be used at once by the next flood.
const SILENCE_TTL: Duration = Duration::from_secs(1);
/// The time over which a router's share of the rate accumulates while the owner does not answer.
const LOCAL_WINDOW: Duration = Duration::from_secs(8);
/// When a request that this router's share does not cover may return; the account may have another owner by then.
const MAX_LOCAL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long the state of an account without requests is kept.
const IDLE_TTL: Duration = Duration::from_secs(10);

/// Identifies a request that waits for tokens.
pub(crate) type Ticket = u64;

/// The answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acquired {
    /// The request may be sent until this time.
    Granted(Duration),
    /// The request may be repeated after this time.
    Denied(Duration),
}

/// What a request that needs tokens has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaStep {
    /// The decision is made.
    Done(Acquired),
    /// The owner decides.
    Wait(Ticket),
}

/// The tokens that this router holds, and the requests that wait for some.
#[derive(Debug, Default)]
pub(crate) struct QuotaGrants {
    accounts: HashMap<AccountKey, AccountGrants>,
    last_ticket: Ticket,
    last_request: u64,
}

/// A quota request to be sent to the owner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct NumberedRequest {
    /// Matches the reply to the request.
    pub(crate) number: u64,
    /// The message to the owner.
    pub(crate) request: QuotaRequest,
}

#[derive(Debug)]
struct AccountGrants {
    limit: QuotaLimit,
    /// The number of routers that share the rate while the owner does not answer.
    routers: usize,
    pool: VecDeque<Grant>,
    waiting: VecDeque<Waiting>,
    in_flight: Option<InFlight>,
    /// The tokens of sends that ran without being granted, which the owner does not know of yet.
    charged: u64,
    uses: VecDeque<(Duration, u32)>,
    denial: Option<Denial>,
    /// Set while the owner does not answer.
    local: Option<LocalShare>,
    /// What this router granted itself until the owner answered again, to be reported.
    unreported: Option<LocalShare>,
    used_at: Duration,
}

/// Granted tokens that no request has used.
#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: u64,
    expires_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: u32,
}

/// The quota request that the owner has not answered yet.
#[derive(Debug)]
struct InFlight {
    number: u64,
    sent_at: Duration,
    asked: Vec<Waiting>,
    ahead: u32,
}

/// The latest denial of the owner.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// The smallest denied cost.
    cost: u32,
    /// Until when this router refuses requests itself.
    until: Duration,
    /// When the request that was refused last may return.
    retry_at: Duration,
}

/// The share of the rate that this router grants itself.
#[derive(Clone, Copy, Debug)]
struct LocalShare {
    credit: f64,
    counted_at: Duration,
    since: Duration,
    /// When a quota request was last found to be unanswered.
    confirmed_at: Duration,
    used: u64,
}

impl LocalShare {
    const fn new(since: Duration) -> Self {
        Self {
            credit: 0.0,
            counted_at: since,
            since,
            confirmed_at: since,
            used: 0,
        }
    }
}

impl QuotaGrants {
    /// Returns what a request has to do that needs tokens now; `routers` is the size of the whole fleet.
    pub(crate) fn acquire(
        &mut self,
        charge: &QuotaCharge,
        routers: usize,
        now: Duration,
    ) -> QuotaStep {
        let account = self.account(charge, routers, now);
        if let Some(expires_at) = account.take(charge.cost, now) {
            return QuotaStep::Done(Acquired::Granted(expires_at));
        }
        if let Some(retry_after) = account.refuse(charge.cost, now) {
            return QuotaStep::Done(Acquired::Denied(retry_after));
        }
        account.forget_silence(now);
        // While the owner does not answer, one request at a time waits for it.
        if account.local.is_some() && account.in_flight.is_some() {
            return QuotaStep::Done(account.decide_locally(charge.cost, now));
        }
        if account.waiting.len() >= MAX_WAITING {
            return QuotaStep::Done(Acquired::Denied(OWNER_TIMEOUT));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let waiting = Waiting {
            ticket,
            cost: charge.cost,
        };
        let account = self.account(charge, routers, now);
        account.waiting.push_back(waiting);
        QuotaStep::Wait(ticket)
    }

    /// Returns the next quota request for `account`, which is sent at `now`, unless one is in flight or none is needed.
    pub(crate) fn next_request(
        &mut self,
        account: AccountKey,
        now: Duration,
    ) -> Option<NumberedRequest> {
        let grants = self.accounts.get_mut(&account)?;
        let is_needed =
            !grants.waiting.is_empty() || grants.charged > 0 || grants.unreported.is_some();
        if !is_needed || grants.in_flight.is_some() {
            return None;
        }
        self.last_request += 1;
        let number = self.last_request;
        let request = grants.begin_request(account, number, now);
        Some(NumberedRequest { number, request })
    }

    /// Applies the reply to a quota request, or, with `None`, that there was none; returns the decisions for the requests
    /// that waited for it.
    pub(crate) fn settle(
        &mut self,
        account: AccountKey,
        number: u64,
        reply: Option<&QuotaReply>,
        now: Duration,
    ) -> Vec<(Ticket, Acquired)> {
        let Some(grants) = self.accounts.get_mut(&account) else {
            return Vec::new();
        };
        match grants.in_flight.take_if(|sent| sent.number == number) {
            Some(sent) => grants.settle(sent, reply, now),
            None => Vec::new(),
        }
    }

    /// Decides for a request that has waited for too long, and records that the owner did not answer if that is the cause;
    /// the other requests' decisions follow.
    pub(crate) fn time_out(
        &mut self,
        charge: &QuotaCharge,
        ticket: Ticket,
        now: Duration,
    ) -> (Acquired, Vec<(Ticket, Acquired)>) {
        let denied = Acquired::Denied(MAX_LOCAL_RETRY_AFTER);
        let Some(grants) = self.accounts.get_mut(&charge.account) else {
            return (denied, Vec::new());
        };
        grants.waiting.retain(|waiting| waiting.ticket != ticket);
        let is_late = |sent: &mut InFlight| now >= sent.sent_at + OWNER_TIMEOUT;
        let mut others = match grants.in_flight.take_if(is_late) {
            Some(sent) => grants.settle(sent, None, now),
            None => Vec::new(),
        };
        let own = others.iter().position(|(other, _)| *other == ticket);
        let decision = match own {
            Some(index) => others.swap_remove(index).1,
            None => grants.decide_locally(charge.cost, now),
        };
        (decision, others)
    }

    /// Removes a request from those that wait, since its caller has left.
    pub(crate) fn forget(&mut self, account: AccountKey, ticket: Ticket) {
        if let Some(grants) = self.accounts.get_mut(&account) {
            grants.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Takes the tokens of a send back that was not run.
    pub(crate) fn give_back(&mut self, charge: &QuotaCharge, expires_at: Duration, now: Duration) {
        if let Some(grants) = self.accounts.get_mut(&charge.account)
            && now < expires_at
        {
            grants.add(u64::from(charge.cost), expires_at);
        }
    }

    /// Charges a send that runs without being granted, since it must not be refused.
    pub(crate) fn charge(&mut self, charge: &QuotaCharge, routers: usize, now: Duration) {
        let account = self.account(charge, routers, now);
        if account.take(charge.cost, now).is_none() {
            account.charged = account.charged.saturating_add(u64::from(charge.cost));
        }
    }

    /// Returns for how long requests of an account are refused without asking its owner; zero if they are not.
    pub(crate) fn denied_for(&self, account: AccountKey, now: Duration) -> Duration {
        let grants = self.accounts.get(&account);
        let denial = grants.and_then(|grants| grants.denial);
        denial.map_or(Duration::ZERO, |denial| denial.until.saturating_sub(now))
    }

    /// Refuses a request that a token of any of `accounts` would do for; returns when the first of them has one.
    pub(crate) fn reserve_return(
        &mut self,
        accounts: &[AccountKey],
        now: Duration,
    ) -> Option<Duration> {
        let denials = accounts.iter().filter_map(|account| {
            let denial = self.accounts.get(account)?.denial?;
            (now < denial.until).then_some((denial.retry_at, *account))
        });
        let (_, first) = denials.min()?;
        self.accounts.get_mut(&first)?.refuse(1, now)
    }

    /// Removes the state of accounts that are not used any more.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.accounts.retain(|_, grants| {
            let is_busy = !grants.waiting.is_empty() || grants.in_flight.is_some();
            is_busy || now < grants.used_at + IDLE_TTL
        });
    }

    /// Returns whether no account is in use.
    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn account(
        &mut self,
        charge: &QuotaCharge,
        routers: usize,
        now: Duration,
    ) -> &mut AccountGrants {
        let account = self
            .accounts
            .entry(charge.account)
            .or_insert_with(|| AccountGrants::new(charge.limit));
        account.limit = charge.limit;
        account.routers = routers.max(1);
        account.used_at = now;
        account
    }
}

impl AccountGrants {
    fn new(limit: QuotaLimit) -> Self {
        Self {
            limit,
            routers: 1,
            pool: VecDeque::new(),
            waiting: VecDeque::new(),
            in_flight: None,
            charged: 0,
            uses: VecDeque::new(),
            denial: None,
            local: None,
            unreported: None,
            used_at: Duration::ZERO,
        }
    }

    /// Takes `cost` from the granted tokens; returns when the first of them expires.
    fn take(&mut self, cost: u32, now: Duration) -> Option<Duration> {
        self.pool
            .retain(|grant| grant.expires_at >= now + MIN_GRANT_LIFE);
        let available: u64 = self.pool.iter().map(|grant| grant.tokens).sum();
        if available < u64::from(cost) {
            return None;
        }
        let mut missing = u64::from(cost);
        let mut expires_at = now + GRANT_TTL;
        while missing > 0 {
            let grant = self
                .pool
                .front_mut()
                .expect("the granted tokens cover the cost");
            expires_at = expires_at.min(grant.expires_at);
            let taken = missing.min(grant.tokens);
            grant.tokens -= taken;
            missing -= taken;
            if grant.tokens == 0 {
                self.pool.pop_front();
            }
        }
        self.record_use(cost, now);
        Some(expires_at)
    }

    /// Adds tokens, in the order in which they expire.
    fn add(&mut self, tokens: u64, expires_at: Duration) {
        if tokens == 0 {
            return;
        }
        let later = self
            .pool
            .iter()
            .position(|grant| grant.expires_at > expires_at);
        let index = later.unwrap_or(self.pool.len());
        self.pool.insert(index, Grant { tokens, expires_at });
    }

    fn record_use(&mut self, cost: u32, now: Duration) {
        self.uses.push_back((now, cost));
        self.forget_uses(now);
    }

    fn forget_uses(&mut self, now: Duration) {
        while self
            .uses
            .front()
            .is_some_and(|(at, _)| *at + USE_WINDOW <= now)
        {
            self.uses.pop_front();
        }
    }

    /// Returns the tokens to request in advance.
    fn ahead(&mut self, now: Duration) -> u32 {
        self.forget_uses(now);
        if self.uses.len() < MIN_USES {
            return 0;
        }
        let used = self.uses.iter().map(|(_, cost)| *cost);
        used.fold(0, u32::saturating_add)
    }

    /// Returns when a request may return that this router refuses after a denial of the owner; `None` if it doesn't.
    fn refuse(&mut self, cost: u32, now: Duration) -> Option<Duration> {
        let routers = self.routers as f64;
        let rate = self.limit.rate_per_s;
        let denial = self.denial.as_mut().filter(|denial| now < denial.until)?;
        if cost <= denial.cost / SMALL_COST_RATIO {
            return None;
        }
        // All routers refuse requests of this account at the same time.
        let credit_time = time_for(f64::from(cost) * routers, rate, MAX_RETRY_AFTER);
        let retry_at = denial.retry_at.max(now) + credit_time;
        denial.retry_at = retry_at.min(now + MAX_RETRY_AFTER);
        Some((denial.retry_at - now).max(MIN_RETRY_AFTER))
    }

    fn begin_request(&mut self, account: AccountKey, number: u64, now: Duration) -> QuotaRequest {
        let ahead = self.ahead(now);
        let count = self.waiting.len().min(MAX_COSTS);
        let asked: Vec<_> = self.waiting.drain(..count).collect();
        let charged = std::mem::take(&mut self.charged);
        let local = self.unreported.take();
        let local_age = local.map_or(Duration::ZERO, |local| now.saturating_sub(local.since));
        let request = QuotaRequest {
            account,
            rate_per_s: self.limit.rate_per_s as f32,
            burst: self.limit.burst as f32,
            costs: asked.iter().map(|waiting| waiting.cost).collect(),
            ahead,
            charged,
            local: local.map_or(0, |local| local.used),
            local_age_ms: u32::try_from(local_age.as_millis()).unwrap_or(u32::MAX),
        };
        self.in_flight = Some(InFlight {
            number,
            sent_at: now,
            asked,
            ahead,
        });
        request
    }

    fn settle(
        &mut self,
        sent: InFlight,
        reply: Option<&QuotaReply>,
        now: Duration,
    ) -> Vec<(Ticket, Acquired)> {
        let expires_at = sent.sent_at + GRANT_TTL;
        // The tokens of a late reply have expired, and a router that is not the owner has granted nothing.
        let reply = reply.filter(|reply| now < expires_at && !reply.is_not_owner);
        let Some(reply) = reply else {
            self.forget_silence(now);
            let local = self.local.get_or_insert(LocalShare::new(sent.sent_at));
            local.confirmed_at = now;
            let asked = sent.asked.into_iter();
            return asked
                .map(|waiting| (waiting.ticket, self.decide_locally(waiting.cost, now)))
                .collect();
        };
        self.end_silence();
        let mut granted = reply.granted;
        let mut decisions = Vec::with_capacity(sent.asked.len());
        for (index, waiting) in sent.asked.into_iter().enumerate() {
            let cost = u64::from(waiting.cost);
            let retry_after_ms = reply.retry_after_ms.get(index).copied().unwrap_or(0);
            if retry_after_ms == 0 && granted >= cost {
                granted -= cost;
                self.record_use(waiting.cost, now);
                decisions.push((waiting.ticket, Acquired::Granted(expires_at)));
                continue;
            }
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            let retry_after = retry_after.clamp(MIN_REFUSAL, MAX_RETRY_AFTER);
            self.record_denial(waiting.cost, retry_after, now);
            decisions.push((waiting.ticket, Acquired::Denied(retry_after)));
        }
        self.add(granted.min(u64::from(sent.ahead)), expires_at);
        decisions
    }

    /// Ends the time in which this router grants its own share, and keeps what it granted for the next report.
    fn end_silence(&mut self) {
        let local = self.local.take().filter(|local| local.used > 0);
        self.unreported = local.or(self.unreported);
    }

    fn forget_silence(&mut self, now: Duration) {
        let is_old = |local: LocalShare| now >= local.confirmed_at + SILENCE_TTL;
        if self.local.is_some_and(is_old) {
            self.end_silence();
        }
    }

    fn record_denial(&mut self, cost: u32, retry_after: Duration, now: Duration) {
        let until = now + retry_after.min(MAX_REFUSAL);
        let retry_at = now + retry_after;
        let known = self.denial.filter(|denial| now < denial.until);
        self.denial = Some(known.map_or(
            Denial {
                cost,
                until,
                retry_at,
            },
            |known| Denial {
                cost: known.cost.min(cost),
                until: known.until.max(until),
                retry_at: known.retry_at.max(retry_at),
            },
        ));
    }

    /// Grants `cost` from this router's share of the rate, or denies it.
    fn decide_locally(&mut self, cost: u32, now: Duration) -> Acquired {
        if let Some(expires_at) = self.take(cost, now) {
            return Acquired::Granted(expires_at);
        }
        let rate = self.limit.rate_per_s / self.routers as f64 * LOCAL_FRACTION;
        let local = self.local.get_or_insert(LocalShare::new(now));
        let time = now.saturating_sub(local.counted_at);
        let most = rate * LOCAL_WINDOW.as_secs_f64();
        local.credit = (local.credit + rate * time.as_secs_f64()).min(most);
        local.counted_at = now;
        let cost_units = f64::from(cost);
        if local.credit >= cost_units {
            local.credit -= cost_units;
            local.used = local.used.saturating_add(u64::from(cost));
            self.record_use(cost, now);
            return Acquired::Granted(now + GRANT_TTL);
        }
        let retry_after = time_for(cost_units - local.credit, rate, MAX_LOCAL_RETRY_AFTER);
        Acquired::Denied(retry_after.max(MIN_RETRY_AFTER))
    }
}

/// Returns the time in which `rate` yields `tokens`, at most `longest`.
fn time_for(tokens: f64, rate: f64, longest: Duration) -> Duration {
    let seconds = (tokens / rate).clamp(0.0, longest.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or(longest)
}
