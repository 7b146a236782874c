//! A loopback proxy for one link, which can be slowed, cut in either direction, silenced or reset.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The state of a link. What is held back is delivered when the link opens again, as retransmission would.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Bytes pass after this time.
    Slow(Duration),
    /// Nothing passes from the client to the server.
    CutTowardsServer,
    /// Nothing passes from the server to the client.
    CutTowardsClient,
    /// Nothing passes.
    Silent,
    /// All connections are reset.
    Reset,
}

/// The direction of a pump.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    TowardsServer,
    TowardsClient,
}

impl Link {
    fn is_held(self, direction: Direction) -> bool {
        match self {
            Self::Silent => true,
            Self::CutTowardsServer => direction == Direction::TowardsServer,
            Self::CutTowardsClient => direction == Direction::TowardsClient,
            Self::Open | Self::Slow(_) | Self::Reset => false,
        }
    }
}

/// The proxy; it ends with its runtime.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    /// Listens on a free port and leads to `server`.
    ///
    /// # Errors
    ///
    /// Returns the error where no port can be had.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (link, state) = watch::channel(Link::Open);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(carry(client, server, state.clone()));
            }
        });
        Ok(Self { address, link })
    }

    /// Changes the state of the link, for open connections too.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn carry(client: TcpStream, server: SocketAddr, state: watch::Receiver<Link>) {
    if *state.borrow() == Link::Reset {
        reset(&client);
        return;
    }
    // A server that is gone closes the client's connection, as its host would.
    let Ok(server) = TcpStream::connect(server).await else {
        reset(&client);
        return;
    };
    // Both may fail only on a socket that is closed already.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::join!(
        pump(
            from_client,
            to_server,
            Direction::TowardsServer,
            state.clone()
        ),
        pump(from_server, to_client, Direction::TowardsClient, state),
    );
}

/// Passes bytes on until either side ends or the link is reset.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: watch::Receiver<Link>,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let link = *state.borrow_and_update();
        if link == Link::Reset {
            reset(from.as_ref());
            reset(to.as_ref());
            return;
        }
        if link.is_held(direction) {
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let read = tokio::select! {
            read = from.read(&mut bytes) => read,
            _ = state.changed() => continue,
        };
        let Ok(count @ 1..) = read else {
            // The other direction may go on: a side that ended its sending still reads.
            let _ = to.shutdown().await;
            return;
        };
        if let Link::Slow(time) = link {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            reset(from.as_ref());
            return;
        }
    }
}

/// Lets the connection end with a reset when it is closed.
fn reset(stream: &TcpStream) {
    // It fails only on a socket that is closed already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
