//! Progress messages for commands that wait.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

/// The time before the first progress message and between messages.
const INTERVAL: Duration = Duration::from_secs(1);

/// Awaits `work` and, if standard error is a terminal, prints the elapsed time every second.
pub(crate) async fn report_wait<T>(label: &str, work: impl Future<Output = T>) -> T {
    let start = Instant::now();
    let mut work = std::pin::pin!(work);
    loop {
        match tokio::time::timeout(INTERVAL, &mut work).await {
            Ok(done) => return done,
            Err(_) if std::io::stderr().is_terminal() => {
                eprintln!("{label}: {} s", start.elapsed().as_secs());
            }
            Err(_) => {}
        }
    }
}
