//! Follows the configuration on the platform.
//!
//! A watch on the root object tells of each accepted ticket; only shards that changed are then fetched. Nothing on the
//! request path waits for this: while the platform is away, the last configuration stays in force.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::Shared;
use super::thread::Event;
use crate::configuration::{ROOT_KEY, load_root};
use crate::error::Error;
use crate::store::Backoff;

/// How long one watch waits for news.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Loads the configuration whenever its root object changes, until the control thread has gone.
pub(crate) async fn follow_configuration(shared: Arc<Shared>, events: mpsc::Sender<Event>) {
    let mut backoff = Backoff::default();
    while !events.is_closed() {
        match follow_once(&shared, &events).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                let pause = backoff.next_pause(&mut rand::rng());
                log::warn!(
                    "config: The platform did not answer. error={error} pause_ms={}",
                    pause.as_millis()
                );
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn follow_once(shared: &Shared, events: &mpsc::Sender<Event>) -> Result<(), Error> {
    let known = shared.stored.load_full();
    let after = known.root_version().unwrap_or(0);
    let Some(root) = shared.store.watch(ROOT_KEY, after, WATCH_WAIT).await? else {
        return Ok(());
    };
    let state = load_root(&shared.store, &known, root).await?;
    // A closed channel means that the control thread is leaving.
    let _ = events.send(Event::Configuration(Arc::new(state))).await;
    Ok(())
}
