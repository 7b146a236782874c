//! What is known of one backend server's replica, from all who know something of it.
//!
//! The configuration says where it is, the engine's reports say how it is, answers name its incarnation, and the VM list
//! and the engine itself say when it leaves. The earliest word that it leaves counts, and holds for that incarnation.
//! See docs/operations/leaving-backend-server.md.

#[cfg(test)]
mod tests;

use crate::id::{Incarnation, WeightsVersion};
use crate::protocol::LoadReport;

/// The reports in a row that an engine may miss before it gets no more work.
const MAX_MISSED_REPORTS: u32 = 1;

/// Whether a replica may get new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may.
    Available,
    /// It has said that it leaves, or the VM list has.
    Leaving,
    /// It does not answer.
    Unreachable,
}

/// What is known of one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    load: Option<LoadReport>,
    missed_reports: u32,
    /// The incarnation that has said that it leaves.
    leaving_incarnation: Option<Incarnation>,
    leaving_by_vm_list: bool,
}

/// What a report or an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// Nothing that others need to hear.
    None,
    /// Another incarnation or other weights: nothing cached before counts any longer.
    CacheLost,
    /// An older incarnation was heard late and is ignored.
    Outdated,
}

impl Backend {
    /// Takes the engine's load report.
    pub fn take_report(&mut self, report: LoadReport) -> BackendChange {
        let change = self.take_identity(report.incarnation, report.weights_version);
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

    /// Notes that the engine did not answer when asked for its load.
    pub fn miss_report(&mut self) {
        self.missed_reports = self.missed_reports.saturating_add(1);
        if self.missed_reports > MAX_MISSED_REPORTS {
            self.load = None;
        }
    }

    /// Takes the identity that an answer or a report names.
    pub fn take_identity(
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
            "a backend server went back to incarnation {incarnation} from {}",
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

    /// Takes whether the VM list shows the replica's VM as leaving.
    pub fn set_leaving_by_vm_list(&mut self, leaving: bool) {
        self.leaving_by_vm_list = leaving;
    }

    /// Returns whether new work may go there.
    #[must_use]
    pub fn availability(&self) -> Availability {
        if self.leaving_by_vm_list || self.leaving_incarnation == Some(self.incarnation) {
            return Availability::Leaving;
        }
        if self.missed_reports > MAX_MISSED_REPORTS {
            return Availability::Unreachable;
        }
        Availability::Available
    }

    /// Tells whether the present incarnation itself has said that it leaves.
    #[must_use]
    pub fn has_said_it_leaves(&self) -> bool {
        self.leaving_incarnation.is_some() && self.leaving_incarnation == Some(self.incarnation)
    }

    /// Takes what a peer knows, which this router's own knowledge overrules.
    pub fn take_hearsay(
        &mut self,
        incarnation: Incarnation,
        weights_version: WeightsVersion,
        leaving: bool,
    ) {
        if self.incarnation == 0 {
            self.take_identity(incarnation, weights_version);
        }
        if leaving && incarnation == self.incarnation {
            self.leaving_incarnation = Some(incarnation);
        }
    }

    /// Returns the incarnation last seen, zero before the first answer.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the weights version last seen, zero before the first answer.
    #[must_use]
    pub const fn weights_version(&self) -> WeightsVersion {
        self.weights_version
    }

    /// Returns the last load report of this incarnation, unless reports have stopped.
    #[must_use]
    pub const fn load(&self) -> Option<&LoadReport> {
        self.load.as_ref()
    }
}
