//! Renders an explanation as text for a terminal.

use std::fmt::Write;

use crate::explain::{Attempt, AttemptCause, Choice, Claim, End, Explanation, Run, View};
use crate::telemetry::printable;

/// Renders `explanation` as human-readable text.
#[must_use]
pub fn render_explanation(explanation: &Explanation) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "request {} at router {}, {} ms since the Unix epoch, revision {}",
        explanation.id,
        printable(&explanation.router),
        explanation.started_unix_ms,
        explanation.revision,
    );
    let _ = writeln!(
        text,
        "service {}, account {}, prompt about {} tokens",
        printable(&explanation.service),
        printable(&explanation.account),
        explanation.prompt_tokens,
    );
    if let Some(choice) = &explanation.choice {
        write_choice(&mut text, choice);
    }
    if let Some(claim) = explanation.claim {
        let _ = writeln!(text, "claim: {}", claim_outcome(claim));
    }
    for (index, attempt) in explanation.attempts.iter().enumerate() {
        write_attempt(&mut text, index + 1, attempt);
    }
    if explanation.attempts_not_listed > 0 {
        let _ = writeln!(
            text,
            "and {} more attempts",
            explanation.attempts_not_listed
        );
    }
    write_warm_tokens(&mut text, explanation);
    write_end(&mut text, explanation, &explanation.end);
    text
}

fn write_choice(text: &mut String, choice: &Choice) {
    let view = match &choice.view {
        View::Owner(owner) => format!("the view of the prefix owner {}", printable(owner)),
        View::Own => "this router's own view, as it owns the prefix".to_owned(),
        View::OwnerSilent(owner) => format!(
            "this router's own view, as the owner {} did not reply in time",
            printable(owner)
        ),
        View::Plain => "load only, as the service has no prefixes".to_owned(),
    };
    let _ = writeln!(
        text,
        "choice among {} replicas by {view}: {}",
        choice.considered,
        printable(&choice.reason)
    );
    let _ = writeln!(
        text,
        "  {:<24} {:<12} {:>12} {:>12} {:>12} {:>12}",
        "replica", "zone", "queue", "ttft", "cost", "warm tokens"
    );
    for candidate in &choice.candidates {
        let _ = writeln!(
            text,
            "  {:<24} {:<12} {:>9.1} ms {:>9.1} ms {:>9.1} ms {:>12}",
            printable(&candidate.replica),
            printable(&candidate.zone),
            candidate.queue_ms,
            candidate.ttft_ms,
            candidate.cost_ms,
            candidate.warm_tokens,
        );
    }
}

fn write_attempt(text: &mut String, number: usize, attempt: &Attempt) {
    let cause = match attempt.cause {
        AttemptCause::First => "first",
        AttemptCause::Retry => "retry",
        AttemptCause::Hedge => "hedge",
        AttemptCause::Resume => "resume",
    };
    let incarnation = attempt
        .incarnation
        .map_or_else(|| "unknown".to_owned(), |number| number.to_string());
    let _ = writeln!(
        text,
        "attempt {number} ({cause}) at {}, incarnation {incarnation}, {} ms to {} ms: {}",
        printable(&attempt.replica),
        attempt.began_ms,
        attempt.ended_ms,
        printable(&attempt.result),
    );
}

fn write_warm_tokens(text: &mut String, explanation: &Explanation) {
    let chosen = explanation
        .choice
        .as_ref()
        .and_then(|choice| choice.candidates.first());
    if let (Some(candidate), Some(found)) = (chosen, explanation.warm_tokens_found) {
        let _ = writeln!(
            text,
            "warm tokens: {} expected, {found} found",
            candidate.warm_tokens
        );
    }
}

fn write_end(text: &mut String, explanation: &Explanation, end: &End) {
    let run = match end.run {
        Run::NotRun => "it did not run",
        Run::Ran => "it ran",
        Run::Unknown => "whether it ran is unknown",
    };
    let response = if end.complete {
        "the caller received the complete response"
    } else {
        "the caller did not receive the complete response"
    };
    let ttft = explanation.ttft_ms.map_or_else(
        || "no first token".to_owned(),
        |ttft_ms| format!("first token after {ttft_ms} ms"),
    );
    let _ = writeln!(
        text,
        "end: status {}, {run}, {response}; {ttft}, {} tokens, {} ms in total: {}",
        end.status,
        explanation.answer_tokens,
        explanation.total_ms,
        printable(&end.reason),
    );
}

const fn claim_outcome(claim: Claim) -> &'static str {
    match claim {
        Claim::Confirmed => "confirmed before dispatch",
        Claim::HeldElsewhere => "held by another attempt, so nothing was dispatched",
        Claim::NotConfirmed => "not confirmed by the platform, so nothing was dispatched",
        Claim::AnswerKept => "the key had run before, and its stored response was returned",
    }
}
