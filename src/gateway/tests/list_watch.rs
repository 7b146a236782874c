//! Tests of listing and watching over several pages, lost history and outages.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::gateway::list_watch::{ListWatchEvent, list_and_watch};
use crate::gateway::revision::store_revision;
use crate::gateway::store::{ListPage, StoreFault, WatchPage};

type ListResult = Result<ListPage<u32>, StoreFault>;
type WatchResult = Result<WatchPage<u32>, StoreFault>;

fn page(entries: &[u32], next: Option<&str>, as_of: u64) -> ListResult {
    Ok(ListPage {
        entries: entries.to_vec(),
        next: next.map(Into::into),
        as_of,
    })
}

fn changes(entries: &[u32], as_of: u64) -> WatchResult {
    Ok(WatchPage {
        entries: entries.to_vec(),
        as_of,
    })
}

/// Runs the loop until the scripted responses are used up, and returns its events as text.
async fn events_of(lists: Vec<ListResult>, watches: Vec<WatchResult>) -> Vec<String> {
    let lists = Rc::new(RefCell::new(VecDeque::from(lists)));
    let watches = Rc::new(RefCell::new(VecDeque::from(watches)));
    let events = Rc::new(RefCell::new(Vec::new()));
    let (_active, is_active) = watch::channel(true);
    let list_watch = list_and_watch(
        |_| {
            let response = lists.borrow_mut().pop_front();
            async move {
                match response {
                    Some(response) => response,
                    None => std::future::pending().await,
                }
            }
        },
        |_| {
            let response = watches.borrow_mut().pop_front();
            async move {
                match response {
                    Some(response) => response,
                    None => std::future::pending().await,
                }
            }
        },
        Duration::from_millis(10),
        is_active,
        |event| {
            let text = match event {
                ListWatchEvent::Listed(entries, as_of, _) => format!("list {entries:?} {as_of}"),
                ListWatchEvent::Changed(entries, as_of, _) => format!("change {entries:?} {as_of}"),
                ListWatchEvent::Unchanged(as_of, _) => format!("unchanged {as_of}"),
                ListWatchEvent::Disconnected(_) => "disconnected".to_owned(),
                ListWatchEvent::Recovered(failures) => format!("recovered {failures}"),
            };
            events.borrow_mut().push(text);
        },
    );
    let result = tokio::time::timeout(Duration::from_secs(60), list_watch).await;
    assert!(result.is_err(), "the loop ended by itself");
    events.take()
}

#[tokio::test(start_paused = true)]
async fn list_and_watch_paged_list_is_reported_whole() {
    let lists = vec![page(&[1, 2], Some("b"), 7), page(&[3], None, 9)];
    let watches = vec![changes(&[4], 11), changes(&[], 12), changes(&[5], 13)];
    let expected = [
        "list [1, 2, 3] 7",
        "change [4] 11",
        "unchanged 12",
        "change [5] 13",
    ];
    assert_eq!(events_of(lists, watches).await, expected);
}

#[tokio::test(start_paused = true)]
async fn list_and_watch_failed_list_removes_nothing() {
    let failure = || Err(StoreFault::Unavailable("down".into()));
    let lists = vec![page(&[1], Some("b"), 7), failure(), page(&[1, 2], None, 8)];
    let expected = ["disconnected", "recovered 1", "list [1, 2] 8"];
    assert_eq!(events_of(lists, Vec::new()).await, expected);
}

#[tokio::test(start_paused = true)]
async fn list_and_watch_lost_history_is_listed_again() {
    let lists = vec![page(&[1], None, 7), page(&[2], None, 30)];
    let watches = vec![Err(StoreFault::HistoryGone)];
    assert_eq!(
        events_of(lists, watches).await,
        ["list [1] 7", "list [2] 30"]
    );
}

#[tokio::test(start_paused = true)]
async fn list_and_watch_later_era_lists_again() {
    let events = events_of(
        vec![page(&[1], None, 5), page(&[2], None, store_revision(1, 3))],
        // The store gave out revision 6 again after it was restored.
        vec![changes(&[9], store_revision(1, 6))],
    )
    .await;
    assert_eq!(events.len(), 2, "{events:?}");
    assert!(events[1].contains("[2]"), "{events:?}");
}

#[tokio::test(start_paused = true)]
async fn list_and_watch_era_changes_between_pages_lists_again() {
    let lists = vec![
        page(&[1], Some("1"), 5),
        page(&[2], None, store_revision(1, 3)),
        page(&[1, 2], None, store_revision(1, 4)),
    ];
    let events = events_of(lists, Vec::new()).await;
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(events[0].contains("[1, 2]"), "{events:?}");
}

/// A compaction alone is no gap: a version that the list finds must not look old.
#[tokio::test]
async fn list_and_watch_lost_history_leaves_no_gap() {
    const WATCH_TIME: Duration = Duration::from_millis(100);
    let reads = RefCell::new(Vec::new());
    let (_active, is_active) = watch::channel(true);
    let watches = RefCell::new(0);
    let list_watch = list_and_watch(
        |_| async { page(&[1], None, 7) },
        |_| {
            *watches.borrow_mut() += 1;
            let is_first = *watches.borrow() == 1;
            async move {
                tokio::time::sleep(WATCH_TIME).await;
                match is_first {
                    true => changes(&[], 8),
                    false => Err(StoreFault::HistoryGone),
                }
            }
        },
        Duration::ZERO,
        is_active,
        |event: ListWatchEvent<u32>| match event {
            ListWatchEvent::Listed(_, _, read)
            | ListWatchEvent::Changed(_, _, read)
            | ListWatchEvent::Unchanged(_, read) => reads.borrow_mut().push(read),
            ListWatchEvent::Disconnected(_) | ListWatchEvent::Recovered(_) => {}
        },
    );
    let result = tokio::time::timeout(15 * WATCH_TIME, list_watch).await;
    assert!(result.is_err(), "the loop ended by itself");
    let reads = reads.take();
    assert!(reads.len() >= 3, "{reads:?}");
    // The first watch vouches up to its end, so that only the one that found the history gone lies in between.
    assert!(reads[1].complete_until >= reads[1].sent_at + WATCH_TIME);
    let gap = reads[2].sent_at - reads[1].complete_until;
    assert!(gap < 5 * WATCH_TIME, "{gap:?}");
}
