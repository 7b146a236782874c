//! Replica selection: asks the router that owns the prompt prefix, and falls back to this router's own view of the
//! replicas if no owner responds.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::control::{Event, PoolRouting, PoolView, Shared};
use crate::explain::View;
use crate::id::RequestId;
use crate::peer::{Body, Kind};
use crate::policy::{
    Choice, ChoiceContext, InstanceTag, Lookup, LookupMessage, Observation, OwnerReply,
    OwnerReplyMessage, ReplicaView, RequestTag, choose,
};
use crate::preference::Preference;
use crate::prefix::PromptPrefix;

/// The maximum number of owners that are asked, one after another.
const MAX_OWNERS: usize = 2;

/// Selects replicas for one request and reports the outcome to the control thread.
pub(crate) struct ReplicaSelector {
    shared: Arc<Shared>,
    routing: Option<Arc<PoolRouting>>,
    preference: Arc<Preference>,
    request: RequestTag,
    cell: usize,
    instance: Option<InstanceTag>,
    view: View,
}

impl ReplicaSelector {
    /// Creates the selector of one request.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the tag is the low bits of the request id"
    )]
    pub(crate) fn new(
        shared: Arc<Shared>,
        pool: &PoolView,
        preference: Arc<Preference>,
        request_id: RequestId,
    ) -> Self {
        Self {
            shared,
            routing: pool.routing.clone(),
            preference,
            request: request_id.as_u128() as RequestTag,
            cell: 0,
            instance: None,
            view: View::Own,
        }
    }

    /// Returns whose view of the replicas the last selection was based on.
    pub(crate) const fn view(&self) -> &View {
        &self.view
    }

    /// Selects a replica whose position is not in `excluded`.
    pub(crate) async fn select(&mut self, prefix: &PromptPrefix, excluded: &[usize]) -> Choice {
        let Some(routing) = self.routing.clone() else {
            return Choice::NoReplica;
        };
        let key = prefix.owner_key();
        let cells = routing.pool.cells().preferred_cells(key, 1);
        self.cell = cells.first().copied().unwrap_or(0);
        let price = self.preference.recomputation_price;
        let mut lookup = Lookup::new(self.request, self.cell, prefix, price, routing.zone);
        let excluded_replicas = excluded
            .iter()
            .filter_map(|&i| routing.pool.replicas().get(i));
        lookup.excluded = excluded_replicas.map(ReplicaView::instance).collect();
        let reply = self.query_owners(&routing, &lookup).await;
        let context = ChoiceContext {
            zone: routing.zone,
            cell: self.cell,
            excluded: lookup.excluded.clone(),
        };
        let choice = choose(
            &routing.pool,
            prefix,
            reply.as_ref(),
            &self.preference,
            context,
            routing.started.elapsed(),
            &mut rand::rng(),
        );
        self.record_choice(&routing, prefix, &choice);
        choice
    }

    async fn query_owners(&mut self, routing: &PoolRouting, lookup: &Lookup) -> Option<OwnerReply> {
        let timeout = self.shared.settings.times.lookup_timeout();
        let cells = routing.pool.cells();
        for owner in cells.owners(lookup.cell, lookup.owner_key(), MAX_OWNERS) {
            let member = routing.members.get(owner)?;
            if member.router == self.shared.settings.router {
                self.view = View::Own;
                break;
            }
            let links = self.shared.links.get()?;
            let body = Body::encode(Kind::Lookup, &LookupMessage::new(routing.tag, lookup));
            let answer = links.request(member.peers, body, timeout).await;
            let reply = answer.and_then(|b| b.decode::<OwnerReplyMessage>().ok());
            if let Some(reply) = reply {
                self.view = View::Owner(Arc::clone(&member.router));
                return Some(reply.reply());
            }
            self.view = View::OwnerSilent(Arc::clone(&member.router));
            log::debug!(
                "policy: Prefix owner did not respond. owner={}",
                member.router
            );
        }
        self.query_local(routing, lookup).await
    }

    /// Asks the control thread of this router for candidates.
    async fn query_local(&self, routing: &PoolRouting, lookup: &Lookup) -> Option<OwnerReply> {
        let timeout = self.shared.settings.times.lookup_timeout();
        let (reply, answer) = oneshot::channel();
        let event = Event::Lookup {
            pool: routing.tag,
            lookup: Box::new(lookup.clone()),
            reply,
        };
        self.shared.events().try_send(event).ok()?;
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }

    /// Records the selected replica, and reports the placement unless the owner has already counted it.
    fn record_choice(&mut self, routing: &PoolRouting, prefix: &PromptPrefix, choice: &Choice) {
        let Choice::Replica(placement) = choice else {
            return;
        };
        self.instance = Some(placement.instance);
        if !placement.from_owner {
            self.send_observation(Observation::Placed {
                request: self.request,
                levels: prefix.levels.clone(),
                prompt_tokens: prefix.prompt_tokens,
                instance: placement.instance,
                at: routing.started.elapsed(),
            });
        }
    }

    /// Reports the first token, or the number of prompt tokens that the engine found in its prefix cache.
    pub(crate) fn record_answer(&self, cached_tokens: Option<u32>) {
        if let Some((instance, at)) = self.instance_and_time() {
            self.send_observation(Observation::FirstToken {
                request: self.request,
                instance,
                cached_tokens,
                at,
            });
        }
    }

    /// Reports that the attempt at the selected replica failed.
    pub(crate) fn record_withdrawn(&self) {
        if let Some((instance, _)) = self.instance_and_time() {
            let request = self.request;
            self.send_observation(Observation::Withdrawn { request, instance });
        }
    }

    /// Returns the replica that was selected last, in the state in which it was selected.
    pub(crate) const fn selected(&self) -> Option<InstanceTag> {
        self.instance
    }

    /// Withdraws what was selected after `kept`, which stays the selected replica.
    pub(crate) fn keep(&mut self, kept: Option<InstanceTag>) {
        if self.instance != kept {
            self.record_withdrawn();
            self.instance = kept;
        }
    }

    /// Reports that the response ended.
    pub(crate) fn record_finished(&self) {
        if let Some((instance, at)) = self.instance_and_time() {
            self.send_observation(Observation::Finished {
                request: self.request,
                instance,
                at,
            });
        }
    }

    fn instance_and_time(&self) -> Option<(InstanceTag, Duration)> {
        let routing = self.routing.as_ref()?;
        Some((self.instance?, routing.started.elapsed()))
    }

    /// Sends an observation to the control thread, or drops it if the queue is full.
    fn send_observation(&self, observation: Observation) {
        let Some(routing) = &self.routing else {
            return;
        };
        let event = Event::Observation {
            pool: routing.tag,
            cell: self.cell,
            observation: Box::new(observation),
        };
        if self.shared.events().try_send(event).is_err() {
            log::debug!("policy: Observation dropped because the event queue is full.");
        }
    }
}
