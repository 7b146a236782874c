//! Follows one kind of objects in the platform's store: a list once, then watches, and a list again where history is gone.
//!
//! The list is passed on only when it is whole, so that a store that fails in between takes nothing away. A watch that
//! brought changes is followed by a short pause: each watch is priced, and changes come in groups.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use super::store::{ListPage, StoreFault, WatchPage};
use crate::store::Backoff;

/// The longest wait of one watch. The connection's keep-alive finds a silent one sooner.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The longest first pause after a fault; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after a fault, so that a departure is heard of soon after an outage.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Returns the pauses between calls of the store that fail.
pub(crate) const fn store_backoff() -> Backoff {
    Backoff::with_ceilings(FIRST_PAUSE, LONGEST_PAUSE)
}

/// What following brought.
#[derive(Debug)]
pub(crate) enum Followed<T> {
    /// The whole list.
    Listed(Vec<T>),
    /// Entries that changed.
    Changed(Vec<T>),
    /// The store can't be reached.
    Lost(StoreFault),
    /// The store answers again, after this many faults.
    Regained(u32),
}

/// Follows one kind of objects for ever; `pause` is kept after each watch that brought changes.
pub(crate) async fn follow<T, L, W>(
    list: impl Fn(Option<Arc<str>>) -> L,
    watch: impl Fn((u64, Duration)) -> W,
    pause: Duration,
    take: impl Fn(Followed<T>),
) where
    L: Future<Output = Result<ListPage<T>, StoreFault>>,
    W: Future<Output = Result<WatchPage<T>, StoreFault>>,
{
    let mut known: Option<u64> = None;
    let mut backoff = store_backoff();
    loop {
        let result = match known {
            None => read_list(&list).await.map(|(entries, as_of)| (Followed::Listed(entries), as_of)),
            Some(as_of) => watch((as_of, WATCH_WAIT))
                .await
                .map(|page| (Followed::Changed(page.entries), page.as_of.max(as_of))),
        };
        match result {
            Ok((followed, as_of)) => {
                if backoff.failures() > 0 {
                    take(Followed::Regained(backoff.failures()));
                    backoff.reset();
                }
                known = Some(as_of);
                let has_changes = !matches!(&followed, Followed::Changed(entries) if entries.is_empty());
                if has_changes {
                    take(followed);
                    tokio::time::sleep(pause).await;
                }
            }
            Err(StoreFault::HistoryGone) => known = None,
            Err(fault) => {
                if backoff.failures() == 0 {
                    take(Followed::Lost(fault));
                }
                let wait = backoff.next_pause(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        }
    }
}

async fn read_list<T, L>(
    list: impl Fn(Option<Arc<str>>) -> L,
) -> Result<(Vec<T>, u64), StoreFault>
where
    L: Future<Output = Result<ListPage<T>, StoreFault>>,
{
    let mut entries = Vec::new();
    let mut after = None;
    // Watching from the first page's revision on repeats what changed between the pages.
    let mut as_of = None;
    loop {
        let page = list(after).await?;
        entries.extend(page.entries);
        let first = *as_of.get_or_insert(page.as_of);
        after = page.next;
        if after.is_none() {
            return Ok((entries, first));
        }
    }
}
