//! Real HTTP callers: they ask the directory, keep its answer, connect, and check every answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crocuswharf::{
    BYTES_PER_TOKEN, DirectoryResponse, HEADER_IDEMPOTENCY_KEY, HEADER_RUN, HEADER_WARM_TOKENS,
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use rand::RngExt;
use reqwest::StatusCode;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::engine::expected_answer;

/// How often a caller tries one request before it gives up.
const MAX_TRIES: usize = 8;
/// How long a caller waits for the next byte of an answer.
const SILENCE: Duration = Duration::from_secs(10);
/// The pause before a caller tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How one request ended for its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The whole and right answer came.
    pub complete: bool,
    /// The last word was a refusal that says "not run".
    pub refused_not_run: bool,
    /// Events that came twice, out of order or with a gap.
    pub out_of_order: u64,
    /// The time to the first token of a chat answer.
    pub ttft: Option<Duration>,
    /// The prompt tokens in the shared opening, and those of them that were warm.
    pub opening_tokens: u64,
    /// The tokens of the shared opening that were warm.
    pub warm_tokens: u64,
    /// What went wrong last, for people.
    pub trouble: Option<String>,
}

/// One chat request as a caller sees it.
#[derive(Clone, Debug)]
pub struct ChatAsk {
    /// The service.
    pub model: &'static str,
    /// The account's key.
    pub key: String,
    /// The preamble.
    pub preamble: Arc<str>,
    /// The manual.
    pub manual: Arc<str>,
    /// The question.
    pub question: String,
    /// The tokens to generate.
    pub max_tokens: u32,
}

/// The callers' common means: an HTTP client and the directory's last answer.
#[derive(Debug)]
pub struct Callers {
    http: reqwest::Client,
    known: Vec<SocketAddr>,
    directory: Mutex<Option<(Instant, DirectoryResponse)>>,
}

/// Why one try gave no answer.
enum Trouble {
    NotRun(String),
    Failed(String),
}

impl Callers {
    /// Makes callers that know some routers' addresses from before.
    pub fn new(known: Vec<SocketAddr>) -> anyhow::Result<Self> {
        let http = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_secs(1))
            .build()?;
        Ok(Self {
            http,
            known,
            directory: Mutex::new(None),
        })
    }

    /// Sends a chat request until its whole answer has come, or it is given up.
    pub async fn chat(&self, ask: &ChatAsk) -> Outcome {
        let mut outcome = Outcome {
            opening_tokens: ((ask.preamble.len() + ask.manual.len()) / BYTES_PER_TOKEN) as u64,
            ..Outcome::default()
        };
        let started = Instant::now();
        for _ in 0..MAX_TRIES {
            match self.try_chat(ask, started, &mut outcome).await {
                Ok(()) => {
                    outcome.complete = true;
                    outcome.refused_not_run = false;
                    return outcome;
                }
                Err(trouble) => self.note(trouble, &mut outcome).await,
            }
        }
        outcome
    }

    /// Sends a payment under one key until it is confirmed or given up.
    pub async fn pay(&self, service: &str, account_key: &str, key: Uuid) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..MAX_TRIES {
            match self.try_pay(service, account_key, key).await {
                Ok(()) => {
                    outcome.complete = true;
                    outcome.refused_not_run = false;
                    return outcome;
                }
                Err(trouble) => self.note(trouble, &mut outcome).await,
            }
        }
        outcome
    }

    async fn note(&self, trouble: Trouble, outcome: &mut Outcome) {
        let (refused, text) = match trouble {
            Trouble::NotRun(text) => (true, text),
            Trouble::Failed(text) => (false, text),
        };
        outcome.refused_not_run = refused;
        outcome.trouble = Some(text);
        self.forget_directory();
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    async fn try_chat(
        &self,
        ask: &ChatAsk,
        started: Instant,
        outcome: &mut Outcome,
    ) -> Result<(), Trouble> {
        let address = self.pick_address().await?;
        let response = self
            .http
            .post(format!("http://{address}/v1/chat/completions"))
            .bearer_auth(&ask.key)
            .json(&chat_body(ask))
            .send()
            .await
            .map_err(|error| Trouble::Failed(error.to_string()))?;
        let response = check_status(response).await?;
        let warm_tokens = header_number(&response, HEADER_WARM_TOKENS);
        let text = read_stream(response, started, outcome).await?;
        let expected = expected_answer(&ask.question, ask.max_tokens);
        if text != expected {
            return Err(Trouble::Failed(format!(
                "the answer is {text:?}, not {expected:?}"
            )));
        }
        outcome.warm_tokens = warm_tokens.unwrap_or(0).min(outcome.opening_tokens);
        Ok(())
    }

    async fn try_pay(&self, service: &str, account_key: &str, key: Uuid) -> Result<(), Trouble> {
        let address = self.pick_address().await?;
        let response = self
            .http
            .post(format!("http://{address}/services/{service}/payments"))
            .bearer_auth(account_key)
            .header(HEADER_IDEMPOTENCY_KEY, key.to_string())
            .json(&json!({"naira": 200}))
            .timeout(SILENCE)
            .send()
            .await
            .map_err(|error| Trouble::Failed(error.to_string()))?;
        let response = check_status(response).await?;
        let paid: Value = response
            .json()
            .await
            .map_err(|error| Trouble::Failed(error.to_string()))?;
        if paid["paid"] == key.to_string() {
            return Ok(());
        }
        Err(Trouble::Failed(format!(
            "the receipt {paid} is not for {key}"
        )))
    }

    /// Picks an address from the directory, each with its weight.
    async fn pick_address(&self) -> Result<SocketAddr, Trouble> {
        let entries = self.directory().await?;
        let total: u32 = entries.entries.iter().map(|entry| entry.weight).sum();
        let mut draw = rand::rng().random_range(0..total.max(1));
        for entry in &entries.entries {
            if draw < entry.weight {
                return Ok(entry.address);
            }
            draw -= entry.weight;
        }
        Err(Trouble::Failed("the directory is empty".to_owned()))
    }

    async fn directory(&self) -> Result<DirectoryResponse, Trouble> {
        if let Some(entries) = self.kept_directory() {
            return Ok(entries);
        }
        let first = rand::rng().random_range(0..self.known.len());
        for step in 0..self.known.len() {
            let address = self.known[(first + step) % self.known.len()];
            if let Some(entries) = self.ask_directory(address).await {
                let life = Duration::from_millis(entries.life_ms);
                let mut kept = self.directory.lock().expect("no holder of the lock panics");
                *kept = Some((Instant::now() + life, entries.clone()));
                return Ok(entries);
            }
        }
        Err(Trouble::Failed("no router gave a directory".to_owned()))
    }

    async fn ask_directory(&self, address: SocketAddr) -> Option<DirectoryResponse> {
        let url = format!("http://{address}/v1/entries");
        let request = self.http.get(url).timeout(Duration::from_secs(1));
        let response = request.send().await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }

    fn kept_directory(&self) -> Option<DirectoryResponse> {
        let kept = self.directory.lock().expect("no holder of the lock panics");
        kept.as_ref()
            .filter(|(until, _)| Instant::now() < *until)
            .map(|(_, entries)| entries.clone())
    }

    fn forget_directory(&self) {
        *self.directory.lock().expect("no holder of the lock panics") = None;
    }
}

fn chat_body(ask: &ChatAsk) -> Value {
    json!({
        "model": ask.model,
        "stream": true,
        "max_tokens": ask.max_tokens,
        "messages": [
            {"role": "system", "content": &*ask.preamble},
            {"role": "system", "content": &*ask.manual},
            {"role": "user", "content": ask.question},
        ],
    })
}

async fn check_status(response: reqwest::Response) -> Result<reqwest::Response, Trouble> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let not_run = response
        .headers()
        .get(HEADER_RUN)
        .is_some_and(|value| value == "not-run");
    let text = response.text().await.unwrap_or_default();
    let text = format!("{status}: {text}");
    if not_run && status != StatusCode::UNAUTHORIZED {
        return Err(Trouble::NotRun(text));
    }
    Err(Trouble::Failed(text))
}

async fn read_stream(
    response: reqwest::Response,
    started: Instant,
    outcome: &mut Outcome,
) -> Result<String, Trouble> {
    let mut events = response.bytes_stream().eventsource();
    let mut text = String::new();
    let mut expected = 1;
    loop {
        let next = tokio::time::timeout(SILENCE, events.next())
            .await
            .map_err(|_| Trouble::Failed("the answer fell silent".to_owned()))?;
        let event = next
            .ok_or_else(|| Trouble::Failed("the answer was cut".to_owned()))?
            .map_err(|error| Trouble::Failed(error.to_string()))?;
        if event.event == "error" {
            return Err(Trouble::Failed(event.data));
        }
        if sequence_of(&event.id) != Some(expected) {
            outcome.out_of_order += 1;
        }
        expected += 1;
        outcome.ttft.get_or_insert_with(|| started.elapsed());
        if event.data == "[DONE]" {
            return Ok(text);
        }
        text.push_str(&delta_of(&event.data)?);
    }
}

fn sequence_of(event_id: &str) -> Option<u64> {
    event_id.rsplit('.').nth(1)?.parse().ok()
}

fn delta_of(data: &str) -> Result<String, Trouble> {
    let chunk: Value = serde_json::from_str(data)
        .map_err(|error| Trouble::Failed(format!("a chunk is not JSON: {error}")))?;
    let content = chunk["choices"][0]["delta"]["content"].as_str();
    Ok(content.unwrap_or_default().to_owned())
}

fn header_number(response: &reqwest::Response, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}
