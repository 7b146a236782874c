//! Explanations of the routing decisions for individual requests.
//!
//! Each router keeps its most recent explanations in memory, and keeps those of failed or retried requests for longer.
//! A request id identifies the router that generated it, so `crocuswharf explain` queries only that router. An
//! explanation contains names, counts and times; it has no field for prompt text, responses or keys.
//!
//! Rejected: writing explanations to the platform, whose write rate is low and shared by all routers. Explanations are
//! lost with their router, and its requests count in the burn report only until then.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{
    AccountId, Incarnation, ReplicaId, RequestId, Revision, RouterId, ServiceName, ZoneName,
};

mod id;
mod ring;
#[cfg(test)]
mod tests;
mod text;

pub use self::id::{RouterTag, new_request_id, router_tag, router_tag_of};
pub use self::ring::Explanations;
pub use self::text::render_explanation;

/// The maximum number of candidates in an explanation.
pub const MAX_CANDIDATES: usize = 8;
/// The maximum number of attempts in an explanation.
pub const MAX_ATTEMPTS: usize = 8;
/// The maximum length of a free text in an explanation, in bytes.
pub const MAX_REASON_BYTES: usize = 160;

/// The explanation of how one request was handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The id of the request.
    pub id: RequestId,
    /// The router that received it.
    pub router: RouterId,
    /// The requested service.
    pub service: ServiceName,
    /// The client account of the caller.
    pub account: AccountId,
    /// The time at which the request arrived, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The revision of the configuration used for the request.
    pub revision: Revision,
    /// The estimated number of prompt tokens; zero for a plain service.
    pub prompt_tokens: u32,
    /// How the replica was chosen, if the request got that far.
    pub choice: Option<Choice>,
    /// The outcome of the idempotency claim, for calls that are not idempotent.
    pub claim: Option<Claim>,
    /// The attempts, in order.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// The number of attempts beyond [`MAX_ATTEMPTS`], which are not listed.
    pub attempts_not_listed: u32,
    /// The number of prompt tokens that the engine found in its cache.
    pub warm_tokens_found: Option<u32>,
    /// The time to the first token or byte, in milliseconds.
    pub ttft_ms: Option<u64>,
    /// The time to the end of the request, in milliseconds.
    pub total_ms: u64,
    /// The number of tokens of the response.
    pub answer_tokens: u32,
    /// How the request ended.
    pub end: End,
}

/// How a replica was chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The router whose view of cached prefixes was used.
    pub view: View,
    /// The best candidates, starting with the chosen one.
    pub candidates: SmallVec<[Candidate; 4]>,
    /// The number of candidates considered.
    pub considered: u32,
    /// The reason for choosing the first candidate, as free text.
    pub reason: Arc<str>,
}

/// The view of cached prefixes on which a choice is based.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum View {
    /// The view of the router that owns the prefix.
    Owner(RouterId),
    /// This router's own view, because it owns the prefix.
    Own,
    /// This router's own view, because the owner did not reply in time.
    OwnerSilent(RouterId),
    /// No view, because plain services have no prompt prefixes.
    Plain,
}

/// A replica considered for the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The expected queueing time, in milliseconds.
    pub queue_ms: f64,
    /// The expected time to first token, in milliseconds.
    pub ttft_ms: f64,
    /// The weighted cost by which candidates are ranked, in milliseconds.
    pub cost_ms: f64,
    /// The number of prompt tokens expected in the replica's cache.
    pub warm_tokens: u32,
}

/// The outcome of the idempotency claim of a call that is not idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Claim {
    /// The claim was confirmed and the call was dispatched.
    Confirmed,
    /// Another attempt holds the claim; nothing was dispatched.
    HeldElsewhere,
    /// The platform did not confirm the claim; nothing was dispatched.
    NotConfirmed,
    /// A request with the same idempotency key ran before, and its stored response was returned.
    AnswerKept,
}

/// A dispatch of the request to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The replica.
    pub replica: ReplicaId,
    /// The engine's incarnation, if it reported one.
    pub incarnation: Option<Incarnation>,
    /// The reason for the attempt.
    pub cause: AttemptCause,
    /// The start of the attempt, in milliseconds after the request arrived.
    pub began_ms: u64,
    /// The end of the attempt, in milliseconds after the request arrived.
    pub ended_ms: u64,
    /// How the attempt ended, as free text.
    pub result: Arc<str>,
}

/// The reason for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptCause {
    /// The first attempt.
    First,
    /// The previous attempt failed before anything was sent, or failed and the call is idempotent.
    Retry,
    /// The first token of the previous attempt was late.
    Hedge,
    /// The stream of the previous attempt stalled or broke off.
    Resume,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The HTTP status sent to the caller; zero if the caller had disconnected.
    pub status: u16,
    /// Whether the request ran.
    pub run: Run,
    /// Whether the caller received the complete response.
    pub complete: bool,
    /// The reason for this ending, as free text.
    pub reason: Arc<str>,
}

/// Whether a request ran at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It was not dispatched and will not be.
    NotRun,
    /// It ran.
    Ran,
    /// It may or may not have run.
    Unknown,
}

impl Explanation {
    /// Creates the explanation of the request `id`, which arrived at `unix_now`.
    #[must_use]
    pub fn begin(
        id: RequestId,
        router: RouterId,
        service: ServiceName,
        account: AccountId,
        unix_now: Duration,
    ) -> Self {
        Self {
            id,
            router,
            service,
            account,
            started_unix_ms: u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX),
            revision: 0,
            prompt_tokens: 0,
            choice: None,
            claim: None,
            attempts: SmallVec::new(),
            attempts_not_listed: 0,
            warm_tokens_found: None,
            ttft_ms: None,
            total_ms: 0,
            answer_tokens: 0,
            end: End {
                status: 0,
                run: Run::NotRun,
                complete: false,
                reason: "in flight".into(),
            },
        }
    }

    /// Adds an attempt. Attempts beyond [`MAX_ATTEMPTS`] are only counted.
    pub fn push_attempt(&mut self, attempt: Attempt) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(attempt);
        } else {
            self.attempts_not_listed += 1;
        }
    }

    /// Returns whether the request failed, was retried or could not be claimed, so that its explanation is kept for
    /// longer.
    #[must_use]
    pub fn is_notable(&self) -> bool {
        let cancelled = self.end.status == 0;
        (!self.end.complete && !cancelled)
            || self.end.run == Run::Unknown
            || self.attempts.len() > 1
            || matches!(self.claim, Some(Claim::HeldElsewhere | Claim::NotConfirmed))
    }

    /// Truncates lists and texts to the limits of this module.
    fn truncate(&mut self) {
        if let Some(choice) = &mut self.choice {
            choice.candidates.truncate(MAX_CANDIDATES);
            truncate_text(&mut choice.reason);
        }
        let excess = self.attempts.len().saturating_sub(MAX_ATTEMPTS);
        self.attempts.truncate(MAX_ATTEMPTS);
        self.attempts_not_listed += u32::try_from(excess).unwrap_or(u32::MAX);
        for attempt in &mut self.attempts {
            truncate_text(&mut attempt.result);
        }
        truncate_text(&mut self.end.reason);
    }
}

fn truncate_text(text: &mut Arc<str>) {
    if text.len() > MAX_REASON_BYTES {
        let end = text.floor_char_boundary(MAX_REASON_BYTES);
        *text = Arc::from(&text[..end]);
    }
}
