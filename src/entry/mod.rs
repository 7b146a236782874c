//! The HTTP servers for callers and operators.
//!
//! Handlers are thin: they parse the request, delegate decisions to modules without I/O, and write the response.
//! docs/API.md describes each path.

use std::net::TcpListener;
use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::{FuseAction, FuseInfo};
use salvo::{Router, Server};
use tokio::runtime::Runtime;
use tokio::sync::watch;

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
mod plain;
mod record;
mod relay;
mod reports;
mod selector;
mod tickets;

#[cfg(test)]
mod tests;

pub(crate) use self::connection::RunningServer;
use self::connection::connection_timeouts;

/// Starts the HTTP server for callers on `listener`.
pub(crate) fn serve_callers(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
) -> Result<RunningServer, Error> {
    let routes = Router::new()
        .hoop(connection::CloseWhileDraining::new(Arc::clone(shared)))
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
    serve(runtime, listener, shared, routes)
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
    serve(runtime, listener, shared, routes)?;
    Ok(())
}

fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
    routes: Router,
) -> Result<RunningServer, Error> {
    let acceptor = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(listener)
            .and_then(TcpAcceptor::try_from)
            .map_err(|error| Error::new(ErrorKind::Io, format!("listener: {error}")))?
    };
    let timeouts = {
        let shared = Arc::clone(shared);
        move |_: &FuseInfo| FuseAction::Accept(connection_timeouts(&shared))
    };
    let server = Server::new(acceptor)
        .fuse_policy(timeouts)
        .max_connections(shared.settings.bounds.connections);
    let handle = server.handle();
    let (ended, has_ended) = watch::channel(false);
    runtime.spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            log::error!("entry: HTTP server stopped. error={error}");
        }
        ended.send_replace(true);
    });
    Ok(RunningServer { handle, has_ended })
}
