//! The messages of the placement protocol between routers.
//!
//! Times are sent as ages or durations, because routers do not share a clock. A lookup takes about 35 bytes,
//! a reply about 50 and a placement about 35; docs/design/routing.md compares these with the control traffic
//! budget.

use std::time::Duration;

use super::observation::{Candidate, Lookup, Observation, OwnerReply};
use crate::prefix::Level;

const HUNDREDTHS: f64 = 100.0;

/// A lookup, sent to the owner of a prefix.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LookupMessage {
    /// The hash of the pool name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The tag of the request.
    #[prost(fixed32, tag = "2")]
    pub request: u32,
    /// The cell to choose from.
    #[prost(uint32, tag = "3")]
    pub cell: u32,
    /// The keys of the levels.
    #[prost(fixed64, repeated, tag = "4")]
    pub level_keys: Vec<u64>,
    /// The number of tokens that each level adds to the previous one.
    #[prost(uint32, repeated, tag = "5")]
    pub level_tokens: Vec<u32>,
    /// The index of the shared prefix in the levels.
    #[prost(uint32, tag = "6")]
    pub shared_level: u32,
    /// The number of tokens in the prompt.
    #[prost(uint32, tag = "7")]
    pub prompt_tokens: u32,
    /// The price of recomputation, in hundredths.
    #[prost(uint32, tag = "8")]
    pub price_hundredths: u32,
    /// The index of the querying router's availability zone.
    #[prost(uint32, tag = "9")]
    pub zone: u32,
    /// The replicas that have failed this request.
    #[prost(fixed64, repeated, tag = "10")]
    pub excluded: Vec<u64>,
    /// Whether the owner only replies and does not record a placement.
    #[prost(bool, tag = "11")]
    pub is_probe: bool,
}

/// The owner's reply to a lookup.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OwnerReplyMessage {
    /// The tag of the request.
    #[prost(fixed32, tag = "1")]
    pub request: u32,
    /// The candidates, best first.
    #[prost(message, repeated, tag = "2")]
    pub candidates: Vec<CandidateMessage>,
    /// The mean queueing time over the cell, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub mean_wait_ms: u32,
    /// The cost of the first candidate, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub cost_ms: u32,
    /// The price of recomputation, in hundredths.
    #[prost(uint32, tag = "5")]
    pub price_hundredths: u32,
}

/// One candidate in an owner's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CandidateMessage {
    /// The tag of the replica's incarnation and weights.
    #[prost(fixed64, tag = "1")]
    pub instance: u64,
    /// The number of prompt tokens expected to be cached.
    #[prost(uint32, tag = "2")]
    pub warm_tokens: u32,
    /// The expected queueing time, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// A batch of observations.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObservationsMessage {
    /// The hash of the pool name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The observations, in order.
    #[prost(message, repeated, tag = "2")]
    pub observations: Vec<ObservationMessage>,
}

/// One observation. The fields in use depend on its kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObservationMessage {
    /// The kind: 1 placed, 2 withdrawn, 3 first token, 4 evicted, 5 load, 6 finished.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The tag of the request.
    #[prost(fixed32, tag = "2")]
    pub request: u32,
    /// The tag of the replica's incarnation and weights.
    #[prost(fixed64, tag = "3")]
    pub instance: u64,
    /// The age of the observation, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// The keys of the levels that were placed or evicted.
    #[prost(fixed64, repeated, tag = "5")]
    pub keys: Vec<u64>,
    /// The number of tokens that each level adds to the previous one.
    #[prost(uint32, repeated, tag = "6")]
    pub level_tokens: Vec<u32>,
    /// Depending on the kind: the prompt tokens, the tokens found in the cache, or the number of waiting
    /// requests.
    #[prost(uint32, optional, tag = "7")]
    pub number: Option<u32>,
}

/// The model of one replica, sent to a router that restarted or joined the cell.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewChunkMessage {
    /// The hash of the pool name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The tag of the replica's incarnation and weights.
    #[prost(fixed64, tag = "2")]
    pub instance: u64,
    /// The expected queueing time at the replica, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// The keys of the cache entries.
    #[prost(fixed64, repeated, tag = "4")]
    pub keys: Vec<u64>,
    /// The start of each entry, in tokens.
    #[prost(uint32, repeated, tag = "5")]
    pub start_tokens: Vec<u32>,
    /// The end of each entry, in tokens.
    #[prost(uint32, repeated, tag = "6")]
    pub end_tokens: Vec<u32>,
    /// The number of tokens of each entry that are still cached.
    #[prost(uint32, repeated, tag = "7")]
    pub held_tokens: Vec<u32>,
    /// The time since the last use of each entry, in milliseconds.
    #[prost(uint32, repeated, tag = "8")]
    pub age_ms: Vec<u32>,
}

const KIND_PLACED: u32 = 1;
const KIND_WITHDRAWN: u32 = 2;
const KIND_FIRST_TOKEN: u32 = 3;
const KIND_EVICTED: u32 = 4;
const KIND_LOAD: u32 = 5;
const KIND_FINISHED: u32 = 6;

impl LookupMessage {
    /// Creates the message of a lookup in the pool whose name has the hash `pool`.
    #[must_use]
    pub fn new(pool: u32, lookup: &Lookup) -> Self {
        Self {
            pool,
            request: lookup.request,
            cell: saturating_u32(lookup.cell),
            level_keys: lookup.levels.iter().map(|l| l.key).collect(),
            level_tokens: level_deltas(&lookup.levels),
            shared_level: saturating_u32(lookup.shared_level),
            prompt_tokens: lookup.prompt_tokens,
            price_hundredths: to_hundredths(lookup.recomputation_price),
            zone: saturating_u32(lookup.zone),
            excluded: lookup.excluded.to_vec(),
            is_probe: lookup.is_probe,
        }
    }

    /// Returns the lookup.
    #[must_use]
    pub fn lookup(&self) -> Lookup {
        Lookup {
            request: self.request,
            cell: self.cell as usize,
            levels: levels_from_deltas(&self.level_keys, &self.level_tokens),
            shared_level: self.shared_level as usize,
            prompt_tokens: self.prompt_tokens,
            recomputation_price: f64::from(self.price_hundredths) / HUNDREDTHS,
            zone: self.zone as usize,
            excluded: self.excluded.iter().copied().collect(),
            is_probe: self.is_probe,
        }
    }
}

impl OwnerReplyMessage {
    /// Creates the message of a reply.
    #[must_use]
    pub fn new(reply: &OwnerReply) -> Self {
        let candidates = reply.candidates.iter().map(|c| CandidateMessage {
            instance: c.instance,
            warm_tokens: c.warm_tokens,
            wait_ms: millis(c.wait),
        });
        Self {
            request: reply.request,
            candidates: candidates.collect(),
            mean_wait_ms: millis(reply.mean_wait),
            cost_ms: millis(reply.cost),
            price_hundredths: to_hundredths(reply.price),
        }
    }

    /// Returns the reply.
    #[must_use]
    pub fn reply(&self) -> OwnerReply {
        let candidates = self.candidates.iter().map(|c| Candidate {
            instance: c.instance,
            warm_tokens: c.warm_tokens,
            wait: Duration::from_millis(c.wait_ms.into()),
        });
        OwnerReply {
            request: self.request,
            candidates: candidates.collect(),
            mean_wait: Duration::from_millis(self.mean_wait_ms.into()),
            cost: Duration::from_millis(self.cost_ms.into()),
            price: f64::from(self.price_hundredths) / HUNDREDTHS,
        }
    }
}

impl ObservationMessage {
    /// Creates the message of an observation that is sent at `now`.
    #[must_use]
    pub fn new(observation: &Observation, now: Duration) -> Self {
        let age = |at: &Duration| millis(now.saturating_sub(*at));
        match observation {
            Observation::Placed {
                request,
                levels,
                prompt_tokens,
                instance,
                at,
            } => Self {
                kind: KIND_PLACED,
                request: *request,
                instance: *instance,
                age_ms: age(at),
                keys: levels.iter().map(|l| l.key).collect(),
                level_tokens: level_deltas(levels),
                number: Some(*prompt_tokens),
            },
            Observation::Withdrawn { request, instance } => Self {
                kind: KIND_WITHDRAWN,
                request: *request,
                instance: *instance,
                ..Self::default()
            },
            Observation::FirstToken {
                request,
                instance,
                cached_tokens,
                at,
            } => Self {
                kind: KIND_FIRST_TOKEN,
                request: *request,
                instance: *instance,
                age_ms: age(at),
                number: *cached_tokens,
                ..Self::default()
            },
            Observation::Finished {
                request,
                instance,
                at,
            } => Self {
                kind: KIND_FINISHED,
                request: *request,
                instance: *instance,
                age_ms: age(at),
                ..Self::default()
            },
            Observation::Evicted { instance, keys, at } => Self {
                kind: KIND_EVICTED,
                instance: *instance,
                age_ms: age(at),
                keys: keys.clone(),
                ..Self::default()
            },
            Observation::Load {
                instance,
                waiting_requests,
                at,
            } => Self {
                kind: KIND_LOAD,
                instance: *instance,
                age_ms: age(at),
                number: Some(*waiting_requests),
                ..Self::default()
            },
        }
    }

    /// Returns the observation received at `now`, or `None` if this version does not know its kind.
    #[must_use]
    pub fn observation(&self, now: Duration) -> Option<Observation> {
        let at = now.saturating_sub(Duration::from_millis(self.age_ms.into()));
        let (request, instance) = (self.request, self.instance);
        match self.kind {
            KIND_PLACED => Some(Observation::Placed {
                request,
                levels: levels_from_deltas(&self.keys, &self.level_tokens),
                prompt_tokens: self.number?,
                instance,
                at,
            }),
            KIND_WITHDRAWN => Some(Observation::Withdrawn { request, instance }),
            KIND_FIRST_TOKEN => Some(Observation::FirstToken {
                request,
                instance,
                cached_tokens: self.number,
                at,
            }),
            KIND_FINISHED => Some(Observation::Finished {
                request,
                instance,
                at,
            }),
            KIND_EVICTED => Some(Observation::Evicted {
                instance,
                keys: self.keys.clone(),
                at,
            }),
            KIND_LOAD => Some(Observation::Load {
                instance,
                waiting_requests: self.number?,
                at,
            }),
            _ => None,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a price in hundredths is small and positive"
)]
fn to_hundredths(price: f64) -> u32 {
    (price * HUNDREDTHS).round() as u32
}

fn level_deltas(levels: &[Level]) -> Vec<u32> {
    let mut before = 0;
    levels
        .iter()
        .map(|l| l.end_tokens - std::mem::replace(&mut before, l.end_tokens))
        .collect()
}

fn levels_from_deltas<T: FromIterator<Level>>(keys: &[u64], deltas: &[u32]) -> T {
    let mut end_tokens = 0_u32;
    keys.iter()
        .zip(deltas)
        .map(|(&key, &delta)| {
            end_tokens = end_tokens.saturating_add(delta);
            Level { key, end_tokens }
        })
        .collect()
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
