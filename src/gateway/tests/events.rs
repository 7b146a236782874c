//! Streams cut at any place are passed on in whole events only.

use crate::gateway::events::EventSplitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

#[test]
fn push_any_cut_keeps_all_bytes() {
    for cut in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = splitter.push(&STREAM[..cut]).unwrap().to_vec();
        let before = passed.clone();
        assert!(
            before.is_empty() || before.ends_with(b"\n\n") || before.ends_with(b"\r\n\r\n"),
            "cut at {cut} passed on a part of an event"
        );
        passed.extend_from_slice(&splitter.push(&STREAM[cut..]).unwrap());
        assert_eq!(passed, STREAM, "cut at {cut}");
        assert!(splitter.is_between_events());
        assert_eq!(splitter.last_id().map(|id| &**id), Some("3"));
    }
}

#[test]
fn push_broken_event_goes_on_behind_last_whole_one() {
    let mut splitter = EventSplitter::default();
    let passed = splitter.push(b"id: 7\ndata: x\n\nid: 8\nda").unwrap();
    assert_eq!(&passed[..], b"id: 7\ndata: x\n\n");
    splitter.drop_partial();
    assert_eq!(splitter.last_id().map(|id| &**id), Some("7"));
    let passed = splitter.push(b"id: 8\ndata: y\n\n").unwrap();
    assert_eq!(&passed[..], b"id: 8\ndata: y\n\n");
}

#[test]
fn push_endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 600 << 10];
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_err());
}
