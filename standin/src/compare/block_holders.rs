//! The replicas that actually hold each block, used by the oracle and to count avoidable recomputation.

use std::collections::HashMap;

use crocuswharf::{LevelKey, PromptPrefix, level_key};

/// Why a replica last lost a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemovalCause {
    Evicted,
    Crashed,
}

/// The replicas that hold each block that was ever computed.
#[derive(Debug, Default)]
pub(crate) struct BlockHolders {
    blocks: HashMap<LevelKey, BlockState>,
}

#[derive(Debug, Default)]
struct BlockState {
    replicas: Vec<u32>,
    last_removal: Option<RemovalCause>,
}

impl BlockHolders {
    pub(crate) fn add(&mut self, key: LevelKey, replica: usize) {
        let block = self.blocks.entry(key).or_default();
        block.replicas.push(replica as u32);
    }

    pub(crate) fn remove(&mut self, key: LevelKey, replica: usize, cause: RemovalCause) {
        if let Some(block) = self.blocks.get_mut(&key) {
            block.replicas.retain(|&r| r as usize != replica);
            block.last_removal = Some(cause);
        }
    }

    /// Returns whether computing a block could have been avoided: another replica holds it, or the last replica
    /// to lose it evicted it for a block that the policy had placed there.
    pub(crate) fn is_avoidable(&self, key: LevelKey) -> bool {
        self.blocks.get(&key).is_some_and(|b| {
            !b.replicas.is_empty() || b.last_removal == Some(RemovalCause::Evicted)
        })
    }

    /// Sets each element of `cached` to the number of leading blocks of `prefix` that the replica holds.
    pub(crate) fn cached_blocks(&self, prefix: &PromptPrefix, cached: &mut [usize]) {
        cached.fill(0);
        for (depth, hashed) in prefix.blocks.iter().enumerate() {
            let Some(block) = self.blocks.get(&level_key(hashed.hash)) else {
                break;
            };
            for &replica in &block.replicas {
                let count = &mut cached[replica as usize];
                if *count == depth {
                    *count = depth + 1;
                }
            }
        }
    }
}
