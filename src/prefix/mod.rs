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

/// The opening of one prompt, as the chain of its pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opening {
    /// The pieces in prompt order.
    pub pieces: SmallVec<[Piece; 16]>,
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
        }
        opening.prompt_tokens = tokens_of_bytes(prompt_bytes);
        opening
    }

    fn push(&mut self, hash: PieceHash, end_tokens: u32) {
        if self.pieces.len() < MAX_PIECES {
            self.pieces.push(Piece { hash, end_tokens });
        }
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
