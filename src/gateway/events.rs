//! Finds the ends of events in a server-sent event stream, and splits it into complete events.
//!
//! A replica may fail in the middle of an event. If another replica can resume the stream, what has been forwarded to
//! the caller must end with the previous event, so bytes are held back until the blank line that ends their event.
//! Parsers that yield decoded events are not used because the bytes must be forwarded exactly as the replica sent them.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// The maximum size of an incomplete event; a stream that exceeds it is treated as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Where in a stream of events the bytes received so far end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamPosition {
    /// Before the first byte.
    Start,
    /// After the blank line that ends an event.
    BetweenEvents,
    /// Within an event.
    InsideEvent,
}

/// Finds the ends of events in a stream that arrives in parts of any size.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    line: LineStart,
    events: u32,
    is_inside_event: bool,
}

/// What is known of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineStart {
    #[default]
    Empty,
    /// Only a carriage return so far.
    CarriageReturn,
    Text,
}

impl EventScanner {
    /// Reads the next bytes and returns the offset after the last blank line in them, or 0 if there is none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> usize {
        let mut end = 0;
        for (at, byte) in bytes.iter().enumerate() {
            let is_blank_line = *byte == b'\n' && self.line != LineStart::Text;
            self.line = match byte {
                b'\n' => LineStart::Empty,
                b'\r' if self.line == LineStart::Empty => LineStart::CarriageReturn,
                _ => LineStart::Text,
            };
            if is_blank_line {
                self.events = self.events.saturating_add(1);
                end = at + 1;
            }
        }
        self.is_inside_event = end < bytes.len() || (self.is_inside_event && end == 0);
        end
    }

    /// Returns where the bytes read so far end.
    #[must_use]
    pub(crate) const fn position(&self) -> StreamPosition {
        match (self.is_inside_event, self.events) {
            (true, _) => StreamPosition::InsideEvent,
            (false, 0) => StreamPosition::Start,
            (false, _) => StreamPosition::BetweenEvents,
        }
    }

    /// Returns the number of complete events read so far.
    #[must_use]
    pub(crate) const fn events(&self) -> u32 {
        self.events
    }
}

impl StreamPosition {
    /// Returns the position as it is written to the log.
    #[must_use]
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::BetweenEvents => "between_events",
            Self::InsideEvent => "inside_event",
        }
    }
}

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    scanner: EventScanner,
    pending: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events that were not returned before.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event exceeds one mebibyte.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLong> {
        let end = match self.scanner.push(bytes) {
            0 => 0,
            end => self.pending.len() + end,
        };
        self.pending.extend_from_slice(bytes);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id_in(&whole) {
            self.last_id = Some(id.into());
        }
        Ok(whole)
    }

    /// Returns the ID of the last complete event that had one.
    #[must_use]
    pub(crate) fn last_id(&self) -> Option<&Arc<str>> {
        self.last_id.as_ref()
    }

    /// Returns the number of complete events of the current replica.
    #[must_use]
    pub(crate) const fn events(&self) -> u32 {
        self.scanner.events()
    }

    /// Returns where the stream of the current replica ends, with the incomplete event that is held back.
    #[must_use]
    pub(crate) const fn position(&self) -> StreamPosition {
        self.scanner.position()
    }

    /// Discards the incomplete event at the end of the buffer, since the stream of another replica follows.
    pub(crate) fn begin_resumption(&mut self) {
        self.pending.clear();
        self.scanner = EventScanner::default();
    }
}

fn last_id_in(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
