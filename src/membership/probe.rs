//! Outstanding probes: those of this router and those that it relays for other routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::RouterId;

/// The maximum number of outstanding probes relayed for other routers.
const MAX_RELAYS: usize = 64;

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The probed member; `None` if only the address is known.
    pub(crate) router: Option<RouterId>,
    /// The address that was probed.
    pub(crate) to: SocketAddr,
    /// When the probe times out.
    pub(crate) deadline: Duration,
    /// Whether indirect probes have been requested.
    pub(crate) indirect: bool,
}

/// A probe that was sent on behalf of another router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    /// The router that requested the probe.
    pub(crate) requester: SocketAddr,
    /// The sequence number that the requester chose.
    pub(crate) sequence: u64,
    deadline: Duration,
}

/// Outstanding probes by sequence number.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    last_sequence: u64,
    own: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
}

impl Probes {
    /// Records a probe and returns its sequence number.
    pub(crate) fn start(&mut self, probe: Probe) -> u64 {
        self.last_sequence += 1;
        self.own.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Records a probe for another router and returns its sequence number, or `None` if too many are outstanding.
    pub(crate) fn start_relay(
        &mut self,
        requester: SocketAddr,
        sequence: u64,
        deadline: Duration,
    ) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        self.last_sequence += 1;
        let relay = Relay {
            requester,
            sequence,
            deadline,
        };
        self.relays.insert(self.last_sequence, relay);
        Some(self.last_sequence)
    }

    /// Removes the probe `sequence` if `router` is the one that was probed.
    ///
    /// Another router may use the address by now; its acknowledgement says nothing about the probed one.
    pub(crate) fn acknowledge(&mut self, sequence: u64, router: &str) {
        let probe = self.own.get(&sequence);
        if probe.is_some_and(|probe| {
            probe
                .router
                .as_deref()
                .is_none_or(|probed| probed == router)
        }) {
            self.own.remove(&sequence);
        }
    }

    /// Removes and returns the relayed probe that an acknowledgement belongs to.
    pub(crate) fn finish_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Puts a probe back under its sequence number, to wait for the indirect probes.
    pub(crate) fn reinsert(&mut self, sequence: u64, probe: Probe) {
        self.own.insert(sequence, probe);
    }

    /// Removes and returns the probes of this router that have timed out. Drops relayed probes that have timed out.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<(u64, Probe)> {
        self.relays.retain(|_, relay| relay.deadline > now);
        let expired: Vec<u64> = self
            .own
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        expired
            .into_iter()
            .filter_map(|sequence| Some((sequence, self.own.remove(&sequence)?)))
            .collect()
    }

    /// Drops all probes, because acknowledgements may have been missed during a pause.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relays.clear();
    }

    /// Returns whether `router` is being probed.
    pub(crate) fn is_probing(&self, router: &RouterId) -> bool {
        self.own
            .values()
            .any(|probe| probe.router.as_ref() == Some(router))
    }
}
