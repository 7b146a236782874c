//! Explanations: what was done with one request, and why.
//!
//! Each router keeps its latest explanations in memory, and keeps those of requests that went wrong for longer. A
//! request id tells which router made it, so that `crocuswharf explain` asks that router and no other. An explanation
//! holds names, counts and times; it has no field for prompt text, answers or keys.
//!
//! Rejected: writing explanations to the platform, whose writes are few and shared by all routers. An explanation is
//! lost with its router; the burn report still tells what its requests did to the objectives until then.

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

pub use self::id::{RouterTag, new_request_id, router_tag, tag_of};
pub use self::ring::Explanations;
pub use self::text::render_explanation;

/// The most candidates that an explanation lists.
pub const MAX_CANDIDATES: usize = 8;
/// The most attempts that an explanation lists.
pub const MAX_ATTEMPTS: usize = 8;
/// The longest free text in an explanation, in bytes.
pub const MAX_REASON_BYTES: usize = 160;

/// What was done with one request, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub id: RequestId,
    /// The router that took it.
    pub router: RouterId,
    /// The service that was called.
    pub service: ServiceName,
    /// The client account that called.
    pub account: AccountId,
    /// When the request came, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The revision of the configuration that applied.
    pub revision: Revision,
    /// The estimated tokens of the prompt; zero for a plain service.
    pub prompt_tokens: u32,
    /// How the replica was chosen, if it came to that.
    pub choice: Option<Choice>,
    /// The claim of a call that is not idempotent.
    pub claim: Option<Claim>,
    /// The attempts in order.
    pub attempts: SmallVec<[Attempt; 2]>,
    /// The attempts beyond [`MAX_ATTEMPTS`], which are not listed.
    pub attempts_not_listed: u32,
    /// The prompt tokens that the engine found warm.
    pub warm_tokens_found: Option<u32>,
    /// The time to the first token or byte, in milliseconds.
    pub ttft_ms: Option<u64>,
    /// The time to the end, in milliseconds.
    pub total_ms: u64,
    /// The tokens of the answer.
    pub answer_tokens: u32,
    /// How the request ended.
    pub end: End,
}

/// How a replica was chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Whose view of warm openings decided.
    pub view: View,
    /// The best candidates, the chosen one first.
    pub candidates: SmallVec<[Candidate; 4]>,
    /// The candidates that were considered in all.
    pub considered: u32,
    /// Why the first candidate won, in the router's own words.
    pub reason: Arc<str>,
}

/// Whose view of warm openings a choice rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum View {
    /// The view of the opening's owner, another router.
    Owner(RouterId),
    /// This router's own view, as it owns the opening.
    Own,
    /// This router's own view, as the owner did not answer in time.
    OwnerSilent(RouterId),
    /// None: the service has no openings.
    Plain,
}

/// One replica that could have served the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The expected wait in its queue, in milliseconds.
    pub queue_ms: f64,
    /// The expected time to first token, in milliseconds.
    pub ttft_ms: f64,
    /// The priced cost by which candidates were ordered, in milliseconds.
    pub cost_ms: f64,
    /// The prompt tokens that were expected to be warm there.
    pub warm_tokens: u32,
}

/// What became of the claim of a call that is not idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Claim {
    /// The claim was confirmed and the call was dispatched.
    Confirmed,
    /// Another attempt holds the claim; nothing was dispatched.
    HeldElsewhere,
    /// The platform could not confirm the claim; nothing was dispatched.
    NotConfirmed,
    /// The key had run before and its kept answer was returned.
    AnswerKept,
}

/// One dispatch to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The replica.
    pub replica: ReplicaId,
    /// The engine's incarnation, where it was told.
    pub incarnation: Option<Incarnation>,
    /// Why the attempt was made.
    pub cause: AttemptCause,
    /// When it began, in milliseconds after the request came.
    pub began_ms: u64,
    /// When it ended, in milliseconds after the request came.
    pub ended_ms: u64,
    /// How it ended, in the router's own words.
    pub result: Arc<str>,
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptCause {
    /// It was the first.
    First,
    /// The one before failed before anything was sent, or the call is idempotent.
    Retry,
    /// The first token of the one before was late.
    Hedge,
    /// The stream of the one before went silent or broke.
    Resume,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The HTTP status that the caller got; zero where the caller had gone.
    pub status: u16,
    /// Whether the request ran.
    pub run: Run,
    /// Whether the caller got the whole answer.
    pub complete: bool,
    /// Why it ended so, in the router's own words.
    pub reason: Arc<str>,
}

/// Whether a request ran at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// Nothing was dispatched, and nothing will be.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

impl Explanation {
    /// Begins the explanation of the request `id`, which came at `unix_now`.
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

    /// Adds an attempt; beyond [`MAX_ATTEMPTS`] it is only counted.
    pub fn push_attempt(&mut self, attempt: Attempt) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(attempt);
        } else {
            self.attempts_not_listed += 1;
        }
    }

    /// Tells whether the explanation is worth keeping for longer than that of a smooth request.
    #[must_use]
    pub fn is_notable(&self) -> bool {
        let cancelled = self.end.status == 0;
        (!self.end.complete && !cancelled)
            || self.end.run == Run::Unknown
            || self.attempts.len() > 1
            || matches!(self.claim, Some(Claim::HeldElsewhere | Claim::NotConfirmed))
    }

    /// Cuts what is longer than an explanation may be.
    fn bound(&mut self) {
        if let Some(choice) = &mut self.choice {
            choice.candidates.truncate(MAX_CANDIDATES);
            bound_text(&mut choice.reason);
        }
        let excess = self.attempts.len().saturating_sub(MAX_ATTEMPTS);
        self.attempts.truncate(MAX_ATTEMPTS);
        self.attempts_not_listed += u32::try_from(excess).unwrap_or(u32::MAX);
        for attempt in &mut self.attempts {
            bound_text(&mut attempt.result);
        }
        bound_text(&mut self.end.reason);
    }
}

fn bound_text(text: &mut Arc<str>) {
    if text.len() > MAX_REASON_BYTES {
        let end = text.floor_char_boundary(MAX_REASON_BYTES);
        *text = Arc::from(&text[..end]);
    }
}
