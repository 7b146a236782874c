//! A fake of a model engine: a bounded cache, a prefill queue by priority, decode slots, and answers that can be
//! resumed and cancelled.
//!
//! It models what a router sees of an engine and nothing more. Times come from its settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crocuswharf::{EngineOrder, LoadReport, PrefixScope, PromptPrefix, ReplicaRole};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::serve::Served;

mod answer;
mod cache;
mod http;
mod queue;
mod stream;

use self::answer::Prompt;
pub use self::answer::{expected_answer, expected_token};
use self::cache::{PieceCache, PromptPiece};
use self::queue::PriorityGate;
use self::stream::AnswerLog;

/// The answers that are kept for resumptions before finished ones are forgotten.
const MAX_KEPT_ANSWERS: usize = 4_096;

/// The settings of one fake engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Where it listens; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The rate of prefill in tokens per second.
    #[serde(default = "default_prefill_tokens_per_second")]
    pub prefill_tokens_per_second: f64,
    /// The time from one token to the next in milliseconds.
    #[serde(default = "default_token_interval_ms")]
    pub token_interval_ms: u64,
    /// How many answers are generated at once.
    #[serde(default = "default_decode_slots")]
    pub decode_slots: usize,
    /// How many tokens the cache holds.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u64,
    /// How old the load report is that is given out, in milliseconds.
    #[serde(default = "default_load_lag_ms")]
    pub load_lag_ms: u64,
    /// The time to load weights in milliseconds.
    #[serde(default = "default_weights_load_ms")]
    pub weights_load_ms: u64,
    /// Whether an order with an old fencing number is refused.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl EngineSettings {
    /// Checks every value.
    pub fn check(&self) -> anyhow::Result<()> {
        anyhow::ensure!(
            self.prefill_tokens_per_second > 0.0,
            "prefill_tokens_per_second: {} must be above zero",
            self.prefill_tokens_per_second
        );
        anyhow::ensure!(self.decode_slots > 0, "decode_slots: 0 must be above zero");
        anyhow::ensure!(self.cache_tokens > 0, "cache_tokens: 0 must be above zero");
        Ok(())
    }
}

/// How an engine fails at present.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Open streams send nothing more, while new connections work.
    pub silent_streams_before: Option<Instant>,
    /// No stream sends anything before this time.
    pub silent_until: Option<Instant>,
    /// New requests and resumptions are refused with 503.
    pub is_busy: bool,
    /// Resumptions get no response.
    pub is_mute_to_resumptions: bool,
    /// Answers that are not streamed go silent after their head.
    pub is_mute_after_head: bool,
    /// How many answers that are not streamed break off after their head. Engines with the same faults share the count.
    pub answers_to_cut: Arc<AtomicU32>,
}

#[derive(Debug)]
pub(crate) struct State {
    incarnation: u64,
    weights_version: u64,
    adapter: Option<Arc<str>>,
    role: ReplicaRole,
    leaving: bool,
    highest_fencing_number: u64,
    applied_orders: Vec<EngineOrder>,
    weights_loads: u32,
    cache: PieceCache,
    queued_prefill_tokens: u64,
    waiting_requests: u32,
    running_requests: u32,
    reported: (Instant, LoadReport),
    answers: HashMap<String, Arc<AnswerLog>>,
    faults: EngineFaults,
}

/// A handle to a fake engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    prefill: Arc<PriorityGate>,
    decode: Arc<Semaphore>,
    life: watch::Sender<u64>,
}

impl Engine {
    /// Makes an engine with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        let incarnation = 1;
        let state = State {
            incarnation,
            weights_version: 1,
            adapter: None,
            role: ReplicaRole::Both,
            leaving: false,
            highest_fencing_number: 0,
            applied_orders: Vec::new(),
            weights_loads: 0,
            cache: PieceCache::new(settings.cache_tokens),
            queued_prefill_tokens: 0,
            waiting_requests: 0,
            running_requests: 0,
            reported: (Instant::now(), idle_report(incarnation)),
            answers: HashMap::new(),
            faults: EngineFaults::default(),
        };
        Self {
            prefill: Arc::new(PriorityGate::new()),
            decode: Arc::new(Semaphore::new(settings.decode_slots)),
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            life: watch::Sender::new(incarnation),
        }
    }

    /// Serves until the returned server is dropped.
    pub async fn serve(&self, address: SocketAddr) -> anyhow::Result<Served> {
        crate::serve::serve(address, http::routes(self)).await
    }

    /// Ends one life and begins the next: answers, queue and cache are gone.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.answers.clear();
        state.cache = PieceCache::new(self.settings.cache_tokens);
        state.queued_prefill_tokens = 0;
        state.waiting_requests = 0;
        state.running_requests = 0;
        let incarnation = state.incarnation;
        drop(state);
        self.life.send_replace(incarnation);
    }

    /// Makes every stream that is open now fall silent; new connections work.
    pub fn silence_open_streams(&self) {
        self.lock().faults.silent_streams_before = Some(Instant::now());
    }

    /// Changes how the engine fails.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Says that the engine is about to leave.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Keeps an answer for resumptions; finished ones are forgotten when there are too many.
    fn keep_answer(&self, request_id: &str, log: &Arc<AnswerLog>) {
        let mut state = self.lock();
        if state.answers.len() >= MAX_KEPT_ANSWERS {
            state.answers.retain(|_, log| !log.is_finished());
        }
        state.answers.insert(request_id.to_owned(), Arc::clone(log));
    }

    /// Begins to answer `prompt`, unless an answer under this id exists; returns its log.
    pub(crate) fn begin(
        &self,
        request_id: &str,
        prompt: Prompt,
        pieces: Vec<PromptPiece>,
        priority: u8,
    ) -> Arc<AnswerLog> {
        let prompt_tokens = pieces.iter().map(|piece| piece.tokens).sum();
        let log = Arc::new(AnswerLog::new(prompt_tokens));
        self.keep_answer(request_id, &log);
        let engine = self.clone();
        let task_log = Arc::clone(&log);
        tokio::spawn(async move {
            let mut life = engine.life.subscribe();
            let generation = engine.generate(prompt, pieces, priority, &task_log);
            tokio::select! {
                () = generation => {}
                () = task_log.cancelled() => {}
                _ = life.changed() => {}
            }
        });
        log
    }

    async fn generate(
        &self,
        prompt: Prompt,
        pieces: Vec<PromptPiece>,
        priority: u8,
        log: &AnswerLog,
    ) {
        let warm_tokens = self.prefill(&pieces, priority, log).await;
        let Ok(_slot) = self.decode.acquire().await else {
            return;
        };
        let _running = Counted::new(self, |state| &mut state.running_requests);
        let interval = Duration::from_millis(self.settings.token_interval_ms);
        for index in 0..prompt.max_tokens {
            if index > 0 {
                tokio::time::sleep(interval).await;
            }
            let token = prompt.token(index);
            log.push(answer::token_chunk(&token), Some(&token));
        }
        let usage = answer::usage_chunk(log.prompt_tokens(), warm_tokens, prompt.max_tokens);
        log.push(usage, None);
        log.finish();
    }

    async fn prefill(&self, pieces: &[PromptPiece], priority: u8, log: &AnswerLog) -> u32 {
        let _waiting = Counted::new(self, |state| &mut state.waiting_requests);
        let queued_tokens = u64::from(log.prompt_tokens() - self.lock().cache.warm_tokens(pieces));
        let _queued = Counted::amount(
            self,
            |state| &mut state.queued_prefill_tokens,
            queued_tokens,
        );
        let _turn = self.prefill.enter(priority).await;
        let warm_tokens = self.lock().cache.warm_tokens(pieces);
        log.set_warm_tokens(warm_tokens);
        let cold_tokens = f64::from(log.prompt_tokens() - warm_tokens);
        let seconds = cold_tokens / self.settings.prefill_tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        self.lock().cache.insert(pieces);
        warm_tokens
    }

    /// Returns the load as it was a while ago.
    pub fn load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let mut state = self.lock();
        if state.reported.0.elapsed() >= lag {
            let report = state.present_load();
            state.reported = (Instant::now(), report);
        }
        let (at, report) = &state.reported;
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        LoadReport {
            age_ms,
            incarnation: state.incarnation,
            leaving: state.leaving,
            ..report.clone()
        }
    }

    /// Takes an order; returns false where its fencing number is old and the engine checks it.
    pub async fn take_order(&self, order: EngineOrder) -> bool {
        {
            let mut state = self.lock();
            if self.settings.checks_fencing && order.fencing_number < state.highest_fencing_number {
                return false;
            }
            state.highest_fencing_number = state.highest_fencing_number.max(order.fencing_number);
        }
        let reloads = self.lock().weights_version != order.weights_version;
        if reloads {
            tokio::time::sleep(Duration::from_millis(self.settings.weights_load_ms)).await;
        }
        let mut state = self.lock();
        if reloads || state.adapter != order.adapter {
            state.cache.clear();
        }
        state.weights_version = order.weights_version;
        state.adapter.clone_from(&order.adapter);
        state.role = order.role;
        state.weights_loads += u32::from(reloads);
        state.applied_orders.push(order);
        true
    }

    /// Returns how often other weights were loaded; an order that keeps the weights loads nothing.
    pub fn weights_loads(&self) -> u32 {
        self.lock().weights_loads
    }

    /// Returns the orders that took effect, in order.
    pub fn applied_orders(&self) -> Vec<EngineOrder> {
        self.lock().applied_orders.clone()
    }

    /// Returns the pieces of a prompt, as the router labelled them or else by the engine's own count.
    pub(crate) fn pieces(&self, header: Option<&str>, prompt: &Prompt) -> Vec<PromptPiece> {
        match header.and_then(http::parse_opening) {
            Some(pieces) => pieces,
            None => own_pieces(prompt, self.lock().weights_version),
        }
    }
}

impl State {
    fn present_load(&self) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            weights_version: self.weights_version,
            adapter: self.adapter.clone(),
            role: self.role,
            queued_prefill_tokens: self.queued_prefill_tokens,
            waiting_requests: self.waiting_requests,
            running_requests: self.running_requests,
            age_ms: 0,
            leaving: self.leaving,
        }
    }
}

/// Adds an amount to a counter of the engine's state for as long as it lives.
struct Counted<'a, T: Copy + std::ops::Sub<Output = T> + PartialOrd> {
    engine: &'a Engine,
    incarnation: u64,
    field: fn(&mut State) -> &mut T,
    amount: T,
}

impl<'a> Counted<'a, u32> {
    fn new(engine: &'a Engine, field: fn(&mut State) -> &mut u32) -> Self {
        let mut state = engine.lock();
        *field(&mut state) += 1;
        Self {
            engine,
            incarnation: state.incarnation,
            field,
            amount: 1,
        }
    }
}

impl<'a> Counted<'a, u64> {
    fn amount(engine: &'a Engine, field: fn(&mut State) -> &mut u64, amount: u64) -> Self {
        let mut state = engine.lock();
        *field(&mut state) += amount;
        Self {
            engine,
            incarnation: state.incarnation,
            field,
            amount,
        }
    }
}

impl<T: Copy + std::ops::Sub<Output = T> + PartialOrd> Drop for Counted<'_, T> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if state.incarnation == self.incarnation {
            let counter = (self.field)(&mut state);
            *counter = *counter - self.amount;
        }
    }
}

fn own_pieces(prompt: &Prompt, weights_version: u64) -> Vec<PromptPiece> {
    let root = PrefixScope {
        account: "",
        model: &prompt.model,
        adapter: None,
        weights_version,
    };
    let texts = prompt.texts.iter().map(|(role, text)| (&**role, &**text));
    let opening = PromptPrefix::from_messages(root, texts);
    let ends = opening
        .blocks
        .iter()
        .map(|piece| (piece.hash, piece.end_tokens));
    cut_pieces(ends)
}

/// Turns cumulative token counts into the tokens of each piece.
pub(crate) fn cut_pieces(ends: impl Iterator<Item = (u128, u32)>) -> Vec<PromptPiece> {
    let mut begin = 0;
    ends.map(|(hash, end)| {
        let tokens = end.saturating_sub(begin);
        begin = end;
        PromptPiece { hash, tokens }
    })
    .collect()
}

fn idle_report(incarnation: u64) -> LoadReport {
    LoadReport {
        incarnation,
        weights_version: 1,
        adapter: None,
        role: ReplicaRole::Both,
        queued_prefill_tokens: 0,
        waiting_requests: 0,
        running_requests: 0,
        age_ms: 0,
        leaving: false,
    }
}

const fn default_prefill_tokens_per_second() -> f64 {
    20_000.0
}

const fn default_token_interval_ms() -> u64 {
    20
}

const fn default_decode_slots() -> usize {
    32
}

const fn default_cache_tokens() -> u64 {
    160_000
}

const fn default_load_lag_ms() -> u64 {
    250
}

const fn default_weights_load_ms() -> u64 {
    300
}
