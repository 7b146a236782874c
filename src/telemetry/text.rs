//! Text from outside, made safe for a log line or a terminal.

/// The most characters of a value from outside that a log line or a table shows.
const MAX_SHOWN_CHARS: usize = 96;

/// Returns `text` without control characters and quotes, cut to a bounded length.
///
/// A name from outside can hold line breaks or terminal escapes, which would forge log lines or hide rows of a table.
pub(crate) fn printable(text: &str) -> String {
    let mut shown: String = text
        .chars()
        .take(MAX_SHOWN_CHARS)
        .map(|character| if is_plain(character) { character } else { '?' })
        .collect();
    if text.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push('…');
    }
    shown
}

fn is_plain(character: char) -> bool {
    !character.is_control() && character != '"' && !is_invisible(character)
}

/// Tells the marks that reorder or hide text.
const fn is_invisible(character: char) -> bool {
    matches!(character, '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
}
