//! Starts routers as the deploy file does: `target/release/crocuswharf-platform` with its settings file in
//! `CROCUSWHARF_NODE_FILE`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use serde_json::{Value, json};

const BINARY: &str = "target/release/crocuswharf-platform";
const START_LIMIT: Duration = Duration::from_secs(15);

/// A running router. Dropping it kills the process.
pub(crate) struct Router {
    pub(crate) name: String,
    child: Child,
    settings: PathBuf,
    addresses: Value,
    log: Arc<Mutex<Vec<String>>>,
}

/// Returns what `deploy/gateway.json.template` becomes for a machine of a small deployment, on free ports.
fn settings(name: &str, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Value {
    let free = "127.0.0.1:0";
    json!({
        "router": name, "zone": zone,
        "listen": {"callers": free, "readiness": free, "peers": free, "directory": free, "metrics": free},
        "seeds": seeds, "peer_keys": ["crocuswharf-deployment-key"],
        "vm": {"core_share": 0.25, "memory_mb": 260, "descriptors": 4100, "link_mbps": 1000.0},
        "store": {"address": store},
        "bounds": {
            "grace_ms": 8000, "configuration_ms": 2000, "revocation_ms": 5000, "retry_share": 0.2,
            "retry_slack": 58, "weights_ms": 10000, "lease_ms": 3000, "directory_life_ms": 1000,
        },
        "log": {"level": "info"},
    })
}

impl Router {
    pub(crate) async fn start(
        folder: &std::path::Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> anyhow::Result<Self> {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings(name, zone, store, seeds).to_string())?;
        let mut child = Command::new(BINARY)
            .env("CROCUSWHARF_NODE_FILE", &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .context(BINARY)?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = Arc::clone(&log);
        let stdout = child.stdout.take().context("standard output")?;
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                lines.lock().expect("not poisoned").push(line);
            }
        });
        let mut router = Self {
            name: name.to_owned(),
            child,
            settings: path,
            addresses: Value::Null,
            log,
        };
        let deadline = Instant::now() + START_LIMIT;
        loop {
            if let Some(line) = router.lines("Listening.").pop() {
                router.addresses = serde_json::from_str(&line)?;
                return Ok(router);
            }
            ensure!(Instant::now() < deadline, "{name} does not listen");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn address(&self, field: &str) -> SocketAddr {
        let text = self.addresses[field].as_str().unwrap_or_default();
        text.parse().expect("the router logs its addresses")
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.address("callers")
    }

    pub(crate) fn peers(&self) -> SocketAddr {
        self.address("peers")
    }

    pub(crate) fn readiness(&self) -> SocketAddr {
        self.address("readiness")
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        self.address("directory")
    }

    /// Returns the log lines that contain `text`.
    pub(crate) fn lines(&self, text: &str) -> Vec<String> {
        let lines = self.log.lock().expect("not poisoned");
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        // Fails if it has ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(folder) = std::env::var_os("REVIEW_LOGS") {
            let path = PathBuf::from(folder).join(format!("{}.log", self.name));
            let text = self.lines("").join("\n");
            // For a person who looks into a case.
            let _ = std::fs::write(path, text);
        }
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
