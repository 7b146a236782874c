//! Splits a stream into whole events, so that another replica can go on behind the last one.
//!
//! A replica may stop in the middle of an event. What has been passed on to the caller must then end at the event before,
//! so nothing is passed on until the blank line behind it was read. The bytes themselves stay as the replica sent them,
//! which is why no parser that yields decoded events is used here.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// The longest event that is held back; a stream with a longer one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream can't be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Takes the bytes of a stream and returns whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Takes bytes, and returns all whole events so far that were not returned yet.
    ///
    /// # Errors
    ///
    /// Fails where one event grows past a megabyte.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_events(&self.pending);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id.into());
        }
        Ok(whole)
    }

    /// Returns the id of the last whole event that had one.
    #[must_use]
    pub(crate) fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Tells whether the stream stands between two events.
    #[must_use]
    pub(crate) fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the part of an event that a replica began and did not end.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the place behind the last blank line.
fn end_of_events(bytes: &[u8]) -> usize {
    let mut line_start = bytes.len();
    // From the end, because all but the last event or two were returned before.
    for at in (0..bytes.len()).rev() {
        if bytes[at] != b'\n' {
            continue;
        }
        let line = &bytes[at + 1..line_start];
        let is_blank_line = line == b"\n" || line == b"\r\n";
        if is_blank_line {
            return line_start;
        }
        line_start = at + 1;
    }
    0
}

fn last_id_in(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
