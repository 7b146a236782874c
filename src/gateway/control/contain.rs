//! Keeps the control thread and its tasks running after a panic.
//!
//! Messages of peers, replicas and the store are validated where they are read. If one still causes a panic, only that
//! message must be lost: a process without its control thread goes on serving callers on a configuration that nothing
//! updates. Rejected: ending the process, because the same message may arrive again after each restart.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use futures_util::FutureExt;

/// The pause before a task that panicked starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs one step of the control thread; a panic in it is logged and counted.
pub(super) fn contain(name: &'static str, step: impl FnOnce()) {
    // Each step sets whole values, so the state is usable after a step that did not reach its end.
    if let Err(panic) = catch_unwind(AssertUnwindSafe(step)) {
        record_panic(name, panic.as_ref());
    }
}

/// Runs the tasks that `start` returns, one after the other, until one ends without a panic.
pub(super) async fn restart_after_panic<F: Future<Output = ()>>(
    name: &'static str,
    start: impl Fn() -> F,
) {
    while let Err(panic) = AssertUnwindSafe(async { start().await })
        .catch_unwind()
        .await
    {
        record_panic(name, panic.as_ref());
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// Returns the result of `call`, or `fallback` if it panics, so that the event of its end is always sent.
pub(crate) async fn result_or<T>(
    name: &'static str,
    call: impl Future<Output = T>,
    fallback: T,
) -> T {
    match AssertUnwindSafe(call).catch_unwind().await {
        Ok(result) => result,
        Err(panic) => {
            record_panic(name, panic.as_ref());
            fallback
        }
    }
}

fn record_panic(step: &'static str, panic: &(dyn Any + Send)) {
    let reason = panic
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    metrics::counter!("crocuswharf_gateway_control_panics_total", "step" => step).increment(1);
    log::error!(
        "control: A step ended with a panic. step={step} reason=\"{}\"",
        reason.unwrap_or("-")
    );
}
