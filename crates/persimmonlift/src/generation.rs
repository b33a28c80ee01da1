//! Generation of one answer over as many attempts as it takes.
//!
//! An answer that breaks off resumes at the next token on a new connection, on the
//! same engine or another, so that the caller sees one whole answer.

use crate::attempt::{AttemptFailure, AttemptStarter, ServingAttempt, StartFault};
use crate::context::NodeContext;
use crate::gate::GatePass;
use crate::meters::MeterPass;
use crate::pool::EndpointPool;
use crate::recovery::{FailureKind, crash_is_seen};
use crate::refusal::{CallerRefusal, RanState, RefusalCause};
use crate::route::RouteRequest;
use catalogue::CatalogueEntry;
use catalogue::id::{EndpointId, ModelName, RequestId, TokenCount};
use catalogue::prefix::PieceHash;
use decide::admission::{RefuseReason, bounded};
use decide::fingerprint::Fingerprint;
use decide::retry::backoff;
use decide::suspect::SuspectVerdict;
use platform::engine::{EngineError, StreamLine};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most attempts at one answer.
const MAX_ATTEMPTS: u32 = 16;
/// Most times that an answer resumes after its first token.
const MAX_RESUMES: u32 = 6;
/// Most pauses for the retry budget before a request is given up.
const BUDGET_PAUSES: u32 = 5;
/// Time to wait for an endpoint that takes the request.
const ENDPOINT_WAIT: Duration = Duration::from_secs(5);
/// Time after which a request that found no endpoint may come again.
const ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Factor by which the expected time must exceed the time left for a refusal.
const HOPELESS_FACTOR: f64 = 1.5;

/// Generation that a caller asked for
#[derive(Debug)]
pub struct GenerationJob {
    /// Request id
    pub request: RequestId,
    /// Entry
    pub entry: Arc<CatalogueEntry>,
    /// Model of the entry
    pub model: ModelName,
    /// Whole prompt
    pub prompt: String,
    /// Length of the prompt
    pub prompt_tokens: TokenCount,
    /// Tokens to generate
    pub max_tokens: TokenCount,
    /// Pieces of the prompt
    pub pieces: Vec<PieceHash>,
    /// Fingerprint of the request
    pub fingerprint: Fingerprint,
    /// When it came
    pub arrived: Instant,
    /// When the whole answer is due
    pub deadline: Instant,
}

impl GenerationJob {
    /// Time left
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time left, in milliseconds
    pub fn left_ms(&self) -> u64 {
        self.left().as_millis() as u64
    }
}

/// Places that a generation holds until it ends
#[derive(Debug)]
pub struct GenerationPasses {
    /// Place in the entry's limits
    pub meter: MeterPass,
    /// Place in the pool
    pub gate: GatePass,
}

/// Answer as it is generated
#[derive(Debug)]
pub struct AnswerStream {
    context: Arc<NodeContext>,
    pool: Arc<EndpointPool>,
    job: GenerationJob,
    attempt: Option<ServingAttempt>,
    attempts: u32,
    resumes: u32,
    next: TokenCount,
    excluded: Vec<EndpointId>,
    lines: Vec<StreamLine>,
    first_texts: Vec<String>,
    cached_tokens: TokenCount,
    ran: RanState,
    is_ended: bool,
    /// Whether the current attempt has given a token
    is_flowing: bool,
    /// Whether the next retry is already taken from the budget
    is_paid: bool,
    first_token_at: Option<Instant>,
    _passes: GenerationPasses,
}

impl AnswerStream {
    /// Starts a generation and waits for its first token
    ///
    /// # Errors
    /// The refusal to answer.
    pub async fn begin(
        context: Arc<NodeContext>,
        pool: Arc<EndpointPool>,
        job: GenerationJob,
        passes: GenerationPasses,
    ) -> Result<AnswerStream, CallerRefusal> {
        pool.earn_retry();
        pool.note_arrival(job.prompt_tokens, job.max_tokens);
        let excluded = pool.excluded_for(&job.entry);
        let mut answer = AnswerStream {
            context,
            pool,
            job,
            attempt: None,
            attempts: 0,
            resumes: 0,
            next: 0,
            excluded,
            lines: Vec::new(),
            first_texts: Vec::new(),
            cached_tokens: 0,
            ran: RanState::No,
            is_ended: false,
            is_flowing: false,
            is_paid: false,
            first_token_at: None,
            _passes: passes,
        };
        let mut texts = Vec::new();
        answer.read(&mut texts).await?;
        answer.first_texts = texts;
        Ok(answer)
    }

    /// Generation
    pub fn job(&self) -> &GenerationJob {
        &self.job
    }

    /// Tokens generated so far
    pub fn tokens(&self) -> TokenCount {
        self.next
    }

    /// Tokens of the prompt found in an engine's cache
    pub fn cached_tokens(&self) -> TokenCount {
        self.cached_tokens
    }

    /// Whether the answer is whole
    pub fn is_ended(&self) -> bool {
        self.is_ended && self.first_texts.is_empty()
    }

    /// Appends the texts of the tokens that come next
    ///
    /// # Errors
    /// The refusal to tell the caller; the answer then ends unfinished.
    pub async fn next_texts(&mut self, texts: &mut Vec<String>) -> Result<(), CallerRefusal> {
        if !self.first_texts.is_empty() {
            texts.append(&mut self.first_texts);
            return Ok(());
        }
        if self.is_ended {
            return Ok(());
        }
        self.read(texts).await
    }

    async fn read(&mut self, texts: &mut Vec<String>) -> Result<(), CallerRefusal> {
        let before = texts.len();
        loop {
            if self.attempt.is_none() {
                self.connect().await?;
            }
            if let Err(failure) = self.read_attempt(texts).await {
                self.attempt = None;
                self.recover(failure).await?;
            }
            if self.is_ended || texts.len() > before {
                return Ok(());
            }
        }
    }

    async fn read_attempt(&mut self, texts: &mut Vec<String>) -> Result<(), AttemptFailure> {
        let silence = self.silence();
        let Some(attempt) = &mut self.attempt else {
            return Ok(());
        };
        self.lines.clear();
        let Err(error) = attempt.next_lines(silence, &mut self.lines).await else {
            self.take_lines(texts);
            return Ok(());
        };
        let failure = attempt.failure(error);
        // A first token that is late may still come; moving costs a retry.
        let is_late = matches!(failure.error, EngineError::Silent(_)) && self.next == 0;
        if is_late && self.may_wait() { Ok(()) } else { Err(failure) }
    }

    fn silence(&self) -> Duration {
        let bound = if self.is_flowing {
            self.context.settings.timeouts.between_tokens()
        } else {
            self.job.entry.limits.first_token()
        };
        bound.min(self.job.left())
    }

    /// Whether to go on waiting because the budget has no retry
    fn may_wait(&mut self) -> bool {
        self.is_paid = self.pool.spend_retry();
        !self.is_paid && !self.job.left().is_zero()
    }

    fn take_lines(&mut self, texts: &mut Vec<String>) {
        let has_token = self.lines.iter().any(|it| matches!(it, StreamLine::Token { .. }));
        if has_token && self.attempts > 1 {
            self.context.suspects.progress(self.job.fingerprint);
        }
        for line in self.lines.drain(..) {
            match line {
                StreamLine::Token { n, text } => {
                    self.next = n + 1;
                    texts.push(text);
                }
                StreamLine::End { cached_tokens, .. } => {
                    self.cached_tokens = cached_tokens;
                    self.is_ended = true;
                }
                StreamLine::Stopped { .. } => {}
            }
        }
        self.is_flowing = true;
        if self.first_token_at.is_none() && self.next > 0 {
            self.first_token_at = Some(Instant::now());
        }
        if self.is_ended {
            self.attempt = None;
            self.context.suspects.clear(self.job.fingerprint);
            self.log_end();
        }
    }

    async fn connect(&mut self) -> Result<(), CallerRefusal> {
        let waits_from = Instant::now();
        let mut waits = 0;
        loop {
            let suspect = self.check()?;
            match self.start_attempt(suspect).await? {
                Ok(attempt) => {
                    self.attempt = Some(attempt);
                    self.is_flowing = false;
                    self.ran = RanState::Unknown;
                    return Ok(());
                }
                Err(StartFault::NoEndpoint) => {
                    waits += 1;
                    self.await_endpoint(waits_from, waits).await?;
                }
                Err(StartFault::Failed(failure)) => self.recover(failure).await?,
            }
        }
    }

    /// Whether the request runs as a suspect
    fn check(&self) -> Result<bool, CallerRefusal> {
        if self.job.left().is_zero() {
            return Err(self.give_up(RefusalCause::DeadlinePassed));
        }
        if self.attempts >= MAX_ATTEMPTS {
            let refusal = self.give_up(RefusalCause::EndpointsFailed);
            return Err(refusal.retry_after(ENDPOINT_RETRY_AFTER));
        }
        match self.context.suspects.verdict(self.job.fingerprint) {
            SuspectVerdict::Clear => Ok(false),
            SuspectVerdict::Isolate => Ok(true),
            SuspectVerdict::Refuse => Err(self.give_up(RefusalCause::CrashesEndpoints)),
        }
    }

    async fn start_attempt(
        &mut self,
        suspect: bool,
    ) -> Result<Result<ServingAttempt, StartFault>, CallerRefusal> {
        self.attempts += 1;
        let route = RouteRequest {
            job: &self.job,
            pool: &self.pool,
            zone: &self.context.settings.instance.zone,
            from_token: self.next,
            excluded: &self.excluded,
            suspect,
            attempt: self.attempts,
        };
        let Some((way, expected)) = route.way() else {
            return Ok(Err(StartFault::NoEndpoint));
        };
        let left = self.job.left();
        if self.attempts == 1 && expected > left.mul_f64(HOPELESS_FACTOR) {
            let retry_after = bounded(expected.saturating_sub(left));
            return Err(RefuseReason::TooLate { retry_after }.into());
        }
        let starter = AttemptStarter {
            context: &self.context,
            job: &self.job,
            pool: &self.pool,
            route,
            first_token: self.job.entry.limits.first_token().min(left),
        };
        Ok(starter.start(way).await)
    }

    /// Waits a little for an endpoint that takes the request
    async fn await_endpoint(&mut self, from: Instant, waits: u32) -> Result<(), CallerRefusal> {
        // Waiting is no attempt.
        self.attempts -= 1;
        self.excluded = self.pool.excluded_for(&self.job.entry);
        if from.elapsed() >= ENDPOINT_WAIT {
            let refusal = self.give_up(RefusalCause::NoEndpoint);
            return Err(refusal.retry_after(ENDPOINT_RETRY_AFTER));
        }
        self.pause(waits).await;
        Ok(())
    }

    /// Judges a failed attempt and prepares the next one
    async fn recover(&mut self, failure: AttemptFailure) -> Result<(), CallerRefusal> {
        let AttemptFailure { endpoint, address, error } = failure;
        let kind = FailureKind::of(&error);
        log::info!(
            "event=attempt_failed request={} endpoint={endpoint} kind={kind:?} reason=\"{error}\" \
             next_token={} attempt={}",
            self.job.request,
            self.next,
            self.attempts
        );
        self.context.metrics.count(kind.metric());
        match kind {
            FailureKind::Unavailable => self.pool.pause(&endpoint),
            FailureKind::Unreached => self.pool.note_unreachable(&endpoint),
            FailureKind::Lost => {
                if crash_is_seen(&self.context.fresh_engines, address).await {
                    self.pool.note_unreachable(&endpoint);
                    self.strike(&endpoint);
                }
            }
            FailureKind::TooLate => return Err(self.give_up(RefusalCause::DeadlinePassed)),
            FailureKind::Unserved => return Err(self.give_up(RefusalCause::EndpointsFailed)),
            FailureKind::Full | FailureKind::NoCache | FailureKind::Untrusted => {}
        }
        if kind.has_run() {
            self.ran = RanState::Unknown;
            self.allow_rerun().await?;
        }
        if kind != FailureKind::NoCache {
            self.excluded.push(endpoint);
        }
        self.pause(self.attempts).await;
        Ok(())
    }

    fn strike(&self, endpoint: &EndpointId) {
        let verdict = self.context.suspects.strike(self.job.fingerprint, endpoint);
        log::warn!(
            "event=strike request={} fingerprint={:016x} endpoint={endpoint} verdict={verdict:?}",
            self.job.request,
            self.job.fingerprint
        );
    }

    /// Takes a retry from the budget; an answer that has begun resumes in any case
    async fn allow_rerun(&mut self) -> Result<(), CallerRefusal> {
        if self.next > 0 {
            self.pool.spend_retry();
            self.resumes += 1;
            if self.resumes <= MAX_RESUMES {
                return Ok(());
            }
            return Err(self.give_up(RefusalCause::EndpointsFailed));
        }
        for pause in 1..=BUDGET_PAUSES {
            if std::mem::take(&mut self.is_paid) || self.pool.spend_retry() {
                return Ok(());
            }
            self.pause(pause + 2).await;
        }
        let refusal = self.give_up(RefusalCause::EndpointsFailed);
        Err(refusal.retry_after(ENDPOINT_RETRY_AFTER))
    }

    async fn pause(&self, attempt: u32) {
        let time = backoff(attempt, &mut rand::rng()).min(self.job.left());
        tokio::time::sleep(time).await;
    }

    fn give_up(&self, cause: RefusalCause) -> CallerRefusal {
        CallerRefusal { cause, ran: self.ran, retry_after: None }
    }

    fn log_end(&self) {
        let class = self.job.entry.class;
        let total = self.job.arrived.elapsed();
        let first = self.first_token_at.map_or(total, |it| it - self.job.arrived);
        let metrics = &self.context.metrics;
        metrics.time_class("first_token", class, first);
        metrics.time_class("answer", class, total);
        metrics.count_many("tokens", u64::from(self.next));
        log::info!(
            "event=answered request={} entry={} class={} tokens={} attempts={} first_token_ms={} \
             total_ms={}",
            self.job.request,
            self.job.entry.name,
            class.name(),
            self.next,
            self.attempts,
            first.as_millis(),
            total.as_millis()
        );
    }
}
