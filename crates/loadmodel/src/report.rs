//! Report of the outcomes of a run.

/// Outcome of a request
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// First token within the objective; time in milliseconds
    InTime(f64),
    /// First token after the objective; time in milliseconds
    Late(f64),
    /// First token after the client has disconnected
    Abandoned,
    /// Refused without a further retry
    Refused,
}

/// Outcomes of one kind of request
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KindReport {
    /// Number of requests
    pub asked: usize,
    /// Requests served within the objective
    pub in_time: usize,
    /// Requests served after the objective
    pub late: usize,
    /// Requests refused without a further retry
    pub refused: usize,
    /// Requests whose first token came after the client had disconnected
    pub abandoned: usize,
    /// Requests served within the objective at the first attempt
    pub first_in_time: usize,
    /// Times to the first token, in milliseconds
    pub times_ms: Vec<f64>,
}

impl KindReport {
    /// Fraction of requests served within the objective
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Quantile of the time to the first token, in milliseconds; 0 if no request was served
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut times = self.times_ms.clone();
        times.sort_by(f64::total_cmp);
        let index = (times.len() as f64 * quantile) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// Outcomes of a run
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunReport {
    /// Outcomes by kind of request
    pub kinds: Vec<KindReport>,
    /// Shared prompt tokens that engines read because they were not cached
    pub read_again: u64,
    /// Sends that engines shed
    pub shed: usize,
    /// Ratios of observed to expected time until the first token, on one engine and on two
    pub ratios: [Vec<f64>; 2],
}

impl RunReport {
    /// Creates an empty report
    pub fn new(kinds: usize) -> RunReport {
        RunReport { kinds: vec![KindReport::default(); kinds], ..RunReport::default() }
    }

    /// Records how an estimate compares with what was observed
    pub fn record_estimate(&mut self, is_split: bool, ratio: f64) {
        self.ratios[usize::from(is_split)].push(ratio);
    }

    /// Records the outcome of a request
    pub fn record(&mut self, kind: usize, outcome: CallOutcome, has_waited: bool) {
        let kind = &mut self.kinds[kind];
        kind.asked += 1;
        match outcome {
            CallOutcome::InTime(took) => {
                kind.in_time += 1;
                kind.first_in_time += usize::from(!has_waited);
                kind.times_ms.push(took);
            }
            CallOutcome::Late(took) => {
                kind.late += 1;
                kind.times_ms.push(took);
            }
            CallOutcome::Abandoned => kind.abandoned += 1,
            CallOutcome::Refused => kind.refused += 1,
        }
    }
}
