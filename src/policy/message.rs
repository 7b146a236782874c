//! The frames of the policy between routers.
//!
//! Times travel as ages or durations, because routers share no clock. A question takes about 35 bytes, an answer
//! about 50 and a placement about 35, which docs/design/routing.md sets against the control budget.

use std::time::Duration;

use super::observation::{Candidate, Lookup, Observation, OwnerReply};
use crate::prefix::Level;

const HUNDREDTHS: f64 = 100.0;

/// The question to an opening's owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LookupMessage {
    /// The pool, as the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The request.
    #[prost(fixed32, tag = "2")]
    pub request: u32,
    /// The cell.
    #[prost(uint32, tag = "3")]
    pub cell: u32,
    /// The keys of the levels.
    #[prost(fixed64, repeated, tag = "4")]
    pub level_keys: Vec<u64>,
    /// The tokens that each level adds to the one before.
    #[prost(uint32, repeated, tag = "5")]
    pub level_tokens: Vec<u32>,
    /// The position of the shared part.
    #[prost(uint32, tag = "6")]
    pub shared_level: u32,
    /// The tokens of the prompt.
    #[prost(uint32, tag = "7")]
    pub prompt_tokens: u32,
    /// The price of recomputation in hundredths.
    #[prost(uint32, tag = "8")]
    pub price_hundredths: u32,
    /// The position of the asking router's availability zone.
    #[prost(uint32, tag = "9")]
    pub zone: u32,
    /// A replica that has just failed this request; zero for none.
    #[prost(fixed64, tag = "10")]
    pub excluded: u64,
    /// Whether the owner only informs.
    #[prost(bool, tag = "11")]
    pub is_probe: bool,
}

/// The owner's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OwnerReplyMessage {
    /// The request.
    #[prost(fixed32, tag = "1")]
    pub request: u32,
    /// The candidates.
    #[prost(message, repeated, tag = "2")]
    pub candidates: Vec<CandidateMessage>,
    /// The mean wait over the cell in milliseconds.
    #[prost(uint32, tag = "3")]
    pub pressure_ms: u32,
    /// The cost of the first candidate in milliseconds.
    #[prost(uint32, tag = "4")]
    pub cost_ms: u32,
    /// The price of recomputation in hundredths.
    #[prost(uint32, tag = "5")]
    pub price_hundredths: u32,
}

/// One candidate of an owner's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CandidateMessage {
    /// The replica's life and weights.
    #[prost(fixed64, tag = "1")]
    pub instance: u64,
    /// The tokens expected to be warm.
    #[prost(uint32, tag = "2")]
    pub warm_tokens: u32,
    /// The expected time in its queue in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// A batch of observations.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObservationsMessage {
    /// The pool, as the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The observations in order.
    #[prost(message, repeated, tag = "2")]
    pub observations: Vec<ObservationMessage>,
}

/// One observation; its kind follows from the fields that are set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObservationMessage {
    /// The kind: 1 placed, 2 withdrawn, 3 answered, 4 evicted, 5 load, 6 finished.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The request.
    #[prost(fixed32, tag = "2")]
    pub request: u32,
    /// The replica's life and weights.
    #[prost(fixed64, tag = "3")]
    pub instance: u64,
    /// The age in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// The keys of levels, placed or evicted.
    #[prost(fixed64, repeated, tag = "5")]
    pub keys: Vec<u64>,
    /// The tokens that each level adds to the one before.
    #[prost(uint32, repeated, tag = "6")]
    pub level_tokens: Vec<u32>,
    /// The tokens of the prompt, the tokens found warm or the requests that wait, by kind.
    #[prost(uint32, optional, tag = "7")]
    pub number: Option<u32>,
}

/// A part of a router's view, for one that restarted or newly joined a cell.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewChunkMessage {
    /// The pool, as the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The replica's life and weights.
    #[prost(fixed64, tag = "2")]
    pub instance: u64,
    /// The expected time in the replica's queue in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// The keys of the entries.
    #[prost(fixed64, repeated, tag = "4")]
    pub keys: Vec<u64>,
    /// Where the entries start, in tokens.
    #[prost(uint32, repeated, tag = "5")]
    pub start_tokens: Vec<u32>,
    /// Where the entries end, in tokens.
    #[prost(uint32, repeated, tag = "6")]
    pub end_tokens: Vec<u32>,
    /// The tokens of the entries that are still held.
    #[prost(uint32, repeated, tag = "7")]
    pub held_tokens: Vec<u32>,
    /// The ages of the entries' last use in milliseconds.
    #[prost(uint32, repeated, tag = "8")]
    pub age_ms: Vec<u32>,
}

const KIND_PLACED: u32 = 1;
const KIND_WITHDRAWN: u32 = 2;
const KIND_ANSWERED: u32 = 3;
const KIND_EVICTED: u32 = 4;
const KIND_LOAD: u32 = 5;
const KIND_FINISHED: u32 = 6;

impl LookupMessage {
    /// Makes the frame of a question about the pool with the hash `pool`.
    #[must_use]
    pub fn new(pool: u32, lookup: &Lookup) -> Self {
        Self {
            pool,
            request: lookup.request,
            cell: saturate(lookup.cell),
            level_keys: lookup.levels.iter().map(|l| l.key).collect(),
            level_tokens: steps_of(&lookup.levels),
            shared_level: saturate(lookup.shared_level),
            prompt_tokens: lookup.prompt_tokens,
            price_hundredths: hundredths(lookup.recomputation_price),
            zone: saturate(lookup.zone),
            excluded: lookup.excluded.unwrap_or(0),
            is_probe: lookup.is_probe,
        }
    }

    /// Returns the question.
    #[must_use]
    pub fn lookup(&self) -> Lookup {
        Lookup {
            request: self.request,
            cell: self.cell as usize,
            levels: levels_of(&self.level_keys, &self.level_tokens),
            shared_level: self.shared_level as usize,
            prompt_tokens: self.prompt_tokens,
            recomputation_price: f64::from(self.price_hundredths) / HUNDREDTHS,
            zone: self.zone as usize,
            excluded: Some(self.excluded).filter(|&e| e != 0),
            is_probe: self.is_probe,
        }
    }
}

impl OwnerReplyMessage {
    /// Makes the frame of an answer.
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
            pressure_ms: millis(reply.pressure),
            cost_ms: millis(reply.cost),
            price_hundredths: hundredths(reply.price),
        }
    }

    /// Returns the answer.
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
            pressure: Duration::from_millis(self.pressure_ms.into()),
            cost: Duration::from_millis(self.cost_ms.into()),
            price: f64::from(self.price_hundredths) / HUNDREDTHS,
        }
    }
}

impl ObservationMessage {
    /// Makes the frame of an observation that is sent at `now`.
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
                level_tokens: steps_of(levels),
                number: Some(*prompt_tokens),
            },
            Observation::Withdrawn { request, instance } => Self {
                kind: KIND_WITHDRAWN,
                request: *request,
                instance: *instance,
                ..Self::default()
            },
            Observation::Answered {
                request,
                instance,
                cached_tokens,
                at,
            } => Self {
                kind: KIND_ANSWERED,
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

    /// Returns the observation, received at `now`; none for a kind that this version does not know.
    #[must_use]
    pub fn observation(&self, now: Duration) -> Option<Observation> {
        let at = now.saturating_sub(Duration::from_millis(self.age_ms.into()));
        let (request, instance) = (self.request, self.instance);
        match self.kind {
            KIND_PLACED => Some(Observation::Placed {
                request,
                levels: levels_of(&self.keys, &self.level_tokens),
                prompt_tokens: self.number?,
                instance,
                at,
            }),
            KIND_WITHDRAWN => Some(Observation::Withdrawn { request, instance }),
            KIND_ANSWERED => Some(Observation::Answered {
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
fn hundredths(price: f64) -> u32 {
    (price * HUNDREDTHS).round() as u32
}

fn steps_of(levels: &[Level]) -> Vec<u32> {
    let mut before = 0;
    levels
        .iter()
        .map(|l| l.end_tokens - std::mem::replace(&mut before, l.end_tokens))
        .collect()
}

fn levels_of<T: FromIterator<Level>>(keys: &[u64], steps: &[u32]) -> T {
    let mut end_tokens = 0_u32;
    keys.iter()
        .zip(steps)
        .map(|(&key, &step)| {
            end_tokens = end_tokens.saturating_add(step);
            Level { key, end_tokens }
        })
        .collect()
}

fn saturate(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
