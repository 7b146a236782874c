//! The record of one request, which is sent to the control thread however the request ends.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::error_response::{ErrorResponse, RunState};
use crate::account::NamedAccount;
use crate::burn::{Ending, Observation};
use crate::control::{Event, PoolView, Shared};
use crate::explain::{
    Attempt, AttemptCause, Candidate, Choice, Claim, End, Explanation, Run, View,
};
use crate::id::{Incarnation, ReplicaId, RequestId, Revision, ServiceName, ZoneName};
use crate::policy::{Placement, ScoredCandidate};
use crate::pool::Replica;
use crate::prefix::PromptPrefix;
use crate::status::prefix_name;
use crate::telemetry::CompletedRequest;

/// The index of the prefix piece by which requests are grouped to find hot prefixes: the first full piece after the
/// preamble, if there is one.
const HOT_PREFIX_PIECE: usize = 1;

/// The record of a request in progress; dropping it sends it to the control thread.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    shared: Arc<Shared>,
    started: Instant,
    explanation: Explanation,
    prefix_name: Option<Arc<str>>,
    prefix_tokens: u64,
    last_attempted: Option<(ReplicaId, ZoneName)>,
    attempt: Option<ActiveAttempt>,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    tokens: u32,
    ending: Ending,
}

/// An attempt that has not ended yet.
#[derive(Debug)]
struct ActiveAttempt {
    replica: ReplicaId,
    cause: AttemptCause,
    started_ms: u64,
    incarnation: Option<Incarnation>,
}

impl RequestRecord {
    /// Starts the record of the request `id`.
    ///
    /// Unless another outcome is recorded, the request ends as abandoned by its caller.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        id: RequestId,
        revision: Revision,
        service: &str,
        account: &NamedAccount,
    ) -> Self {
        let unix_now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let router = Arc::clone(&shared.settings.router);
        let service = ServiceName::from(service);
        let mut explanation =
            Explanation::begin(id, router, service, Arc::clone(&account.id), unix_now);
        explanation.revision = revision;
        explanation.end.reason = "the caller went away".into();
        Self {
            shared: Arc::clone(shared),
            started: Instant::now(),
            explanation,
            prefix_name: None,
            prefix_tokens: 0,
            last_attempted: None,
            attempt: None,
            first_token: None,
            last_token: None,
            tokens: 0,
            ending: Ending::Caller,
        }
    }

    /// Records the prompt prefix.
    pub(crate) fn set_prefix(&mut self, prefix: &PromptPrefix) {
        self.explanation.prompt_tokens = prefix.prompt_tokens;
        let piece_index = prefix.blocks.len().saturating_sub(2).min(HOT_PREFIX_PIECE);
        let Some(piece) = prefix.blocks.get(piece_index) else {
            return;
        };
        let explanation = &self.explanation;
        self.prefix_tokens = piece.end_tokens.into();
        self.prefix_name = Some(prefix_name(
            &explanation.service,
            &explanation.account,
            piece.hash,
        ));
    }

    /// Records how a replica of `pool` was selected, and whose view that was based on.
    pub(crate) fn record_choice(&mut self, pool: &PoolView, placement: &Placement, view: &View) {
        let candidates = placement
            .candidates
            .iter()
            .filter_map(|considered| candidate(pool, considered));
        self.explanation.choice = Some(Choice {
            view: view.clone(),
            candidates: candidates.collect(),
            considered: u32::try_from(placement.candidates.len()).unwrap_or(u32::MAX),
            reason: "least expected cost".into(),
        });
    }

    /// Records that the request is sent to `replica`; an attempt still in progress ends as given up.
    pub(crate) fn start_attempt(&mut self, replica: &Replica, cause: AttemptCause) {
        self.end_attempt("given up");
        self.last_attempted = Some((Arc::clone(&replica.id), Arc::clone(&replica.zone)));
        self.attempt = Some(ActiveAttempt {
            replica: Arc::clone(&replica.id),
            cause,
            started_ms: self.elapsed_ms(),
            incarnation: None,
        });
    }

    /// Returns the cause of the next attempt: the first one, a retry, or a resume after the first token.
    pub(crate) fn next_cause(&self) -> AttemptCause {
        if self.last_attempted.is_none() {
            AttemptCause::First
        } else if self.first_token.is_some() {
            AttemptCause::Resume
        } else {
            AttemptCause::Retry
        }
    }

    /// Records which incarnation of the engine responded.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        if let Some(attempt) = &mut self.attempt {
            attempt.incarnation = Some(incarnation);
        }
    }

    /// Records how the attempt in progress ended.
    pub(crate) fn end_attempt(&mut self, result: &str) {
        let ended_ms = self.elapsed_ms();
        if let Some(attempt) = self.attempt.take() {
            self.explanation.push_attempt(Attempt {
                replica: attempt.replica,
                incarnation: attempt.incarnation,
                cause: attempt.cause,
                began_ms: attempt.started_ms,
                ended_ms,
                result: result.into(),
            });
        }
    }

    /// Records that a token, or the first byte of a complete response, was sent to the caller.
    pub(crate) fn record_token(&mut self) {
        let now = Instant::now();
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Records how many prompt tokens the engine found in its prefix cache.
    pub(crate) fn set_cached_tokens(&mut self, tokens: u32) {
        self.explanation.warm_tokens_found = Some(tokens);
    }

    /// Records that the call ran before and that its stored response is returned.
    pub(crate) fn record_replay(&mut self) {
        self.explanation.claim = Some(Claim::AnswerKept);
    }

    /// Records that the caller received the complete response, with `status`.
    pub(crate) fn record_complete(&mut self, status: u16) {
        self.end_attempt("answered");
        self.ending = if (400..500).contains(&status) {
            Ending::Caller
        } else {
            Ending::Complete
        };
        self.explanation.end = End {
            status,
            run: Run::Ran,
            complete: true,
            reason: "the whole answer was sent".into(),
        };
    }

    /// Records that the caller gets the error `response` instead of a complete response.
    ///
    /// A request that failed because of the caller's own error counts against no objective.
    pub(crate) fn record_error(&mut self, response: &ErrorResponse) {
        self.end_attempt("failed");
        let (status, ran, reason) = (response.status.as_u16(), response.ran, response.code);
        self.ending = match ran {
            RunState::NotRun if response.status.is_client_error() => Ending::Caller,
            RunState::NotRun => Ending::Refused,
            RunState::Completed | RunState::Unknown => Ending::Incomplete,
        };
        self.explanation.end = End {
            status,
            run: match ran {
                RunState::NotRun => Run::NotRun,
                RunState::Completed => Run::Ran,
                RunState::Unknown => Run::Unknown,
            },
            complete: false,
            reason: reason.into(),
        };
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn observation(&self) -> Observation {
        let since_start = |at: Instant| at.saturating_duration_since(self.started);
        let (replica, zone) = self.last_attempted.clone().unzip();
        Observation {
            service: Arc::clone(&self.explanation.service),
            account: Arc::clone(&self.explanation.account),
            replica,
            zone,
            ending: self.ending,
            ttft: self.first_token.map(since_start),
            token_interval: self.token_interval(),
            prefix_tokens: self.prefix_tokens,
            avoidable_tokens: 0,
        }
    }

    fn token_interval(&self) -> Option<Duration> {
        let (first, last) = self.first_token.zip(self.last_token)?;
        let intervals = self
            .tokens
            .checked_sub(1)
            .filter(|intervals| *intervals > 0)?;
        Some(last.saturating_duration_since(first) / intervals)
    }
}

fn candidate(pool: &PoolView, considered: &ScoredCandidate) -> Option<Candidate> {
    let replica = &pool.replicas.get(considered.position)?.replica;
    let milliseconds = |duration: Duration| duration.as_secs_f64() * 1_000.0;
    Some(Candidate {
        replica: Arc::clone(&replica.id),
        zone: Arc::clone(&replica.zone),
        queue_ms: milliseconds(considered.wait),
        ttft_ms: milliseconds(considered.expected_ttft),
        cost_ms: milliseconds(considered.cost),
        warm_tokens: considered.warm_tokens,
    })
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.end_attempt("the caller went away");
        let observation = self.observation();
        self.explanation.total_ms = self.elapsed_ms();
        self.explanation.answer_tokens = self.tokens;
        self.explanation.ttft_ms = observation
            .ttft
            .map(|ttft| u64::try_from(ttft.as_millis()).unwrap_or(u64::MAX));
        let entry = CompletedRequest {
            observation,
            explanation: self.explanation.clone(),
            prefix: self.prefix_name.take(),
        };
        self.shared.try_send(Event::RequestEnded(Box::new(entry)));
    }
}
