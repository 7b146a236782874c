//! Hash chains that identify prompt prefixes.
//!
//! A prompt is split into blocks. The hash of a block covers the whole prompt up to the end of the block, so
//! prompts with a common prefix have the same leading hashes. The chain is seeded with the client account,
//! model, adapter and weights version, so an entry of another account or of older weights cannot match.
//!
//! Rejected: a radix tree over the text, which keeps large copies for each account, and the engines' own
//! block hashes, which tie the router to one tokenizer. See docs/design/openings.md.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::id::WeightsVersion;

#[cfg(test)]
mod tests;

/// The hash of a prompt up to the end of one block.
pub type BlockHash = u128;

/// The number of bytes of prompt text counted as one token until the engine reports the exact count.
pub const BYTES_PER_TOKEN: usize = 4;
/// The maximum number of tokens in one block.
pub const BLOCK_TOKENS: usize = 2_000;
/// The maximum number of blocks kept for a prompt; text beyond them is never matched.
pub const MAX_BLOCKS: usize = 128;
/// The minimum number of tokens that a level adds to the previous one; shorter levels are not worth an index
/// entry.
pub const MIN_LEVEL_TOKENS: u32 = 512;

const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// The scope of a hash chain. Prompts of different scopes never share a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixScope<'a> {
    /// The client account.
    pub account: &'a str,
    /// The service name of the model.
    pub model: &'a str,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// The weights version that the pool serves.
    pub weights_version: WeightsVersion,
}

/// One block of a hash chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The hash of the prompt up to the end of this block.
    pub hash: BlockHash,
    /// The estimated number of prompt tokens up to the end of this block.
    pub end_tokens: u32,
}

/// The key of a level: the low 64 bits of the hash of its last block.
pub type LevelKey = u64;

/// A prefix that other prompts are likely to share. Routers index prefixes by level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// The key of the prefix.
    pub key: LevelKey,
    /// The estimated number of prompt tokens up to the end of the level.
    pub end_tokens: u32,
}

/// The hash chain of one prompt and the levels at which routers index it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    /// The blocks, in prompt order.
    pub blocks: SmallVec<[Block; 16]>,
    /// The levels, in prompt order: first message, shared prefix, conversation so far, whole prompt.
    pub levels: SmallVec<[Level; 4]>,
    /// The index in `levels` of the shared prefix, which is everything before the caller's own first
    /// question.
    pub shared_level: usize,
    /// The estimated number of tokens in the whole prompt.
    pub prompt_tokens: u32,
}

impl PromptPrefix {
    /// Computes the hash chain of a prompt from its `messages`, each given as a role and a text.
    ///
    /// Blocks also end at message boundaries, so that the system message, the shared documents and the
    /// question are levels of one chain.
    #[must_use]
    pub fn from_messages<'a>(
        scope: PrefixScope<'_>,
        messages: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Self {
        let mut prefix = Self::default();
        let mut ends = MessageBoundaries::default();
        let mut parent = hash_scope(scope);
        let mut prompt_bytes = 0;
        for (role, text) in messages {
            let mut label = role;
            for chunk in text.as_bytes().chunks(BLOCK_BYTES) {
                prompt_bytes += chunk.len();
                parent = hash_block(parent, label, chunk);
                label = "";
                prefix.push(parent, bytes_to_tokens(prompt_bytes));
            }
            ends.push(role, prefix.blocks.len());
        }
        prefix.prompt_tokens = bytes_to_tokens(prompt_bytes);
        prefix.set_levels(&ends);
        prefix
    }

    /// Returns the key that selects the owner router of this prefix. All prompts with the same shared prefix
    /// have the same owner.
    ///
    /// This is the key of the shared prefix rather than of the first message: many different prefixes begin
    /// with the same first message, which would overload one owner.
    #[must_use]
    pub fn owner_key(&self) -> LevelKey {
        self.levels.get(self.shared_level).map_or(0, |l| l.key)
    }

    /// Returns the estimated number of tokens in the shared prefix.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.levels
            .get(self.shared_level)
            .map_or(0, |l| l.end_tokens)
    }

    fn set_levels(&mut self, ends: &MessageBoundaries) {
        self.push_level(ends.first);
        self.push_level(ends.shared());
        self.shared_level = self.levels.len().saturating_sub(1);
        self.push_level(ends.conversation());
        self.push_level(ends.last[0]);
    }

    fn push_level(&mut self, end: usize) {
        let Some(block) = end.checked_sub(1).and_then(|i| self.blocks.get(i)) else {
            return;
        };
        let before = self.levels.last().map_or(0, |l| l.end_tokens);
        if self.levels.is_empty() || block.end_tokens >= before + MIN_LEVEL_TOKENS {
            self.levels.push(Level {
                key: level_key(block.hash),
                end_tokens: block.end_tokens,
            });
        }
    }

    fn push(&mut self, hash: BlockHash, end_tokens: u32) {
        if self.blocks.len() < MAX_BLOCKS {
            self.blocks.push(Block { hash, end_tokens });
        }
    }
}

/// Returns the key of the level whose last block has the hash `hash`.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the key is the low 64 bits of the hash"
)]
pub const fn level_key(hash: BlockHash) -> LevelKey {
    hash as LevelKey
}

/// The positions at which messages end, counted in blocks.
#[derive(Debug, Default)]
struct MessageBoundaries {
    count: usize,
    first: usize,
    /// The ends of the last four messages, latest first.
    last: [usize; 4],
    /// The start of the first message to which the assistant responded, which is the end of the shared
    /// prefix.
    first_question_start: Option<usize>,
}

impl MessageBoundaries {
    fn push(&mut self, role: &str, end: usize) {
        if self.count == 0 {
            self.first = end;
        }
        if role == "assistant" && self.first_question_start.is_none() {
            self.first_question_start = Some(self.last[1]);
        }
        self.last.rotate_right(1);
        self.last[0] = end;
        self.count += 1;
    }

    /// Returns the end of the shared prefix, which is everything before the caller's own first question.
    fn shared(&self) -> usize {
        self.first_question_start.unwrap_or(self.last[1])
    }

    /// Returns the end of the prompt of the previous turn, or 0 in the first turn.
    fn conversation(&self) -> usize {
        self.first_question_start.map_or(0, |_| self.last[2])
    }
}

fn bytes_to_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn hash_scope(scope: PrefixScope<'_>) -> BlockHash {
    let mut hasher = Xxh3::new();
    for field in [
        scope.account,
        scope.model,
        scope.adapter.unwrap_or_default(),
    ] {
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(&[u8::from(scope.adapter.is_some())]);
    hasher.update(&scope.weights_version.to_le_bytes());
    hasher.digest128()
}

fn hash_block(parent: BlockHash, role: &str, text: &[u8]) -> BlockHash {
    let mut hasher = Xxh3::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(&role.len().to_le_bytes());
    hasher.update(role.as_bytes());
    hasher.update(text);
    hasher.digest128()
}
