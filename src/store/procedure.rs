//! Procedures of several calls to the platform, as values.
//!
//! A procedure takes the answer to its last step and returns the next one. It does no I/O itself, so that tests drive
//! it against a store that loses answers, without sockets and without a clock.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;

use super::{Client, PutCondition, PutOutcome, Versioned};
use crate::error::Error;

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Write {
    pub(crate) key: Arc<str>,
    pub(crate) value: Bytes,
    pub(crate) condition: PutCondition,
}

/// What a procedure asks for next; calls of one step may go out side by side.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step<T> {
    Read(Vec<Arc<str>>),
    Write(Vec<Write>),
    Remove(Vec<Arc<str>>),
    Wait(Duration),
    Done(T),
}

/// What came of a step, in the order of its calls.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The procedure begins, or a removal or a wait has ended; neither has a result that matters.
    Proceed,
    Read(Vec<ReadResult>),
    Write(Vec<PutOutcome>),
}

/// What came of one read.
pub(crate) type ReadResult = Result<Option<Versioned>, Error>;

/// Drives a procedure to its end with `client`.
pub(crate) async fn run<T>(client: &Client, mut next: impl FnMut(Answer) -> Step<T>) -> T {
    let mut answer = Answer::Proceed;
    loop {
        answer = match next(answer) {
            Step::Read(keys) => {
                let reads = keys.iter().map(|key| client.get(key));
                Answer::Read(join_all(reads).await)
            }
            Step::Write(writes) => {
                let puts = writes.into_iter().map(|write| put(client, write));
                Answer::Write(join_all(puts).await)
            }
            Step::Remove(keys) => {
                let removals = keys.iter().map(|key| client.delete(key));
                // What is not removed now is found by a later sweep.
                let _ = join_all(removals).await;
                Answer::Proceed
            }
            Step::Wait(pause) => {
                tokio::time::sleep(pause).await;
                Answer::Proceed
            }
            Step::Done(result) => return result,
        };
    }
}

async fn put(client: &Client, write: Write) -> PutOutcome {
    client.put(&write.key, write.value, write.condition).await
}
