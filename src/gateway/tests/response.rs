//! Tests of the bodies of responses to callers.

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::gateway::response::{Chunk, ResponseBody, TruncatedBody};

#[tokio::test]
async fn stream_with_an_end_is_whole() {
    let (chunks, received) = mpsc::channel(2);
    chunks
        .send(Chunk::Data(Bytes::from("a").into()))
        .await
        .unwrap();
    chunks.send(Chunk::End).await.unwrap();
    let body = ResponseBody::stream(received).collect().await.unwrap();
    assert_eq!(body.to_bytes(), "a");
}

/// A relay that ended without a word, as in a panic, made its response look complete.
#[tokio::test]
async fn stream_without_an_end_is_truncated() {
    let (chunks, received) = mpsc::channel(1);
    chunks
        .send(Chunk::Data(Bytes::from("a").into()))
        .await
        .unwrap();
    drop(chunks);
    let body = ResponseBody::stream(received).collect().await;
    assert_eq!(body.unwrap_err(), TruncatedBody);
}
