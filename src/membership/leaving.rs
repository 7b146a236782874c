//! VMs that the platform's VM list shows as leaving, relayed to routers that do not read the list.
//!
//! Only a few routers read the list. The leaving VMs are sent on every heartbeat with a TTL that only the routers that
//! read the list renew. Gossip between the other routers therefore can't keep an address marked as leaving after it has
//! been reused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::membership::message::{decode_address, encode_address};
use crate::protocol::{Vm, VmState};

/// How long a VM counts as leaving after the list last showed it as leaving.
const TTL: Duration = Duration::from_secs(20);
/// The maximum number of VMs in one message.
const MAX_VMS_PER_MESSAGE: usize = 32;

/// The wire format of a leaving VM.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingVm {
    /// The address: 4 or 16 bytes of IP followed by 2 bytes of port.
    #[prost(bytes = "bytes", tag = "1")]
    pub address: Bytes,
    /// The remaining TTL in milliseconds.
    #[prost(uint32, tag = "2")]
    pub life_ms: u32,
}

/// The VMs that are known to be leaving, by address.
#[derive(Debug, Default)]
pub struct LeavingVms {
    expires_at: BTreeMap<SocketAddr, Duration>,
}

impl LeavingVms {
    /// Applies the platform's VM list. An address listed as running no longer counts as leaving.
    pub fn observe(&mut self, vms: &[Vm], now: Duration) {
        for vm in vms {
            match vm.state {
                VmState::Leaving => {
                    self.expires_at.insert(vm.address, now + TTL);
                }
                VmState::Running => {
                    self.expires_at.remove(&vm.address);
                }
            }
        }
        self.expire(now);
    }

    /// Merges the leaving VMs sent by another router. Returns whether any of them was new.
    pub fn merge(&mut self, received: &[LeavingVm], now: Duration) -> bool {
        let mut is_new = false;
        for vm in received.iter().take(MAX_VMS_PER_MESSAGE) {
            let Some(address) = decode_address(&vm.address) else {
                continue;
            };
            let ttl = Duration::from_millis(u64::from(vm.life_ms)).min(TTL);
            let expires_at = self.expires_at.entry(address).or_insert_with(|| {
                is_new = true;
                now
            });
            *expires_at = (*expires_at).max(now + ttl);
            assert!(
                *expires_at <= now + TTL,
                "gossip extended the TTL of a leaving VM"
            );
        }
        self.expire(now);
        is_new
    }

    /// Returns the VMs to send to other routers, latest expiry first.
    #[must_use]
    pub fn to_message(&self, now: Duration) -> Vec<LeavingVm> {
        let mut order: Vec<_> = self.expires_at.iter().collect();
        order.sort_by_key(|(address, expires_at)| (std::cmp::Reverse(**expires_at), **address));
        order
            .into_iter()
            .take(MAX_VMS_PER_MESSAGE)
            .filter_map(|(address, expires_at)| {
                let ttl = expires_at.checked_sub(now)?;
                Some(LeavingVm {
                    address: encode_address(*address),
                    life_ms: u32::try_from(ttl.as_millis()).ok()?,
                })
            })
            .collect()
    }

    /// Returns whether the VM at `address` is leaving.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.expires_at.contains_key(&address)
    }

    /// Removes the VMs whose TTL has expired.
    pub fn expire(&mut self, now: Duration) {
        self.expires_at.retain(|_, expires_at| *expires_at > now);
    }
}
