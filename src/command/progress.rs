//! Tells people that a command still waits.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// The time after which a command says that it waits, and how often it says so again.
const INTERVAL: Duration = Duration::from_secs(1);

/// Awaits `work` and tells on a terminal each second for how long.
pub(crate) async fn while_waiting<T>(what: &str, work: impl Future<Output = T>) -> T {
    let began = Instant::now();
    let mut work = std::pin::pin!(work);
    loop {
        match tokio::time::timeout(INTERVAL, &mut work).await {
            Ok(done) => return done,
            Err(_) if std::io::stderr().is_terminal() => {
                eprintln!("{what}: {} s", began.elapsed().as_secs());
            }
            Err(_) => {}
        }
    }
}
