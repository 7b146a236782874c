//! Background reads that the control thread does not wait for: a peer's configuration and the VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use super::thread::Event;
use crate::configuration::{ReadStep, StoredState, UpdatePart, UpdateReader, WATCHERS_PER_ZONE};
use crate::error::Error;
use crate::membership::watchers_of;
use crate::peer::{Body, Kind, Links};

/// The timeout for one part of a peer's configuration.
const PART_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which the VM list is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The hash key that selects the routers that read the VM list.
const VM_LIST_TOPIC: u64 = 0x766d_6c69_7374;

/// Fetches the configuration changes that the peer at `from` has and `known` lacks.
///
/// Returns `None` if the peer is not ahead or does not respond.
pub(crate) async fn fetch_configuration(
    links: &Links,
    from: SocketAddr,
    known: Arc<StoredState>,
) -> Result<Option<StoredState>, Error> {
    let mut reader = UpdateReader::new(known);
    let mut request = reader.next_request();
    loop {
        let body = Body::encode(Kind::Configuration, &request);
        let Some(answer) = links.request(from, body, PART_TIMEOUT).await else {
            return Ok(None);
        };
        let part: UpdatePart = answer.decode()?;
        match reader.handle_part(&part) {
            ReadStep::Request(next) => request = next,
            ReadStep::NotAhead => return Ok(None),
            ReadStep::Done(state) => return Ok(Some(*state)),
            ReadStep::Failed(error) => return Err(error),
        }
    }
}

/// Reads the VM list periodically while this router is one of the few routers of its zone that do so.
pub(crate) async fn poll_vm_list(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(VM_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !should_read_vm_list(&shared) {
            continue;
        }
        match shared.store.vms().await {
            Ok(vms) => {
                if shared.events().send(Event::VmList(vms)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("control: Failed to read the VM list. error={error}"),
        }
    }
}

/// Returns whether this router is one of the few routers of its zone that read the VM list.
fn should_read_vm_list(shared: &Shared) -> bool {
    let settings = &shared.settings;
    let snapshot = shared.snapshot.load();
    let in_zone = snapshot
        .members
        .iter()
        .filter(|member| member.zone == settings.zone)
        .map(|member| &member.router);
    watchers_of(VM_LIST_TOPIC, in_zone, WATCHERS_PER_ZONE).contains(&&settings.router)
}
