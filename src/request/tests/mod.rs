//! Tests of streams, event ids, retries, hedges, ejection and the drain.

mod drain;
mod retry;
mod stream;
