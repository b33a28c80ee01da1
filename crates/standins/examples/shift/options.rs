//! Command-line options.

use displaydoc::Display;
use pico_args::Arguments;
use standins::deployment::DeploymentKind;
use std::path::PathBuf;

pub const USAGE: &str = "\
shift: goodput of real instances with stand-in engines while the mix shifts

  --seed N              seed of arrivals and sizes (1)
  --deployment D        trust or dongelek (trust)
  --policy P            lift (starts all mixed), lift-split (starts as the best split at
                        the start of the day), threshold (the same start), mixed (no planner),
                        static (best split), or static:K with K prefill engines (lift)
  --load F              offered load as a fraction of the fleet's capacity (0.85)
  --out DIR             folder for JSON lines and SVG (out)
  --compare             run all policies in turn with the same seed and print ratios
  --quiet-faults        no engine crash, no withdrawal, no outage of the log
";

/// Policy that assigns the roles of the engines
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolePolicy {
    /// The planner, from all engines mixed
    Lift,
    /// The planner, from the split that is best at the start of the day
    LiftFromSplit,
    /// The threshold rule of the planner, from the same split
    Threshold,
    /// All engines mixed all day
    Mixed,
    /// Best of all static splits, determined by running each of them
    BestStatic,
    /// A fixed number of prefill engines all day; the others decode
    Static(usize),
}

impl RolePolicy {
    /// Name in figures and file names
    pub fn name(self) -> String {
        match self {
            RolePolicy::Lift => "lift".into(),
            RolePolicy::LiftFromSplit => "lift-split".into(),
            RolePolicy::Threshold => "threshold".into(),
            RolePolicy::Mixed => "mixed".into(),
            RolePolicy::BestStatic => "static".into(),
            RolePolicy::Static(count) => format!("static-{count}"),
        }
    }

    fn parse(name: &str) -> Result<RolePolicy, OptionError> {
        match name {
            "lift" => Ok(RolePolicy::Lift),
            "lift-split" => Ok(RolePolicy::LiftFromSplit),
            "threshold" => Ok(RolePolicy::Threshold),
            "mixed" => Ok(RolePolicy::Mixed),
            "static" => Ok(RolePolicy::BestStatic),
            _ => match name.strip_prefix("static:").and_then(|it| it.parse().ok()) {
                Some(count) => Ok(RolePolicy::Static(count)),
                None => Err(OptionError::Policy(name.to_owned())),
            },
        }
    }
}

/// Options of a run
#[derive(Debug, Clone, PartialEq)]
pub struct ShiftOptions {
    pub seed: u64,
    pub deployment: DeploymentKind,
    pub policy: RolePolicy,
    pub load: f64,
    pub out: PathBuf,
    pub compare: bool,
    pub faults: bool,
}

/// Error in the command line
#[derive(Debug, Display)]
pub enum OptionError {
    /// {0}
    Arguments(pico_args::Error),
    /// unknown policy {0}
    Policy(String),
    /// unknown deployment {0}
    Deployment(String),
}

impl std::error::Error for OptionError {}

impl From<pico_args::Error> for OptionError {
    fn from(error: pico_args::Error) -> OptionError {
        OptionError::Arguments(error)
    }
}

/// Parses the command line
///
/// # Errors
/// `OptionError` if an option is unknown or has an invalid value.
pub fn parse() -> Result<ShiftOptions, OptionError> {
    let mut arguments = Arguments::from_env();
    let deployment: String =
        arguments.opt_value_from_str("--deployment")?.unwrap_or_else(|| "trust".into());
    let policy: String = arguments.opt_value_from_str("--policy")?.unwrap_or_else(|| "lift".into());
    let options = ShiftOptions {
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        deployment: DeploymentKind::parse(&deployment)
            .ok_or(OptionError::Deployment(deployment))?,
        policy: RolePolicy::parse(&policy)?,
        load: arguments.opt_value_from_str("--load")?.unwrap_or(0.85),
        out: arguments.opt_value_from_str("--out")?.unwrap_or_else(|| "out".into()),
        compare: arguments.contains("--compare"),
        faults: !arguments.contains("--quiet-faults"),
    };
    Ok(options)
}
