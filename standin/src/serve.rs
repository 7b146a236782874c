//! Serves routes on loopback until dropped.

use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::task::JoinHandle;

/// A server that is running; dropping it cuts its connections, as a crash does.
#[derive(Debug)]
pub struct Served {
    /// The address that was bound.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds `address` and serves `routes`.
pub async fn serve(address: SocketAddr, routes: Router) -> anyhow::Result<Served> {
    let listener = tokio::net::TcpListener::from_std(crocuswharf::bind_listener(address)?)?;
    let address = listener.local_addr()?;
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(routes).await {
            log::error!("standin: The server has stopped. address={address} error={error}");
        }
    });
    Ok(Served { address, task })
}
