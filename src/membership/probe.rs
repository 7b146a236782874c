//! Probes under way: those of this router and those it relays for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::RouterId;

/// The most probes of others that are relayed at once.
const MAX_RELAYS: usize = 64;

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The probed member; `None` for an address whose router is not known.
    pub(crate) router: Option<RouterId>,
    /// Where the probe went.
    pub(crate) to: SocketAddr,
    /// When the wait ends.
    pub(crate) deadline: Duration,
    /// Whether others have been asked to probe too.
    pub(crate) indirect: bool,
}

/// A probe that was sent for another router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    /// Who asked.
    pub(crate) asker: SocketAddr,
    /// The asker's sequence.
    pub(crate) sequence: u64,
    deadline: Duration,
}

/// The probes under way by the sequence under which they were sent.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    last_sequence: u64,
    own: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
}

impl Probes {
    /// Notes a probe and returns its sequence.
    pub(crate) fn begin(&mut self, probe: Probe) -> u64 {
        self.last_sequence += 1;
        self.own.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Notes a probe for another router and returns its sequence, or `None` where too many are under way.
    pub(crate) fn begin_relay(
        &mut self,
        asker: SocketAddr,
        sequence: u64,
        deadline: Duration,
    ) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        self.last_sequence += 1;
        let relay = Relay {
            asker,
            sequence,
            deadline,
        };
        self.relays.insert(self.last_sequence, relay);
        Some(self.last_sequence)
    }

    /// Ends the probe `sequence` where `router` is the one that was probed.
    ///
    /// Another router may stand at the address by now; its answer tells nothing about the probed one.
    pub(crate) fn end_by(&mut self, sequence: u64, router: &str) {
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

    /// Ends the relayed probe that an acknowledgement belongs to and returns it.
    pub(crate) fn end_relay(&mut self, sequence: u64) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Puts a probe back under its old sequence, to wait on with the help of others.
    pub(crate) fn resume(&mut self, sequence: u64, probe: Probe) {
        self.own.insert(sequence, probe);
    }

    /// Takes out the probes whose wait has ended.
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

    /// Forgets all probes, whose answers may have been missed during a pause.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relays.clear();
    }

    /// Tells whether `router` is being probed.
    pub(crate) fn is_probing(&self, router: &RouterId) -> bool {
        self.own
            .values()
            .any(|probe| probe.router.as_ref() == Some(router))
    }
}
