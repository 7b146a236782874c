//! A loopback TCP proxy for one link, which can delay bytes, block either direction or both, or reset connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::partition::{Connection, Cut, Partition};

/// How much later than held-up bytes the end of their connection arrives: a server then handles the request before.
const LATE_END: Duration = Duration::from_millis(20);

/// The state of a link. Blocked bytes are delivered when the link opens again, as TCP retransmission would do, unless their
/// sender has reset its connection meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes are forwarded.
    Open,
    /// Bytes are forwarded after this delay.
    Slow(Duration),
    /// Nothing is forwarded from the client to the server.
    BlockToServer,
    /// Nothing is forwarded from the server to the client.
    BlockToClient,
    /// Nothing is forwarded in either direction.
    BlockBoth,
    /// All connections are reset, new ones included.
    Reset,
}

/// The direction in which bytes are copied.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Link {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::BlockBoth => true,
            Self::BlockToServer => direction == Direction::ToServer,
            Self::BlockToClient => direction == Direction::ToClient,
            Self::Open | Self::Slow(_) | Self::Reset => false,
        }
    }
}

/// A running proxy. It stops when its Tokio runtime shuts down.
#[derive(Debug)]
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    /// Starts a proxy that listens on a free loopback port and forwards connections to `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        Self::start_in(&Arc::default(), server).await
    }

    /// Starts a proxy like [`Self::start`], whose connections fail as `partition` says.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start_in(partition: &Arc<Partition>, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (link, state) = watch::channel(Link::Open);
        let partition = Arc::clone(partition);
        tokio::spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                let state = State {
                    link: state.clone(),
                    cuts: partition.subscribe(),
                    partition: Arc::clone(&partition),
                    connection: Connection::new(from, address),
                };
                tokio::spawn(forward_connection(client, server, state));
            }
        });
        Ok(Self { address, link })
    }

    /// Sets the state of the link, also for open connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// The state of a connection, by the link and by the cuts of its router.
#[derive(Clone)]
struct State {
    link: watch::Receiver<Link>,
    cuts: watch::Receiver<Vec<(usize, Cut)>>,
    partition: Arc<Partition>,
    connection: Connection,
}

impl State {
    async fn current(&mut self) -> Link {
        self.cuts.mark_unchanged();
        let link = *self.link.borrow_and_update();
        let cut = self.partition.link(self.connection).await;
        cut.unwrap_or(link)
    }

    /// Waits for a change, and returns whether further ones may follow.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            changed = self.link.changed() => changed.is_ok(),
            changed = self.cuts.changed() => changed.is_ok(),
        }
    }
}

async fn forward_connection(client: TcpStream, server: SocketAddr, mut state: State) {
    if state.current().await == Link::Reset || state.partition.resets(state.connection).await {
        reset(&client);
        return;
    }
    // If the server is down, the client's connection is reset, as the server's host would do.
    let Ok(server) = TcpStream::connect(server).await else {
        reset(&client);
        return;
    };
    // Both calls fail only on a socket that is already closed.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::join!(
        copy_bytes(from_client, to_server, Direction::ToServer, state.clone()),
        copy_bytes(from_server, to_client, Direction::ToClient, state),
    );
}

/// Copies bytes in one direction until either side closes or the link is reset.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: State,
) {
    let mut bytes = vec![0; 16 << 10];
    let mut was_blocked = false;
    loop {
        let link = state.current().await;
        if link == Link::Reset {
            reset(from.as_ref());
            reset(to.as_ref());
            return;
        }
        if link.blocks(direction) {
            was_blocked = true;
            if !state.changed().await {
                return;
            }
            continue;
        }
        if matches!(from.as_ref().take_error(), Ok(Some(_))) {
            reset(to.as_ref());
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut bytes) => read,
            _ = state.changed() => continue,
        };
        let Ok(count @ 1..) = read else {
            if was_blocked {
                tokio::time::sleep(LATE_END).await;
            }
            // The other direction stays open: a half-closed peer still reads.
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

/// Sets the linger time to zero, so that closing the socket resets the connection.
fn reset(stream: &TcpStream) {
    // This fails only on a socket that is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
