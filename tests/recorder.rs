//! Installs the process-wide metrics recorder from many threads; the file has no other test, so that the process has no
//! recorder before.

use std::sync::{Arc, Barrier};
use std::thread;

use crocuswharf::install_recorder;

/// The number of threads that install the recorder at the same time.
const THREADS: usize = 64;

#[test]
fn install_recorder_from_many_threads_returns_the_handle_to_each() {
    let barrier = Arc::new(Barrier::new(THREADS));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let barrier = Arc::clone(&barrier);
            thread::spawn(move || {
                barrier.wait();
                install_recorder().map(drop)
            })
        })
        .collect();
    for thread in threads {
        let installed = thread.join().expect("the thread does not panic");
        assert!(installed.is_ok(), "{installed:?}");
    }
}
