//! Sends quota requests to the owners of accounts, and answers those of the accounts that this router owns
//! ([`crate::gateway::quota`]).

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::clock::boot_time;
use crate::gateway::quota::fleet_share::FleetShare;
use crate::gateway::quota::grants::OWNER_TIMEOUT;
use crate::gateway::quota::message::{QuotaReply, QuotaRequest};
use crate::gateway::quota::owner::QuotaOwner;
use crate::gateway::quota::{AccountKey, QuotaLimit, account_key};
use crate::gateway::route::RouteTable;
use crate::peer::{Body, Kind, ReplyHandle};

use super::Control;

/// The quotas of the configuration, and the buckets of the accounts that this router owns.
#[derive(Debug)]
pub(super) struct QuotaState {
    /// The limit of each account of the configuration; `None` if it has no quota.
    limits: HashMap<AccountKey, Option<QuotaLimit>>,
    owner: QuotaOwner,
    fleet: FleetShare,
    /// Whether any account has a quota, or a router has asked for one.
    is_active: bool,
}

impl QuotaState {
    /// Creates the state of a router whose settings name `expected` routers.
    pub(super) fn new(expected: usize, now: Duration) -> Self {
        Self {
            limits: HashMap::new(),
            owner: QuotaOwner::new(now),
            fleet: FleetShare::new(expected, now),
            is_active: false,
        }
    }

    fn set_configuration(&mut self, table: &RouteTable) {
        let accounts = table.configuration().accounts.iter();
        self.limits = accounts
            .map(|account| {
                let limit = account.quota.and_then(|quota| quota.limit.checked());
                (account_key(&account.name), limit)
            })
            .collect();
        self.is_active |= self.limits.values().any(Option::is_some);
    }
}

impl Control {
    /// Applies the quotas of a new configuration.
    pub(super) fn set_quotas(&mut self, table: &RouteTable) {
        self.quota.set_configuration(table);
        self.update_quotas(boot_time());
    }

    /// Updates the accounts that this router owns and the share of their limits that it grants.
    pub(super) fn update_quotas(&mut self, now: Duration) {
        if !self.quota.is_active {
            return;
        }
        if let Some(pause) = self.quota.owner.tick(now) {
            log::warn!(
                "quota: The buckets were emptied after a pause. pause_ms={}",
                pause.as_millis()
            );
        }
        let alive = self.peers.alive();
        let alive = alive.map(|member| (&member.router, member.leaving));
        let (visible, fleet) = self.quota.fleet.observe(alive, now);
        self.shared.quota.set_fleet(fleet);
        self.shared.quota.expire(now);
        let is_own = |account: &AccountKey| self.peers.quota_owner(*account) == self.peers.own();
        let limits = self.quota.limits.iter();
        let owned: HashMap<AccountKey, QuotaLimit> = limits
            .filter_map(|(account, limit)| Some((*account, (*limit)?)))
            .filter(|(account, _)| is_own(account))
            .collect();
        let share = visible as f64 / fleet as f64;
        self.quota.owner.set_owned(&owned, share, now);
        self.quota.owner.remove_unknown(|account| !is_own(&account));
        metrics::gauge!("crocuswharf_gateway_quota_owned_accounts").set(owned.len() as f64);
    }

    /// Passes a quota request of this router to the owner of the account, which may be this router itself.
    pub(super) fn request_quota(&mut self, number: u64, request: QuotaRequest) {
        let account = request.account;
        let owner = self.peers.quota_owner(account);
        if owner == self.peers.own() {
            let reply = self.decide_quota(&request);
            self.shared.settle_quota(account, number, Some(&reply));
            return;
        }
        let pending = self.peers.request_quota(owner, &request, OWNER_TIMEOUT);
        let shared = std::sync::Arc::clone(&self.shared);
        tokio::spawn(async move {
            let reply = pending.await;
            shared.settle_quota(account, number, reply.as_ref());
        });
    }

    /// Answers the quota request of another router.
    pub(super) fn answer_quota_request(&mut self, request: &QuotaRequest, reply: ReplyHandle) {
        let decision = if self.peers.quota_owner(request.account) == self.peers.own() {
            self.decide_quota(request)
        } else {
            QuotaReply {
                is_not_owner: true,
                ..QuotaReply::default()
            }
        };
        reply.send(Body::encode(Kind::Quota, &decision));
    }

    fn decide_quota(&mut self, request: &QuotaRequest) -> QuotaReply {
        let limit = match self.quota.limits.get(&request.account) {
            Some(Some(limit)) => *limit,
            Some(None) => return QuotaReply::grant_all(request),
            None => {
                self.quota.is_active = true;
                QuotaLimit {
                    rate_per_s: f64::from(request.rate_per_s),
                    burst: f64::from(request.burst),
                }
            }
        };
        let reply = self.quota.owner.request(request, limit, boot_time());
        metrics::counter!("crocuswharf_gateway_quota_granted_total").increment(reply.granted);
        let denied = reply.retry_after_ms.iter().filter(|time| **time > 0);
        metrics::counter!("crocuswharf_gateway_quota_denials_total")
            .increment(denied.count() as u64);
        reply
    }
}
