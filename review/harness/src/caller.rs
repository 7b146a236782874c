//! Stand-ins of clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// A client; it opens a connection for each request.
#[derive(Clone)]
pub(crate) struct Caller {
    client: reqwest::Client,
    record: Arc<Record>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// The status, if an answer began.
    pub(crate) status: Option<u16>,
    pub(crate) is_complete: bool,
    pub(crate) body: String,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) path: &'static str,
    pub(crate) id: String,
    pub(crate) key: Option<&'static str>,
    /// The parts of the prompt as the header lists them; empty for plain requests.
    pub(crate) parts: String,
    pub(crate) deadline_ms: u64,
}

impl Caller {
    pub(crate) fn new(record: &Arc<Record>) -> anyhow::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .connect_timeout(Duration::from_secs(1))
            .build()?;
        Ok(Self {
            client,
            record: Arc::clone(record),
        })
    }

    pub(crate) async fn send(&self, router: SocketAddr, ask: Ask) -> Outcome {
        let url = format!("http://{router}{}", ask.path);
        let mut request = self
            .client
            .post(url)
            .header("host", "a.example")
            .header("x-crocuswharf-request-id", &ask.id)
            .header("x-crocuswharf-deadline-ms", ask.deadline_ms.to_string())
            .timeout(Duration::from_millis(ask.deadline_ms + 500))
            .body("a body of some bytes");
        if let Some(key) = ask.key {
            request = request.header("api-key", key);
        }
        if !ask.parts.is_empty() {
            let counts = ask.parts.split(',').filter_map(|part| part.split_once(':'));
            let tokens: u32 = counts
                .filter_map(|(_, tokens)| tokens.parse::<u32>().ok())
                .sum();
            request = request
                .header("x-crocuswharf-model", "m0")
                .header("x-crocuswharf-token-counts", format!("{tokens},5"))
                .header("x-crocuswharf-prefix-hash", &ask.parts);
        }
        self.record
            .add(format!("{} sent to {router}{}", ask.id, ask.path));
        let outcome = match request.send().await {
            Err(_) => Outcome {
                status: None,
                is_complete: false,
                body: String::new(),
            },
            Ok(response) => {
                let status = Some(response.status().as_u16());
                let body = response.text().await;
                Outcome {
                    status,
                    is_complete: body.is_ok(),
                    body: body.unwrap_or_default(),
                }
            }
        };
        let status = outcome
            .status
            .map_or("none".to_owned(), |status| status.to_string());
        self.record.add(format!(
            "{} answered: status={status} complete={}",
            ask.id, outcome.is_complete
        ));
        outcome
    }

    /// Waits until the router's readiness check says 200.
    pub(crate) async fn is_ready(&self, readiness: SocketAddr) -> bool {
        let request = self
            .client
            .get(format!("http://{readiness}/crocuswharf/ready"));
        let response = request.timeout(Duration::from_secs(1)).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Returns the number of addresses in a router's directory.
    pub(crate) async fn directory_size(&self, directory: SocketAddr) -> usize {
        let url = format!("http://{directory}/crocuswharf/resolve?Name=a.example");
        let request = self.client.get(url).timeout(Duration::from_secs(1));
        let Ok(response) = request.send().await else {
            return 0;
        };
        let answer: serde_json::Value = response.json().await.unwrap_or_default();
        answer["Addrs"].as_array().map_or(0, Vec::len)
    }
}
