//! Reports plain requests that replicas broke off, with whether the replica has crashed.
//!
//! A broken connection may be all that was lost: a response can be garbled or cut off while the replica lives. One that
//! has crashed refuses connections until it is back, so the router tries to connect before it reports.

use std::sync::Arc;
use std::time::Duration;

use smallvec::smallvec;

use super::call::Call;
use super::clock::boot_time;
use super::shared::{Observation, Replica, Shared};
use super::upstream::ReplicaPool;
use crate::request::quarantine::{BrokenRequest, Crash, Evidence};

/// The times between a broken connection and the attempts to connect; a process that ends may close its listener last.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];

/// Reports that `replica` broke off `call`, which was sent to it at `sent_at`.
pub(crate) async fn report_broken_request(
    shared: Arc<Shared>,
    call: Arc<Call>,
    replica: Arc<Replica>,
    sent_at: Duration,
) {
    let at = boot_time();
    let is_down = is_down(&replica.pool).await;
    let key = call.request_key();
    let ran = at.saturating_sub(sent_at);
    log::info!(
        "request: Replica broke a request off. id={} replica={} request_key={key:016x} ran_ms={} is_down={is_down}",
        call.id_text(),
        replica.known.record.id,
        ran.as_millis()
    );
    shared.observe(Observation::Crash(Crash {
        keys: smallvec![key],
        request: Some(BrokenRequest {
            id: call.id_text().into(),
            ran,
        }),
        replica: replica.key,
        at,
        evidence: if is_down {
            Evidence::Strong
        } else {
            Evidence::Weak
        },
    }));
}

async fn is_down(pool: &ReplicaPool) -> bool {
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        if !pool.accepts_connections().await {
            return true;
        }
    }
    false
}
