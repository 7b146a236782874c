//! Lists and watches one kind of object in the platform's store: one list, then watches, and a new list once the
//! history needed for the next watch is gone.
//!
//! A list is reported only when all of its pages were read, so a store that fails in between removes no entries. A
//! watch that returned changes is followed by a short pause because each watch is charged and changes come in bursts.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::clock::boot_time;
use super::revision::{StoreRevision, revision_era};
use super::store::{ListPage, StoreFault, WatchPage};
use crate::store::Backoff;

/// The maximum duration of a watch.
///
/// A store that loses a call but keeps its connection open is detected only by the missing response. This timeout plus
/// the slack of the call is therefore shorter than the shortest specified time within which a departed replica must be
/// known after a disruption, 5 s.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The upper bound of the first backoff after a failure; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum backoff, kept short so that departed replicas are noticed soon after an outage.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Returns the backoff for failed calls to the store.
pub(crate) const fn store_backoff() -> Backoff {
    Backoff::with_max_delays(INITIAL_BACKOFF, MAX_BACKOFF)
}

/// When a list or a watch was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadTime {
    /// When the call was sent; the first one if there were several pages.
    pub(crate) sent_at: Duration,
    /// The time up to which all changes are known after the read.
    pub(crate) complete_until: Duration,
}

/// An event of a list-and-watch loop.
#[derive(Debug)]
pub(crate) enum ListWatchEvent<T> {
    /// The complete list as of a revision of the store.
    Listed(Vec<T>, StoreRevision, ReadTime),
    /// Changed entries up to a revision of the store.
    Changed(Vec<T>, StoreRevision, ReadTime),
    /// A watch ended without changes.
    Unchanged(StoreRevision, ReadTime),
    /// The store became unreachable.
    Disconnected(StoreFault),
    /// The store responds again after this many failures.
    Recovered(u32),
}

impl ReadTime {
    /// Returns the time of a list whose first page was requested at `sent_at`.
    const fn of_list(sent_at: Duration) -> Self {
        Self {
            sent_at,
            complete_until: sent_at,
        }
    }

    /// Returns the time of a watch. The store answers at the first change, or after [`WATCH_TIMEOUT`]; a response that
    /// arrives later was held up on its way or by a pause of this process.
    pub(crate) fn of_watch(sent_at: Duration, received_at: Duration) -> Self {
        Self {
            sent_at,
            complete_until: received_at.min(sent_at + WATCH_TIMEOUT),
        }
    }
}

impl<T> ListWatchEvent<T> {
    /// Returns the revision that the event is current as of.
    const fn revision(&self) -> StoreRevision {
        match self {
            Self::Listed(_, as_of, _) | Self::Changed(_, as_of, _) | Self::Unchanged(as_of, _) => {
                *as_of
            }
            Self::Disconnected(_) | Self::Recovered(_) => 0,
        }
    }
}

/// Lists and watches one kind of object indefinitely while `is_active` is true, and sleeps for `pause` after each watch
/// that returned changes.
pub(crate) async fn list_and_watch<T, L, W>(
    list: impl Fn(Option<Arc<str>>) -> L,
    watch: impl Fn((StoreRevision, Duration)) -> W,
    pause: Duration,
    mut is_active: watch::Receiver<bool>,
    on_event: impl Fn(ListWatchEvent<T>),
) where
    L: Future<Output = Result<ListPage<T>, StoreFault>>,
    W: Future<Output = Result<WatchPage<T>, StoreFault>>,
{
    let mut known: Option<StoreRevision> = None;
    let mut backoff = store_backoff();
    loop {
        if !wait_until(&mut is_active, true).await {
            return;
        }
        let next = next_event(&list, &watch, known);
        let result = tokio::select! {
            result = next => result,
            // The known revision becomes outdated while another source is used.
            _ = wait_until(&mut is_active, false) => {
                known = None;
                continue;
            }
        };
        match result {
            Ok(event) => {
                if backoff.failures() > 0 {
                    on_event(ListWatchEvent::Recovered(backoff.failures()));
                    backoff.reset();
                }
                known = Some(event.revision());
                let is_change = !matches!(event, ListWatchEvent::Unchanged(..));
                on_event(event);
                if is_change {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(StoreFault::HistoryGone) => known = None,
            Err(fault) => {
                if backoff.failures() == 0 {
                    on_event(ListWatchEvent::Disconnected(fault));
                }
                let wait = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Waits until the flag has a value; returns false if its sender was dropped.
pub(crate) async fn wait_until(flag: &mut watch::Receiver<bool>, value: bool) -> bool {
    flag.wait_for(|is_active| *is_active == value).await.is_ok()
}

async fn next_event<T, L, W>(
    list: impl Fn(Option<Arc<str>>) -> L,
    watch: impl Fn((StoreRevision, Duration)) -> W,
    known: Option<StoreRevision>,
) -> Result<ListWatchEvent<T>, StoreFault>
where
    L: Future<Output = Result<ListPage<T>, StoreFault>>,
    W: Future<Output = Result<WatchPage<T>, StoreFault>>,
{
    let sent_at = boot_time();
    let Some(known) = known else {
        let (entries, as_of) = read_all_pages(list).await?;
        let time = ReadTime::of_list(sent_at);
        return Ok(ListWatchEvent::Listed(entries, as_of, time));
    };
    let page = watch((known, WATCH_TIMEOUT)).await?;
    if revision_era(page.as_of) != revision_era(known) {
        return Err(StoreFault::HistoryGone);
    }
    let time = ReadTime::of_watch(sent_at, boot_time());
    let as_of = page.as_of.max(known);
    if page.entries.is_empty() {
        return Ok(ListWatchEvent::Unchanged(as_of, time));
    }
    Ok(ListWatchEvent::Changed(page.entries, as_of, time))
}

async fn read_all_pages<T, L>(
    list: impl Fn(Option<Arc<str>>) -> L,
) -> Result<(Vec<T>, StoreRevision), StoreFault>
where
    L: Future<Output = Result<ListPage<T>, StoreFault>>,
{
    let mut entries = Vec::new();
    let mut after = None;
    // Watching from the revision of the first page repeats the changes made while later pages were read.
    let mut as_of = None;
    loop {
        let page = list(after).await?;
        entries.extend(page.entries);
        let first = *as_of.get_or_insert(page.as_of);
        if revision_era(page.as_of) != revision_era(first) {
            return Err(StoreFault::HistoryGone);
        }
        after = page.next;
        if after.is_none() {
            return Ok((entries, first));
        }
    }
}
