//! The processor time and memory used by this process.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time of the current thread.
///
/// Unlike elapsed time, processor time does not grow when other processes use the machine.
pub(super) fn thread_time() -> anyhow::Result<Duration> {
    let text =
        fs::read_to_string("/proc/thread-self/schedstat").context("cannot read schedstat")?;
    let first = text
        .split_whitespace()
        .next()
        .context("schedstat is empty")?;
    Ok(Duration::from_nanos(first.parse()?))
}

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm").context("cannot read statm")?;
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .context("statm has fewer than two fields")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// The minimum duration of a measurement, because the kernel accounts in steps of some milliseconds.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(250);

/// Returns the processor time per call of `work` in microseconds, calling it in rounds of `calls`.
pub(super) fn microseconds_per_call(calls: u32, mut work: impl FnMut(u32)) -> anyhow::Result<f64> {
    let mut total_calls = 0;
    let before = thread_time()?;
    loop {
        for index in 0..calls {
            work(index);
        }
        total_calls += calls;
        let spent = thread_time()?.saturating_sub(before);
        if spent >= MIN_MEASURED_TIME {
            return Ok(spent.as_secs_f64() * 1e6 / f64::from(total_calls));
        }
    }
}

/// Returns the memory per value created by `make` in bytes, over `copies` values, including allocator overhead.
///
/// The values are leaked, so that later measurements can't reuse their memory and report too little.
pub(super) fn bytes_per_copy<T>(
    copies: u32,
    mut make: impl FnMut(u32) -> T,
) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    for index in 0..copies {
        std::mem::forget(make(index));
    }
    let growth = resident_bytes()? - before;
    Ok(growth.max(0.0) / f64::from(copies))
}
