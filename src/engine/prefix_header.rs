//! The request header that gives an engine the hashes of the prompt's blocks.

use std::fmt::Write;

use crate::prefix::PromptPrefix;

/// The maximum length of one block in the header: 32 hexadecimal digits, a colon, up to 7 digits and a comma.
const BLOCK_CHARACTERS: usize = 41;

/// Encodes the blocks as `hash:end_tokens`, separated by commas.
pub(crate) fn encode_prefix(prefix: &PromptPrefix) -> String {
    let mut header = String::with_capacity(prefix.blocks.len() * BLOCK_CHARACTERS);
    for block in &prefix.blocks {
        if !header.is_empty() {
            header.push(',');
        }
        // Writing to a `String` cannot fail.
        let _ = write!(header, "{:032x}:{}", block.hash, block.end_tokens);
    }
    header
}
