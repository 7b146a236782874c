//! The KV cache memory that the requests in flight hold at a replica.
//!
//! Running requests and cached prompt prefixes share one memory. Cached prefixes yield theirs, running requests do not:
//! if they need more than there is, the engine preempts one of them and prefills it again later. Ten or twelve long
//! requests fill the memory of a replica that has more slots than that.
//!
//! A request holds its own part of the prompt and its output. The shared prefix is held once, however many requests
//! use it: each router counts its distinct prefixes at a replica, and the largest of these figures counts for all
//! routers, since most requests at a replica share the prefix whose home it is.
//!
//! Load patterns handled: bursts of long prompts whose prefixes differ (a replica whose memory is full costs the wait for
//! it and a preemption); many requests with one prefix at its home (they stay there, because together they hold the prefix once).
//!
//! Rejected: counting the whole prompt of each request, which moves long prompts away from their homes although their
//! prefix is in memory; and the sum of the routers' distinct prefixes, which counts one prefix once for each router.

use smallvec::SmallVec;

use super::reports::LoadSample;
use crate::gateway::placement::{PlacementRequest, RECOMPUTE_FACTOR};

/// The memory that this router's requests in flight hold at one replica.
#[derive(Debug, Default)]
pub(crate) struct HeldMemory {
    own_tokens: u64,
    prefixes: SmallVec<[HeldPrefix; 2]>,
}

#[derive(Debug)]
struct HeldPrefix {
    prefix: u64,
    tokens: u32,
    requests: u32,
}

impl HeldMemory {
    /// Adds a request that is about to be sent.
    pub(crate) fn add(&mut self, request: &PlacementRequest) {
        self.own_tokens += request.private_tokens();
        let Some(prefix) = request.prefix else {
            return;
        };
        match self.prefixes.iter_mut().find(|held| held.prefix == prefix) {
            Some(held) => held.requests += 1,
            None => self.prefixes.push(HeldPrefix {
                prefix,
                tokens: request.shared_tokens,
                requests: 1,
            }),
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, request: &PlacementRequest) {
        self.own_tokens = self.own_tokens.saturating_sub(request.private_tokens());
        let held = self
            .prefixes
            .iter()
            .position(|held| Some(held.prefix) == request.prefix);
        if let Some(index) = held {
            self.prefixes[index].requests -= 1;
            if self.prefixes[index].requests == 0 {
                self.prefixes.swap_remove(index);
            }
        }
    }

    /// Returns the tokens that the requests hold without their shared prefixes.
    pub(crate) const fn own_tokens(&self) -> u64 {
        self.own_tokens
    }

    /// Returns the tokens of the distinct prefixes.
    pub(crate) fn prefix_tokens(&self) -> u64 {
        self.prefixes
            .iter()
            .map(|held| u64::from(held.tokens))
            .sum()
    }
}

/// Returns the tokens of a replica's memory that requests in flight do not hold; `None` if its capacity is unknown.
pub(crate) fn free_tokens(cache_tokens: u64, total: &LoadSample) -> Option<u64> {
    let held = total.held_tokens.saturating_add(total.held_prefix_tokens);
    (cache_tokens > 0).then(|| cache_tokens.saturating_sub(held))
}

/// Returns the cost of placing a request at a replica with this much free memory, in milliseconds: zero if it fits.
///
/// Otherwise it waits for the missing memory, which is freed about as fast as prompts are prefilled, or another request is
/// preempted and as many tokens are prefilled again. At a replica that holds the prefix, only the rest needs memory.
pub(crate) fn memory_cost_ms(
    request: &PlacementRequest,
    free_tokens: u64,
    holds_prefix: bool,
    ms_per_token: f64,
) -> f64 {
    let prefix_tokens = if holds_prefix {
        0
    } else {
        u64::from(request.shared_tokens)
    };
    let needed = request.private_tokens() + prefix_tokens;
    let missing = needed.saturating_sub(free_tokens);
    if missing == 0 {
        return 0.0;
    }
    (missing as f64 + needed as f64 * RECOMPUTE_FACTOR) * ms_per_token
}
