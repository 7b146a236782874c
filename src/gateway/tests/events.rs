//! Tests that a stream split at any offset is forwarded in complete events only.

use crate::gateway::events::{EventScanner, EventSplitter, StreamPosition};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

#[test]
fn push_split_anywhere_keeps_all_bytes() {
    for split in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut returned = splitter.push(&STREAM[..split]).unwrap().to_vec();
        let before = returned.clone();
        assert!(
            before.is_empty() || before.ends_with(b"\n\n") || before.ends_with(b"\r\n\r\n"),
            "split at {split}: an incomplete event was returned"
        );
        returned.extend_from_slice(&splitter.push(&STREAM[split..]).unwrap());
        assert_eq!(returned, STREAM, "split at {split}");
        assert_eq!(splitter.position(), StreamPosition::BetweenEvents);
        assert_eq!(splitter.last_id().map(|id| &**id), Some("3"));
    }
}

#[test]
fn push_truncated_event_resumes_after_last_complete_one() {
    let mut splitter = EventSplitter::default();
    let returned = splitter.push(b"id: 7\ndata: x\n\nid: 8\nda").unwrap();
    assert_eq!(&returned[..], b"id: 7\ndata: x\n\n");
    splitter.begin_resumption();
    assert_eq!(splitter.last_id().map(|id| &**id), Some("7"));
    let returned = splitter.push(b"id: 8\ndata: y\n\n").unwrap();
    assert_eq!(&returned[..], b"id: 8\ndata: y\n\n");
}

#[test]
fn push_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 600 << 10];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

#[test]
fn position_at_each_offset_tells_whether_an_event_is_incomplete() {
    let ends = [15, 33, STREAM.len()];
    for split in 1..=STREAM.len() {
        let mut scanner = EventScanner::default();
        assert_eq!(scanner.position(), StreamPosition::Start);
        // In two parts, since a line end may be split between them.
        scanner.push(&STREAM[..split / 2]);
        scanner.push(&STREAM[split / 2..split]);
        let expected = if ends.contains(&split) {
            StreamPosition::BetweenEvents
        } else {
            StreamPosition::InsideEvent
        };
        assert_eq!(scanner.position(), expected, "after {split} bytes");
    }
}

#[test]
fn position_resumed_stream_starts_anew() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\n\nid").unwrap();
    assert_eq!(splitter.position(), StreamPosition::InsideEvent);
    splitter.begin_resumption();
    assert_eq!(splitter.position(), StreamPosition::Start);
}
