//! Tests of the retry delays that replicas name.

use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::backpressure::parse_retry_after;

#[parameterized(
    whole = { "2", Some(ms(2_000)) },
    fraction = { " 0.25 ", Some(ms(250)) },
    zero = { "0", None },
    negative = { "-3", None },
    not_a_number = { "NaN", None },
    absurd = { "1e300", Some(ms(300_000)) },
    infinite = { "inf", Some(ms(300_000)) },
    date = { "Fri, 04 Dec 2026 11:00:00 GMT", None },
    empty = { "", None },
)]
fn parse_retry_after_value(text: &str, expected: Option<Duration>) {
    assert_eq!(parse_retry_after(text), expected);
}
