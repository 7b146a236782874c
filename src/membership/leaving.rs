//! The VMs that the platform's list shows as leaving, passed on to routers that do not read the list.
//!
//! Few routers read the list. What leaves rides on every heartbeat with a life that only the readers renew, so that an
//! address that is used anew does not stay marked by what routers tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::membership::message::{decode_address, encode_address};
use crate::protocol::{Vm, VmState};

/// How long a VM counts as leaving after the list last showed it so.
const LIFE: Duration = Duration::from_secs(20);
/// The most VMs that are passed on at once.
const MAX_TOLD: usize = 32;

/// A leaving VM as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingVm {
    /// The address: 4 or 16 bytes of IP and 2 of port.
    #[prost(bytes = "bytes", tag = "1")]
    pub address: Bytes,
    /// How long this holds, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub life_ms: u32,
}

/// The VMs that are known to leave.
#[derive(Debug, Default)]
pub struct LeavingVms {
    until: BTreeMap<SocketAddr, Duration>,
}

impl LeavingVms {
    /// Takes the platform's list; an address that it shows as running no longer leaves.
    pub fn observe(&mut self, vms: &[Vm], now: Duration) {
        for vm in vms {
            match vm.state {
                VmState::Leaving => {
                    self.until.insert(vm.address, now + LIFE);
                }
                VmState::Running => {
                    self.until.remove(&vm.address);
                }
            }
        }
        self.expire(now);
    }

    /// Takes what another router tells; tells whether anything was new.
    pub fn merge(&mut self, told: &[LeavingVm], now: Duration) -> bool {
        let mut is_new = false;
        for vm in told.iter().take(MAX_TOLD) {
            let Some(address) = decode_address(&vm.address) else {
                continue;
            };
            let life = Duration::from_millis(u64::from(vm.life_ms)).min(LIFE);
            let until = self.until.entry(address).or_insert_with(|| {
                is_new = true;
                now
            });
            *until = (*until).max(now + life);
            assert!(*until <= now + LIFE, "hearsay prolonged a VM's leaving");
        }
        self.expire(now);
        is_new
    }

    /// Returns what to tell others, what was heard last first.
    #[must_use]
    pub fn tell(&self, now: Duration) -> Vec<LeavingVm> {
        let mut order: Vec<_> = self.until.iter().collect();
        order.sort_by_key(|(address, until)| (std::cmp::Reverse(**until), **address));
        order
            .into_iter()
            .take(MAX_TOLD)
            .filter_map(|(address, until)| {
                let life = until.checked_sub(now)?;
                Some(LeavingVm {
                    address: encode_address(*address),
                    life_ms: u32::try_from(life.as_millis()).ok()?,
                })
            })
            .collect()
    }

    /// Tells whether the VM at `address` leaves.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.until.contains_key(&address)
    }

    /// Forgets what no one has confirmed for a while.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, until| *until > now);
    }
}
