//! `crocuswharf ticket`: checks, submits and shows change tickets.

use std::fmt::Write;

use argh::FromArgs;
use serde::Deserialize;

use super::{CommandOutcome, OperatorClient};
use crate::configuration::AcceptedTicket;
use crate::error::{Error, ErrorKind};
use crate::field_error::FieldError;
use crate::id::TicketNumber;
use crate::ticket::{Ticket, TicketDetails, TicketReply, TicketStatus, check as check_document};

/// Check, submit and show change tickets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(super) struct TicketCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(CheckAction),
    Submit(SubmitAction),
    Status(StatusAction),
    List(ListAction),
    Show(ShowAction),
}

/// List all errors of a ticket without submitting it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckAction {
    /// check only the file, without contacting a router
    #[argh(switch)]
    offline: bool,
    /// the ticket file
    #[argh(positional)]
    file: String,
}

/// Submit a ticket; resubmitting an accepted ticket changes nothing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
struct SubmitAction {
    /// the ticket file
    #[argh(positional)]
    file: String,
}

/// Show on how many members a ticket is active, and which members lag behind.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusAction {
    /// the ticket file or number
    #[argh(positional)]
    ticket: String,
}

/// List accepted tickets, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListAction {}

/// Show an accepted ticket.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowAction {
    /// the ticket file or number
    #[argh(positional)]
    ticket: String,
}

/// The body of an error response of a router.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

/// Runs `command`, calling `connect` only if a router is needed.
pub(super) async fn run(
    command: TicketCommand,
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
) -> CommandOutcome {
    let result = match command.action {
        Action::Check(action) if action.offline => check_offline(&action.file),
        Action::Check(action) => post_document(&action.file, "/tickets/check", connect).await,
        Action::Submit(action) => post_document(&action.file, "/tickets", connect).await,
        Action::Status(action) => status(&action.ticket, connect).await,
        Action::List(_) => list(connect).await,
        Action::Show(action) => show(&action.ticket, connect).await,
    };
    result.unwrap_or_else(|error| CommandOutcome::Failed(error.to_string()))
}

fn check_offline(file: &str) -> Result<CommandOutcome, Error> {
    Ok(match check_document(&read_file(file)?) {
        Ok(ticket) => CommandOutcome::Done(format!(
            "ticket {} is valid on its own; references to other objects are not checked",
            ticket.ticket
        )),
        Err(faults) => CommandOutcome::Failed(format_faults(&faults)),
    })
}

async fn post_document(
    file: &str,
    path: &str,
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
) -> Result<CommandOutcome, Error> {
    let document = read_file(file)?;
    // Errors in the file itself are found without a router.
    if let Err(faults) = check_document(&document) {
        return Ok(CommandOutcome::Failed(format_faults(&faults)));
    }
    let response = connect()?.post(path, document.into()).await?;
    match response.json::<TicketReply>() {
        Ok(reply) => Ok(outcome_of(&reply)),
        Err(error) => Err(response_error(&response).unwrap_or(error)),
    }
}

fn outcome_of(reply: &TicketReply) -> CommandOutcome {
    let text = match reply {
        TicketReply::Sound { ticket } => format!("ticket {ticket} is valid"),
        TicketReply::Accepted { ticket, revision } => {
            format!("ticket {ticket} is accepted as revision {revision}")
        }
        TicketReply::Conflict { ticket, revision } => {
            format!(
                "a different ticket {ticket} was accepted as revision {revision}; use a new number"
            )
        }
        TicketReply::Refused { faults } => format_faults(faults),
        TicketReply::Unavailable { reason } => {
            format!("nothing changed: {reason}; submit the ticket again later")
        }
        TicketReply::Unknown { reason } => {
            format!(
                "it is unknown whether the ticket was accepted: {reason}; submit the same file again"
            )
        }
    };
    match reply.is_success() {
        true => CommandOutcome::Done(text),
        false => CommandOutcome::Failed(text),
    }
}

async fn status(
    ticket: &str,
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
) -> Result<CommandOutcome, Error> {
    let path = format!("/tickets/{}/status", parse_number(ticket)?);
    let status: TicketStatus = get_json(connect()?, &path).await?;
    let mut text = format!(
        "ticket {} is revision {}, in force at {} of {} members\n",
        status.ticket, status.revision, status.in_force, status.members
    );
    for member in &status.lagging {
        let _ = writeln!(
            text,
            "lagging: {} in {} at revision {}",
            member.router, member.zone, member.revision
        );
    }
    Ok(CommandOutcome::Done(text))
}

async fn list(
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
) -> Result<CommandOutcome, Error> {
    let tickets: Vec<AcceptedTicket> = get_json(connect()?, "/tickets").await?;
    let mut text = String::from("ticket revision digest\n");
    for ticket in &tickets {
        let _ = writeln!(
            text,
            "{} {} {:.12}",
            ticket.ticket, ticket.revision, ticket.digest
        );
    }
    Ok(CommandOutcome::Done(text))
}

async fn show(
    ticket: &str,
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
) -> Result<CommandOutcome, Error> {
    let path = format!("/tickets/{}", parse_number(ticket)?);
    let details: TicketDetails = get_json(connect()?, &path).await?;
    let mut text = format!(
        "ticket {} is revision {}\n",
        details.ticket, details.revision
    );
    match &details.document {
        Some(document) => {
            let _ = writeln!(text, "{document:#}");
        }
        None => text.push_str("its document was too large to store\n"),
    }
    Ok(CommandOutcome::Done(text))
}

async fn get_json<T: serde::de::DeserializeOwned>(
    client: OperatorClient,
    path: &str,
) -> Result<T, Error> {
    let response = client.get(path).await?;
    if response.is_success() {
        return response.json();
    }
    let status_error = || {
        Error::new(
            ErrorKind::Protocol,
            format!("the router returned status {}", response.status),
        )
    };
    Err(response_error(&response).unwrap_or_else(status_error))
}

/// Returns the error of an error response, or `None` if its body has another format.
fn response_error(response: &super::client::OperatorResponse) -> Option<Error> {
    let body = response.json::<ErrorBody>().ok()?;
    Some(Error::new(ErrorKind::Unavailable, body.error))
}

/// Parses `ticket` as a ticket number, or reads the number from the ticket file of that name.
fn parse_number(ticket: &str) -> Result<TicketNumber, Error> {
    if let Ok(number) = ticket.parse() {
        return Ok(number);
    }
    let parsed: Result<Ticket, _> = check_document(&read_file(ticket)?);
    let ticket =
        parsed.map_err(|faults| Error::new(ErrorKind::InvalidInput, format_faults(&faults)))?;
    Ok(ticket.ticket)
}

fn read_file(path: &str) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| {
        let message = format!("ticket file {path} can't be read: {error}");
        Error::new(ErrorKind::Io, message)
    })
}

fn format_faults(faults: &[FieldError]) -> String {
    let mut text = match faults.len() {
        1 => String::from("1 error\n"),
        count => format!("{count} errors\n"),
    };
    for fault in faults {
        let _ = writeln!(text, "{fault}");
    }
    text
}
