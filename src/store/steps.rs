//! State machines for operations that take several calls to the platform.
//!
//! A state machine takes the result of its last step and returns the next step. It performs no I/O itself, so that
//! tests can drive it against a store that loses responses, without sockets or a clock.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;

use super::{Client, PutCondition, PutOutcome, VersionedValue};
use crate::error::Error;

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    pub(crate) key: Arc<str>,
    pub(crate) value: Bytes,
    pub(crate) condition: PutCondition,
}

/// The next step of a state machine. The calls of one step are made concurrently.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step<T> {
    Read(Vec<Arc<str>>),
    Write(Vec<Write>),
    Remove(Vec<Arc<str>>),
    Wait(Duration),
    Done(T),
}

/// The result of a step, in the order of its calls.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StepResult {
    /// The state machine starts, or a removal or a wait has ended. None of these has a result that matters.
    Proceed,
    Read(Vec<ReadResult>),
    Write(Vec<PutOutcome>),
}

/// The result of one read.
pub(crate) type ReadResult = Result<Option<VersionedValue>, Error>;

/// Runs a state machine to completion with `client`.
pub(crate) async fn run<T>(client: &Client, mut next: impl FnMut(StepResult) -> Step<T>) -> T {
    let mut result = StepResult::Proceed;
    loop {
        result = match next(result) {
            Step::Read(keys) => {
                let reads = keys.iter().map(|key| client.get(key));
                StepResult::Read(join_all(reads).await)
            }
            Step::Write(writes) => {
                let puts = writes.into_iter().map(|write| put(client, write));
                StepResult::Write(join_all(puts).await)
            }
            Step::Remove(keys) => {
                let removals = keys.iter().map(|key| client.delete(key));
                // A later cleanup pass removes objects whose deletion fails here.
                let _ = join_all(removals).await;
                StepResult::Proceed
            }
            Step::Wait(duration) => {
                tokio::time::sleep(duration).await;
                StepResult::Proceed
            }
            Step::Done(output) => return output,
        };
    }
}

async fn put(client: &Client, write: Write) -> PutOutcome {
    client.put(&write.key, write.value, write.condition).await
}
