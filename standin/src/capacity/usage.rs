//! Processor time and memory of this process.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time that this thread has used.
///
/// Time on the processor, unlike elapsed time, does not grow when others use the machine.
pub(super) fn thread_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").context("read schedstat")?;
    let first = text
        .split_whitespace()
        .next()
        .context("schedstat is empty")?;
    Ok(Duration::from_nanos(first.parse()?))
}

/// Returns the memory of this process that is in use, in bytes.
pub(super) fn resident_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm").context("read statm")?;
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .context("statm is short")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// The shortest time that is measured; the kernel counts in steps of some milliseconds.
const MIN_MEASURED: Duration = Duration::from_millis(250);

/// Returns the processor time of one call of `work`, which is called in rounds of `calls`, in microseconds.
pub(super) fn microseconds_per_call(calls: u32, mut work: impl FnMut(u32)) -> anyhow::Result<f64> {
    let mut made = 0;
    let before = thread_time()?;
    loop {
        for index in 0..calls {
            work(index);
        }
        made += calls;
        let spent = thread_time()?.saturating_sub(before);
        if spent >= MIN_MEASURED {
            return Ok(spent.as_secs_f64() * 1e6 / f64::from(made));
        }
    }
}

/// Returns the memory that one of `copies` values from `make` takes, in bytes, with the allocator's own share.
///
/// The values are never freed, so that later measurements can't reuse their memory and come out too small.
pub(super) fn bytes_per_copy<T>(
    copies: u32,
    mut make: impl FnMut(u32) -> T,
) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    for index in 0..copies {
        std::mem::forget(make(index));
    }
    let grown = resident_bytes()? - before;
    Ok(grown.max(0.0) / f64::from(copies))
}
