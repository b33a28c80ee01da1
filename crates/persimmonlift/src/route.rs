//! Routing of a generation: which engines serve it, in one stage or two.
//!
//! Either one mixed engine reads the prompt and generates, or a prefill engine reads
//! the prompt and a decode engine imports its cache. If both paths are available, the
//! cheaper one is used.

use crate::generation_job::GenerationJob;
use crate::pool::{ChosenEndpoint, EndpointPool, EndpointUse};
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use decide::choice::{ChoiceRequest, ServingStage};
use decide::endpoint::SentWork;
use decide::path::EnginePath;
use std::sync::Arc;
use std::time::Duration;

/// Input of the routing of one attempt
#[derive(Debug)]
pub struct RouteRequest<'a> {
    pub job: &'a GenerationJob,
    pub pool: &'a Arc<EndpointPool>,
    /// Availability zone of this instance
    pub zone: &'a ZoneName,
    /// Index of the first token to generate; above 0 when an answer resumes
    pub from_token: TokenCount,
    /// Endpoints that must not be chosen
    pub excluded: &'a [EndpointId],
    /// Whether the request is suspected of crashing engines
    pub is_suspect: bool,
    /// Number of the attempt, from 1
    pub attempt: u32,
}

/// Path of a generation through the engines
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutePath {
    /// One mixed engine
    Whole,
    /// A prefill engine, then a decode engine
    Split,
}

/// Chosen endpoint and the guard of the work counted on it
pub type RoutedEndpoint = (ChosenEndpoint, EndpointUse);

impl RouteRequest<'_> {
    /// Cheapest path and its expected duration; `None` if no engine accepts the request
    pub fn path(&self) -> Option<(RoutePath, Duration)> {
        let separated = self.pool.path(&self.separated_request(ServingStage::Whole));
        let path =
            separated.or_else(|| self.pool.path(&self.choice_request(ServingStage::Whole)))?;
        let route_path = match path {
            EnginePath::Whole(_) => RoutePath::Whole,
            EnginePath::Split { .. } => RoutePath::Split,
        };
        Some((route_path, path.expected_time()))
    }

    /// Chooses the endpoint of a stage, counts the work on it and logs the decision
    pub fn choose(&self, stage: ServingStage) -> Option<RoutedEndpoint> {
        let separated = self.pool.choose(&self.separated_request(stage), self.work(stage));
        let routed =
            separated.or_else(|| self.pool.choose(&self.choice_request(stage), self.work(stage)));
        match &routed {
            Some((chosen, _)) => self.log(stage, chosen),
            None => log::info!(
                "event=route request={} entry={} part={stage:?} endpoint=none attempt={}",
                self.job.request,
                self.job.entry.name,
                self.attempt
            ),
        }
        routed
    }

    /// Choice request that sends the two kinds of suspects to different engines
    ///
    /// A request whose engine crashed before its first token is more likely to be the
    /// cause than one that had already received tokens. Each kind uses one half of the
    /// engines. All instances split the engines by id in the same way, so they need no
    /// coordination.
    fn separated_request(&self, stage: ServingStage) -> ChoiceRequest {
        let mut request = self.choice_request(stage);
        if self.is_suspect {
            request.excluded.extend(self.pool.alternate_endpoints(self.from_token > 0));
        }
        request
    }

    fn choice_request(&self, stage: ServingStage) -> ChoiceRequest {
        let reads_prompt = matches!(stage, ServingStage::Whole | ServingStage::Prefill);
        ChoiceRequest {
            class: self.job.entry.class,
            stage,
            zone: self.zone.clone(),
            prompt_tokens: self.job.prompt_tokens,
            output_tokens: self.job.max_tokens.saturating_sub(self.from_token),
            pieces: if reads_prompt { self.job.pieces.clone() } else { Vec::new() },
            excluded: self.excluded.to_vec(),
            is_suspect: self.is_suspect,
            prompt_share: self.pool.prompt_share(),
        }
    }

    fn work(&self, stage: ServingStage) -> SentWork {
        let output_tokens = self.job.max_tokens.saturating_sub(self.from_token);
        let prompt_tokens = self.job.prompt_tokens;
        let class = self.job.entry.class;
        match stage {
            ServingStage::Prefill => SentWork { class, prompt_tokens, output_tokens: 0 },
            ServingStage::Decode => SentWork { class, prompt_tokens: 0, output_tokens },
            ServingStage::Whole | ServingStage::Service => {
                SentWork { class, prompt_tokens, output_tokens }
            }
        }
    }

    fn log(&self, stage: ServingStage, chosen: &ChosenEndpoint) {
        log_route(&RouteLine {
            request: &self.job.request,
            entry: &self.job.entry.name,
            stage,
            attempt: self.attempt,
            chosen,
        });
    }
}

/// Fields of the log line of a routing decision
#[derive(Debug)]
pub struct RouteLine<'a> {
    /// Request id
    pub request: &'a str,
    /// Name of the entry
    pub entry: &'a str,
    pub stage: ServingStage,
    /// Number of the attempt, from 1
    pub attempt: u32,
    pub chosen: &'a ChosenEndpoint,
}

/// Logs a routing decision
pub fn log_route(line: &RouteLine<'_>) {
    let chosen = line.chosen;
    let runner_up = chosen.runner_up.as_deref().unwrap_or("none");
    let runner_up_score = chosen.choice.runner_up.map_or(0.0, |(_, score)| score);
    log::info!(
        "event=route request={} entry={} part={:?} endpoint={} from={} rule={} score={:.4} \
         matched={} runner_up={runner_up} runner_up_score={runner_up_score:.4} attempt={}",
        line.request,
        line.entry,
        line.stage,
        chosen.id,
        chosen.pool_size,
        chosen.choice.rule.name(),
        chosen.choice.score,
        chosen.choice.matched_tokens,
        line.attempt,
    );
}
