//! Tests of what responses of replicas say about their connections.

use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use yare::parameterized;

use crate::gateway::exchange::{MAX_KEEP_ALIVE, keep_alive_timeout};

/// A timeout that can't be added to a point in time ended the control thread when it closed idle connections.
#[parameterized(
    seconds = { "timeout=5", Some(Duration::from_secs(5)) },
    with_maximum = { "timeout=5, max=100", Some(Duration::from_secs(5)) },
    largest = { "timeout=18446744073709551615", Some(MAX_KEEP_ALIVE) },
    too_large = { "timeout=18446744073709551616", None },
    negative = { "timeout=-1", None },
    absent = { "max=100", None },
)]
fn keep_alive_timeout_of_a_replica(text: &'static str, expected: Option<Duration>) {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(text));
    assert_eq!(keep_alive_timeout(&headers), expected);
}
