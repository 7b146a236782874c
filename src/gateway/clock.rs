//! The clock for leases, deadlines and the freshness of caller keys.
//!
//! The monotonic clock stops while a VM is suspended, so an expired lease would appear valid. Wall time can jump. Boot
//! time does neither. See docs/design/gateway.md.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including time spent suspended.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).expect("boot time is never negative");
    let nanoseconds = u32::try_from(time.tv_nsec).expect("nanoseconds fit 32 bits");
    Duration::new(seconds, nanoseconds)
}
