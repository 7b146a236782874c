//! Tests of what is forwarded of a response, and of ends that must not look complete.

use bytes::Bytes;
use http::Response;
use http_body_util::{Empty, StreamBody};

use crate::gateway::forwarding::{BodyFraming, Forwarding};
use crate::gateway::route::CallKind;

const STREAM: CallKind = CallKind::Stream {
    is_resumable: false,
};
const RESUMABLE: CallKind = CallKind::Stream { is_resumable: true };
const FRAMINGS: [BodyFraming; 3] = [
    BodyFraming::Length,
    BodyFraming::Chunks,
    BodyFraming::Connection,
];

fn is_complete(kind: CallKind, framing: BodyFraming, body: &'static str) -> bool {
    let mut forwarding = Forwarding::of_kind(kind);
    forwarding
        .push(Bytes::from_static(body.as_bytes()))
        .unwrap();
    forwarding.is_complete(framing)
}

#[test]
fn is_complete_stream_only_between_events() {
    for framing in FRAMINGS {
        for kind in [STREAM, RESUMABLE] {
            assert!(is_complete(kind, framing, "id: 1\n\n"));
            assert!(!is_complete(kind, framing, "id: 1\n\nid: 2\n"));
            assert!(!is_complete(kind, framing, "id"));
        }
        for kind in [CallKind::Idempotent, CallKind::NonIdempotent] {
            assert!(is_complete(kind, framing, "id"));
        }
    }
}

#[test]
fn is_complete_stream_without_event_if_its_framing_says_so() {
    for kind in [STREAM, RESUMABLE] {
        assert!(is_complete(kind, BodyFraming::Length, ""));
        assert!(is_complete(kind, BodyFraming::Chunks, ""));
        assert!(!is_complete(kind, BodyFraming::Connection, ""));
    }
}

#[test]
fn is_complete_resumed_stream_needs_an_event_of_its_own() {
    let mut forwarding = Forwarding::of_kind(RESUMABLE);
    let received = Bytes::from_static(b"id: 1\n\nid: 2");
    assert_eq!(&forwarding.push(received).unwrap()[..], b"id: 1\n\n");
    let Forwarding::CompleteEvents(splitter) = &mut forwarding else {
        panic!("a resumable stream is forwarded in complete events");
    };
    splitter.begin_resumption();
    assert!(!forwarding.is_complete(BodyFraming::Connection));
    assert!(forwarding.is_complete(BodyFraming::Chunks));
    forwarding.push(Bytes::from_static(b"id: 2\n\n")).unwrap();
    assert!(forwarding.is_complete(BodyFraming::Connection));
}

#[test]
fn push_stream_that_is_not_resumable_is_forwarded_as_it_arrives() {
    let mut forwarding = Forwarding::of_kind(STREAM);
    let forwarded = forwarding
        .push(Bytes::from_static(b"id: 1\n\nid: 2"))
        .unwrap();
    assert_eq!(&forwarded[..], b"id: 1\n\nid: 2");
}

#[test]
fn framing_follows_from_headers_unless_there_is_no_body() {
    let framing = |name: &str, value: &str| {
        let frames = futures_util::stream::empty::<Result<hyper::body::Frame<Bytes>, ()>>();
        let response = Response::builder().header(name, value);
        BodyFraming::of_response(&response.body(StreamBody::new(frames)).unwrap())
    };
    assert_eq!(framing("transfer-encoding", "chunked"), BodyFraming::Chunks);
    assert_eq!(
        framing("transfer-encoding", "gzip, Chunked "),
        BodyFraming::Chunks
    );
    assert_eq!(
        framing("transfer-encoding", "identity"),
        BodyFraming::Connection
    );
    assert_eq!(framing("content-length", "7"), BodyFraming::Length);
    assert_eq!(framing("connection", "close"), BodyFraming::Connection);
    let without_body = Response::new(Empty::<Bytes>::new());
    assert_eq!(BodyFraming::of_response(&without_body), BodyFraming::Length);
}
