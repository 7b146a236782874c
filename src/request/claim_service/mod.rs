//! The I/O layer for claims, between the request handlers, the platform and the peers.
//!
//! All decisions are made in [`claim`](super::claim); this module executes the resulting actions. A claimed call runs
//! in its own task, so a caller that disconnects neither aborts a payment nor loses the response for its next send.

mod call;
mod peer;
mod worker;

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

pub use self::call::{ClaimOutcome, ClaimedCall};
pub use self::peer::{ClaimMember, ClaimPeers};
use self::worker::Command;
use super::claim::{AttemptTable, Change, ClaimKey, Decision, bucket_of};
use crate::id::{Incarnation, RouterId};
use crate::store;

/// Maximum number of changes queued for the worker; more are rejected.
const COMMAND_QUEUE_LEN: usize = 4_096;

/// Maximum time to record an outcome before it is dropped.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);

/// Options of the claim service.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// The name of this router.
    pub router: RouterId,
    /// The incarnation of this router.
    pub incarnation: Incarnation,
    /// The client for the platform's object store.
    pub store: store::Client,
    /// Maximum duration of a claim before the send is refused.
    pub claim_timeout: Duration,
}

/// Claims calls for the traffic threads; clones share the same state.
#[derive(Clone, Debug)]
pub struct ClaimService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: ClaimOptions,
    attempts: Mutex<AttemptTable>,
    commands: mpsc::Sender<Command>,
    peers: ArcSwapOption<ClaimPeers>,
    runtime: Handle,
    unrecorded: AtomicUsize,
}

impl ClaimService {
    /// Starts the worker on `runtime`; it ends when the last clone of the service is dropped.
    #[must_use]
    pub fn start(options: ClaimOptions, runtime: &Handle) -> Self {
        let (commands, received) = mpsc::channel(COMMAND_QUEUE_LEN);
        runtime.spawn(worker::run(options.store.clone(), received));
        let attempts = AttemptTable::new(options.router.clone(), options.incarnation);
        Self {
            inner: Arc::new(Inner {
                options,
                attempts: Mutex::new(attempts),
                commands,
                peers: ArcSwapOption::empty(),
                runtime: runtime.clone(),
                unrecorded: AtomicUsize::new(0),
            }),
        }
    }

    /// Sets the routers that may own buckets, including this one; without them this router writes all buckets itself.
    pub fn set_peers(&self, peers: Option<ClaimPeers>) {
        self.inner.peers.store(peers.map(Arc::new));
    }

    /// Returns the number of claimed calls that have not ended or whose outcome is not yet recorded, for the drain.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.attempts().open_attempts() + self.inner.unrecorded.load(Ordering::Relaxed)
    }

    fn attempts(&self) -> MutexGuard<'_, AttemptTable> {
        // The mutex is poisoned only if an assertion of the table failed; after that the process must not dispatch any
        // more.
        self.inner
            .attempts
            .lock()
            .expect("claim invariant violated")
    }

    /// Submits a change to the local writer and waits for the decision.
    async fn decide_locally(&self, change: Change, timeout: Duration) -> Decision {
        let (reply, decision) = oneshot::channel();
        let command = Command {
            change,
            timeout,
            reply,
        };
        if self.inner.commands.try_send(command).is_err() {
            return Decision::Unavailable;
        }
        decision.await.unwrap_or(Decision::Unavailable)
    }

    /// Records an outcome in the background, at the owner of its bucket or else with the local writer.
    fn record(&self, change: Change) {
        self.inner.unrecorded.fetch_add(1, Ordering::Relaxed);
        let service = self.clone();
        self.inner.runtime.spawn(async move {
            let is_recorded = service.record_at_owner(&change).await
                || service.decide_locally(change, RECORD_TIMEOUT).await != Decision::Unavailable;
            if !is_recorded {
                log::warn!("request: Failed to record the outcome of a claim.");
            }
            service.inner.unrecorded.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Returns the peer that owns the bucket of `key`, or `None` if this router owns it or no owner is known.
    fn owner(&self, key: &ClaimKey) -> Option<(Arc<ClaimPeers>, ClaimMember)> {
        let peers = self.inner.peers.load_full()?;
        let owner = peers.owner(bucket_of(key))?;
        let is_self = owner.router == self.inner.options.router;
        (!is_self).then(|| (Arc::clone(&peers), owner))
    }
}

/// Returns the time since the Unix epoch.
fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
