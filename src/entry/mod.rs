//! The HTTP servers for callers and operators.
//!
//! Handlers are thin: they parse the request, delegate decisions to modules without I/O, and write the response.
//! docs/API.md describes each path.

use std::net::TcpListener;
use std::sync::Arc;

use salvo::{Router, Service};
use tokio::runtime::Runtime;

use crate::control::Shared;
use crate::error::{Error, ErrorKind};

mod auth;
mod chat;
mod chat_body;
mod claimed;
mod connection;
mod continuation;
mod directory;
mod dispatch;
mod error_response;
mod health;
mod leaving;
mod plain;
mod record;
mod relay;
mod reports;
mod selector;
mod server;
mod tickets;

#[cfg(test)]
mod tests;

pub(crate) use self::server::RunningServer;
use self::server::ServerState;

/// Starts the HTTP server for callers on `listener`.
pub(crate) fn serve_callers(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
) -> Result<RunningServer, Error> {
    let routes = Router::new()
        .push(
            Router::with_path("services/{name}/{**rest}")
                .goal(plain::PlainHandler::new(Arc::clone(shared))),
        )
        .push(
            Router::with_path("v1/chat/completions")
                .post(chat::ChatHandler::new(Arc::clone(shared))),
        )
        .push(
            Router::with_path("v1/entries")
                .get(directory::DirectoryHandler::new(Arc::clone(shared))),
        );
    let state = Arc::new(ServerState::new(Arc::clone(shared)));
    let leaving = leaving::CloseWhileLeaving::new(Arc::clone(&state));
    let service = Service::new(routes).hoop(leaving);
    serve(runtime, listener, state, service)
}

/// Starts the HTTP server for operators on `listener`.
pub(crate) fn serve_operators(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
) -> Result<(), Error> {
    let routes = Router::new()
        .push(tickets::routes(shared))
        .push(reports::routes(shared)?)
        .push(Router::with_path("healthz").get(health::LivenessHandler))
        .push(Router::with_path("readyz").get(health::ReadinessHandler::new(Arc::clone(shared))));
    let state = Arc::new(ServerState::new(Arc::clone(shared)));
    serve(runtime, listener, state, Service::new(routes))?;
    Ok(())
}

fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    state: Arc<ServerState>,
    service: Service,
) -> Result<RunningServer, Error> {
    let _context = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)
        .map_err(|error| Error::new(ErrorKind::Io, format!("listener: {error}")))?;
    Ok(RunningServer::start(listener, state, service))
}
