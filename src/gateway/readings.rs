//! Sees to it that a long opening is read by one replica at a time in the whole fleet.
//!
//! When new weights come into use, or an opening turns hot, several routers send requests with an opening that no replica
//! has read yet, and each of those reads it again. So one router, found by rendezvous hashing, knows for each opening who
//! reads it. The first request goes on at once; others wait until it has been read, and then find it warm there or in the
//! kept cache. The wait is bounded: a router that does not hear in time goes on by itself, which costs a reading and never
//! an answer.
//!
//! Load pattern answered: many first requests for one opening within a second, at several routers.

use std::collections::HashMap;
use std::time::Duration;

use super::loads::ReplicaKey;

/// How long a reading may take before the next request is let through: several times the longest by the sheets.
const READING_LIMIT: Duration = Duration::from_millis(1_500);
/// How long an opening that was read is taken to be found again, counted from its last use.
const READ_LIFE: Duration = Duration::from_secs(12);
/// The most openings that are remembered.
const MAX_OPENINGS: usize = 16_384;

/// Names an opening under one scope of cache entries.
pub(crate) type OpeningKey = u64;

/// What a request with an opening is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// No replica has read the opening lately: go on.
    First,
    /// A replica reads it.
    Wait,
    /// This replica has read it.
    ReadBy(ReplicaKey),
}

#[derive(Clone, Copy, Debug)]
enum Opening {
    Reading { until: Duration },
    Read { by: ReplicaKey, used_at: Duration },
}

/// The openings that one router answers for.
#[derive(Debug, Default)]
pub(crate) struct Readings {
    openings: HashMap<OpeningKey, Opening>,
}

impl Readings {
    /// Takes a request for an opening; the first one counts as reading it from now on.
    pub(crate) fn ask(&mut self, key: OpeningKey, now: Duration) -> Told {
        match self.openings.get_mut(&key) {
            Some(Opening::Reading { until }) if now < *until => return Told::Wait,
            Some(Opening::Read { by, used_at }) if now < *used_at + READ_LIFE => {
                *used_at = now;
                return Told::ReadBy(*by);
            }
            _ => {}
        }
        if self.openings.len() >= MAX_OPENINGS {
            self.expire(now);
        }
        let until = now + READING_LIMIT;
        self.openings.insert(key, Opening::Reading { until });
        Told::First
    }

    /// Notes that a replica has read an opening, or found it.
    pub(crate) fn read(&mut self, key: OpeningKey, by: ReplicaKey, now: Duration) {
        self.openings
            .insert(key, Opening::Read { by, used_at: now });
    }

    /// Notes that the request which was to read an opening has failed.
    pub(crate) fn failed(&mut self, key: OpeningKey) {
        if matches!(self.openings.get(&key), Some(Opening::Reading { .. })) {
            self.openings.remove(&key);
        }
    }

    /// Drops openings that were not used lately.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.openings.retain(|_, opening| match opening {
            Opening::Reading { until } => now < *until,
            Opening::Read { used_at, .. } => now < *used_at + READ_LIFE,
        });
    }
}

/// A question, or what became of a reading, as it travels to the router that answers for the opening.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct ReadingWord {
    /// The opening.
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    /// The replica that has read it; in the word that a reading has ended, `None` says that it failed.
    #[prost(fixed32, optional, tag = "2")]
    pub(crate) read_by: Option<u32>,
}

/// The answer to a question, as it travels.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct ReadingAnswer {
    /// Whether the asker's request is the first.
    #[prost(bool, tag = "1")]
    pub(crate) is_first: bool,
    /// Set where a replica has read the opening.
    #[prost(fixed32, optional, tag = "2")]
    pub(crate) read_by: Option<u32>,
}

impl ReadingAnswer {
    /// Encodes what a request is told.
    pub(crate) fn of(told: Told) -> Self {
        Self {
            is_first: told == Told::First,
            read_by: match told {
                Told::ReadBy(by) => Some(by),
                Told::First | Told::Wait => None,
            },
        }
    }

    /// Decodes it.
    pub(crate) fn told(self) -> Told {
        match self.read_by {
            Some(by) => Told::ReadBy(by),
            None if self.is_first => Told::First,
            None => Told::Wait,
        }
    }
}
