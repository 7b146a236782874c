//! Opens connections to replicas over other routers.
//!
//! The decisions are made in [`super::path`] and [`super::helpers`]; this module does the I/O.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;

use super::clock::boot_time;
use super::helpers::{Helper, Helpers};
use super::load::ReplicaKey;
use super::path::{Reach, ReachChange};
use super::relay_message::{ConnectOutcome, ConnectReply, ConnectRequest};
use crate::id::RouterId;
use crate::peer::{Body, Kind, Links};

/// The maximum number of routers that are asked for one connection.
const MAX_HELPERS: usize = 2;
/// How long a router may take to open a connection: its own timeout, and the way there and back.
const REPLY_TIMEOUT: Duration = Duration::from_millis(270);
/// How long the routers that are asked may take together.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens connections over other routers, and knows what this router reaches itself.
#[derive(Debug)]
pub(crate) struct RelayClient {
    links: Links,
    helpers: Mutex<Helpers>,
    reach: Mutex<Reach>,
}

/// A connection to a replica that runs over another router.
#[derive(Debug)]
pub(crate) struct RelayedStream {
    pub(crate) stream: TcpStream,
    pub(crate) lease: HelperLease,
}

/// Counts one connection over a router until it is dropped.
#[derive(Debug)]
pub(crate) struct HelperLease {
    client: Arc<RelayClient>,
    router: RouterId,
}

/// Why no connection was opened over another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayFailure {
    /// There is no other router to ask.
    NoHelper,
    /// The replica refuses connections of other routers too.
    Refused,
    /// The replica does not answer other routers either.
    TimedOut,
    /// No router that was asked could tell.
    Unknown,
}

impl Drop for HelperLease {
    fn drop(&mut self) {
        lock(&self.client.helpers).closed(&self.router);
    }
}

impl HelperLease {
    /// Returns whether the router still opens connections, so that new requests may be sent over it.
    pub(crate) fn is_valid(&self) -> bool {
        lock(&self.client.helpers).contains(&self.router)
    }
}

impl RelayClient {
    /// Creates a client that knows no other routers.
    pub(crate) fn new(links: Links) -> Self {
        Self {
            links,
            helpers: Mutex::default(),
            reach: Mutex::default(),
        }
    }

    /// Sets the routers that may open connections for this one.
    pub(crate) fn set_helpers(&self, helpers: impl IntoIterator<Item = Helper>) {
        lock(&self.helpers).set(helpers);
    }

    /// Returns whether this router reaches no replica, and others do.
    pub(crate) fn is_cut_off(&self) -> bool {
        lock(&self.reach).is_cut_off()
    }

    /// Records that a direct connection failed.
    pub(crate) fn direct_failed(&self, replica: ReplicaKey) {
        lock(&self.reach).direct_failed(replica, boot_time());
    }

    /// Records a response or an accepted connection of a replica over a direct path.
    pub(crate) fn direct_responded(&self) {
        let change = lock(&self.reach).direct_responded(boot_time());
        if let Some(ReachChange::Restored(time)) = change {
            metrics::counter!("crocuswharf_gateway_cut_offs_total", "change" => "restored")
                .increment(1);
            log::warn!(
                "path: This router reaches replicas again. cut_off_ms={}",
                time.as_millis()
            );
        }
    }

    /// Returns whether another replica than those that failed is to be probed for the verdict; this router knows `replicas`.
    pub(crate) fn needs_probe(&self, replicas: usize) -> bool {
        lock(&self.reach).needs_probe(replicas, boot_time())
    }

    /// Returns whether a direct connection to this replica has failed since one responded directly.
    pub(crate) fn has_failed(&self, replica: ReplicaKey) -> bool {
        lock(&self.reach).has_failed(replica)
    }

    /// Returns whether this router is found to be cut off now; it knows `replicas`.
    pub(crate) fn is_newly_cut_off(&self, replicas: usize) -> bool {
        let change = lock(&self.reach).evaluate(replicas, boot_time());
        change == Some(ReachChange::CutOff)
    }

    /// Opens a connection to a replica over another router.
    ///
    /// # Errors
    ///
    /// Returns what the routers that were asked say about the replica.
    pub(crate) async fn open(
        self: &Arc<Self>,
        request: &ConnectRequest,
    ) -> Result<RelayedStream, RelayFailure> {
        let mut failure = RelayFailure::NoHelper;
        let mut refused: Option<Helper> = None;
        let give_up_at = boot_time() + OPEN_TIMEOUT;
        for _ in 0..MAX_HELPERS {
            let chosen =
                lock(&self.helpers).choose(refused.as_ref(), boot_time(), &mut rand::rng());
            let Some(helper) = chosen else {
                break;
            };
            let lease = HelperLease {
                client: Arc::clone(self),
                router: Arc::clone(&helper.router),
            };
            let time_left = give_up_at.saturating_sub(boot_time());
            let timeout = time_left.min(REPLY_TIMEOUT);
            let (outcome, stream) = self.ask(&helper, request, timeout).await;
            // A router without time to answer is not to blame.
            let is_to_blame = stream.is_some() || timeout == REPLY_TIMEOUT;
            log::debug!(
                "path: Connection asked for. router={} replica={} outcome={}",
                helper.router,
                request.replica,
                outcome.label()
            );
            metrics::counter!("crocuswharf_gateway_relay_requests_total", "outcome" => outcome.label())
                .increment(1);
            failure = match outcome {
                ConnectOutcome::Connected => {
                    if let Some(stream) = stream {
                        lock(&self.reach).relayed();
                        return Ok(RelayedStream { stream, lease });
                    }
                    RelayFailure::Unknown
                }
                ConnectOutcome::Refused => RelayFailure::Refused,
                ConnectOutcome::TimedOut => RelayFailure::TimedOut,
                _ => {
                    if is_to_blame {
                        lock(&self.helpers).refused(&helper.router, boot_time());
                    }
                    // What a router has said about the replica counts more than that another one can't help.
                    match failure {
                        RelayFailure::NoHelper => RelayFailure::Unknown,
                        known => known,
                    }
                }
            };
            refused = Some(helper);
        }
        Err(failure)
    }

    async fn ask(
        &self,
        helper: &Helper,
        request: &ConnectRequest,
        timeout: Duration,
    ) -> (ConnectOutcome, Option<TcpStream>) {
        let body = Body::encode(Kind::Connect, request);
        let asked = self.links.open_relay(helper.address, body, timeout);
        match asked.await {
            Ok((reply, stream)) => {
                let reply = reply.decode::<ConnectReply>().unwrap_or_default();
                (reply.outcome(), Some(stream))
            }
            Err(error) => {
                log::debug!(
                    "path: No reply about a connection. router={} error={error}",
                    helper.router
                );
                (ConnectOutcome::Unknown, None)
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
