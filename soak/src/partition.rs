//! Cuts routers off from all replicas, by which process opened each connection through the proxies.
//!
//! The replicas have one address for all routers, so the kernel's tables tell which router a connection belongs to. An
//! address for each router was rejected: routers learn the addresses from each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::callers::lock;
use crate::proxy::Link;

/// The minimum interval between two reads of the kernel's tables, which take some milliseconds.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// The routers by the ports of their connections.
type Connections = HashMap<(u16, u16), usize>;

/// How the connections between a router and all replicas fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All connections get this state, new ones included.
    All(Link),
    /// Old connections live on, and new ones are reset.
    New,
}

impl Cut {
    /// Returns the state of a connection that was accepted before the cut, if it isn't that of its proxy.
    const fn link(self) -> Option<Link> {
        match self {
            Self::All(link) => Some(link),
            Self::New => None,
        }
    }
}

/// The routers' processes, and which routers are cut off.
#[derive(Debug, Default)]
pub struct Partition {
    cuts: watch::Sender<Vec<(usize, Cut)>>,
    owners: Mutex<Owners>,
    /// Held while the kernel's tables are read.
    reading: tokio::sync::Mutex<()>,
}

/// Which router each connection belongs to.
#[derive(Debug, Default)]
struct Owners {
    /// The processes, by router.
    processes: Vec<(usize, u32)>,
    connections: Connections,
    /// When the connections were read last, if all processes were known then.
    read_at: Option<Instant>,
}

/// A connection through a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    /// The ports of the client and of the proxy.
    ports: (u16, u16),
    accepted_at: Instant,
}

impl Connection {
    pub(crate) fn new(client: SocketAddr, proxy: SocketAddr) -> Self {
        Self {
            ports: (client.port(), proxy.port()),
            accepted_at: Instant::now(),
        }
    }
}

impl Partition {
    /// Sets the process of a router.
    pub fn set_process(&self, router: usize, process: u32) {
        let mut owners = lock(&self.owners);
        owners.processes.retain(|(other, _)| *other != router);
        owners.processes.push((router, process));
        owners.read_at = None;
        drop(owners);
        // Connections that were opened before their process was known are looked up again.
        self.cuts.send_modify(|_| {});
    }

    /// Cuts a router off, or ends its cut.
    pub fn set(&self, router: usize, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| {
            cuts.retain(|(other, _)| *other != router);
            cuts.extend(cut.map(|cut| (router, cut)));
        });
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Vec<(usize, Cut)>> {
        self.cuts.subscribe()
    }

    /// Returns the state that a cut gives to an open connection.
    pub(crate) async fn link(&self, connection: Connection) -> Option<Link> {
        self.cut_of(connection).await.and_then(Cut::link)
    }

    /// Returns whether a cut resets this new connection.
    pub(crate) async fn resets(&self, connection: Connection) -> bool {
        matches!(
            self.cut_of(connection).await,
            Some(Cut::New | Cut::All(Link::Reset))
        )
    }

    async fn cut_of(&self, connection: Connection) -> Option<Cut> {
        while !self.cuts.borrow().is_empty() {
            if let Some(router) = lock(&self.owners).router(connection) {
                let cuts = self.cuts.borrow();
                let cut = cuts.iter().find(|(other, _)| Some(*other) == router);
                return cut.map(|(_, cut)| *cut);
            }
            self.read_connections(connection).await;
        }
        None
    }

    /// Reads the connections, unless that was done since this one was accepted.
    async fn read_connections(&self, connection: Connection) {
        let _reading = self.reading.lock().await;
        if lock(&self.owners).router(connection).is_some() {
            return;
        }
        let (processes, read_at) = (lock(&self.owners).processes.clone(), Instant::now());
        let routers = processes.clone();
        let read = tokio::task::spawn_blocking(move || open_connections(&routers));
        let connections = read.await.unwrap_or_default();
        {
            let mut owners = lock(&self.owners);
            owners.connections = connections;
            owners.read_at = (owners.processes == processes).then_some(read_at);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

impl Owners {
    /// Returns which router opened a connection, if any, or `None` while that isn't known.
    fn router(&self, connection: Connection) -> Option<Option<usize>> {
        let is_known = self.read_at.is_some_and(|at| at >= connection.accepted_at);
        is_known.then(|| self.connections.get(&connection.ports).copied())
    }
}

/// Reads the connections of the routers with these processes.
fn open_connections(processes: &[(usize, u32)]) -> Connections {
    let mut routers = HashMap::new();
    for (router, process) in processes {
        // Fails for a process that has ended.
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let links = files.into_iter().flatten().filter_map(Result::ok);
        let links = links.filter_map(|file| std::fs::read_link(file.path()).ok());
        for link in links {
            let name = link.to_string_lossy();
            let inode = name.strip_prefix("socket:[");
            if let Some(inode) = inode.and_then(|inode| inode.strip_suffix(']')) {
                routers.insert(inode.to_owned(), *router);
            }
        }
    }
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let router = routers.get(*fields.get(9)?)?;
        Some(((port(fields[1])?, port(fields[2])?), *router))
    });
    connections.collect()
}

/// Returns the port of an address in the kernel's table.
fn port(address: &str) -> Option<u16> {
    let (_, port) = address.rsplit_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
