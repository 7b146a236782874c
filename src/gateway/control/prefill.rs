//! Handles requests for prefill decisions from this router's requests and from other routers
//! ([`crate::gateway::prefill`]).

use std::time::Duration;

use tokio::sync::oneshot;

use crate::gateway::clock::boot_time;
use crate::gateway::prefill::{PrefillDecision, PrefillMessage, PrefillReply, PrefixKey};
use crate::peer::{Body, Kind, ReplyHandle};

use super::Control;

/// How long a reply is delayed while another request prefills the prefix; most prefills take less.
const PREFILL_WAIT: Duration = Duration::from_millis(600);
/// How much longer the reply of another router may take.
const PREFILL_SLACK: Duration = Duration::from_millis(60);

/// Sends a prefill decision to the requester.
#[derive(Debug)]
pub(super) enum PrefillResponder {
    Peer(ReplyHandle),
    Local(oneshot::Sender<PrefillDecision>),
}

/// A request that waits for the prefill of a prefix.
#[derive(Debug)]
pub(super) struct PendingPrefill {
    pub(super) key: PrefixKey,
    pub(super) reply: PrefillResponder,
    pub(super) until: Duration,
}

impl PrefillResponder {
    pub(super) fn send(self, decision: PrefillDecision) {
        match self {
            Self::Peer(reply) => {
                reply.send(Body::encode(Kind::Reading, &PrefillReply::of(decision)));
            }
            // The caller's request may have ended in the meantime.
            Self::Local(sender) => drop(sender.send(decision)),
        }
    }
}

impl Control {
    /// Requests a decision from the router that tracks the prefix, which may be this one.
    pub(super) fn request_prefill(
        &mut self,
        key: PrefixKey,
        sender: oneshot::Sender<PrefillDecision>,
    ) {
        let router = self.peers.prefill_owner(key);
        if router == self.peers.own() {
            self.answer_prefill(key, PrefillResponder::Local(sender));
            return;
        }
        let message = PrefillMessage { key, holder: None };
        let timeout = PREFILL_WAIT + PREFILL_SLACK;
        self.peers.request_prefill(router, message, timeout, sender);
    }

    /// Replies with the decision for a prefix; while another request computes the prefix, the reply is delayed.
    pub(super) fn answer_prefill(&mut self, key: PrefixKey, reply: PrefillResponder) {
        let now = boot_time();
        match self.prefills.request(key, now) {
            PrefillDecision::Wait => self.pending_prefills.push(PendingPrefill {
                key,
                reply,
                until: now + PREFILL_WAIT,
            }),
            decision => reply.send(decision),
        }
    }

    /// Applies the outcome of a prefill and replies to the requests that wait for it.
    pub(super) fn end_prefill(&mut self, message: PrefillMessage) {
        let now = boot_time();
        match message.holder {
            Some(holder) => self.prefills.completed(message.key, holder, now),
            None => self.prefills.failed(message.key),
        }
        let (answered, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_prefills)
            .into_iter()
            .partition(|waiting| waiting.key == message.key);
        self.pending_prefills = waiting;
        for waiting in answered {
            self.answer_prefill(waiting.key, waiting.reply);
        }
    }

    /// Replies to requests whose maximum wait for a prefill has passed.
    pub(super) fn release_pending_prefills(&mut self, now: Duration) {
        if !self
            .pending_prefills
            .iter()
            .any(|waiting| now >= waiting.until)
        {
            return;
        }
        let (released, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_prefills)
            .into_iter()
            .partition(|waiting| now >= waiting.until);
        self.pending_prefills = waiting;
        for waiting in released {
            waiting.reply.send(PrefillDecision::Wait);
        }
    }
}
