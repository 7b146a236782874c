//! Answers to callers: those of replicas, passed on, and the gateway's own.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Says that a streamed answer has broken off; the connection to the caller is closed without its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It arrives in pieces.
    Pieces(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub(crate) type Answer = Response<AnswerBody>;
/// The error type of handlers, which always answer.
pub(crate) type NoError = Infallible;

/// An answer that the gateway gives itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnAnswer {
    /// The status.
    pub(crate) status: StatusCode,
    /// Why, for the caller and the log.
    pub(crate) reason: &'static str,
    /// When the caller may come back, for a request that has not run.
    pub(crate) retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Says that the request can't be right, or may not run.
    pub(crate) const fn denied(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Says that the request has not run and never will, and when to come back.
    pub(crate) const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Says that the outcome is not known because a replica's answer was lost.
    pub(crate) const fn lost(reason: &'static str) -> Self {
        Self::denied(StatusCode::BAD_GATEWAY, reason)
    }

    /// Says that the outcome is not known because the time is over.
    pub(crate) const fn late(reason: &'static str) -> Self {
        Self::denied(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Makes the response.
    pub(crate) fn into_answer(self) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}", self.reason);
        let mut answer = Response::new(AnswerBody::Whole(Some(body.into())));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(time) = self.retry_after {
            let seconds = format!("{:.3}", time.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits and a point are a value");
            headers.insert(RETRY_AFTER, value);
        }
        answer
    }
}
