//! Dispatches a request: makes attempts until a replica responds or no further attempt is allowed.
//!
//! The decisions are made in [`super::placement`] and [`super::attempt`]; this module does the I/O.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Request;
use http::header::{HeaderName, HeaderValue};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::attempt::{AttemptEnd, NextStep, RetryState};
use super::begin_limit::{BeginLimit, SPREAD};
use super::cache_isolation::CacheDomain;
use super::call::{Call, RETRY_AFTER_BUSY, RETRY_AFTER_LEAVING};
use super::clock::boot_time;
use super::exchange::{
    Exchange, FailedAttempt, OUTDATED, PendingExchange, ReplicaResponse, StreamFault, failed_send,
};
use super::load::{LoadSample, ReplicaKey, allowed_wait, begin_wait, expected_ms, free_tokens};
use super::placement::{Candidate, NoReplica, WeightsStatus, choose};
use super::prefill::{PrefillDecision, PrefillMessage, PrefixKey};
use super::quota::permit::QuotaPermit;
use super::response::LocalReply;
use super::route::CallKind;
use super::send_permit::WithheldReplicas;
use super::shared::{Refusal, Replica, Shared, Snapshot};
use super::stream_origin::ReleaseKey;
use super::take_up::RELEASE_GONE;
use super::upstream::{RequestBody, SendFailure};
use crate::id::ReplicaId;
use crate::request::quarantine::MIN_RUN;

/// The maximum idle time of a connection used for a request that must not be repeated; if the replica closes the
/// connection meanwhile, the request is lost.
const MAX_IDLE_NON_RETRYABLE: Duration = Duration::from_millis(1_500);
/// The maximum idle time of a connection used for other requests.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// The fraction of the latency objective after which an idempotent request is sent to another replica.
const IDEMPOTENT_ATTEMPT_FRACTION: f64 = 0.7;
/// The fraction of the latency objective after which a stream is sent to another replica if its replica responds to no
/// request.
const STREAM_ATTEMPT_FRACTION: f64 = 1.0;
/// The silence of a stream after which its connection may be dead, although its replica responds to other requests.
const MAX_BUSY_SILENCE: Duration = Duration::from_millis(1_800);
/// The minimum length of prefixes that are prefilled by one request at a time, saved and fetched; prefilling a shorter
/// one again costs less than its transfer queued behind others on a link.
const MIN_SHARED_PREFIX_TOKENS: u32 = 1_000;
/// The fraction of the latency objective for which a request may wait for the prefill of its prefix.
const PREFILL_WAIT_FRACTION: f64 = 0.8;

/// A request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Arc<Call>,
    pub(crate) retry_state: RetryState,
    tried: SmallVec<[ReplicaId; 4]>,
    /// The replica whose response is forwarded.
    responder: Option<ReplicaId>,
    /// Whether the latest attempt was sent, and has neither ended nor is its response forwarded.
    is_unsettled: bool,
    /// When the latest attempt was sent.
    sent_at: Duration,
    /// The number of attempts that replicas broke off while they ran the request, or that are silent without a stream.
    lost_attempts: u32,
    sends: u32,
    /// The key of the prefix that this request was allowed to prefill and whose outcome it must report.
    prefill_key: Option<PrefixKey>,
    /// Whether the retry budget rejected a resend.
    is_budget_exhausted: bool,
    /// The tokens of the account's quota; `None` if it has none.
    quota: Option<QuotaPermit>,
    /// The permit for the latest send, if its replica names a limit.
    pub(crate) send_permit: Option<QuotaPermit>,
    /// The release whose events the caller has got, which alone may go on with the stream.
    pub(crate) release: Option<ReleaseKey>,
}

/// What is known about the prefix of a request before an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefixState {
    /// The replica that holds the prefix.
    holder: Option<ReplicaKey>,
}

impl Dispatch {
    /// Creates the dispatch of `call` before its first attempt.
    pub(crate) fn new(shared: Arc<Shared>, call: Call) -> Self {
        let attempts = call.route.max_attempts.max(1);
        let retry_state = RetryState::new(call.route.kind, attempts, call.remaining());
        let quota = call.quota.filter(|charge| charge.cost > 0);
        Self {
            quota: quota.map(|charge| QuotaPermit::new(Arc::clone(&shared), charge)),
            release: call.release,
            shared,
            call: Arc::new(call),
            retry_state,
            tried: SmallVec::new(),
            responder: None,
            is_unsettled: false,
            sent_at: Duration::ZERO,
            lost_attempts: 0,
            sends: 0,
            prefill_key: None,
            is_budget_exhausted: false,
            send_permit: None,
        }
    }

    /// Waits while another request prefills the long prefix of this one, for as long as the objective allows.
    async fn wait_for_prefill(&mut self, snapshot: &Snapshot) -> PrefixState {
        let unknown = PrefixState::default();
        let placement = self.call.placement;
        let Some(prefix) = placement
            .prefix
            .filter(|_| placement.shared_tokens >= MIN_SHARED_PREFIX_TOKENS)
        else {
            return unknown;
        };
        let limit = self.call.route.objective.mul_f64(PREFILL_WAIT_FRACTION);
        let time_left = (self.call.arrived_at + limit).saturating_sub(boot_time());
        if time_left.is_zero() {
            return unknown;
        }
        self.end_prefill(None);
        let Ok(replica) = self.place(snapshot, unknown, &WithheldReplicas::new()) else {
            return unknown;
        };
        let key = self.prefix_key(snapshot, &replica, prefix);
        match self.shared.request_prefill(key, time_left).await {
            Some(PrefillDecision::Compute) => {
                self.prefill_key = Some(key);
                unknown
            }
            Some(PrefillDecision::HeldBy(holder)) => PrefixState {
                holder: Some(holder),
            },
            Some(PrefillDecision::Wait) | None => unknown,
        }
    }

    /// Returns the key of this request's prefix for the weights of `replica`.
    fn prefix_key(&self, snapshot: &Snapshot, replica: &Replica, prefix: u64) -> PrefixKey {
        let prompt = self.call.prompt.as_ref();
        let version = prompt.and_then(|prompt| replica.known.version_of(&prompt.model));
        let domain = self.cache_domain(snapshot);
        let scope = domain.scope(version.unwrap_or_default());
        xxh3_64_with_seed(scope.as_bytes(), prefix)
    }

    /// Returns the cache isolation domain of this request under the configuration of `snapshot`, which may be newer than
    /// the one that accepted the request.
    fn cache_domain<'a>(&'a self, snapshot: &'a Snapshot) -> CacheDomain<'a> {
        let table = snapshot.table.as_ref();
        let table = table.expect("a configuration accepted the request, and none is withdrawn");
        table.cache_isolation().domain(self.call.account.as_ref())
    }

    /// Waits for the prefill of the prefix, once more if the cache isolation domain changed meanwhile; also returns the
    /// snapshot in force afterwards.
    async fn prefix_and_snapshot(&mut self) -> (PrefixState, Arc<Snapshot>) {
        let mut snapshot = self.shared.snapshot.load_full();
        loop {
            let prefix = self.wait_for_prefill(&snapshot).await;
            let current = self.shared.snapshot.load_full();
            if self.cache_domain(&current) == self.cache_domain(&snapshot) {
                return (prefix, current);
            }
            snapshot = current;
        }
    }

    /// Reports that a replica holds the prefix, or, with `None`, that this request will not prefill it.
    fn end_prefill(&mut self, holder: Option<ReplicaKey>) {
        if let Some(key) = self.prefill_key.take() {
            self.shared.end_prefill(PrefillMessage { key, holder });
        }
    }

    /// Makes attempts until a replica responds; a resumed stream continues after `last_event`.
    ///
    /// # Errors
    ///
    /// Returns the response of the gateway if no further attempt is allowed and none in progress succeeds.
    pub(crate) async fn next_response(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<ReplicaResponse, LocalReply> {
        let call = Arc::clone(&self.call);
        let mut held = HeldExchanges::default();
        let last = loop {
            let result = tokio::select! {
                biased;
                Some(response) = held.next_response(&call), if !held.is_empty() => {
                    self.held_went_on();
                    return Ok(self.accept(response));
                }
                result = self.attempt(last_event) => result,
            };
            self.is_unsettled = false;
            match result {
                Ok(AttemptResult::Response(response)) => return Ok(self.accept(response)),
                Ok(AttemptResult::Silent(exchange)) => held.exchanges.push(exchange),
                Err(AttemptError::Failed(failed)) => {
                    if let Some(last) = self.resolve_failure(*failed) {
                        break last;
                    }
                }
                Err(AttemptError::NoReplica(reason)) => break Err(self.no_replica_reply(reason)),
                Err(AttemptError::Refused(refusal)) => break Err(self.refusal_reply(refusal)),
                Err(AttemptError::OverQuota(time)) => break Err(self.over_quota_reply(time)),
                Err(AttemptError::Unauthorized(reply)) => break Err(self.unauthorized_reply(reply)),
            }
        };
        if let Some(response) = held.next_response(&call).await {
            self.held_went_on();
            return Ok(self.accept(response));
        }
        let last = match (last, held.error_response.take()) {
            (Err(_), Some(response)) => Ok(response),
            (last, _) => last,
        };
        last.map(|response| self.accept(response))
    }

    /// Records that a held attempt goes on, for which the latest one is abandoned.
    pub(crate) fn held_went_on(&mut self) {
        let is_other_sent = std::mem::take(&mut self.is_unsettled);
        self.retry_state.held_went_on(is_other_sent);
    }

    /// Sets the replica whose response is forwarded.
    pub(crate) fn set_responder(&mut self, replica: &Replica) {
        self.responder = Some(Arc::clone(&replica.known.record.id));
    }

    fn accept(&mut self, response: ReplicaResponse) -> ReplicaResponse {
        self.set_responder(&response.replica);
        if let Some(take_up) = &self.call.take_up {
            log::info!(
                "request: Stream taken up. id={} first_attempt={} after={} replica={} software_version={} status={}",
                self.call.id_text(),
                take_up.first_attempt.as_deref().unwrap_or("-"),
                take_up.last_event,
                response.replica.known.record.id,
                response.replica.known.record.software_version,
                response.head.status.as_u16()
            );
        }
        if response.head.status.is_success() {
            self.end_prefill(Some(response.replica.key));
        }
        response
    }

    /// Returns the response that follows from a failed attempt; `None` if another attempt follows.
    fn resolve_failure(
        &mut self,
        failed: FailedAttempt,
    ) -> Option<Result<ReplicaResponse, LocalReply>> {
        log::info!(
            "request: Try ended. id={} replica={} end={:?} reason=\"{}\" remaining_ms={}",
            self.call.id_text(),
            self.tried.last().map_or("-", |replica| &**replica),
            failed.end,
            failed.reason,
            self.call.remaining().as_millis()
        );
        if failed.end == AttemptEnd::Broken && boot_time() >= self.sent_at + MIN_RUN {
            self.lost_attempts += 1;
        }
        if let Some(permit) = self.send_permit.as_mut()
            && failed.end == AttemptEnd::Unsent
        {
            permit.not_run();
        }
        let is_not_run = matches!(failed.end, AttemptEnd::Unsent | AttemptEnd::Refused);
        if let Some(quota) = self.quota.as_mut().filter(|_| is_not_run) {
            quota.not_run();
        }
        let step = self
            .retry_state
            .attempt_ended(failed.end, self.call.remaining());
        let step = self.charge_resend(step, failed.end);
        self.resolve(step, failed)
    }

    /// Returns the replica that responded, or else that of the latest attempt, and the number of sends.
    pub(crate) fn last_attempt(&self) -> (&str, u32) {
        let replica = self.responder.as_ref().or(self.tried.last());
        (replica.map_or("-", |replica| &**replica), self.sends)
    }

    /// Records that the relayed response ended early, and returns whether the stream may be resumed at another replica.
    pub(crate) fn may_resume(&mut self, end: AttemptEnd) -> bool {
        if end == AttemptEnd::Broken {
            self.lost_attempts += 1;
        }
        let step = self.retry_state.attempt_ended(end, self.call.remaining());
        let step = self.charge_resend(step, end);
        step == NextStep::Resend
    }

    /// Holds the latest attempt, whose replica is silent since `silent_since`, and charges another one to the retry budget;
    /// returns false if no other attempt may be made.
    ///
    /// Silence alone is no failure: a busy replica may have preempted a stream. Another attempt is made only if the
    /// replica responds to no other stream within `window` either, or if the silence lasts so long that the connection
    /// may be dead, and if another replica can take the request.
    pub(crate) fn try_hold(
        &mut self,
        replica: &Replica,
        silent_since: Duration,
        window: Duration,
    ) -> bool {
        let now = boot_time();
        let silence = now.saturating_sub(silent_since);
        let is_stream = self.call.route.kind.is_stream();
        let is_responsive = replica.load.has_responded_since(now.saturating_sub(window));
        if is_stream && is_responsive && silence < MAX_BUSY_SILENCE {
            return false;
        }
        // A stream that is silent for long is more likely to be at a busy replica than at one that it has crashed.
        let lost_attempts = self.lost_attempts + u32::from(!is_stream);
        let mut next_state = self.retry_state;
        let snapshot = self.shared.snapshot.load_full();
        let may_send = next_state.hold(self.call.remaining())
            && self.allows_resend(lost_attempts)
            && self
                .place(&snapshot, PrefixState::default(), &WithheldReplicas::new())
                .is_ok();
        if !may_send || !self.withdraw_retry() {
            return false;
        }
        self.retry_state = next_state;
        self.lost_attempts = lost_attempts;
        self.shared.record_outcome(replica, 1, now);
        log::info!(
            "request: Replica silent. id={} replica={} silent_ms={} is_responsive={is_responsive}",
            self.call.id_text(),
            replica.known.record.id,
            silence.as_millis()
        );
        true
    }

    /// Sets whether a replica has responded whose response is not forwarded yet.
    pub(crate) const fn set_unsettled(&mut self, is_unsettled: bool) {
        self.is_unsettled = is_unsettled;
    }

    /// Records that the stream that resumed another one ended early while that one was held.
    pub(crate) fn record_broken_resumption(&mut self, fault: StreamFault) {
        self.is_unsettled = false;
        let end = match fault {
            StreamFault::Broken => AttemptEnd::Broken,
            StreamFault::Outdated => AttemptEnd::Outdated,
        };
        self.lost_attempts += u32::from(end == AttemptEnd::Broken);
        // The step is not taken: the held stream goes on.
        let _ = self.retry_state.attempt_ended(end, self.call.remaining());
    }

    /// Charges a resend to the retry budget; returns the fallback step if the budget is exhausted.
    fn charge_resend(&mut self, step: NextStep, end: AttemptEnd) -> NextStep {
        if step != NextStep::Resend {
            return step;
        }
        // A repeat of a request that crashes replicas would end another one.
        if end == AttemptEnd::Broken && !self.allows_resend(self.lost_attempts) {
            return self.retry_state.give_up();
        }
        if self.withdraw_retry() {
            return step;
        }
        self.is_budget_exhausted = true;
        match end {
            AttemptEnd::Failed => NextStep::Deliver,
            AttemptEnd::TimedOut => NextStep::TimeOut,
            _ => self.retry_state.give_up(),
        }
    }

    /// Returns whether the request may be sent to another replica after it has lost `lost_attempts`.
    ///
    /// One crash is what any request may meet. A request that meets a second one, or that is suspected, is left to its
    /// caller to repeat, since its next replica may crash too.
    fn allows_resend(&self, lost_attempts: u32) -> bool {
        lost_attempts <= 1 && self.shared.allows_resend(&self.call)
    }

    /// Withdraws a retry from the budget of the service; returns whether one was available.
    fn withdraw_retry(&self) -> bool {
        let routers = self.shared.snapshot.load().budget_routers;
        self.shared.withdraw_retry(&self.call.service, routers)
    }

    /// Returns the response that follows from a step; `None` if another attempt follows.
    fn resolve(
        &self,
        step: NextStep,
        failed: FailedAttempt,
    ) -> Option<Result<ReplicaResponse, LocalReply>> {
        let reply = match step {
            NextStep::Resend | NextStep::Reconnect => return None,
            NextStep::Deliver => match failed.error_response {
                Some(response) => return Some(Ok(response)),
                None => LocalReply::bad_gateway("the replica's answer was lost"),
            },
            NextStep::Refuse if self.is_budget_exhausted => LocalReply::not_run(
                "no replica took the request, and the retry budget is used up",
                RETRY_AFTER_BUSY,
            ),
            NextStep::Refuse => {
                LocalReply::not_run("no replica took the request", RETRY_AFTER_BUSY)
            }
            NextStep::Fail if failed.end == AttemptEnd::Outdated => {
                LocalReply::bad_gateway(OUTDATED)
            }
            NextStep::Fail => LocalReply::bad_gateway("the replica's answer was lost"),
            NextStep::TimeOut => LocalReply::gateway_timeout("no answer in time"),
        };
        Some(Err(reply))
    }

    /// Returns the response to a request that has none when the process ends.
    pub(crate) fn closing_reply(&self) -> LocalReply {
        if self.retry_state.runs > 0 || self.is_unsettled {
            return LocalReply::bad_gateway("the router shut down before the replica responded");
        }
        LocalReply::not_run("the router is shutting down", RETRY_AFTER_LEAVING)
    }

    fn refusal_reply(&self, refusal: Refusal) -> LocalReply {
        if self.retry_state.runs > 0 {
            return LocalReply::bad_gateway(refusal.reason());
        }
        LocalReply::not_run(refusal.reason(), refusal.time)
    }

    fn over_quota_reply(&self, retry_after: Duration) -> LocalReply {
        let account = self.call.account.as_ref();
        log::info!(
            "quota: Request refused. id={} account={} cost={} retry_after_ms={}",
            self.call.id_text(),
            account.map_or("-", |account| &account.name),
            self.call.quota.map_or(0, |charge| charge.cost),
            retry_after.as_millis()
        );
        LocalReply::over_quota(retry_after)
    }

    fn unauthorized_reply(&self, reply: LocalReply) -> LocalReply {
        if self.retry_state.runs > 0 {
            return LocalReply::bad_gateway(reply.reason);
        }
        reply
    }

    fn no_replica_reply(&self, reason: NoReplica) -> LocalReply {
        if self.retry_state.runs > 0 {
            return LocalReply::bad_gateway("the replica's answer was lost");
        }
        let (reason, retry_after) = match reason {
            NoReplica::NoneAccepting if self.release.is_some() => (RELEASE_GONE, RETRY_AFTER_BUSY),
            NoReplica::NoneAccepting => ("no replica takes requests", RETRY_AFTER_BUSY),
            NoReplica::NoneHealthy => ("all replicas have failed", RETRY_AFTER_BUSY),
            NoReplica::ExpiredWeights => ("no replica serves the named weights", RETRY_AFTER_BUSY),
            NoReplica::Overloaded(backoff) => ("all replicas are overloaded", backoff),
            NoReplica::Full => ("no replica has room for the request", RETRY_AFTER_BUSY),
        };
        LocalReply::not_run(reason, retry_after)
    }

    async fn attempt(&mut self, last_event: Option<&str>) -> Result<AttemptResult, AttemptError> {
        self.check_refusal()?;
        if let Some(quota) = &mut self.quota {
            quota.begin_attempt();
        }
        self.acquire_quota().await?;
        let (prefix, snapshot) = self.prefix_and_snapshot().await;
        self.check_refusal()?;
        let replica = self.place_within_limits(&snapshot, prefix).await?;
        let record = &replica.known.record;
        let is_retryable = self.call.route.kind.is_retryable();
        let max_idle = if is_retryable {
            MAX_IDLE
        } else {
            MAX_IDLE_NON_RETRYABLE
        };
        let expected_ms = self.expected_first_event_ms(&replica, prefix, last_event);
        let guard = replica.load.begin(&self.call.placement);
        let acquiring = replica.pool.acquire(max_idle, is_retryable);
        let connection = tokio::time::timeout(self.call.remaining(), acquiring).await;
        let connection = match connection {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => return Err(self.connect_failed(&replica, failure).into()),
            Err(_) => {
                return Err(
                    FailedAttempt::new(AttemptEnd::Unsent, "no time left to connect").into(),
                );
            }
        };
        if connection.is_relayed() {
            log::debug!(
                "request: Sent over another router. id={} replica={}",
                self.call.id_text(),
                record.id
            );
        }
        // The grant may have expired since.
        self.acquire_quota().await?;
        let now = boot_time();
        // The configuration may have changed while the connection was opened.
        let snapshot = self.shared.snapshot.load_full();
        if last_event.is_none() {
            self.check_key(&snapshot, now)?;
        }
        let limit = BeginLimit::of(&self.shared, &self.call, &replica);
        if limit.is_some_and(|limit| !limit.allows_send(now)) {
            connection.release(None);
            return Err(FailedAttempt::new(AttemptEnd::Unsent, OUTDATED).into());
        }
        self.spend_quota(now)?;
        if !self.spend_permit(&replica, now) {
            connection.release(None);
            let reason = "the limit of the replica is used up";
            return Err(FailedAttempt::new(AttemptEnd::Unsent, reason).into());
        }
        self.log_outdated_send(&snapshot, &replica, now);
        let request = self.request_to(&snapshot, &replica, last_event, now);
        if self.sends == 0 {
            self.shared
                .record_first_send(&self.call.service, snapshot.budget_routers);
        }
        self.sends += 1;
        // Later attempts use other replicas, whatever the outcome of this one.
        self.tried.push(Arc::clone(&record.id));
        let has_head = Arc::new(AtomicBool::new(false));
        let exchange = Exchange {
            shared: Arc::clone(&self.shared),
            call: Arc::clone(&self.call),
            replica: Arc::clone(&replica),
            guard,
            has_head: Arc::clone(&has_head),
            expected_ms,
        };
        self.is_unsettled = true;
        self.sent_at = now;
        let mut exchange: PendingExchange = Box::pin(exchange.run(connection, request));
        let mut check = self.silence_limit();
        while let Some(wait) = check {
            match tokio::time::timeout(wait, &mut exchange).await {
                Ok(result) => return self.attempt_result(result),
                Err(_) if has_head.load(Ordering::Relaxed) => break,
                Err(_) if self.try_hold(&replica, now, wait) => {
                    return Ok(AttemptResult::Silent(exchange));
                }
                Err(_) => check = self.silence_limit(),
            }
        }
        let result = exchange.await;
        self.attempt_result(result)
    }

    fn attempt_result(
        &mut self,
        result: Result<ReplicaResponse, FailedAttempt>,
    ) -> Result<AttemptResult, AttemptError> {
        match result {
            Ok(response) => Ok(AttemptResult::Response(response)),
            Err(failed) => {
                if failed.end == AttemptEnd::Unsent {
                    self.sends -= 1;
                }
                Err(failed.into())
            }
        }
    }

    /// Uses the tokens that the request has acquired, or returns an error if they have expired, as after a pause of the
    /// process. A request that may have run is charged instead.
    fn spend_quota(&mut self, now: Duration) -> Result<(), AttemptError> {
        let may_have_run = self.retry_state.runs > 0;
        let Some(quota) = &mut self.quota else {
            return Ok(());
        };
        if quota.spend(now) {
            return Ok(());
        }
        if may_have_run {
            quota.charge();
            return Ok(());
        }
        Err(AttemptError::OverQuota(RETRY_AFTER_BUSY))
    }

    /// Acquires tokens of the account's quota for a request that has not run, or returns an error if there are none.
    async fn acquire_quota(&mut self) -> Result<(), AttemptError> {
        let Some(quota) = self.quota.as_mut().filter(|_| self.retry_state.runs == 0) else {
            return Ok(());
        };
        let acquired = quota.acquire(self.call.remaining(), boot_time()).await;
        acquired.map_err(AttemptError::OverQuota)
    }

    /// Returns an error if requests like this one are refused.
    fn check_refusal(&self) -> Result<(), AttemptError> {
        let refusal = self.shared.refusal(&self.call, boot_time());
        refusal.map_or(Ok(()), |refusal| Err(AttemptError::Refused(refusal)))
    }

    /// Returns an error if the key of the request was revoked, or can't be confirmed any more.
    fn check_key(&self, snapshot: &Snapshot, now: Duration) -> Result<(), AttemptError> {
        let (Some(key), Some(table)) = (&self.call.key, &snapshot.table) else {
            return Ok(());
        };
        let freshness = self.shared.freshness(now);
        let authorized = key.authorize(&self.call.route, table, &freshness);
        authorized.map_err(AttemptError::Unauthorized)?;
        Ok(())
    }

    pub(crate) fn place(
        &self,
        snapshot: &Snapshot,
        prefix: PrefixState,
        withheld: &WithheldReplicas,
    ) -> Result<Arc<Replica>, AttemptError> {
        let none = AttemptError::NoReplica(NoReplica::NoneAccepting);
        let Some(replicas) = snapshot.services.get(&self.call.service) else {
            return Err(none);
        };
        let now = boot_time();
        let candidates = self.candidates(snapshot, replicas, prefix, withheld, now);
        let chosen = choose(
            &self.call.placement,
            &candidates,
            &self.tried,
            &mut rand::rng(),
        );
        match chosen {
            Ok(index) => {
                log::trace!(
                    "request: Placed. id={} replica={} expected_wait_ms={} free_slots={} free_tokens={:?}",
                    self.call.id_text(),
                    candidates[index].id,
                    candidates[index].expected_wait().as_millis(),
                    candidates[index].free_slots(),
                    candidates[index].free_tokens
                );
                if !candidates[index].fits(&self.call.placement) {
                    metrics::counter!("crocuswharf_gateway_placements_beyond_memory_total")
                        .increment(1);
                }
                Ok(Arc::clone(&replicas[index]))
            }
            Err(reason) => Err(AttemptError::NoReplica(reason)),
        }
    }

    /// Returns a filter for the replicas at which the stream may go on or begin. One that can be taken up begins at a release
    /// that is recorded, if a replica of one accepts requests.
    fn release_filter(
        &self,
        replicas: &[Arc<Replica>],
        is_healthy: &dyn Fn(&Replica) -> bool,
    ) -> impl Fn(&Replica) -> bool + use<> {
        let releases = self.shared.releases();
        let is_recorded = move |replica: &Replica| {
            let recorded = releases.recorded.as_ref();
            recorded.is_none_or(|recorded| recorded.contains(&replica.release))
        };
        let release = self.release;
        let prefers_recorded = self.call.can_be_taken_up()
            && release.is_none()
            && replicas.iter().any(|replica| {
                is_recorded(replica) && replica.accepts_requests() && is_healthy(replica)
            });
        move |replica| match release {
            Some(release) => replica.release == release,
            None => !prefers_recorded || is_recorded(replica),
        }
    }

    /// Returns whether an attempt was made at `replica`.
    pub(crate) fn has_tried(&self, replica: &Replica) -> bool {
        self.tried.contains(&replica.known.record.id)
    }

    fn candidates<'a>(
        &self,
        snapshot: &Snapshot,
        replicas: &'a [Arc<Replica>],
        prefix: PrefixState,
        withheld: &WithheldReplicas,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let bounds = self.shared.weights_bounds();
        let model = self.call.prompt.as_ref().map(|prompt| &prompt.model);
        let named: SmallVec<[(u64, Duration); 4]> = model
            .and_then(|model| snapshot.named.get(model))
            .into_iter()
            .flatten()
            .map(|(version, at)| (*version, now.saturating_sub(*at)))
            .collect();
        let is_retryable = self.call.route.kind.is_retryable();
        let status = |replica: &Replica, load: &LoadSample, speed: f64| {
            let Some(model) = model else {
                return Some(WeightsStatus::Current);
            };
            let version = replica.known.version_of(model)?;
            let wait = allowed_wait(begin_wait(load, speed), is_retryable);
            Some(bounds.status(version, &named, wait + self.call.spread(SPREAD)))
        };
        let zone = &self.shared.settings.zone;
        let cache_tokens = self.cache_tokens(snapshot);
        let others = self.shared.others_load();
        let unreachable = self.shared.unreachable();
        let is_unreachable = |replica: &Replica| unreachable.contains(&replica.key);
        let speeds = self.shared.speeds();
        let uses_memory = self.shared.settings.placement.uses_replica_memory;
        self.shared.with_health(&self.call.service, |health| {
            let weight = |replica: &Replica| {
                health.map_or(1.0, |health| health.weight(&replica.known.record.id, now))
            };
            // This router may have ejected all replicas that the others can reach.
            let can_exclude = replicas.iter().any(|replica| {
                replica.known.is_accepting() && !is_unreachable(replica) && weight(replica) > 0.0
            });
            let is_healthy = |replica: &Replica| weight(replica) > 0.0 && !is_unreachable(replica);
            let is_eligible = self.release_filter(replicas, &is_healthy);
            replicas
                .iter()
                .map(|replica| {
                    let record = &replica.known.record;
                    let mut load = replica.load.sample(now);
                    load.add(others.get(&replica.key).copied().unwrap_or_default());
                    let speed = speeds.get(&replica.key).copied().unwrap_or_default();
                    let status = status(replica, &load, speed.home_weight);
                    let withheld_time = self.withheld_time(replica, withheld, now);
                    Candidate {
                        id: &record.id,
                        is_same_zone: record.zone == *zone,
                        in_flight: load.in_flight,
                        prefill_tokens: load.prefill_tokens,
                        is_refusing: load.is_refusing,
                        slots: record.slots,
                        free_tokens: free_tokens(cache_tokens, &load).filter(|_| uses_memory),
                        health: if can_exclude && is_unreachable(replica) {
                            0.0
                        } else {
                            weight(replica)
                        },
                        // The costs are relative to those of the other replicas. A service whose replicas are alike is
                        // placed by the costs at the reference rate.
                        speed: speed.home_weight,
                        home_weight: speed.home_weight,
                        weights: status.unwrap_or(WeightsStatus::Expired),
                        is_accepting: replica.accepts_requests() && is_eligible(replica),
                        backoff: replica.load.backoff(now).max(withheld_time),
                        is_withheld: !withheld_time.is_zero(),
                        is_warm: prefix.holder == Some(replica.key),
                    }
                })
                .collect()
        })
    }

    /// Returns the expected time to the first event at the reference speed, in milliseconds; `None` if the time depends on
    /// more than the known tokens, such as a prefix that may have to be computed or fetched.
    fn expected_first_event_ms(
        &self,
        replica: &Replica,
        prefix: PrefixState,
        last_event: Option<&str>,
    ) -> Option<f64> {
        let placement = self.call.placement;
        let has_prefix = placement.shared_tokens < MIN_SHARED_PREFIX_TOKENS
            || prefix.holder == Some(replica.key);
        if !has_prefix || last_event.is_some() || !self.call.route.kind.is_stream() {
            return None;
        }
        let others = self.shared.others_load();
        let others = others.get(&replica.key).copied().unwrap_or_default();
        let ahead = replica.load.prefill_tokens() + others.prefill_tokens;
        expected_ms(placement.own_tokens, ahead)
    }

    /// Returns the KV cache capacity of the service's replicas; 0 if it is unknown.
    fn cache_tokens(&self, snapshot: &Snapshot) -> u64 {
        let table = snapshot.table.as_ref();
        let service = table.and_then(|table| table.service(&self.call.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.cache_tokens)
    }

    /// Logs a request that is about to be sent to a replica with old weights.
    fn log_outdated_send(&self, snapshot: &Snapshot, replica: &Replica, now: Duration) {
        let Some(prompt) = &self.call.prompt else {
            return;
        };
        let version = replica.known.version_of(&prompt.model).unwrap_or_default();
        let Some(named_at) = snapshot.outdated_since(&prompt.model, version) else {
            return;
        };
        let age = now.saturating_sub(named_at);
        if age < self.shared.weights_bounds().stale_after {
            return;
        }
        let others = self.shared.others_load();
        let others = others.get(&replica.key).copied().unwrap_or_default();
        let mut load = replica.load.sample(now);
        load.add(others);
        let speed = self.shared.speeds().get(&replica.key).copied();
        let wait = begin_wait(&load, speed.unwrap_or_default().home_weight);
        log::info!(
            "request: Sent to older weights. id={} replica={} weights={version} newer_age_ms={} expected_wait_ms={} in_flight={}",
            self.call.id_text(),
            replica.known.record.id,
            age.as_millis(),
            wait.as_millis(),
            load.in_flight
        );
    }

    fn connect_failed(&mut self, replica: &Replica, failure: SendFailure) -> FailedAttempt {
        if matches!(failure, SendFailure::Full | SendFailure::NoPath) {
            // The limit and the links are this router's own and say nothing about the replica.
            self.tried.push(Arc::clone(&replica.known.record.id));
        } else {
            // A failed connection counts as much as three failed requests.
            self.shared.record_outcome(replica, 3, boot_time());
        }
        let mut failed = failed_send(failure);
        failed.end = AttemptEnd::Unsent;
        failed
    }

    /// Builds the request to a replica.
    fn request_to(
        &self,
        snapshot: &Snapshot,
        replica: &Replica,
        last_event: Option<&str>,
        now: Duration,
    ) -> Request<RequestBody> {
        let call = &self.call;
        let header_names = &self.shared.header_names;
        let mut headers = call.headers.clone();
        let mut set = |name: &HeaderName, text: &str| {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(name.clone(), value);
            }
        };
        let remaining_ms = call.deadline.saturating_sub(now).as_millis();
        set(&header_names.deadline_ms, &remaining_ms.to_string());
        set(&header_names.expected_replica, &replica.known.record.id);
        if let Some(id) = last_event {
            set(&header_names.last_event_id, id);
        }
        if let Some(prompt) = &call.prompt {
            let version = replica.known.version_of(&prompt.model).unwrap_or_default();
            let scope = self.cache_domain(snapshot).scope(version);
            set(&header_names.expected_weights, &version.to_string());
            set(&header_names.cache_scope, &scope);
            set(&header_names.priority, &call.replica_priority().to_string());
            let table = snapshot.table.as_ref();
            let cache = table.and_then(|table| table.kv_store(&replica.known.record.zone));
            if let Some(cache) =
                cache.filter(|_| call.placement.shared_tokens >= MIN_SHARED_PREFIX_TOKENS)
            {
                let address = cache.address.to_string();
                set(&header_names.fetch_from, &address);
                // Every save also stores the request's own part of the prompt, so saving more often would evict shared
                // prefixes.
                if self.prefill_key.is_some() {
                    set(&header_names.save_to, &address);
                }
            }
        }
        let mut request = Request::new(call.body.reader());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Returns how long a replica may be silent before another one is tried; `None` if no other may be tried.
    fn silence_limit(&self) -> Option<Duration> {
        let retry_state = &self.retry_state;
        let is_last = retry_state.runs + 1 >= retry_state.max_attempts;
        let share = match self.call.route.kind {
            CallKind::Idempotent => IDEMPOTENT_ATTEMPT_FRACTION,
            CallKind::Stream { is_resumable: true } => STREAM_ATTEMPT_FRACTION,
            _ => return None,
        };
        let limit = self.call.route.objective.mul_f64(share);
        (!is_last && limit < self.call.remaining()).then_some(limit)
    }
}

/// Exchanges whose replicas are silent, while another attempt is made.
#[derive(Default)]
struct HeldExchanges {
    exchanges: FuturesUnordered<PendingExchange>,
    /// The error response of one of the replicas, forwarded if there is no other response.
    error_response: Option<ReplicaResponse>,
}

impl HeldExchanges {
    fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    /// Returns the first response; `None` if all exchanges fail.
    async fn next_response(&mut self, call: &Call) -> Option<ReplicaResponse> {
        while let Some(result) = self.exchanges.next().await {
            match result {
                Ok(response) => return Some(response),
                Err(failed) => {
                    log::info!(
                        "request: Held attempt ended. id={} end={:?} reason=\"{}\"",
                        call.id_text(),
                        failed.end,
                        failed.reason
                    );
                    self.error_response = failed.error_response.or(self.error_response.take());
                }
            }
        }
        None
    }
}

/// How an attempt went on.
enum AttemptResult {
    Response(ReplicaResponse),
    /// The replica is silent, and another attempt may be made beside this one.
    Silent(PendingExchange),
}

/// Why an attempt yielded no response.
pub(crate) enum AttemptError {
    Failed(Box<FailedAttempt>),
    /// Requests like this one are refused.
    Refused(Refusal),
    /// The account's quota is used up; the request may be repeated after this time.
    OverQuota(Duration),
    /// The key of the request is no longer valid.
    Unauthorized(LocalReply),
    NoReplica(NoReplica),
}

impl From<FailedAttempt> for AttemptError {
    fn from(failed: FailedAttempt) -> Self {
        Self::Failed(Box::new(failed))
    }
}

impl Drop for Dispatch {
    /// Releases the prefix to the next request if this one ended without prefilling it.
    fn drop(&mut self) {
        self.end_prefill(None);
    }
}
