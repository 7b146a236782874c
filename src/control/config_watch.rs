//! Watches the platform for configuration changes.
//!
//! [`RootWatch`] decides which call to make next; this loop only performs it. The request path never waits for this
//! loop: while the platform is unavailable, the last configuration remains active.

use std::sync::Arc;

use super::Shared;
use crate::configuration::{
    ROOT_KEY, RootWatch, StateSource, StoredState, WATCH_TIMEOUT, WatchEvent, WatchStep,
    is_watcher, load, load_root,
};
use crate::error::Error;
use crate::store::VersionedValue;

/// Loads the configuration whenever its root object changes, until the control thread stops.
pub(crate) async fn watch_configuration(shared: Arc<Shared>) {
    let mut watch = RootWatch::new();
    let mut event = WatchEvent::Nothing;
    while !shared.events().is_closed() {
        if let Some(version) = shared.stored_state.load().root_version() {
            watch.record_version(version);
        }
        let step = watch.next(event, should_watch(&shared), &mut rand::rng());
        event = run_step(&shared, step).await.unwrap_or_else(|error| {
            log::warn!("config: A call to the platform failed. error={error}");
            WatchEvent::Failed
        });
    }
}

/// Returns whether this router is one of the few routers of its zone that watch the root object.
fn should_watch(shared: &Shared) -> bool {
    let settings = &shared.settings;
    let snapshot = shared.snapshot.load();
    let members = snapshot
        .members
        .iter()
        .map(|member| (&member.router, &member.zone));
    is_watcher(&settings.router, &settings.zone, members)
}

async fn run_step(shared: &Shared, step: WatchStep) -> Result<WatchEvent, Error> {
    match step {
        WatchStep::Poll(after) => match shared.store.watch(ROOT_KEY, after, WATCH_TIMEOUT).await? {
            Some(root) => load_from_root(shared, root).await,
            None => Ok(WatchEvent::Nothing),
        },
        WatchStep::Check => {
            let listed = shared.store.list(ROOT_KEY).await?;
            let root = listed.iter().find(|listing| &*listing.key == ROOT_KEY);
            Ok(root.map_or(WatchEvent::Nothing, |root| WatchEvent::Listed(root.version)))
        }
        WatchStep::Read => {
            let known = shared.stored_state.load_full();
            let state = load(&shared.store, &known).await?;
            Ok(offer(shared, state).await)
        }
        WatchStep::Pause(pause) => {
            tokio::time::sleep(pause).await;
            Ok(WatchEvent::Nothing)
        }
    }
}

async fn load_from_root(shared: &Shared, root: VersionedValue) -> Result<WatchEvent, Error> {
    let known = shared.stored_state.load_full();
    let state = load_root(&shared.store, &known, root).await?;
    Ok(offer(shared, state).await)
}

async fn offer(shared: &Shared, state: StoredState) -> WatchEvent {
    let Some(version) = state.root_version() else {
        return WatchEvent::Nothing;
    };
    shared.offer_configuration(StateSource::Store, state).await;
    WatchEvent::Root(version)
}
