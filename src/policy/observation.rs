//! Lookups, the owners' replies, and the observations that update the model.

use std::time::Duration;

use smallvec::SmallVec;

use super::view::InstanceTag;
use crate::prefix::{Level, LevelKey, PromptPrefix};

/// The low bits of a request id, which identify a request while its response is pending.
pub type RequestTag = u32;

/// A query to an owner: which replica should compute this prompt?
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    /// The tag of the request.
    pub request: RequestTag,
    /// The cell to choose from.
    pub cell: usize,
    /// The levels of the prompt.
    pub levels: SmallVec<[Level; 4]>,
    /// The index of the shared prefix in `levels`.
    pub shared_level: usize,
    /// The estimated number of tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// The price of recomputation in the routing preference of the service.
    pub recomputation_price: f64,
    /// The index of the querying router's availability zone among the zones of the pool, ordered by name.
    pub zone: usize,
    /// The replicas that have failed this request.
    pub excluded: SmallVec<[InstanceTag; 2]>,
    /// Whether the owner only replies, and the querying router records the placement.
    pub is_probe: bool,
}

impl Lookup {
    /// Returns the key of the shared prefix.
    #[must_use]
    pub fn owner_key(&self) -> LevelKey {
        self.levels.get(self.shared_level).map_or(0, |l| l.key)
    }

    /// Creates a lookup for `prefix` that excludes no replicas.
    #[must_use]
    pub fn new(
        request: RequestTag,
        cell: usize,
        prefix: &PromptPrefix,
        recomputation_price: f64,
        zone: usize,
    ) -> Self {
        Self {
            request,
            cell,
            levels: prefix.levels.clone(),
            shared_level: prefix.shared_level,
            prompt_tokens: prefix.prompt_tokens,
            recomputation_price,
            zone,
            excluded: SmallVec::new(),
            is_probe: false,
        }
    }
}

/// A replica that an owner proposes for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The tag of the replica's incarnation and weights.
    pub instance: InstanceTag,
    /// The number of prompt tokens expected to be cached there.
    pub warm_tokens: u32,
    /// The expected queueing time at the replica.
    pub wait: Duration,
}

/// The reply of an owner. Unless the lookup was a probe, the owner has recorded the request as placed at the
/// first candidate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerReply {
    /// The tag of the request.
    pub request: RequestTag,
    /// The candidates, best first; empty if no replica of the cell can take the request.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// The cost of the first candidate, used to compare the replies of two cells.
    pub cost: Duration,
    /// The price of recomputation that the owner used. The next cell to be queried uses the same price.
    pub price: f64,
    /// The mean queueing time over the cell.
    pub mean_wait: Duration,
}

/// The expected queueing time from which a second cell is queried.
const SECOND_CELL_WAIT: Duration = Duration::from_millis(300);
/// The price below which a prefix is so hot that it may be spread over more than two cells.
const HOT_PREFIX_PRICE: f64 = 1.3;
/// The number of cells over which a hot prefix may be spread.
const MAX_HOT_CELLS: usize = 8;

impl OwnerReply {
    /// Returns how many of the prefix's cells may be queried after this reply; 1 means that the reply is
    /// final.
    #[must_use]
    pub fn cells_to_query(&self) -> usize {
        match self.candidates.first() {
            Some(first) if first.wait < SECOND_CELL_WAIT => 1,
            Some(_) if self.price < HOT_PREFIX_PRICE => MAX_HOT_CELLS,
            _ => 2,
        }
    }

    /// Returns whether this reply is better than the reply of another cell.
    #[must_use]
    pub fn is_better_than(&self, other: &Self) -> bool {
        !self.candidates.is_empty() && (other.candidates.is_empty() || self.cost < other.cost)
    }
}

/// An event that updates a router's model of a cell. All times are from the observing router's clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request was dispatched or is about to be.
    Placed {
        /// The tag of the request.
        request: RequestTag,
        /// The levels of the prompt.
        levels: SmallVec<[Level; 4]>,
        /// The number of tokens in the prompt.
        prompt_tokens: u32,
        /// The replica to which the request was sent.
        instance: InstanceTag,
        /// The time of the dispatch.
        at: Duration,
    },
    /// A placed request was not sent to this replica after all.
    Withdrawn {
        /// The tag of the request.
        request: RequestTag,
        /// The replica to which it was not sent.
        instance: InstanceTag,
    },
    /// The first token of a response arrived.
    FirstToken {
        /// The tag of the request.
        request: RequestTag,
        /// The replica that responded, as named by the response itself.
        instance: InstanceTag,
        /// The number of tokens that the engine found in its cache, if it reported it.
        cached_tokens: Option<u32>,
        /// The time at which the first token left the engine, as far as known.
        at: Duration,
    },
    /// A response ended, complete or not.
    Finished {
        /// The tag of the request.
        request: RequestTag,
        /// The replica that responded.
        instance: InstanceTag,
        /// The time of the end.
        at: Duration,
    },
    /// A replica evicted the last blocks of these levels.
    Evicted {
        /// The replica.
        instance: InstanceTag,
        /// The keys of the levels.
        keys: Vec<LevelKey>,
        /// The latest possible time of the eviction.
        at: Duration,
    },
    /// A replica reported its load.
    Load {
        /// The replica.
        instance: InstanceTag,
        /// The number of requests waiting for prefill or in prefill.
        waiting_requests: u32,
        /// The time to which the report applies.
        at: Duration,
    },
}
