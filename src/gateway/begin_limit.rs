//! Withdraws requests from replicas that have not begun them when their weights are too old.
//!
//! No request may begin on weights later than a bound after newer ones were named. A replica begins a request some time
//! after it was sent: it may wait for a slot, for memory or behind the prefills of others, and be put back. Looking at the age
//! of the weights before the send is therefore not enough. A request that shows no sign of having begun is taken off its
//! replica before the bound, by closing its connection, early enough for the close to arrive. The first event is that
//! sign, since a replica may send the head of a response before; a response that is no stream has none before its head, so
//! that a request for one may be taken off while it runs.
//!
//! A request that was taken off may go to another replica if it may run twice, which draws on the retry budget. Any other one
//! ends with an unknown outcome, because the replica may have begun it while the close was on its way.
//!
//! Load patterns handled: replicas whose queues are longer than the margin before the bound; replicas that carry out no
//! order, one of them or all; versions named while requests wait; many requests that wait at the bound (each has its
//! own time within [`SPREAD`], for the last send and for the withdrawal).
//!
//! Rejected: a margin before the bound that covers the longest wait, since a queue of the users' replicas holds more than
//! a caller waits for; a shorter deadline in the request, since the replica would also stop what it has begun.

use std::sync::Arc;
use std::time::Duration;

use super::call::Call;
use super::clock::boot_time;
use super::placement::WeightsBounds;
use super::route::ModelName;
use super::shared::{Replica, Shared};
use crate::id::WeightsVersion;

/// The time over which the last sends to old weights, and the withdrawals, of different requests are spread.
pub(crate) const SPREAD: Duration = Duration::from_millis(300);
/// How long before the bound the last request is withdrawn: the close has to reach its replica, and a router may learn of a
/// version some hundred milliseconds after it was named.
pub(crate) const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// The limit on the time until a replica begins a request.
#[derive(Debug)]
pub(crate) struct BeginLimit {
    shared: Arc<Shared>,
    /// What has arrived of the body.
    line: Line,
    model: ModelName,
    /// The weights that the request was sent to.
    version: WeightsVersion,
    /// How much earlier than the last one this request is withdrawn.
    spread: Duration,
}

/// Where in its lines a body without a field so far ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Start,
    Comment,
}

impl Line {
    /// Reads the next bytes and returns whether a field has begun.
    fn push(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            *self = match (*self, byte) {
                (_, b'\n' | b'\r') => Self::Start,
                (Self::Comment, _) | (Self::Start, b':') => Self::Comment,
                (Self::Start, _) => return true,
            };
        }
        false
    }
}

impl WeightsBounds {
    /// Returns when a request is withdrawn from weights that are outdated since `outdated_since`; `None` if there is no bound.
    pub(crate) fn withdrawn_at(
        &self,
        outdated_since: Duration,
        spread: Duration,
    ) -> Option<Duration> {
        let latest = outdated_since + self.withdrawn_after?;
        Some(latest.saturating_sub(spread))
    }
}

impl BeginLimit {
    /// Returns the limit for `call` at `replica`; `None` if the request has no prompt.
    pub(crate) fn of(shared: &Arc<Shared>, call: &Call, replica: &Replica) -> Option<Self> {
        let prompt = call.prompt.as_ref()?;
        Some(Self {
            shared: Arc::clone(shared),
            line: Line::default(),
            model: Arc::clone(&prompt.model),
            version: replica.known.version_of(&prompt.model).unwrap_or_default(),
            spread: call.spread(SPREAD),
        })
    }

    /// Returns when the request is withdrawn, as far as is known now.
    fn withdrawn_at(&self) -> Option<Duration> {
        let snapshot = self.shared.snapshot.load();
        let since = snapshot.outdated_since(&self.model, self.version)?;
        self.shared
            .weights_bounds()
            .withdrawn_at(since, self.spread)
    }

    /// Returns whether the request may still be sent at `now`.
    pub(crate) fn allows_send(&self, now: Duration) -> bool {
        let snapshot = self.shared.snapshot.load();
        let since = snapshot.outdated_since(&self.model, self.version);
        let limit = self.shared.weights_bounds().expired_after;
        let last = since.zip(limit).map(|(since, limit)| since + limit);
        last.is_none_or(|last| now + self.spread < last)
    }

    /// Reads the next bytes of the response and returns whether the replica has begun the request: comments are no sign.
    pub(crate) fn has_begun(&mut self, bytes: &[u8]) -> bool {
        self.line.push(bytes)
    }

    /// Waits until the request has to be withdrawn. Versions may be named meanwhile.
    pub(crate) async fn passed(&self) {
        let mut changes = self.shared.named_changes();
        loop {
            let left = self.withdrawn_at().map(|at| at.saturating_sub(boot_time()));
            if left.is_some_and(|left| left.is_zero()) {
                return;
            }
            tokio::select! {
                () = sleep_if(left) => {}
                changed = changes.changed() => if changed.is_err() {
                    return std::future::pending().await;
                }
            }
        }
    }

    /// Logs the withdrawal of a request that was sent at `sent_at`.
    pub(crate) fn log_withdrawal(&self, call: &Call, replica: &Replica, sent_at: Duration) {
        let now = boot_time();
        let since = self.shared.snapshot.load();
        let since = since.outdated_since(&self.model, self.version);
        metrics::counter!("crocuswharf_gateway_outdated_withdrawals_total").increment(1);
        log::info!(
            "request: Withdrawn from older weights. id={} replica={} weights={} newer_age_ms={} waited_ms={}",
            call.id_text(),
            replica.known.record.id,
            self.version,
            now.saturating_sub(since.unwrap_or(now)).as_millis(),
            now.saturating_sub(sent_at).as_millis()
        );
    }
}

async fn sleep_if(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}
