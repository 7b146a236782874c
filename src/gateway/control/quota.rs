//! Sends quota requests to the owners of accounts, and answers those of the accounts that this router owns
//! ([`crate::gateway::quota`]).

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock::boot_time;
use crate::gateway::quota::grants::OWNER_TIMEOUT;
use crate::gateway::quota::message::{QuotaReply, QuotaRequest};
use crate::gateway::quota::{AccountKey, account_key};
use crate::gateway::route::RouteTable;
use crate::peer::{Body, Kind, ReplyHandle};

use super::Control;

impl Control {
    /// Applies the quotas of a new configuration.
    pub(super) fn set_quotas(&mut self, table: &RouteTable) {
        let accounts = table.configuration().accounts.iter();
        let tolerance = self.shared.bounds().quota_tolerance();
        let limits = accounts.map(|account| {
            let limit = account.quota.and_then(|quota| {
                quota.limit.checked()?;
                Some(tolerance.apply(&quota))
            });
            (account_key(&account.name), limit)
        });
        self.quotas.set_limits(limits);
        self.update_quotas(boot_time());
    }

    /// Updates the accounts that this router owns and the share of their limits that it grants.
    pub(super) fn update_quotas(&mut self, now: Duration) {
        let alive = self.peers.alive();
        let alive = alive.map(|member| (&member.router, member.leaving));
        if !self.quotas.is_active() {
            if let Some(fleet) = self.quotas.observe_idle(alive, now) {
                self.shared.quota.set_fleet(fleet);
            }
            return;
        }
        let is_own = |account: AccountKey| self.peers.quota_owner(account) == self.peers.own();
        let generation = self.peers.generation();
        let update = self.quotas.update(alive, generation, is_own, now);
        if let Some(pause) = update.pause {
            log::warn!(
                "quota: The buckets were emptied after a pause. pause_ms={}",
                pause.as_millis()
            );
        }
        self.shared.quota.set_fleet(update.fleet);
        self.shared.quota.expire(now);
        let share = update.visible as f64 / update.fleet as f64;
        metrics::gauge!("crocuswharf_gateway_quota_share").set(share);
        metrics::gauge!("crocuswharf_gateway_quota_owned_accounts").set(update.owned as f64);
    }

    /// Passes a quota request of this router to the owner of the account, which may be this router itself.
    pub(super) fn request_quota(&mut self, number: u64, request: QuotaRequest) {
        if !self.quotas.is_active() {
            self.quotas.activate();
            self.update_quotas(boot_time());
        }
        let account = request.account;
        let owner = self.peers.quota_owner(account);
        if owner == self.peers.own() {
            let reply = self.decide_quota(&request);
            self.shared.settle_quota(account, number, Some(&reply));
            return;
        }
        let pending = self.peers.request_quota(owner, &request, OWNER_TIMEOUT);
        let (shared, owner) = (Arc::clone(&self.shared), Arc::clone(owner));
        tokio::spawn(async move {
            let reply = pending.await;
            if reply.as_ref().is_none_or(|reply| reply.is_not_owner) {
                metrics::counter!("crocuswharf_gateway_quota_unanswered_total").increment(1);
                log::warn!(
                    "quota: The owner of an account did not answer. owner={owner} account={account:016x} is_not_owner={}",
                    reply.is_some()
                );
            }
            shared.settle_quota(account, number, reply.as_ref());
        });
    }

    /// Answers the quota request of another router.
    pub(super) fn answer_quota_request(&mut self, request: &QuotaRequest, reply: ReplyHandle) {
        let decision = self.decide_quota(request);
        reply.send(Body::encode(Kind::Quota, &decision));
    }

    fn decide_quota(&mut self, request: &QuotaRequest) -> QuotaReply {
        let is_own = self.peers.quota_owner(request.account) == self.peers.own();
        let reply = self.quotas.answer(request, is_own, boot_time());
        metrics::counter!("crocuswharf_gateway_quota_granted_total").increment(reply.granted);
        let denied = reply.retry_after_ms.iter().filter(|time| **time > 0);
        metrics::counter!("crocuswharf_gateway_quota_denials_total")
            .increment(denied.count() as u64);
        reply
    }
}
