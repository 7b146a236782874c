//! Export and import of the model, which lets a router that restarted or joined a cell start with its peers'
//! knowledge.

use std::time::Duration;

use super::cache::{CacheEntry, MAX_ENTRIES};
use super::message::{ViewChunkMessage, millis};
use super::pool_model::{PoolModel, ReplicaModel};

impl PoolModel {
    /// Returns one chunk per replica of `cell`. A chunk holds at most a few hundred entries of about 20
    /// bytes.
    #[must_use]
    pub fn export(&self, pool: u32, cell: usize, now: Duration) -> Vec<ViewChunkMessage> {
        let replicas = self.cells().replicas(cell).iter();
        replicas
            .map(|&index| export_replica(&self.models()[index], pool, now))
            .collect()
    }

    /// Merges a chunk of a peer's model. More recently used entries of this model are kept, and a chunk for
    /// an incarnation that is not the current one is ignored.
    pub fn import(&mut self, chunk: &ViewChunkMessage, now: Duration) {
        let Some(model) = self.model_mut(chunk.instance) else {
            return;
        };
        for index in 0..chunk.keys.len().min(MAX_ENTRIES) {
            if let Some(entry) = chunk_entry(chunk, index, now) {
                model.cache.merge(entry);
            }
        }
        let busy_until = now + Duration::from_millis(chunk.wait_ms.into());
        model.queue.merge_busy_until(busy_until);
    }
}

fn export_replica(model: &ReplicaModel, pool: u32, now: Duration) -> ViewChunkMessage {
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

/// Returns the entry at `index`, or `None` if its fields are inconsistent.
fn chunk_entry(chunk: &ViewChunkMessage, index: usize, now: Duration) -> Option<CacheEntry> {
    let start_tokens = *chunk.start_tokens.get(index)?;
    let end_tokens = *chunk.end_tokens.get(index)?;
    let held_tokens = *chunk.held_tokens.get(index)?;
    let age = Duration::from_millis((*chunk.age_ms.get(index)?).into());
    let is_consistent = held_tokens > 0 && held_tokens <= end_tokens.checked_sub(start_tokens)?;
    is_consistent.then(|| CacheEntry {
        key: chunk.keys[index],
        start_tokens,
        end_tokens,
        held_tokens,
        last_used: now.saturating_sub(age),
    })
}
