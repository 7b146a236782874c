//! The HTTP servers for callers and operators.
//!
//! Handlers are thin: they parse the request, delegate decisions to modules without I/O, and write the response.
//! docs/API.md describes each path.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::{FuseAction, FuseConfig, FuseInfo};
use salvo::{Router, Server};
use tokio::runtime::Runtime;

use crate::control::Shared;
use crate::error::{Error, ErrorKind};

mod auth;
mod chat;
mod chat_body;
mod claimed;
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

/// Starts the HTTP server for callers on `listener`.
pub(crate) fn serve_callers(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
) -> Result<(), Error> {
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
    serve(runtime, listener, shared, routes)
}

fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    shared: &Arc<Shared>,
    routes: Router,
) -> Result<(), Error> {
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
    runtime.spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            log::error!("entry: HTTP server stopped. error={error}");
        }
    });
    Ok(())
}

/// Returns the timeouts of a connection that is accepted now.
///
/// The server also counts a connection as idle while a request on it waits for its response, so the idle timeout covers
/// the longest time that the configuration gives a request. A caller that takes no more bytes is cut off earlier.
fn connection_timeouts(shared: &Shared) -> FuseConfig {
    let times = &shared.settings.times;
    let idle_timeout = Duration::from_millis(times.idle_timeout_ms);
    let snapshot = shared.snapshot.load();
    let services = snapshot.configuration.services.values();
    let longest_request_ms = services.map(|service| service.request_timeout_ms).max();
    let longest_request = Duration::from_millis(longest_request_ms.unwrap_or(0));
    FuseConfig::default()
        .with_http1_header_timeout(Duration::from_millis(times.header_timeout_ms))
        .with_connection_idle_timeout(idle_timeout + longest_request)
        .with_write_stall_timeout(idle_timeout)
        .with_request_body_timeout(Duration::from_millis(times.body_timeout_ms))
}
