//! The state of one backend server replica, combined from all sources.
//!
//! The configuration gives its address, load reports give its state, responses name its incarnation, and the
//! VM list and the engine itself announce that it is leaving. The earliest such announcement counts and stays
//! in force for that incarnation. See docs/operations/leaving-backend-server.md.

#[cfg(test)]
mod tests;

use crate::id::{Incarnation, WeightsVersion};
use crate::protocol::LoadReport;

/// The maximum number of consecutive load reports that an engine may miss and still get new work.
const MAX_MISSED_REPORTS: u32 = 1;

/// Whether a replica may get new work, and the reason if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The replica may get new work.
    Available,
    /// The replica or the VM list has announced that it is leaving.
    Leaving,
    /// The replica does not respond.
    Unreachable,
}

/// The known state of one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    load: Option<LoadReport>,
    missed_reports: u32,
    /// The incarnation that has announced that it is leaving.
    leaving_incarnation: Option<Incarnation>,
    vm_leaving: bool,
}

/// The effect of a load report or a response on the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// Nothing changed that other parts need to know about.
    None,
    /// The incarnation or the weights changed, so everything cached before is lost.
    CacheLost,
    /// A late message named an older incarnation and was ignored.
    Outdated,
}

impl Backend {
    /// Applies a load report of the engine.
    pub fn apply_load_report(&mut self, report: LoadReport) -> BackendChange {
        let change = self.update_identity(report.incarnation, report.weights_version);
        if change == BackendChange::Outdated {
            return change;
        }
        self.missed_reports = 0;
        if report.leaving {
            self.leaving_incarnation = Some(report.incarnation);
        }
        self.load = Some(report);
        change
    }

    /// Records that the engine did not respond to a load report request.
    pub fn record_missed_report(&mut self) {
        self.missed_reports = self.missed_reports.saturating_add(1);
        if self.missed_reports > MAX_MISSED_REPORTS {
            self.load = None;
        }
    }

    /// Updates the incarnation and weights version from a response or a load report.
    pub fn update_identity(
        &mut self,
        incarnation: Incarnation,
        weights_version: WeightsVersion,
    ) -> BackendChange {
        if incarnation < self.incarnation {
            return BackendChange::Outdated;
        }
        let before = (self.incarnation, self.weights_version);
        self.incarnation = incarnation;
        self.weights_version = weights_version;
        assert!(
            self.incarnation >= before.0,
            "the incarnation of a backend server decreased to {incarnation} from {}",
            before.0
        );
        if before == (incarnation, weights_version) || before.0 == 0 {
            return BackendChange::None;
        }
        if before.0 != incarnation {
            self.load = None;
        }
        BackendChange::CacheLost
    }

    /// Sets whether the VM list shows the VM of the replica as leaving.
    pub fn set_vm_leaving(&mut self, leaving: bool) {
        self.vm_leaving = leaving;
    }

    /// Returns whether the replica may get new work.
    #[must_use]
    pub fn availability(&self) -> Availability {
        if self.vm_leaving || self.leaving_incarnation == Some(self.incarnation) {
            return Availability::Leaving;
        }
        if self.missed_reports > MAX_MISSED_REPORTS {
            return Availability::Unreachable;
        }
        Availability::Available
    }

    /// Returns whether the current incarnation itself has announced that it is leaving.
    #[must_use]
    pub fn has_announced_leaving(&self) -> bool {
        self.leaving_incarnation.is_some() && self.leaving_incarnation == Some(self.incarnation)
    }

    /// Merges what a peer reports. This router's own observations take precedence.
    pub fn merge_peer_report(
        &mut self,
        incarnation: Incarnation,
        weights_version: WeightsVersion,
        leaving: bool,
    ) {
        if self.incarnation == 0 {
            self.update_identity(incarnation, weights_version);
        }
        if leaving && incarnation == self.incarnation {
            self.leaving_incarnation = Some(incarnation);
        }
    }

    /// Returns the last incarnation seen, or 0 before the first response.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the last weights version seen, or 0 before the first response.
    #[must_use]
    pub const fn weights_version(&self) -> WeightsVersion {
        self.weights_version
    }

    /// Returns the last load report of this incarnation, unless the reports have stopped.
    #[must_use]
    pub const fn load(&self) -> Option<&LoadReport> {
        self.load.as_ref()
    }
}
