//! Fleet status: members, replicas, hot prefixes, and recent automatic repairs with their evidence.
//!
//! Each router reports its own status, and the router that an operator queries merges those of all members. A member
//! that did not reply is listed with the reason; its status is omitted, not estimated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::MissingMember;
use crate::id::{
    AccountId, Incarnation, PoolName, ReplicaId, Revision, RouterId, ServiceName, WeightsVersion,
    ZoneName,
};

mod hot_prefixes;
mod message;
mod repair;
#[cfg(test)]
mod tests;
mod text;

pub use self::hot_prefixes::{HotPrefix, HotPrefixes};
pub use self::message::{ReportReply, ReportRequest, RequestedReport};
pub use self::repair::{Repair, Repairs};
pub use self::text::render_status;

/// The status of the fleet, merged by one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The router that the operator queried, which merged the status of all members.
    pub asked: RouterId,
    /// The status of each member that replied, sorted by name.
    pub members: Vec<MemberStatus>,
    /// The members that did not reply.
    pub missing: Vec<MissingMember>,
}

/// The status of one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The router.
    pub router: RouterId,
    /// Its availability za.
    pub zone: ZoneName,
    /// The time since it started, in seconds.
    pub uptime_s: u64,
    /// The revision of its active configuration.
    pub revision: Revision,
    /// Whether it is draining.
    pub draining: bool,
    /// The number of its requests in flight.
    pub open_requests: u64,
    /// The number of members that it considers alive, including itself.
    pub members_alive: u32,
    /// Its calls to the platform's object API since it started.
    pub store: StoreCalls,
    /// The replicas as seen by this router.
    pub replicas: Vec<ReplicaStatus>,
    /// The prompt prefixes that it received most often, in descending order of requests.
    pub openings: Vec<HotPrefix>,
    /// Its most recent automatic repairs, newest first.
    pub repairs: Vec<Repair>,
    /// Its most recent failed or retried requests, newest first, for use with `explain`.
    pub notable_requests: Vec<uuid::Uuid>,
}

/// The number of calls to the platform's object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Read and list calls.
    pub reads: u64,
    /// Write and delete calls.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls rejected by the router's own rate budget.
    pub refused: u64,
}

/// A replica as seen by one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's pool.
    pub pool: PoolName,
    /// The replica.
    pub replica: ReplicaId,
    /// Its availability za.
    pub zone: ZoneName,
    /// Whether it receives new requests.
    pub available: bool,
    /// Its incarnation; zero before its first response.
    pub incarnation: Incarnation,
    /// The weights version that it serves; zero before its first response.
    pub weights_version: WeightsVersion,
    /// The number of requests that this router has in flight at the replica.
    pub in_flight: u32,
    /// The number of prompt tokens waiting for prefill, as reported by the replica.
    pub queued_prefill_tokens: Option<u64>,
}

impl FleetStatus {
    /// Merges the status of the members that replied with the list of missing members.
    #[must_use]
    pub fn merge(
        asked: RouterId,
        mut members: Vec<MemberStatus>,
        mut missing: Vec<MissingMember>,
    ) -> Self {
        members.sort_by(|a, b| a.router.cmp(&b.router));
        missing.sort_by(|a, b| a.router.cmp(&b.router));
        Self {
            asked,
            members,
            missing,
        }
    }

    /// Returns each active revision with the number of members that use it, newest first.
    #[must_use]
    pub fn revisions(&self) -> Vec<(Revision, usize)> {
        let mut counts = std::collections::BTreeMap::new();
        for member in &self.members {
            *counts.entry(member.revision).or_insert(0) += 1;
        }
        counts.into_iter().rev().collect()
    }

    /// Returns up to `limit` of the most requested prefixes of all members, in descending order of requests.
    ///
    /// Several routers can receive the same prefix, so their counts are added.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<HotPrefix> {
        let mut merged: std::collections::BTreeMap<&str, HotPrefix> =
            std::collections::BTreeMap::new();
        for prefix in self.members.iter().flat_map(|member| &member.openings) {
            merged
                .entry(&prefix.opening)
                .and_modify(|known| known.requests = known.requests.saturating_add(prefix.requests))
                .or_insert_with(|| prefix.clone());
        }
        let mut prefixes: Vec<HotPrefix> = merged.into_values().collect();
        prefixes.sort_by(|a, b| {
            let by_requests = b.requests.cmp(&a.requests);
            by_requests.then_with(|| a.opening.cmp(&b.opening))
        });
        prefixes.truncate(limit);
        prefixes
    }
}

/// Returns the name of a prompt prefix in reports: its service, its account and the hash of one of its blocks.
#[must_use]
pub fn prefix_name(service: &ServiceName, account: &AccountId, hash: u128) -> Arc<str> {
    format!("{service}/{account}/{:016x}", hash >> 64).into()
}
