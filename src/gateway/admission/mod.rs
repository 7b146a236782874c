//! Admission control: decides which replicas have room for a request before it is sent.
//!
//! A replica runs a limited number of requests at once and queues a limited number behind them; it rejects what exceeds
//! its queue, whatever the priority of the request. A few large requests therefore fill the queues in front of many
//! small urgent ones, whose work would hardly be noticed. Large requests that are not urgent may fill the slots of a
//! replica and a part of its queue; the rest of the queue stays free for the others. A request that no replica has room
//! for is refused at once, as not run.
//!
//! Load patterns handled: a burst of long prompts in front of short urgent ones (the long ones are refused first); a part
//! of the replicas silent under such a burst (the limit applies to each replica that is left); a free replica (nothing
//! is refused).
//!
//! Rejected: a limit on the requests of the whole service, which refuses requests while a replica is free; replicas
//! reserved for short prompts, which are overloaded by them, since the time to a first token hardly depends on the length
//! of a short prompt.

/// The minimum length of the prompt of a large request, in tokens. A shorter prompt is prefilled in one piece, between two
/// tokens of other requests.
const MIN_LARGE_TOKENS: u32 = 2_048;
/// The priority of requests that are never limited.
const MOST_URGENT: u8 = 0;

/// The part of a replica's room that a request may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Room {
    /// The slots and the whole queue.
    All,
    /// The slots and a part of the queue, so that at most this many requests for each slot are in flight.
    RequestsPerSlot(f64),
}

impl Room {
    /// Returns the room for a request with this priority, of which 0 is the most urgent, and this prompt length.
    ///
    /// `large_requests_per_slot` is the limit on large requests that are not urgent; `None` if there is none.
    pub(crate) fn of(
        priority: u8,
        prompt_tokens: u32,
        large_requests_per_slot: Option<f64>,
    ) -> Self {
        match large_requests_per_slot {
            Some(limit) if priority > MOST_URGENT && prompt_tokens >= MIN_LARGE_TOKENS => {
                Self::RequestsPerSlot(limit)
            }
            _ => Self::All,
        }
    }

    /// Returns whether a replica with `in_flight` requests from all routers has room for one more.
    ///
    /// A replica without requests always has.
    pub(crate) fn is_left(self, in_flight: u32, slots: u32) -> bool {
        match self {
            Self::All => true,
            Self::RequestsPerSlot(limit) => {
                in_flight == 0 || f64::from(in_flight) < f64::from(slots) * limit
            }
        }
    }
}
