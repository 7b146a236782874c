//! Following a list over pages, lost history and outages.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::gateway::follow::{Followed, follow};
use crate::gateway::store::{ListPage, StoreFault, WatchPage};

type Listed = Result<ListPage<u32>, StoreFault>;
type Watched = Result<WatchPage<u32>, StoreFault>;

fn page(entries: &[u32], next: Option<&str>, as_of: u64) -> Listed {
    Ok(ListPage {
        entries: entries.to_vec(),
        next: next.map(Into::into),
        as_of,
    })
}

fn changes(entries: &[u32], as_of: u64) -> Watched {
    Ok(WatchPage {
        entries: entries.to_vec(),
        as_of,
    })
}

/// Follows scripted answers until they are used up, and returns what was heard as text.
async fn heard(lists: Vec<Listed>, watches: Vec<Watched>) -> Vec<String> {
    let lists = Rc::new(RefCell::new(VecDeque::from(lists)));
    let watches = Rc::new(RefCell::new(VecDeque::from(watches)));
    let heard = Rc::new(RefCell::new(Vec::new()));
    let (_active, is_active) = watch::channel(true);
    let following = follow(
        |_| {
            let answer = lists.borrow_mut().pop_front();
            async move {
                match answer {
                    Some(answer) => answer,
                    None => std::future::pending().await,
                }
            }
        },
        |_| {
            let answer = watches.borrow_mut().pop_front();
            async move {
                match answer {
                    Some(answer) => answer,
                    None => std::future::pending().await,
                }
            }
        },
        Duration::from_millis(10),
        is_active,
        |followed| {
            let text = match followed {
                Followed::Listed(entries, as_of) => format!("list {entries:?} {as_of}"),
                Followed::Changed(entries, as_of) => format!("change {entries:?} {as_of}"),
                Followed::Lost(_) => "lost".to_owned(),
                Followed::Regained(faults) => format!("regained {faults}"),
            };
            heard.borrow_mut().push(text);
        },
    );
    let limit = tokio::time::timeout(Duration::from_secs(60), following).await;
    assert!(limit.is_err(), "following never ends by itself");
    heard.take()
}

#[tokio::test(start_paused = true)]
async fn follow_list_of_pages_is_told_whole() {
    let lists = vec![page(&[1, 2], Some("b"), 7), page(&[3], None, 9)];
    let watches = vec![changes(&[4], 11), changes(&[], 12), changes(&[5], 13)];
    let expected = ["list [1, 2, 3] 7", "change [4] 11", "change [5] 13"];
    assert_eq!(heard(lists, watches).await, expected);
}

#[tokio::test(start_paused = true)]
async fn follow_broken_list_takes_nothing_away() {
    let fault = || Err(StoreFault::Unavailable("down".into()));
    let lists = vec![page(&[1], Some("b"), 7), fault(), page(&[1, 2], None, 8)];
    let expected = ["lost", "regained 1", "list [1, 2] 8"];
    assert_eq!(heard(lists, Vec::new()).await, expected);
}

#[tokio::test(start_paused = true)]
async fn follow_lost_history_is_listed_anew() {
    let lists = vec![page(&[1], None, 7), page(&[2], None, 30)];
    let watches = vec![Err(StoreFault::HistoryGone)];
    assert_eq!(heard(lists, watches).await, ["list [1] 7", "list [2] 30"]);
}
