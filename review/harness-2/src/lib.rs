//! What the cases of the second review share: routers started with the command of the deploy file, a record of what was
//! sent, answered and run, and the exit codes of a case.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the case runs with its disruption.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case, a line for each thing that was sent, answered or run.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the record file at the path in `RECORD`.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be created.
    #[must_use]
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Self {
            file: Mutex::new(File::create(path).expect("the record is writable")),
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start of the case.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the time.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be written.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut line = String::new();
        let _ = writeln!(line, "{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().expect("the lock is not poisoned");
        file.write_all(line.as_bytes())
            .expect("the record is writable");
    }
}

/// The places and sizes of a router, as a platform would fill them into the template of the deploy file.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    /// The name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The memory of the machine in megabytes.
    pub memory_mb: u64,
    /// The addresses by name: callers, readiness, peers, directory, metrics.
    pub listen: BTreeMap<&'static str, SocketAddr>,
}

impl RouterPlan {
    /// Chooses free ports for a router.
    ///
    /// # Panics
    ///
    /// Panics if there is no free port.
    #[must_use]
    pub fn new(name: &str, zone: &str, memory_mb: u64) -> Self {
        let names = ["callers", "readiness", "peers", "directory", "metrics"];
        // All are bound at once, so that they differ.
        let bound: Vec<_> = names
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
            .collect();
        let addresses = bound.iter().map(|listener| listener.local_addr());
        let listen = names.into_iter().zip(addresses);
        let listen = listen.map(|(name, address)| (name, address.expect("it is bound")));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            memory_mb,
            listen: listen.collect(),
        }
    }

    /// Returns the settings file that `deploy/gateway.json.template` becomes for this router, with the bounds of the
    /// sites.
    #[must_use]
    pub fn settings(&self, store: SocketAddr, seeds: &[SocketAddr]) -> Value {
        json!({
            "router": self.name, "zone": self.zone,
            "listen": self.listen.iter().map(|(name, address)| ((*name).to_owned(), json!(address))).collect::<serde_json::Map<_, _>>(),
            "seeds": seeds, "peer_keys": ["crocuswharf-deployment-key"],
            "vm": {"core_share": 0.25, "memory_mb": self.memory_mb, "descriptors": 4100, "link_mbps": 1000.0},
            "store": {"address": store},
            "bounds": {
                "grace_ms": 8000, "configuration_ms": 2000, "revocation_ms": 5000, "retry_share": 0.2,
                "retry_slack": 58.0, "weights_ms": 8000, "lease_ms": 3000, "replicas_check_fencing": true,
                "directory_life_ms": 1000,
            },
            "admission": {},
            "log": {"level": "info"},
        })
    }
}

/// A router process. Dropping it kills the process.
pub struct Router {
    /// Its addresses and sizes.
    pub plan: RouterPlan,
    process: Child,
    folder: PathBuf,
}

impl Router {
    /// Starts the program of the deploy file in the root of the repository; its log goes to a file in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start(plan: RouterPlan, settings: &Value, folder: &Path) -> anyhow::Result<Self> {
        let file = folder.join(format!("{}.json", plan.name));
        std::fs::write(&file, settings.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", plan.name)))?;
        let process = Command::new("target/release/crocuswharf-platform")
            .env("CROCUSWHARF_NODE_FILE", &file)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        let folder = folder.to_owned();
        Ok(Self {
            plan,
            process,
            folder,
        })
    }

    /// Returns an address by name.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        self.plan.listen[name]
    }

    /// Returns the process ID.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let id = Pid::from_raw(i32::try_from(self.process.id())?);
        Ok(kill_process(id.expect("process ids are not zero"), signal)?)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the status can't be read.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<std::process::ExitStatus>> {
        Ok(self.process.try_wait()?)
    }

    /// Returns the resident memory of the process in kilobytes, and its peak.
    #[must_use]
    pub fn memory_kb(&self) -> (u64, u64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let text = text.unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok())
                .unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Waits until the router says that it is ready; returns whether it is.
    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let client = reqwest::Client::builder().no_proxy().build();
        let Ok(client) = client else { return false };
        let end = Instant::now() + limit;
        let url = format!("http://{}/crocuswharf/ready", self.address("readiness"));
        while Instant::now() < end {
            let sent = client
                .get(&url)
                .timeout(Duration::from_secs(1))
                .send()
                .await;
            if sent.is_ok_and(|response| response.status() == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Returns the log of the process.
    #[must_use]
    pub fn log(&self) -> String {
        let path = self.folder.join(format!("{}.log", self.plan.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A temporary folder, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    ///
    /// # Errors
    ///
    /// Fails if it can't be created.
    pub fn create(case: &str) -> anyhow::Result<Self> {
        let name = format!("crocuswharf-review-{case}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A replica of a plain service, which keeps its connections. It runs requests whose path begins with `/pay/` for a
/// while, and others at once.
pub struct RawReplica {
    /// Its ID.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    runs: std::sync::Arc<Mutex<std::collections::HashSet<String>>>,
}

impl RawReplica {
    /// Starts a replica.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(id: &str, work: Duration) -> anyhow::Result<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: std::sync::Arc::default(),
        };
        let runs = std::sync::Arc::clone(&replica.runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, std::sync::Arc::clone(&runs), work));
            }
        });
        Ok(replica)
    }

    /// Returns whether the replica has run one of the longer requests.
    #[must_use]
    pub fn has_run(&self, id: &str) -> bool {
        self.runs
            .lock()
            .expect("the lock is not poisoned")
            .contains(id)
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    runs: std::sync::Arc<Mutex<std::collections::HashSet<String>>>,
    work: Duration,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::with_capacity(4096);
    loop {
        let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => continue,
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end + 4);
        let mut lines = head.lines();
        let id = lines.find_map(|line| line.strip_prefix("x-crocuswharf-request-id: "));
        let id = id.unwrap_or_default();
        if head.starts_with("POST /pay/") {
            runs.lock()
                .expect("the lock is not poisoned")
                .insert(id.to_owned());
            tokio::time::sleep(work).await;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-crocuswharf-request-id: {id}\r\nx-crocuswharf-server-stamp: s\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// What a client sees of a response.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Whether the connection carries no further request.
    pub closes: bool,
}

/// Reads a response with a length; `None` if the connection ends before.
pub async fn read_answer(
    stream: &mut tokio::net::TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<Answer> {
    use tokio::io::AsyncReadExt;
    buffer.clear();
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = std::str::from_utf8(&buffer[..end]).ok()?;
            let mut lines = head.lines();
            let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
            if buffer.len() >= end + 4 + length.parse::<usize>().ok()? {
                let status = head.get(9..12)?.parse().ok()?;
                let closes = head.contains("\r\nconnection: close");
                return Some(Answer { status, closes });
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Ends the process with the exit code of the case.
pub fn finish(result: anyhow::Result<i32>) -> ! {
    let code = result.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error:#}");
        NOT_RUN
    });
    std::process::exit(code)
}
