//! Load shedding: rejects requests whose first token is expected after their deadline.
//!
//! Queueing such a request only wastes capacity: its caller has given up by the time the response arrives, and the work
//! delays other requests. The expected time to first token (TTFT) is the wait in the fair queue at the recent service
//! rate, plus the routing policy's estimate for the best replica.

use std::time::Duration;

/// The time constant of the exponential average of the service rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// The rate at which a service takes work off its queue, as an exponential moving average.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    cost_per_second: f64,
    updated_at: Duration,
}

/// Whether a request is queued or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The first token is expected by the deadline.
    Queue {
        /// The expected time to first token.
        expected_ttft: Duration,
    },
    /// The first token is expected after the deadline.
    Shed {
        /// The delay after which the backlog is expected to be short enough.
        retry_after: Duration,
    },
}

impl ServiceRate {
    /// Creates a rate with an initial estimate, in tokens per second.
    #[must_use]
    pub const fn new(cost_per_second: f64, now: Duration) -> Self {
        Self {
            cost_per_second,
            updated_at: now,
        }
    }

    /// Records that `cost`, in tokens, was taken off a queue that did not run empty.
    pub fn record_served(&mut self, cost: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let window = RATE_WINDOW.as_secs_f64();
        let decay = (-elapsed / window).exp();
        self.cost_per_second = self.cost_per_second * decay + cost as f64 / window;
    }

    /// Returns the time that serving `cost` tokens takes at this rate, at most one hour.
    #[must_use]
    pub fn time_to_serve(&self, cost: u64) -> Duration {
        let seconds = cost as f64 / self.cost_per_second.max(1.0);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}

/// Decides whether to queue a request that has `cost_ahead` tokens of work ahead of it.
///
/// `service_time` is the expected time to first token after dispatch; `ttft_deadline` is the time to first token beyond
/// which the response is useless.
#[must_use]
pub fn admit(
    cost_ahead: u64,
    rate: &ServiceRate,
    service_time: Duration,
    ttft_deadline: Duration,
) -> AdmissionDecision {
    let expected_ttft = rate.time_to_serve(cost_ahead) + service_time;
    if expected_ttft <= ttft_deadline {
        return AdmissionDecision::Queue { expected_ttft };
    }
    AdmissionDecision::Shed {
        retry_after: expected_ttft - ttft_deadline,
    }
}
