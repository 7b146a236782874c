//! Tests of streams, event IDs, retries, hedges, ejection, quarantine and the drain.

mod crashing_prompt;
mod crashing_request;
mod drain;
mod quarantine;
mod retry;
mod stream;
