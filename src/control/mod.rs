//! The control thread and what it shares with the traffic threads.
//!
//! One thread owns all control state, so that no decision about configuration, members or engines needs a lock. It
//! publishes an immutable [`Snapshot`]; traffic threads load it and never wait for the control thread.
//!
//! Rejected: control state behind a mutex, which a slow control decision would turn into a pause of all traffic.
//! See docs/ARCHITECTURE.md.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

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

mod budgets;
mod ejections;
mod feed;
mod fetch;
mod limits;
mod loads;
mod owners;
mod peers;
mod publisher;
mod reports;
mod rollouts;
mod snapshot;
mod state;
mod thread;

use self::budgets::RetryBudgets;
use self::limits::Limits;
pub(crate) use self::limits::{Admitted, LimitReached};
pub(crate) use self::owners::Routing;
pub(crate) use self::snapshot::{InFlight, PoolView, ReplicaView, Snapshot};
pub(crate) use self::thread::{ControlThread, Event};

/// The events that may wait for the control thread.
const EVENT_QUEUE: usize = 4_096;

/// What the control thread and the traffic threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings of this router.
    pub(crate) settings: RouterSettings,
    /// This life of the process.
    pub(crate) incarnation: Incarnation,
    /// What traffic threads know.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The client towards backend servers.
    pub(crate) engines: EngineClient,
    /// The client of the platform's object API.
    pub(crate) store: store::Client,
    /// The keys of event ids; the first signs, each is accepted.
    pub(crate) event_id_keys: Vec<EventIdKey>,
    /// The limits of client accounts.
    pub(crate) limits: Arc<Limits>,
    /// The retry budgets of services.
    pub(crate) budgets: RetryBudgets,
    /// Claims calls that may not be repeated.
    pub(crate) claims: ClaimService,
    /// The configuration in force as the platform holds it.
    pub(crate) stored: ArcSwap<StoredState>,
    /// The connections to other routers, once the control thread has opened them.
    pub(crate) links: OnceLock<Links>,
    /// Whether the router is leaving.
    pub(crate) draining: AtomicBool,
    open_requests: Arc<AtomicUsize>,
    events: mpsc::Sender<Event>,
    tag: RouterTag,
}

impl Shared {
    /// Makes the shared part of a router that knows nothing yet.
    ///
    /// The second value is the control thread's end of the queue of events.
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
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
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
            limits: Arc::new(Limits::new()),
            budgets: RetryBudgets::default(),
            draining: AtomicBool::new(false),
            open_requests: Arc::default(),
            stored: ArcSwap::default(),
            events,
            tag,
        };
        Ok((shared, receiver))
    }

    /// Returns the queue of the control thread.
    pub(crate) const fn events(&self) -> &mpsc::Sender<Event> {
        &self.events
    }

    /// Makes the id of a request that this router takes.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let unix_now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        new_request_id(self.tag, unix_now, &mut rand::rng())
    }

    /// Tells the control thread what was observed; where its queue is full, the observation is dropped and counted.
    pub(crate) fn observe(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            metrics::counter!("crocuswharf_observations_dropped_total").increment(1);
        }
    }

    /// Offers a configuration to the control thread, which takes it if it is newer.
    pub(crate) async fn offer_configuration(&self, source: StateSource, state: StoredState) {
        let event = Event::Configuration(source, Box::new(state));
        // A closed queue means that the router is stopping.
        let _ = self.events.send(event).await;
    }

    /// Counts a request as open until the returned value is dropped.
    pub(crate) fn open_request(&self) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(&self.open_requests))
    }

    /// Returns the number of requests in flight at this router.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// Counts one request as open for as long as it lives.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the number of this life of the process; a later life on the same VM gets a higher one.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as Incarnation)
}

fn store_settings(settings: &RouterSettings) -> StoreSettings {
    StoreSettings {
        call_timeout_ms: settings.times.platform_timeout_ms,
        ..StoreSettings::new(&format!("http://{}", settings.platform))
    }
}
