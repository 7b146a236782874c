//! Polls engines for load reports.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::thread::Event;
use crate::engine::EngineClient;
use crate::id::PoolName;
use crate::pool::Replica;

/// Polls one engine at `interval` until the returned task is aborted.
///
/// The first poll starts immediately; polls of different replicas are not staggered.
pub(crate) fn poll_load(
    engines: EngineClient,
    pool: PoolName,
    replica: Arc<Replica>,
    interval: Duration,
    events: mpsc::Sender<Event>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let load = engines.load(replica.address).await.ok();
            let event = Event::Load {
                pool: Arc::clone(&pool),
                replica: Arc::clone(&replica.id),
                load: load.map(Box::new),
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    })
}
