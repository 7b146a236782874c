//! Refuses requests whose first token would come too late to be of use.
//!
//! Queueing such a request helps nobody: its caller has gone when the answer comes, and the work it takes makes others
//! late. The expected time to first token is the wait in the fair queue at the rate of late, plus what the policy
//! expects of the best replica.

use std::time::Duration;

/// The time over which the service rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// The rate at which a service has taken work off its queue, as a moving average.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    cost_per_second: f64,
    updated_at: Duration,
}

/// Whether a request is queued or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The first token is expected in time.
    Queue {
        /// The expected time to first token.
        expected: Duration,
    },
    /// The first token would come too late.
    Shed {
        /// When the backlog is expected to have drained far enough.
        retry_after: Duration,
    },
}

impl ServiceRate {
    /// Starts from an expected rate, in tokens per second.
    #[must_use]
    pub const fn new(cost_per_second: f64, now: Duration) -> Self {
        Self {
            cost_per_second,
            updated_at: now,
        }
    }

    /// Takes in that `cost` left a queue that did not run empty.
    pub fn served(&mut self, cost: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let window = RATE_WINDOW.as_secs_f64();
        let kept = (-elapsed / window).exp();
        self.cost_per_second = self.cost_per_second * kept + cost as f64 / window;
    }

    /// Returns how long `cost` takes at this rate.
    #[must_use]
    pub fn time_for(&self, cost: u64) -> Duration {
        let seconds = cost as f64 / self.cost_per_second.max(1.0);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}

/// Decides whether a request with `cost_ahead` before it is queued.
///
/// `service_time` is the expected time to first token once it is dispatched; `deadline` is the time to first token
/// beyond which the answer is of no use.
#[must_use]
pub fn admit(
    cost_ahead: u64,
    rate: &ServiceRate,
    service_time: Duration,
    deadline: Duration,
) -> Admission {
    let expected = rate.time_for(cost_ahead) + service_time;
    if expected <= deadline {
        return Admission::Queue { expected };
    }
    Admission::Shed {
        retry_after: expected - deadline,
    }
}
