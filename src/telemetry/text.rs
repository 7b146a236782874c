//! Sanitizes untrusted text for log lines and terminals.

/// The maximum number of characters of an untrusted value shown in a log line or table.
const MAX_SHOWN_CHARS: usize = 96;

/// Returns `text` with control, quote and invisible characters replaced by `?`, truncated to a maximum length.
///
/// An untrusted name can contain line breaks or terminal escape sequences, which could forge log lines or hide table
/// rows.
pub(crate) fn printable(text: &str) -> String {
    let mut shown: String = text
        .chars()
        .take(MAX_SHOWN_CHARS)
        .map(|character| {
            if is_printable(character) {
                character
            } else {
                '?'
            }
        })
        .collect();
    if text.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push('…');
    }
    shown
}

fn is_printable(character: char) -> bool {
    !character.is_control() && character != '"' && !is_invisible(character)
}

/// Returns whether `character` is an invisible character that reorders or hides text.
const fn is_invisible(character: char) -> bool {
    matches!(character, '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
}
