//! What a router asks an opening's owner, and what the owner learns.

use std::time::Duration;

use smallvec::SmallVec;

use super::view::InstanceTag;
use crate::prefix::{Level, LevelKey, Opening};

/// Names one dispatch for as long as its answer is awaited; the low bits of the request's id.
pub type RequestTag = u32;

/// The question which replica a prompt should go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    /// The request.
    pub request: RequestTag,
    /// The cell whose replicas are asked for.
    pub cell: usize,
    /// The levels of the prompt's opening.
    pub levels: SmallVec<[Level; 4]>,
    /// The position of the shared part in `levels`.
    pub shared_level: usize,
    /// The estimated tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The price of recomputation of the service's preference.
    pub recomputation_price: f64,
    /// The position of the asking router's availability zone among those of the pool, in the order of their names.
    pub zone: usize,
    /// A replica that has just failed this request.
    pub excluded: Option<InstanceTag>,
    /// Whether the owner only informs, and the asking router places.
    pub is_probe: bool,
}

impl Lookup {
    /// Returns the key of the shared part.
    #[must_use]
    pub fn owner_key(&self) -> LevelKey {
        self.levels.get(self.shared_level).map_or(0, |l| l.key)
    }

    /// Makes the question for `opening`, without an excluded replica.
    #[must_use]
    pub fn new(
        request: RequestTag,
        cell: usize,
        opening: &Opening,
        recomputation_price: f64,
        zone: usize,
    ) -> Self {
        Self {
            request,
            cell,
            levels: opening.levels.clone(),
            shared_level: opening.shared_level,
            prompt_tokens: opening.prompt_tokens,
            recomputation_price,
            zone,
            excluded: None,
            is_probe: false,
        }
    }
}

/// One replica that an owner thinks of for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica, in one life, under one weights version.
    pub instance: InstanceTag,
    /// The tokens of the prompt that are expected to be warm there.
    pub warm_tokens: u32,
    /// The expected time in the replica's queue.
    pub wait: Duration,
}

/// An owner's answer; it has placed the request at the first candidate, but for a probe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerReply {
    /// The request.
    pub request: RequestTag,
    /// The candidates, the best first; none where the cell has no replica that may take the request.
    pub candidates: SmallVec<[Candidate; 3]>,
    /// The cost of the first candidate, by which answers of two cells are compared.
    pub cost: Duration,
    /// The price of recomputation at which the owner compared; the next cell asked compares at the same.
    pub price: f64,
    /// The mean wait over the cell.
    pub pressure: Duration,
}

/// The expected wait from which a second cell is asked.
const BUSY_WAIT: Duration = Duration::from_millis(300);
/// The price below which an opening is so hot that it may go to more than two cells.
const HOT_PRICE: f64 = 1.3;
/// The cells that a hot opening may go to.
const HOT_CELLS: usize = 8;

impl OwnerReply {
    /// Tells how many of an opening's cells may be asked after this answer; one means that it stands.
    #[must_use]
    pub fn cells_to_consider(&self) -> usize {
        match self.candidates.first() {
            Some(first) if first.wait < BUSY_WAIT => 1,
            Some(_) if self.price < HOT_PRICE => HOT_CELLS,
            _ => 2,
        }
    }

    /// Tells whether this answer is better than that of another cell.
    #[must_use]
    pub fn is_better_than(&self, other: &Self) -> bool {
        !self.candidates.is_empty() && (other.candidates.is_empty() || self.cost < other.cost)
    }
}

/// What a router learns of a cell. All times are the observing router's own.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request was or is about to be dispatched.
    Placed {
        /// The request.
        request: RequestTag,
        /// The levels of its opening.
        levels: SmallVec<[Level; 4]>,
        /// The tokens of its prompt.
        prompt_tokens: u32,
        /// Where it went.
        instance: InstanceTag,
        /// When.
        at: Duration,
    },
    /// A request that was placed did not go there.
    Withdrawn {
        /// The request.
        request: RequestTag,
        /// Where it did not go.
        instance: InstanceTag,
    },
    /// A request's first token came.
    Answered {
        /// The request.
        request: RequestTag,
        /// Who answered, as the answer itself says.
        instance: InstanceTag,
        /// The tokens that the engine found warm, where it has said so.
        cached_tokens: Option<u32>,
        /// When the first token left the engine, as far as is known.
        at: Duration,
    },
    /// A request's answer ended, whole or not.
    Finished {
        /// The request.
        request: RequestTag,
        /// Who answered.
        instance: InstanceTag,
        /// When.
        at: Duration,
    },
    /// A replica dropped the pieces that end these levels.
    Evicted {
        /// The replica.
        instance: InstanceTag,
        /// The levels.
        keys: Vec<LevelKey>,
        /// When at the latest.
        at: Duration,
    },
    /// A replica reported its load.
    Load {
        /// The replica.
        instance: InstanceTag,
        /// The requests that waited for or were in prefill.
        waiting_requests: u32,
        /// When it was so.
        at: Duration,
    },
}
