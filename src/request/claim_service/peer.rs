//! Claim requests between routers: to the owner of a bucket, and queries about attempts of other routers.

use std::net::SocketAddr;
use std::time::Duration;

use super::ClaimService;
use crate::id::{Incarnation, RouterId};
use crate::membership::owner_of;
use crate::peer::{Body, Kind, Links, PeerEvent, PeerIdentity};
use crate::request::claim::{AbandonProof, AttemptId, AttemptPhase, Change, Decision};
use crate::request::message::{
    AbandonProofMessage, AttemptQuery, AttemptReply, ClaimMessage, ClaimReply, ClaimRequest,
    ClaimRequestBody, OutcomeMessage, OutcomeReply,
};

/// Maximum time for the owner of a bucket to decide a claim before this router writes the bucket itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for another router to reply whether it abandoned an attempt.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for the owner of a bucket to record an outcome before this router records it.
const OWNER_RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// A router that may own buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimMember {
    /// The name of the router.
    pub router: RouterId,
    /// The address at which it accepts peer connections.
    pub address: SocketAddr,
}

/// The routers among which the buckets are distributed, and the connections to them.
#[derive(Clone)]
pub struct ClaimPeers {
    /// The connections to peers.
    pub links: Links,
    /// The routers that are alive and not leaving.
    pub members: Vec<ClaimMember>,
}

impl std::fmt::Debug for ClaimPeers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimPeers")
            .field("members", &self.members)
            .finish_non_exhaustive()
    }
}

impl ClaimPeers {
    pub(super) fn owner(&self, bucket: u32) -> Option<ClaimMember> {
        let routers = self.members.iter().map(|member| &member.router);
        let owner = owner_of(u64::from(bucket), routers)?;
        self.member(owner)
    }

    fn member(&self, router: &RouterId) -> Option<ClaimMember> {
        let mut members = self.members.iter();
        members.find(|member| member.router == *router).cloned()
    }
}

fn encode_request(request: ClaimRequestBody) -> Body {
    let request = ClaimRequest {
        body: Some(request),
    };
    Body::encode(Kind::Claim, &request)
}

impl ClaimService {
    /// Submits a claim to the peer that owns its bucket; returns `None` if there is no such peer or it does not reply.
    pub(super) async fn claim_at_owner(&self, change: &Change) -> Option<Decision> {
        let Change::Claim(claim, proof) = change else {
            return None;
        };
        let (peers, owner) = self.owner(&claim.key)?;
        let message = ClaimMessage::new(claim, proof.as_ref());
        let request = encode_request(ClaimRequestBody::Claim(message));
        let reply = peers
            .links
            .request(owner.address, request, OWNER_TIMEOUT)
            .await?;
        let reply: ClaimReply = reply.decode().ok()?;
        Some(reply.into_decision(claim.attempt))
    }

    /// Sends an outcome to the peer that owns its bucket; returns whether the peer has recorded it.
    pub(super) async fn record_at_owner(&self, change: &Change) -> bool {
        let key = match change {
            Change::Claim(claim, _) => &claim.key,
            Change::RecordRan(key, ..) | Change::RecordNotRun(key, _) => key,
        };
        let (Some((peers, owner)), Some(message)) =
            (self.owner(key), OutcomeMessage::from_change(change))
        else {
            return false;
        };
        let request = encode_request(ClaimRequestBody::Record(message));
        let links = &peers.links;
        let reply = links
            .request(owner.address, request, OWNER_RECORD_TIMEOUT)
            .await;
        let reply: Option<OutcomeReply> = reply.and_then(|reply| reply.decode().ok());
        reply.is_some_and(|reply| reply.is_recorded)
    }

    /// Queries the router of an attempt; returns its proof if it abandoned the attempt.
    pub(super) async fn query_router(
        &self,
        router: &RouterId,
        incarnation: Incarnation,
        attempt: AttemptId,
    ) -> Option<AbandonProof> {
        let peers = self.inner.peers.load_full()?;
        let member = peers.member(router)?;
        let query = AttemptQuery {
            attempt: bytes::Bytes::copy_from_slice(attempt.as_bytes()),
            incarnation,
        };
        let request = encode_request(ClaimRequestBody::Query(query));
        let links = &peers.links;
        let reply = links
            .request(member.address, request, QUERY_TIMEOUT)
            .await?;
        let reply: AttemptReply = reply.decode().ok()?;
        let proof = reply.proof?.into_proof(router.clone(), incarnation)?;
        (proof.attempt() == attempt).then_some(proof)
    }

    /// Handles a claim request from a peer; the control thread passes bodies of [`Kind::Claim`] here.
    pub fn receive(&self, event: PeerEvent) {
        let request: Option<ClaimRequest> = event.body.decode().ok();
        let Some(request) = request.and_then(|request| request.body) else {
            let router = &event.from.router;
            log::warn!("request: Failed to decode a claim request from a peer. router={router}");
            return;
        };
        let service = self.clone();
        self.inner.runtime.spawn(async move {
            let reply = service.reply_to(request, &event.from).await;
            if let (Some(reply), Some(handle)) = (reply, event.reply) {
                handle.send(reply);
            }
        });
    }

    async fn reply_to(&self, request: ClaimRequestBody, from: &PeerIdentity) -> Option<Body> {
        match request {
            ClaimRequestBody::Claim(message) => {
                let (claim, proof) = message.into_claim(from.router.clone(), from.incarnation)?;
                let attempt = claim.attempt;
                let timeout = self.inner.options.claim_timeout;
                let decision = self
                    .decide_locally(Change::Claim(claim, proof), timeout)
                    .await;
                let reply = ClaimReply::new(attempt, decision);
                Some(Body::encode(Kind::Claim, &reply))
            }
            ClaimRequestBody::Record(message) => {
                let change = message.into_change()?;
                let decision = self.decide_locally(change, OWNER_RECORD_TIMEOUT).await;
                let is_recorded = decision != Decision::Unavailable;
                Some(Body::encode(Kind::Claim, &OutcomeReply { is_recorded }))
            }
            ClaimRequestBody::Query(query) => {
                Some(Body::encode(Kind::Claim, &self.answer_query(&query)))
            }
        }
    }

    fn answer_query(&self, query: &AttemptQuery) -> AttemptReply {
        let is_this_incarnation = query.incarnation == self.inner.options.incarnation;
        let attempt = AttemptId::from_slice(&query.attempt).unwrap_or_default();
        let attempts = self.attempts();
        let proof = match attempts.phase(attempt) {
            Some(AttemptPhase::Abandoned(proof)) if is_this_incarnation => {
                Some(AbandonProofMessage::new(proof))
            }
            _ => None,
        };
        AttemptReply { proof }
    }
}
