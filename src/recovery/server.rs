//! The server side of recovery: serves state at a limited rate.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt};

use crate::recovery::message::{StateChunk, StateRequest};

/// The maximum size of the items in one chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 32 << 10;
/// The rate at which a router serves state.
const BYTES_PER_SECOND: f64 = 1_048_576.0;
/// The burst size of the rate limit.
const BURST_BYTES: f64 = 1_048_576.0;
/// The minimum delay after which a rate-limited router is told to retry; the maximum is three times as long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The rate limiter for serving state.
#[derive(Debug)]
pub struct StateServer {
    available_bytes: f64,
    refilled_at: Duration,
    served_bytes: f64,
    started_at: Duration,
}

impl StateServer {
    /// Creates a rate limiter with the full burst available.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            available_bytes: BURST_BYTES,
            refilled_at: now,
            served_bytes: 0.0,
            started_at: now,
        }
    }

    /// Returns the response to `request` from `items`, the current content of the section in `generation`.
    ///
    /// `items` is `None` if this router does not know the section. A chunk holds at most [`MAX_CHUNK_BYTES`], but at
    /// least one item even if that item is larger, so that every chunk makes progress.
    pub fn chunk(
        &mut self,
        request: StateRequest,
        generation: u64,
        items: Option<&[Bytes]>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> StateChunk {
        let Some(items) = items else {
            return StateChunk::default();
        };
        // A request for another generation starts from the first item.
        let first = if request.generation == generation {
            usize::try_from(request.first_item).unwrap_or(usize::MAX)
        } else {
            0
        };
        let mut chunk = StateChunk {
            generation,
            first_item: first as u64,
            total_items: items.len() as u64,
            is_known: true,
            ..StateChunk::default()
        };
        let remaining = items.get(first..).unwrap_or_default();
        let (count, bytes) = fit_chunk(remaining);
        if self.try_consume(bytes, now) {
            chunk.items = remaining[..count].to_vec();
        } else {
            let delay = MIN_RETRY_AFTER.mul_f64(rng.random_range(1.0..3.0));
            chunk.retry_after_ms = delay.as_millis() as u32;
        }
        chunk
    }

    fn try_consume(&mut self, bytes: usize, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available_bytes = (self.available_bytes + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.refilled_at = now;
        let bytes = bytes as f64;
        if bytes > 0.0 && self.available_bytes <= 0.0 {
            return false;
        }
        self.available_bytes -= bytes;
        self.served_bytes += bytes;
        let age = now.saturating_sub(self.started_at).as_secs_f64();
        let limit = BURST_BYTES + age * BYTES_PER_SECOND + bytes;
        assert!(
            self.served_bytes <= limit + 1.0,
            "served {} bytes of state, but the limit is {limit}",
            self.served_bytes
        );
        true
    }
}

/// Returns how many of `items` fit into one chunk, and their total size in bytes.
fn fit_chunk(items: &[Bytes]) -> (usize, usize) {
    let mut bytes = 0;
    let mut count = 0;
    for item in items {
        if count > 0 && bytes + item.len() > MAX_CHUNK_BYTES {
            break;
        }
        bytes += item.len();
        count += 1;
    }
    (count, bytes)
}
