//! Requests tokens for the requests of this router ([`super::grants`]) and passes the decisions to them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;

use super::grants::{Acquired, NumberedRequest, OWNER_TIMEOUT, QuotaGrants, QuotaStep, Ticket};
use super::message::QuotaReply;
use super::{AccountKey, QuotaCharge, QuotaSubject};
use crate::gateway::clock::boot_time;
use crate::gateway::control::Event;
use crate::gateway::shared::Shared;

/// How much longer a request waits for its decision than the owner may take to answer.
const WAIT_SLACK: Duration = Duration::from_millis(20);
/// The maximum fraction by which a stated delay is lengthened, so that callers don't return together.
const RETRY_JITTER: f64 = 0.1;

/// The quota state of this router's requests.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    state: Mutex<GateState>,
    /// The size of the whole fleet.
    fleet: AtomicUsize,
}

#[derive(Debug, Default)]
struct GateState {
    grants: QuotaGrants,
    waiters: HashMap<Ticket, oneshot::Sender<Acquired>>,
}

impl QuotaGate {
    /// Creates the state of a router whose settings name `fleet` routers.
    pub(crate) fn new(fleet: usize) -> Self {
        Self {
            state: Mutex::default(),
            fleet: AtomicUsize::new(fleet.max(1)),
        }
    }

    /// Sets the size of the whole fleet.
    pub(crate) fn set_fleet(&self, fleet: usize) {
        self.fleet.store(fleet, Ordering::Relaxed);
    }

    /// Returns the size of the whole fleet, with the routers that disappeared lately.
    pub(crate) fn fleet(&self) -> usize {
        self.fleet.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns for how long this router refuses requests of an account itself; zero if it would ask the owner.
    pub(crate) fn denied_for(&self, account: AccountKey, now: Duration) -> Duration {
        self.lock().grants.denied_for(account, now)
    }

    /// Returns when a request that was refused may return, since the first of `accounts` has a token for it then; `None`
    /// if none of them refuses requests.
    pub(crate) fn reserve_return(
        &self,
        accounts: &[AccountKey],
        now: Duration,
    ) -> Option<Duration> {
        let time = self.lock().grants.reserve_return(accounts, now)?;
        Some(jittered(time))
    }

    /// Removes the state of accounts that are not used any more.
    pub(crate) fn expire(&self, now: Duration) {
        let mut state = self.lock();
        if !state.grants.is_empty() {
            state.grants.expire(now);
        }
    }
}

impl GateState {
    fn deliver(&mut self, decisions: Vec<(Ticket, Acquired)>) {
        for (ticket, decision) in decisions {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The caller may have left; its tokens expire.
                let _ = waiter.send(decision);
            }
        }
    }
}

/// Removes a request from those that wait when its caller leaves.
struct Waiter<'a> {
    gate: &'a QuotaGate,
    account: AccountKey,
    ticket: Ticket,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        if state.waiters.remove(&self.ticket).is_some() {
            state.grants.forget(self.account, self.ticket);
        }
    }
}

impl Shared {
    /// Acquires the tokens that a request costs; returns until when it may be sent, or when it may be repeated.
    pub(crate) async fn acquire_quota(
        &self,
        charge: &QuotaCharge,
        limit: Duration,
    ) -> Result<Duration, Duration> {
        let decision = self.quota_decision(charge, limit).await;
        let outcome = match decision {
            Acquired::Granted(_) => "granted",
            Acquired::Denied(_) => "denied",
        };
        let counter = match charge.subject {
            QuotaSubject::Account => "crocuswharf_gateway_quota_requests_total",
            QuotaSubject::Replica => "crocuswharf_gateway_limit_requests_total",
        };
        metrics::counter!(counter, "outcome" => outcome).increment(1);
        match decision {
            Acquired::Granted(expires_at) => Ok(expires_at),
            Acquired::Denied(retry_after) => Err(jittered(retry_after)),
        }
    }

    async fn quota_decision(&self, charge: &QuotaCharge, limit: Duration) -> Acquired {
        let gate = &self.quota;
        let (sender, decision) = oneshot::channel();
        let ticket = {
            let mut state = gate.lock();
            match state.grants.acquire(charge, gate.fleet(), boot_time()) {
                QuotaStep::Done(decision) => return decision,
                QuotaStep::Wait(ticket) => {
                    state.waiters.insert(ticket, sender);
                    ticket
                }
            }
        };
        let _waiter = Waiter {
            gate,
            account: charge.account,
            ticket,
        };
        self.send_quota_request(charge.account);
        let wait = limit.min(OWNER_TIMEOUT + WAIT_SLACK);
        if let Ok(Ok(decision)) = tokio::time::timeout(wait, decision).await {
            return decision;
        }
        let mut state = gate.lock();
        state.waiters.remove(&ticket);
        let (decision, others) = state.grants.time_out(charge, ticket, boot_time());
        state.deliver(others);
        drop(state);
        metrics::counter!("crocuswharf_gateway_quota_timeouts_total").increment(1);
        self.send_quota_request(charge.account);
        decision
    }

    /// Sends the next quota request for an account through the control thread, unless one is in flight.
    fn send_quota_request(&self, account: AccountKey) {
        let next = self.quota.lock().grants.next_request(account, boot_time());
        if let Some(NumberedRequest { number, request }) = next
            && !self.send_to_control(Event::QuotaRequested(number, request))
        {
            // The requests that wait are decided here; no further request follows until the next one arrives.
            let mut state = self.quota.lock();
            let decisions = state.grants.settle(account, number, None, boot_time());
            state.deliver(decisions);
        }
    }

    /// Applies the reply to a quota request, or, with `None`, that there was none.
    pub(crate) fn settle_quota(
        &self,
        account: AccountKey,
        number: u64,
        reply: Option<&QuotaReply>,
    ) {
        let mut state = self.quota.lock();
        let decisions = state.grants.settle(account, number, reply, boot_time());
        state.deliver(decisions);
        drop(state);
        self.send_quota_request(account);
    }

    /// Takes the tokens of a send back that was not run.
    pub(crate) fn give_quota_back(&self, charge: &QuotaCharge, expires_at: Duration) {
        let mut state = self.quota.lock();
        state.grants.give_back(charge, expires_at, boot_time());
    }

    /// Charges a send that runs without being granted.
    pub(crate) fn charge_quota(&self, charge: &QuotaCharge) {
        let fleet = self.quota.fleet();
        self.quota.lock().grants.charge(charge, fleet, boot_time());
        metrics::counter!("crocuswharf_gateway_quota_charged_total")
            .increment(u64::from(charge.cost));
        self.send_quota_request(charge.account);
    }
}

fn jittered(retry_after: Duration) -> Duration {
    let factor = 1.0 + rand::rng().random_range(0.0..RETRY_JITTER);
    retry_after.mul_f64(factor)
}
