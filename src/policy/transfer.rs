//! Export and import of a view, so that a router that restarts or joins a cell starts with its peers' knowledge.

use std::time::Duration;

use super::cache::{CacheEntry, MAX_ENTRIES};
use super::message::{ViewChunkMessage, millis};
use super::owner::{OwnerView, ReplicaModel};

impl OwnerView {
    /// Returns one chunk for each replica of `cell`; a chunk holds at most a few hundred entries of some 20 bytes.
    #[must_use]
    pub fn export(&self, pool: u32, cell: usize, now: Duration) -> Vec<ViewChunkMessage> {
        let replicas = self.cells().replicas(cell).iter();
        replicas
            .map(|&index| chunk_of(&self.models()[index], pool, now))
            .collect()
    }

    /// Takes over a chunk of a peer's view; entries known here to be younger stay, and a chunk of a life that is not the
    /// present one is dropped.
    pub fn import(&mut self, chunk: &ViewChunkMessage, now: Duration) {
        let Some(model) = self.model_mut(chunk.instance) else {
            return;
        };
        for index in 0..chunk.keys.len().min(MAX_ENTRIES) {
            if let Some(entry) = entry_of(chunk, index, now) {
                model.cache.adopt(entry);
            }
        }
        let busy_until = now + Duration::from_millis(chunk.wait_ms.into());
        model.queue.adopt(busy_until);
    }
}

fn chunk_of(model: &ReplicaModel, pool: u32, now: Duration) -> ViewChunkMessage {
    let mut chunk = ViewChunkMessage {
        pool,
        instance: model.instance,
        wait_ms: millis(model.queue.wait(now)),
        ..ViewChunkMessage::default()
    };
    for entry in model.cache.entries().iter().filter(|e| e.key != 0) {
        chunk.keys.push(entry.key);
        chunk.start_tokens.push(entry.start_tokens);
        chunk.end_tokens.push(entry.end_tokens);
        chunk.held_tokens.push(entry.held_tokens);
        chunk
            .age_ms
            .push(millis(now.saturating_sub(entry.last_used)));
    }
    chunk
}

/// Reads one entry; none where the chunk contradicts itself.
fn entry_of(chunk: &ViewChunkMessage, index: usize, now: Duration) -> Option<CacheEntry> {
    let start_tokens = *chunk.start_tokens.get(index)?;
    let end_tokens = *chunk.end_tokens.get(index)?;
    let held_tokens = *chunk.held_tokens.get(index)?;
    let age = Duration::from_millis((*chunk.age_ms.get(index)?).into());
    let is_sound = held_tokens > 0 && held_tokens <= end_tokens.checked_sub(start_tokens)?;
    is_sound.then(|| CacheEntry {
        key: chunk.keys[index],
        start_tokens,
        end_tokens,
        held_tokens,
        last_used: now.saturating_sub(age),
    })
}
