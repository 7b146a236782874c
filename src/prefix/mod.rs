//! Identity of prompt openings.
//!
//! An opening is a chain of pieces. Each piece's hash covers the whole prompt up to its end, so that two prompts that
//! share an opening share the leading hashes. The chain's root covers client account, model, adapter and weights
//! version: an entry of another account or of older weights can't match, by construction.
//!
//! Rejected: a radix tree over the text, which keeps large copies per account, and the engines' own block hashes,
//! which tie the router to one tokenizer. See docs/design/openings.md.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::id::WeightsVersion;

#[cfg(test)]
mod tests;

/// The hash of a prompt up to the end of one piece.
pub type PieceHash = u128;

/// The bytes of prompt text that count as one token until the engine has told the true number.
pub const BYTES_PER_TOKEN: usize = 4;
/// The largest number of tokens in one piece.
pub const PIECE_TOKENS: usize = 2_000;
/// The most pieces that an opening keeps; text beyond them is never matched.
pub const MAX_PIECES: usize = 128;
/// The fewest tokens that a level adds to the one before it; shorter ones are not worth a place in any index.
pub const MIN_LEVEL_TOKENS: u32 = 512;

const PIECE_BYTES: usize = PIECE_TOKENS * BYTES_PER_TOKEN;

/// What an opening belongs to; prompts under different roots never share a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpeningRoot<'a> {
    /// The client account.
    pub account: &'a str,
    /// The model's service name.
    pub model: &'a str,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// The weights version that the pool serves.
    pub weights_version: WeightsVersion,
}

/// One piece of an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The hash of the prompt up to this piece's end.
    pub hash: PieceHash,
    /// The estimated tokens of the prompt up to this piece's end.
    pub end_tokens: u32,
}

/// The key of one level: the low half of the hash of its last piece.
pub type LevelKey = u64;

/// A prefix of the chain that other prompts are likely to share, and that routers keep an index of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level {
    /// The key of the prefix.
    pub key: LevelKey,
    /// The estimated tokens of the prompt up to the level's end.
    pub end_tokens: u32,
}

/// The opening of one prompt, as the chain of its pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opening {
    /// The pieces in prompt order.
    pub pieces: SmallVec<[Piece; 16]>,
    /// The levels in prompt order: first message, shared part, the conversation so far, the whole prompt.
    pub levels: SmallVec<[Level; 4]>,
    /// The position in `levels` of the shared part: all that stands before the caller's own first question.
    pub shared_level: usize,
    /// The estimated tokens of the whole prompt.
    pub prompt_tokens: u32,
}

impl Opening {
    /// Computes the opening of a prompt from its `messages`, each a role and its text.
    ///
    /// Pieces end at message boundaries too, so that preamble, manual and question are levels of one chain.
    #[must_use]
    pub fn of_messages<'a>(
        root: OpeningRoot<'_>,
        messages: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Self {
        let mut opening = Self::default();
        let mut ends = MessageEnds::default();
        let mut parent = hash_root(root);
        let mut prompt_bytes = 0;
        for (role, text) in messages {
            let mut label = role;
            for chunk in text.as_bytes().chunks(PIECE_BYTES) {
                prompt_bytes += chunk.len();
                parent = hash_piece(parent, label, chunk);
                label = "";
                opening.push(parent, tokens_of_bytes(prompt_bytes));
            }
            ends.push(role, opening.pieces.len());
        }
        opening.prompt_tokens = tokens_of_bytes(prompt_bytes);
        opening.set_levels(&ends);
        opening
    }

    /// Returns the key by which the opening's owner is found, so that all prompts with the same shared part meet there.
    ///
    /// It is the shared part's level, and not the first message's, because many openings share the latter and
    /// would make one owner hot.
    #[must_use]
    pub fn owner_key(&self) -> LevelKey {
        self.levels.get(self.shared_level).map_or(0, |l| l.key)
    }

    /// Returns the estimated tokens of the shared part.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.levels
            .get(self.shared_level)
            .map_or(0, |l| l.end_tokens)
    }

    fn set_levels(&mut self, ends: &MessageEnds) {
        self.push_level(ends.first);
        self.push_level(ends.shared());
        self.shared_level = self.levels.len().saturating_sub(1);
        self.push_level(ends.conversation());
        self.push_level(ends.last[0]);
    }

    fn push_level(&mut self, end: usize) {
        let Some(piece) = end.checked_sub(1).and_then(|i| self.pieces.get(i)) else {
            return;
        };
        let before = self.levels.last().map_or(0, |l| l.end_tokens);
        if self.levels.is_empty() || piece.end_tokens >= before + MIN_LEVEL_TOKENS {
            self.levels.push(Level {
                key: level_key(piece.hash),
                end_tokens: piece.end_tokens,
            });
        }
    }

    fn push(&mut self, hash: PieceHash, end_tokens: u32) {
        if self.pieces.len() < MAX_PIECES {
            self.pieces.push(Piece { hash, end_tokens });
        }
    }
}

/// Returns the key of the level that ends with the piece of `hash`.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half of the hash is the key"
)]
pub const fn level_key(hash: PieceHash) -> LevelKey {
    hash as LevelKey
}

/// Where messages end, as counts of pieces.
#[derive(Debug, Default)]
struct MessageEnds {
    count: usize,
    first: usize,
    /// The ends of the last four messages, the latest first.
    last: [usize; 4],
    /// The end of the message before the one that the assistant answered first.
    before_first_question: Option<usize>,
}

impl MessageEnds {
    fn push(&mut self, role: &str, end: usize) {
        if self.count == 0 {
            self.first = end;
        }
        if role == "assistant" && self.before_first_question.is_none() {
            self.before_first_question = Some(self.last[1]);
        }
        self.last.rotate_right(1);
        self.last[0] = end;
        self.count += 1;
    }

    /// The shared part is all that stands before the caller's own first question.
    fn shared(&self) -> usize {
        self.before_first_question.unwrap_or(self.last[1])
    }

    /// The prompt that the last turn of the conversation sent, where there was one.
    fn conversation(&self) -> usize {
        self.before_first_question.map_or(0, |_| self.last[2])
    }
}

fn tokens_of_bytes(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn hash_root(root: OpeningRoot<'_>) -> PieceHash {
    let mut hasher = Xxh3::new();
    for field in [root.account, root.model, root.adapter.unwrap_or_default()] {
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(&[u8::from(root.adapter.is_some())]);
    hasher.update(&root.weights_version.to_le_bytes());
    hasher.digest128()
}

fn hash_piece(parent: PieceHash, role: &str, text: &[u8]) -> PieceHash {
    let mut hasher = Xxh3::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(&role.len().to_le_bytes());
    hasher.update(role.as_bytes());
    hasher.update(text);
    hasher.digest128()
}
