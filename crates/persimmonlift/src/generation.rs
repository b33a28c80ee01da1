//! Generation of one answer over one or more attempts.
//!
//! If the stream of an answer breaks, the answer resumes at the next token on a new
//! connection to the same or another engine with the same version of its software. The
//! caller receives one complete answer.

use crate::admission::AdmissionPermit;
use crate::attempt::{AttemptFailure, AttemptStarter, ServingAttempt, StartFault};
use crate::context::InstanceContext;
use crate::failure::{FailureKind, is_engine_down};
use crate::generation_job::GenerationJob;
use crate::meters::MeterPermit;
use crate::pool::EndpointPool;
use crate::refusal::{CallerRefusal, RanState, RefusalCause};
use crate::route::RouteRequest;
use catalogue::id::{EndpointId, TokenCount};
use decide::admission::{RefuseReason, bounded_retry_after};
use decide::retry::backoff;
use decide::suspect::SuspectDecision;
use platform::engine::{EngineError, StreamLine};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of attempts per answer.
const MAX_ATTEMPTS: u32 = 16;
/// Maximum number of times that an answer resumes after its first token.
const MAX_RESUMES: u32 = 6;
/// How long a request waits for an endpoint that accepts it, and for the retry budget.
const ENDPOINT_WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After` of a request that found no endpoint.
const ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A request is refused as too late if the expected time exceeds this multiple of the
/// time left.
const TOO_LATE_FACTOR: f64 = 1.5;

/// Permits held until a generation ends
#[derive(Debug)]
pub struct GenerationPermits {
    /// Permit under the entry's limits
    pub meter: MeterPermit,
    /// Admission to the pool
    pub admission: AdmissionPermit,
}

/// Answer that is being generated
#[derive(Debug)]
pub struct AnswerStream {
    context: Arc<InstanceContext>,
    pool: Arc<EndpointPool>,
    job: GenerationJob,
    attempt: Option<ServingAttempt>,
    attempts: u32,
    resumes: u32,
    next_token: TokenCount,
    excluded: Vec<EndpointId>,
    /// Version of the software of the engine that generated the first token
    version: Option<SmolStr>,
    lines: Vec<StreamLine>,
    first_texts: Vec<String>,
    cached_tokens: TokenCount,
    ran: RanState,
    is_ended: bool,
    /// Whether the current attempt has returned any lines
    has_output: bool,
    /// Whether the next retry has already been taken from the budget
    is_retry_reserved: bool,
    first_token_at: Option<Instant>,
    _permits: GenerationPermits,
}

impl AnswerStream {
    /// Starts a generation and waits for its first token
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub async fn begin(
        context: Arc<InstanceContext>,
        pool: Arc<EndpointPool>,
        job: GenerationJob,
        permits: GenerationPermits,
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
            next_token: 0,
            excluded,
            version: None,
            lines: Vec::new(),
            first_texts: Vec::new(),
            cached_tokens: 0,
            ran: RanState::No,
            is_ended: false,
            has_output: false,
            is_retry_reserved: false,
            first_token_at: None,
            _permits: permits,
        };
        let mut texts = Vec::new();
        answer.read(&mut texts).await?;
        answer.first_texts = texts;
        Ok(answer)
    }

    pub fn job(&self) -> &GenerationJob {
        &self.job
    }

    pub fn context(&self) -> &Arc<InstanceContext> {
        &self.context
    }

    /// Number of tokens generated so far
    pub fn tokens(&self) -> TokenCount {
        self.next_token
    }

    /// Prompt tokens that hit an engine's cache
    pub fn cached_tokens(&self) -> TokenCount {
        self.cached_tokens
    }

    /// Whether the answer is complete and all of its texts have been taken
    pub fn is_ended(&self) -> bool {
        self.is_ended && self.first_texts.is_empty()
    }

    /// Appends the texts of the next tokens
    ///
    /// # Errors
    /// The refusal to send to the caller; the answer is then incomplete.
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
        let read_timeout = self.read_timeout();
        let Some(attempt) = &mut self.attempt else {
            return Ok(());
        };
        self.lines.clear();
        let Err(error) = attempt.next_lines(read_timeout, &mut self.lines).await else {
            self.apply_lines(texts);
            return Ok(());
        };
        let failure = attempt.failure(error);
        // A late first token may still arrive, and another attempt costs a retry.
        let is_late = matches!(failure.error, EngineError::TimedOut(_)) && self.next_token == 0;
        if is_late && self.should_keep_waiting() { Ok(()) } else { Err(failure) }
    }

    fn read_timeout(&self) -> Duration {
        let bound = if self.has_output {
            self.context.settings.timeouts.between_tokens()
        } else {
            self.job.entry.limits.first_token()
        };
        bound.min(self.job.time_left())
    }

    /// Reserves a retry; returns whether to keep waiting because the budget has none
    fn should_keep_waiting(&mut self) -> bool {
        self.is_retry_reserved = self.pool.spend_retry();
        !self.is_retry_reserved && !self.job.time_left().is_zero()
    }

    fn apply_lines(&mut self, texts: &mut Vec<String>) {
        let has_token = self.lines.iter().any(|it| matches!(it, StreamLine::Token { .. }));
        if has_token
            && self.version.is_none()
            && let Some(attempt) = &self.attempt
        {
            self.version = self.pool.version_of(attempt.endpoint());
        }
        if has_token && self.attempts > 1 {
            self.context.suspects.progress(self.job.fingerprint);
        }
        for line in self.lines.drain(..) {
            match line {
                StreamLine::Token { n, text } => {
                    self.next_token = n + 1;
                    texts.push(text);
                }
                StreamLine::End { cached_tokens, .. } => {
                    self.cached_tokens = cached_tokens;
                    self.is_ended = true;
                }
                StreamLine::Stopped { .. } => {}
            }
        }
        self.has_output = true;
        if self.first_token_at.is_none() && self.next_token > 0 {
            self.first_token_at = Some(Instant::now());
        }
        if self.is_ended {
            self.attempt = None;
            self.context.suspects.clear(self.job.fingerprint);
            self.log_end();
        }
    }

    async fn connect(&mut self) -> Result<(), CallerRefusal> {
        let wait_started = Instant::now();
        let mut waits = 0;
        loop {
            let is_suspect = self.check_attempt()?;
            match self.start_attempt(is_suspect).await? {
                Ok(attempt) => {
                    self.attempt = Some(attempt);
                    self.has_output = false;
                    self.ran = RanState::Unknown;
                    return Ok(());
                }
                Err(StartFault::NoEndpoint) => {
                    waits += 1;
                    self.wait_for_endpoint(wait_started, waits).await?;
                }
                Err(StartFault::Failed(failure)) => self.recover(failure).await?,
            }
        }
    }

    /// Checks that another attempt is allowed; returns whether it runs isolated as a suspect
    fn check_attempt(&self) -> Result<bool, CallerRefusal> {
        if self.job.time_left().is_zero() {
            return Err(self.refusal(RefusalCause::DeadlinePassed));
        }
        if self.attempts >= MAX_ATTEMPTS {
            let refusal = self.refusal(RefusalCause::EndpointsFailed);
            return Err(refusal.retry_after(ENDPOINT_RETRY_AFTER));
        }
        match self.context.suspects.decision(self.job.fingerprint) {
            SuspectDecision::Clear => Ok(false),
            SuspectDecision::Isolate => Ok(true),
            SuspectDecision::Refuse => Err(self.refusal(RefusalCause::CrashesEndpoints)),
        }
    }

    async fn start_attempt(
        &mut self,
        is_suspect: bool,
    ) -> Result<Result<ServingAttempt, StartFault>, CallerRefusal> {
        self.attempts += 1;
        let mut excluded = self.excluded.clone();
        if let Some(version) = &self.version {
            excluded.extend(self.pool.endpoints_of_other_versions(version));
        }
        let route = RouteRequest {
            job: &self.job,
            pool: &self.pool,
            zone: &self.context.settings.instance.zone,
            from_token: self.next_token,
            excluded: &excluded,
            is_suspect,
            attempt: self.attempts,
        };
        let Some((path, expected)) = route.path() else {
            return Ok(Err(StartFault::NoEndpoint));
        };
        let left = self.job.time_left();
        if self.attempts == 1 && expected > left.mul_f64(TOO_LATE_FACTOR) {
            let retry_after = bounded_retry_after(expected.saturating_sub(left));
            return Err(RefuseReason::TooLate { retry_after }.into());
        }
        let starter = AttemptStarter {
            context: &self.context,
            job: &self.job,
            pool: &self.pool,
            route,
            first_token: self.job.entry.limits.first_token().min(left),
        };
        Ok(starter.start(path).await)
    }

    /// Pauses before the next search for an endpoint, until `ENDPOINT_WAIT_TIMEOUT`
    async fn wait_for_endpoint(&mut self, from: Instant, waits: u32) -> Result<(), CallerRefusal> {
        // A search that finds no endpoint doesn't count as an attempt.
        self.attempts -= 1;
        self.excluded = self.pool.excluded_for(&self.job.entry);
        if from.elapsed() >= ENDPOINT_WAIT_TIMEOUT {
            let refusal = self.refusal(RefusalCause::NoEndpoint);
            return Err(refusal.retry_after(ENDPOINT_RETRY_AFTER));
        }
        self.pause(waits).await;
        Ok(())
    }

    /// Handles a failed attempt and prepares the next one
    async fn recover(&mut self, failure: AttemptFailure) -> Result<(), CallerRefusal> {
        let AttemptFailure { endpoint, address, error } = failure;
        let kind = FailureKind::of(&error);
        log::info!(
            "event=attempt_failed request={} endpoint={endpoint} kind={kind:?} reason=\"{error}\" \
             next_token={} attempt={}",
            self.job.request,
            self.next_token,
            self.attempts
        );
        self.context.metrics.count(kind.metric());
        match kind {
            FailureKind::Unavailable => self.pool.pause(&endpoint),
            FailureKind::Unreached => self.pool.note_unreachable(&endpoint),
            FailureKind::Lost => {
                if is_engine_down(&self.context.fresh_engines, address).await {
                    self.pool.note_unreachable(&endpoint);
                    self.strike(&endpoint);
                }
            }
            FailureKind::TooLate => return Err(self.refusal(RefusalCause::DeadlinePassed)),
            FailureKind::Unserved => return Err(self.refusal(RefusalCause::EndpointsFailed)),
            FailureKind::Full | FailureKind::NoCache | FailureKind::Untrusted => {}
        }
        if kind.may_have_run() {
            self.ran = RanState::Unknown;
            self.allow_retry().await?;
        }
        if kind != FailureKind::NoCache {
            self.excluded.push(endpoint);
        }
        self.pause(self.attempts).await;
        Ok(())
    }

    fn strike(&self, endpoint: &EndpointId) {
        let decision = self.context.suspects.strike(self.job.fingerprint, endpoint);
        log::warn!(
            "event=strike request={} fingerprint={:016x} endpoint={endpoint} verdict={decision:?}",
            self.job.request,
            self.job.fingerprint
        );
    }

    /// Takes a retry from the budget, waiting up to `ENDPOINT_WAIT_TIMEOUT` if it is empty
    ///
    /// An answer with at least one token resumes even without budget, up to `MAX_RESUMES`.
    async fn allow_retry(&mut self) -> Result<(), CallerRefusal> {
        if self.next_token > 0 {
            self.pool.spend_retry();
            self.resumes += 1;
            if self.resumes <= MAX_RESUMES {
                return Ok(());
            }
            return Err(self.refusal(RefusalCause::EndpointsFailed));
        }
        let wait_started = Instant::now();
        let mut waits = 0;
        while wait_started.elapsed() < ENDPOINT_WAIT_TIMEOUT && !self.job.time_left().is_zero() {
            if std::mem::take(&mut self.is_retry_reserved) || self.pool.spend_retry() {
                return Ok(());
            }
            waits += 1;
            self.pause(waits + 2).await;
        }
        let refusal = self.refusal(RefusalCause::EndpointsFailed);
        Err(refusal.retry_after(ENDPOINT_RETRY_AFTER))
    }

    async fn pause(&self, attempt: u32) {
        let time = backoff(attempt, &mut rand::rng()).min(self.job.time_left());
        tokio::time::sleep(time).await;
    }

    fn refusal(&self, cause: RefusalCause) -> CallerRefusal {
        CallerRefusal { cause, ran: self.ran, retry_after: None }
    }

    fn log_end(&self) {
        let class = self.job.entry.class;
        let total = self.job.arrived.elapsed();
        let first = self.first_token_at.map_or(total, |it| it - self.job.arrived);
        let metrics = &self.context.metrics;
        metrics.time_class("first_token", class, first);
        metrics.time_class("answer", class, total);
        metrics.count_many("tokens", u64::from(self.next_token));
        log::info!(
            "event=answered request={} entry={} class={} tokens={} attempts={} first_token_ms={} \
             total_ms={}",
            self.job.request,
            self.job.entry.name,
            class.name(),
            self.next_token,
            self.attempts,
            first.as_millis(),
            total.as_millis()
        );
    }
}
