//! Status: what the fleet is, what is warm, and what was repaired lately on which evidence.
//!
//! A router tells its own part; the one that an operator asked joins the parts of all members. A member that did not
//! answer is listed with the reason, and its part is missing rather than guessed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::MissingMember;
use crate::id::{
    AccountId, Incarnation, PoolName, ReplicaId, Revision, RouterId, ServiceName, WeightsVersion,
    ZoneName,
};

mod heat;
mod message;
mod repair;
#[cfg(test)]
mod tests;
mod text;

pub use self::heat::{Heat, OpeningHeat};
pub use self::message::{AskedReport, ReportReply, ReportRequest};
pub use self::repair::{Repair, Repairs};
pub use self::text::render_status;

/// The status of the fleet as one router joined it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The router that joined the parts.
    pub asked: RouterId,
    /// The parts of the members that answered, by name.
    pub members: Vec<MemberStatus>,
    /// The members that did not answer.
    pub missing: Vec<MissingMember>,
}

/// One router's part of the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The router.
    pub router: RouterId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// For how long it has run, in seconds.
    pub uptime_s: u64,
    /// The revision of the configuration that it has in force.
    pub revision: Revision,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its requests in flight.
    pub open_requests: u64,
    /// The members that it believes to be alive, itself included.
    pub members_alive: u32,
    /// Its calls to the platform since it started.
    pub store: StoreCalls,
    /// What it knows of the replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// The openings that it met most often, hottest first.
    pub openings: Vec<OpeningHeat>,
    /// What it repaired lately, latest first.
    pub repairs: Vec<Repair>,
    /// The latest requests that went wrong, latest first, for `explain`.
    pub notable_requests: Vec<uuid::Uuid>,
}

/// Calls to the platform's object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Calls that the router's own budget refused.
    pub refused: u64,
}

/// What one router knows of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's pool.
    pub pool: PoolName,
    /// The replica.
    pub replica: ReplicaId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it gets new work.
    pub available: bool,
    /// Its incarnation, zero before the first answer.
    pub incarnation: Incarnation,
    /// The weights version that it serves, zero before the first answer.
    pub weights_version: WeightsVersion,
    /// The requests that this router has in flight there.
    pub in_flight: u32,
    /// The prompt tokens that it reported to wait for prefill.
    pub queued_prefill_tokens: Option<u64>,
}

impl FleetStatus {
    /// Joins the parts of the members with the reasons of those that are missing.
    #[must_use]
    pub fn join(
        asked: RouterId,
        mut members: Vec<MemberStatus>,
        mut missing: Vec<MissingMember>,
    ) -> Self {
        members.sort_by(|one, two| one.router.cmp(&two.router));
        missing.sort_by(|one, two| one.router.cmp(&two.router));
        Self {
            asked,
            members,
            missing,
        }
    }

    /// Returns at how many members each revision is in force, newest first.
    #[must_use]
    pub fn revisions(&self) -> Vec<(Revision, usize)> {
        let mut counts = std::collections::BTreeMap::new();
        for member in &self.members {
            *counts.entry(member.revision).or_insert(0) += 1;
        }
        counts.into_iter().rev().collect()
    }

    /// Returns the openings of all members by heat, at most `limit`.
    ///
    /// Several routers meet the same opening, so their counts are added.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<OpeningHeat> {
        let mut joined: std::collections::BTreeMap<&str, OpeningHeat> =
            std::collections::BTreeMap::new();
        for heat in self.members.iter().flat_map(|member| &member.openings) {
            joined
                .entry(&heat.opening)
                .and_modify(|known| known.requests = known.requests.saturating_add(heat.requests))
                .or_insert_with(|| heat.clone());
        }
        let mut openings: Vec<OpeningHeat> = joined.into_values().collect();
        openings.sort_by(|one, two| {
            let by_heat = two.requests.cmp(&one.requests);
            by_heat.then_with(|| one.opening.cmp(&two.opening))
        });
        openings.truncate(limit);
        openings
    }
}

/// Names an opening in reports: its service, its account and the hash of one of its pieces.
#[must_use]
pub fn opening_name(service: &ServiceName, account: &AccountId, hash: u128) -> Arc<str> {
    format!("{service}/{account}/{:016x}", hash >> 64).into()
}
