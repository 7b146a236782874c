//! The responses of the ticket API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Ticket, TicketOutcome};
use crate::field_error::FieldError;
use crate::id::{Revision, RouterId, TicketNumber, ZoneName};

/// The response to a check or a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TicketReply {
    /// The ticket is valid against the active configuration; nothing changed.
    Sound {
        /// The ticket number.
        ticket: TicketNumber,
    },
    /// The ticket is accepted, by this submission or an earlier one.
    Accepted {
        /// The ticket number.
        ticket: TicketNumber,
        /// The revision that the ticket created.
        revision: Revision,
    },
    /// A different ticket with this number was already accepted.
    Conflict {
        /// The ticket number.
        ticket: TicketNumber,
        /// The revision that the other ticket created.
        revision: Revision,
    },
    /// The ticket is invalid; nothing changed.
    Refused {
        /// All validation errors.
        faults: Vec<FieldError>,
    },
    /// The platform could not be reached; nothing changed, now or later.
    Unavailable {
        /// The last error.
        reason: String,
    },
    /// It is unknown whether the ticket was accepted; resending it is safe and resolves this.
    Unknown {
        /// The last error.
        reason: String,
    },
}

impl TicketReply {
    /// Creates the response to the submission of `ticket`.
    #[must_use]
    pub fn of(ticket: &Ticket, outcome: &TicketOutcome) -> Self {
        let ticket = ticket.ticket;
        match outcome {
            TicketOutcome::Accepted { revision, .. } => Self::Accepted {
                ticket,
                revision: *revision,
            },
            TicketOutcome::Conflict { revision } => Self::Conflict {
                ticket,
                revision: *revision,
            },
            TicketOutcome::Refused(faults) => Self::Refused {
                faults: faults.clone(),
            },
            TicketOutcome::Unavailable(reason) => Self::Unavailable {
                reason: reason.clone(),
            },
            TicketOutcome::Unknown(reason) => Self::Unknown {
                reason: reason.clone(),
            },
        }
    }

    /// Returns the HTTP status code of the response.
    #[must_use]
    pub const fn status_code(&self) -> u16 {
        match self {
            Self::Sound { .. } | Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Refused { .. } => 422,
            Self::Unavailable { .. } => 503,
            Self::Unknown { .. } => 504,
        }
    }

    /// Returns whether the ticket passed the check or was accepted.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        matches!(self, Self::Sound { .. } | Self::Accepted { .. })
    }
}

/// The active revision of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRevision {
    /// The name of the router.
    pub router: RouterId,
    /// The availability zone of the router.
    pub zone: ZoneName,
    /// The last known active revision of the router.
    pub revision: Revision,
}

/// The progress of a ticket across the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketStatus {
    /// The ticket number.
    pub ticket: TicketNumber,
    /// The revision that the ticket created.
    pub revision: Revision,
    /// The number of members whose active revision is this one or a later one.
    pub in_force: usize,
    /// The number of known members.
    pub members: usize,
    /// The members whose active revision is older.
    pub lagging: Vec<MemberRevision>,
}

impl TicketStatus {
    /// Creates the status of a ticket that created `revision`, from the active revisions of all `members`.
    #[must_use]
    pub fn of(ticket: TicketNumber, revision: Revision, members: &[MemberRevision]) -> Self {
        let is_lagging = |member: &&MemberRevision| member.revision < revision;
        let lagging: Vec<_> = members.iter().filter(is_lagging).cloned().collect();
        Self {
            ticket,
            revision,
            in_force: members.len() - lagging.len(),
            members: members.len(),
            lagging,
        }
    }
}

/// An accepted ticket and its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketDetails {
    /// The ticket number.
    pub ticket: TicketNumber,
    /// The revision that the ticket created.
    pub revision: Revision,
    /// The digest of the ticket's content.
    pub digest: Arc<str>,
    /// The document; absent if it was too large to store.
    pub document: Option<serde_json::Value>,
}
