//! The side that serves its state, within a rate.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt};

use crate::recovery::message::{StateChunk, StateRequest};

/// The most bytes of items in one chunk.
pub const MAX_CHUNK_BYTES: usize = 32 << 10;
/// The bytes that a router serves per second.
const BYTES_PER_SECOND: f64 = 1_048_576.0;
/// The bytes that a router serves at once after a quiet time.
const BURST_BYTES: f64 = 1_048_576.0;
/// The shortest time after which a refused router is told to ask again; the longest is three times as long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The rate within which state is served.
#[derive(Debug)]
pub struct StateServer {
    budget_bytes: f64,
    refilled: Duration,
    served_bytes: f64,
    begun: Duration,
}

impl StateServer {
    /// Begins with the whole burst.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            budget_bytes: BURST_BYTES,
            refilled: now,
            served_bytes: 0.0,
            begun: now,
        }
    }

    /// Answers one request out of `items`, the section's present content of `generation`.
    ///
    /// `items` is `None` where this router does not know the section itself. The larger of a chunk's bound and its first
    /// item limits its bytes, so that every chunk brings something.
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
        // A request that goes on in another generation begins anew.
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
        let rest = items.get(first..).unwrap_or_default();
        let (count, bytes) = fitting(rest);
        if self.take(bytes, now) {
            chunk.items = rest[..count].to_vec();
        } else {
            let wait = MIN_RETRY_AFTER.mul_f64(rng.random_range(1.0..3.0));
            chunk.retry_after_ms = wait.as_millis() as u32;
        }
        chunk
    }

    fn take(&mut self, bytes: usize, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.budget_bytes = (self.budget_bytes + passed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.refilled = now;
        let bytes = bytes as f64;
        if bytes > 0.0 && self.budget_bytes <= 0.0 {
            return false;
        }
        self.budget_bytes -= bytes;
        self.served_bytes += bytes;
        let age = now.saturating_sub(self.begun).as_secs_f64();
        let allowed = BURST_BYTES + age * BYTES_PER_SECOND + bytes;
        assert!(
            self.served_bytes <= allowed + 1.0,
            "{} bytes of state served where {allowed} are allowed",
            self.served_bytes
        );
        true
    }
}

/// Returns how many of `items` fit a chunk, and their bytes.
fn fitting(items: &[Bytes]) -> (usize, usize) {
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
