//! The header that tells an engine which hashes label the pieces of a prompt.

use std::fmt::Write;

use crate::prefix::Opening;

/// The characters that one piece takes: 32 hexadecimal digits, a colon, up to 7 digits and a comma.
const PIECE_CHARACTERS: usize = 41;

/// Encodes the pieces as `hash:end_tokens`, comma separated.
pub(crate) fn encode_opening(opening: &Opening) -> String {
    let mut header = String::with_capacity(opening.pieces.len() * PIECE_CHARACTERS);
    for piece in &opening.pieces {
        if !header.is_empty() {
            header.push(',');
        }
        // Writing into a string can't fail.
        let _ = write!(header, "{:032x}:{}", piece.hash, piece.end_tokens);
    }
    header
}
