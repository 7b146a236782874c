//! The control thread and the state that it shares with the traffic threads.
//!
//! One thread owns all control state, so that decisions about configuration, membership and engines need no lock. It
//! publishes immutable [`Snapshot`]s, which traffic threads load without waiting for the control thread.
//!
//! Rejected: protecting control state with a mutex, because a slow control decision would then stall all traffic.
//! See docs/ARCHITECTURE.md.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use crate::configuration::{StateSource, StoredState};
use crate::engine::EngineClient;
use crate::error::Error;
use crate::explain::{RouterTag, new_request_id, router_tag};
use crate::id::{Incarnation, RequestId};
use crate::peer::Links;
use crate::request::claim_service::{ClaimOptions, ClaimService};
use crate::request::event_id::EventIdKey;
use crate::settings::RouterSettings;
use crate::store::{self, StoreSettings};

mod config_watch;
mod ejections;
mod fetch;
mod limiter;
mod load_polling;
mod owner_views;
mod peers;
mod reports;
mod retry_budgets;
mod rollouts;
mod snapshot;
mod snapshot_builder;
mod state_transfer;
mod thread;

use self::limiter::SharedLimiter;
pub(crate) use self::limiter::{AdmittedRequest, LimitExceeded};
pub(crate) use self::owner_views::PoolRouting;
use self::retry_budgets::RetryBudgets;
pub(crate) use self::snapshot::{InFlightGuard, PoolView, ReplicaView, Snapshot};
pub(crate) use self::thread::{ControlThread, Event};

/// The capacity of the control thread's event queue.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// State shared by the control thread and the traffic threads.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings of this router.
    pub(crate) settings: RouterSettings,
    /// The incarnation of this process.
    pub(crate) incarnation: Incarnation,
    /// The latest snapshot of the control state.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The client for backend servers.
    pub(crate) engines: EngineClient,
    /// The client for the platform's object API.
    pub(crate) store: store::Client,
    /// The keys that sign event ids. The first one signs; all of them are accepted.
    pub(crate) event_id_keys: Vec<EventIdKey>,
    /// Enforces the limits of client accounts.
    pub(crate) limiter: Arc<SharedLimiter>,
    /// The retry budgets of services.
    pub(crate) retry_budgets: RetryBudgets,
    /// Claims calls that must not be executed more than once.
    pub(crate) claims: ClaimService,
    /// The active configuration in its stored form.
    pub(crate) stored_state: ArcSwap<StoredState>,
    /// The links to other routers, set when the control thread starts.
    pub(crate) links: OnceLock<Links>,
    /// Whether the router is draining.
    pub(crate) draining: AtomicBool,
    open_requests: Arc<AtomicUsize>,
    events: mpsc::Sender<Event>,
    tag: RouterTag,
}

impl Shared {
    /// Creates the shared state with an empty snapshot.
    ///
    /// The second value is the receiving end of the control thread's event queue.
    pub(crate) fn new(
        settings: RouterSettings,
        traffic: &Handle,
    ) -> Result<(Self, mpsc::Receiver<Event>), Error> {
        let engines = EngineClient::new(settings.times.connect_timeout())?;
        let store = store::Client::new(&store_settings(&settings))?;
        let incarnation = new_incarnation();
        let secrets = settings.peer_keys.iter();
        let event_id_keys = secrets
            .map(|secret| EventIdKey::derive(secret.as_bytes()))
            .collect();
        let claims = ClaimOptions {
            router: Arc::clone(&settings.router),
            incarnation,
            store: store.clone(),
            claim_timeout: settings.times.platform_timeout() / 2,
        };
        let claims = ClaimService::start(claims, traffic);
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let tag = router_tag(&settings.router);
        let shared = Self {
            settings,
            incarnation,
            snapshot: ArcSwap::default(),
            engines,
            store,
            links: OnceLock::new(),
            claims,
            event_id_keys,
            limiter: Arc::new(SharedLimiter::new()),
            retry_budgets: RetryBudgets::default(),
            draining: AtomicBool::new(false),
            open_requests: Arc::default(),
            stored_state: ArcSwap::default(),
            events,
            tag,
        };
        Ok((shared, receiver))
    }

    /// Returns the sending end of the control thread's event queue.
    pub(crate) const fn events(&self) -> &mpsc::Sender<Event> {
        &self.events
    }

    /// Generates the id of a request that this router accepts.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let unix_now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        new_request_id(self.tag, unix_now, &mut rand::rng())
    }

    /// Sends an observation to the control thread. If the queue is full, the observation is dropped and counted.
    pub(crate) fn try_send(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            metrics::counter!("crocuswharf_observations_dropped_total").increment(1);
        }
    }

    /// Sends a configuration to the control thread, which adopts it if it is newer.
    pub(crate) async fn offer_configuration(&self, source: StateSource, state: StoredState) {
        let event = Event::Configuration(source, Box::new(state));
        // Sending fails only if the router is stopping.
        let _ = self.events.send(event).await;
    }

    /// Sends the configuration that an accepted ticket created to the control thread, and waits until requests that arrive
    /// at this router are served with it or with a newer one.
    ///
    /// Without the wait, an operator could be told that a ticket was accepted while this router still serves the
    /// configuration before it.
    pub(crate) async fn activate_accepted(&self, state: StoredState) {
        let (activated, activation) = oneshot::channel();
        let event = Event::TicketAccepted(Box::new(state), activated);
        // Both fail only if the router is stopping.
        if self.events.send(event).await.is_ok() {
            let _ = activation.await;
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(&self) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(&self.open_requests))
    }

    /// Returns the number of open requests at this router.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// A guard that counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the incarnation of this process: the start time in milliseconds, so that a restart on the same VM gets a
/// higher number.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as Incarnation)
}

fn store_settings(settings: &RouterSettings) -> StoreSettings {
    StoreSettings {
        call_timeout_ms: settings.times.platform_timeout_ms,
        ..StoreSettings::new(&format!("http://{}", settings.platform))
    }
}
