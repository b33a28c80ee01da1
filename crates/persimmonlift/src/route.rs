//! Routing of a generation: which engines serve it, and in one part or two.
//!
//! A mixed engine reads the prompt and generates; otherwise a prefill engine reads
//! it and a decode engine imports its cache. Where both ways are open, the cheaper one
//! is taken.

use crate::generation::GenerationJob;
use crate::pool::{ChosenEndpoint, EndpointPool, EndpointUse};
use catalogue::id::{EndpointId, TokenCount, ZoneName};
use decide::choice::{ChoiceRequest, ServingPart};
use decide::endpoint::SentWork;
use decide::path::EnginePath;
use std::sync::Arc;
use std::time::Duration;

/// What an attempt needs a route for
#[derive(Debug)]
pub struct RouteRequest<'a> {
    /// Generation
    pub job: &'a GenerationJob,
    /// Pool of engines
    pub pool: &'a Arc<EndpointPool>,
    /// Availability zone of this instance
    pub zone: &'a ZoneName,
    /// First token wanted
    pub from_token: TokenCount,
    /// Endpoints not to be tried
    pub excluded: &'a [EndpointId],
    /// Whether the request is a suspect
    pub suspect: bool,
    /// Number of the attempt, from 1
    pub attempt: u32,
}

/// Way to serve a generation
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteWay {
    /// One mixed engine
    Whole,
    /// A prefill engine, then a decode engine
    Split,
}

/// Endpoint with the work counted on it
pub type RoutedEndpoint = (ChosenEndpoint, EndpointUse);

impl RouteRequest<'_> {
    /// Cheaper way, with the time that it is expected to take; `None` if none is open
    pub fn way(&self) -> Option<(RouteWay, Duration)> {
        let apart = self.pool.path(&self.apart_request(ServingPart::Whole));
        let path = apart.or_else(|| self.pool.path(&self.choice_request(ServingPart::Whole)))?;
        let way = match path {
            EnginePath::Whole(_) => RouteWay::Whole,
            EnginePath::Split { .. } => RouteWay::Split,
        };
        Some((way, path.expected()))
    }

    /// Chooses the endpoint of a part, counts the work there and logs the decision
    pub fn choose(&self, part: ServingPart) -> Option<RoutedEndpoint> {
        let apart = self.pool.choose(&self.apart_request(part), self.work(part));
        let routed =
            apart.or_else(|| self.pool.choose(&self.choice_request(part), self.work(part)));
        match &routed {
            Some((chosen, _)) => self.log(part, chosen),
            None => log::info!(
                "event=route request={} entry={} part={part:?} endpoint=none attempt={}",
                self.job.request,
                self.job.entry.name,
                self.attempt
            ),
        }
        routed
    }

    /// Request that keeps suspects of unlike sorts apart, over all instances
    ///
    /// A request that crashed its engine before its first token is more likely to be
    /// the cause than one that was under way. All instances know the engines by the same
    /// ids, so no word between them is needed for the two sorts not to meet.
    fn apart_request(&self, part: ServingPart) -> ChoiceRequest {
        let mut request = self.choice_request(part);
        if self.suspect {
            request.excluded.extend(self.pool.half(self.from_token > 0));
        }
        request
    }

    fn choice_request(&self, part: ServingPart) -> ChoiceRequest {
        let is_read = matches!(part, ServingPart::Whole | ServingPart::Prefill);
        ChoiceRequest {
            class: self.job.entry.class,
            part,
            zone: self.zone.clone(),
            prompt_tokens: self.job.prompt_tokens,
            output_tokens: self.job.max_tokens.saturating_sub(self.from_token),
            pieces: if is_read { self.job.pieces.clone() } else { Vec::new() },
            excluded: self.excluded.to_vec(),
            suspect: self.suspect,
            prompt_share: self.pool.prompt_share(),
        }
    }

    fn work(&self, part: ServingPart) -> SentWork {
        let output_tokens = self.job.max_tokens.saturating_sub(self.from_token);
        let prompt_tokens = self.job.prompt_tokens;
        let class = self.job.entry.class;
        match part {
            ServingPart::Prefill => SentWork { class, prompt_tokens, output_tokens: 0 },
            ServingPart::Decode => SentWork { class, prompt_tokens: 0, output_tokens },
            ServingPart::Whole | ServingPart::Service => {
                SentWork { class, prompt_tokens, output_tokens }
            }
        }
    }

    fn log(&self, part: ServingPart, chosen: &ChosenEndpoint) {
        log_route(&RouteLine {
            request: &self.job.request,
            entry: &self.job.entry.name,
            part,
            attempt: self.attempt,
            chosen,
        });
    }
}

/// What the log says of a routing decision
#[derive(Debug)]
pub struct RouteLine<'a> {
    /// Request
    pub request: &'a str,
    /// Entry
    pub entry: &'a str,
    /// Part
    pub part: ServingPart,
    /// Number of the attempt, from 1
    pub attempt: u32,
    /// Decision
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
        line.part,
        chosen.id,
        chosen.pool_size,
        chosen.choice.rule.name(),
        chosen.choice.score,
        chosen.choice.matched_tokens,
        line.attempt,
    );
}
