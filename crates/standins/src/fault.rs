//! Faults that can be switched on and off while a fleet runs.

use crate::fleet::Fleet;
use crate::log::LostAnswer;
use catalogue::InstanceState;
use catalogue::id::{EndpointId, InstanceId};
use smol_str::SmolStr;
use std::time::Duration;

/// Command that switches one fault on or off
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultCommand {
    /// Starts or ends an outage of the log
    LogDown { down: bool },
    /// Delays calls of the log
    LogSlow {
        /// Time before a call takes effect, in milliseconds
        delay_ms: u64,
        /// Time between an append's effect and its answer, in milliseconds
        answer_delay_ms: u64,
    },
    /// Loses the answers to the next appends
    LogLoseAnswers {
        when: LostAnswer,
        /// Number of calls
        count: u32,
    },
    /// Makes the open connections to the log unresponsive
    LogSilent,
    /// Starts or ends an outage of the list of instances
    ListDown { down: bool },
    /// Sets the lag of the list of instances
    ListLag {
        /// Time until a change becomes visible, in milliseconds
        lag_ms: u64,
    },
    /// Lists an entry instance as leaving or as live
    InstanceLeave { instance: InstanceId, leaving: bool },
    /// Removes an entry instance from the list
    InstanceGone { instance: InstanceId },
    EngineCrash {
        engine: EndpointId,
        /// Time until the restart, in milliseconds
        down_ms: u64,
    },
    /// Makes the open connections of an engine unresponsive
    EngineSilent { engine: EndpointId },
    /// Pauses or resumes an engine
    EnginePause { engine: EndpointId, paused: bool },
    /// Sets the speed of an engine
    EngineSpeed {
        engine: EndpointId,
        /// Multiple of the normal speed
        factor: f64,
    },
    /// Withdraws or readmits an engine
    EngineLeave { engine: EndpointId, leaving: bool },
    /// Sets the age of all load reports
    ReportLag {
        /// Age of a report, in milliseconds
        lag_ms: u64,
    },
    /// Sets the text in a prompt that crashes any engine; empty for none
    Poison { text: SmolStr },
    /// Delays calls of a service
    ServiceSlow {
        service: EndpointId,
        /// Time before an execution, in milliseconds
        delay_ms: u64,
        /// Time between the execution and its answer, in milliseconds
        answer_delay_ms: u64,
    },
    /// Loses the answers to a service's next requests
    ServiceLoseAnswers {
        service: EndpointId,
        when: LostAnswer,
        /// Number of calls
        count: u32,
    },
    /// Answers a service's next requests with errors, without running them
    ServiceErrors {
        service: EndpointId,
        /// Number of calls
        count: u32,
    },
    ServiceCrash {
        service: EndpointId,
        /// Time until the restart, in milliseconds
        down_ms: u64,
    },
    /// Makes the open connections of a service unresponsive
    ServiceSilent { service: EndpointId },
}

/// Why a fault could not be switched
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum FaultError {
    /// engine {0} does not exist in the fleet
    NoEngine(EndpointId),
    /// service {0} does not exist in the fleet
    NoService(EndpointId),
}

impl std::error::Error for FaultError {}

impl Fleet {
    /// Applies a fault command
    ///
    /// # Errors
    /// `FaultError` if the fleet has no endpoint of that id.
    pub fn apply(&self, command: &FaultCommand) -> Result<(), FaultError> {
        match command {
            FaultCommand::LogDown { .. }
            | FaultCommand::LogSlow { .. }
            | FaultCommand::LogLoseAnswers { .. }
            | FaultCommand::LogSilent
            | FaultCommand::ListDown { .. }
            | FaultCommand::ListLag { .. }
            | FaultCommand::InstanceLeave { .. }
            | FaultCommand::InstanceGone { .. } => {
                self.apply_to_platform(command);
                Ok(())
            }
            FaultCommand::ServiceSlow { service, .. }
            | FaultCommand::ServiceLoseAnswers { service, .. }
            | FaultCommand::ServiceErrors { service, .. }
            | FaultCommand::ServiceCrash { service, .. }
            | FaultCommand::ServiceSilent { service } => self.apply_to_service(service, command),
            _ => self.apply_to_engines(command),
        }
    }

    fn apply_to_platform(&self, command: &FaultCommand) {
        match command {
            FaultCommand::LogDown { down } => self.log.set_down(*down),
            FaultCommand::LogSlow { delay_ms, answer_delay_ms } => self.log.set_faults(|it| {
                it.delay = Duration::from_millis(*delay_ms);
                it.answer_delay = Duration::from_millis(*answer_delay_ms);
            }),
            FaultCommand::LogLoseAnswers { when, count } => self.log.lose_answers(*when, *count),
            FaultCommand::LogSilent => self.log_server().make_unresponsive(),
            FaultCommand::ListDown { down } => self.list.set_down(*down),
            FaultCommand::InstanceLeave { instance, leaving: true } => {
                self.list.set_state(instance, InstanceState::Leaving);
            }
            FaultCommand::InstanceLeave { instance, leaving: false } => {
                self.list.set_state(instance, InstanceState::Live);
            }
            FaultCommand::InstanceGone { instance } => self.list.remove(instance),
            FaultCommand::ListLag { lag_ms } => self.list.set_lag(Duration::from_millis(*lag_ms)),
            _ => {}
        }
    }

    fn apply_to_engines(&self, command: &FaultCommand) -> Result<(), FaultError> {
        let find =
            |id: &EndpointId| self.engines.get(id).ok_or_else(|| FaultError::NoEngine(id.clone()));
        match command {
            FaultCommand::EngineCrash { engine, down_ms } => {
                find(engine)?.crash_for(Duration::from_millis(*down_ms));
            }
            FaultCommand::EngineSilent { engine } => find(engine)?.make_unresponsive(),
            FaultCommand::EnginePause { engine, paused } => find(engine)?.pause(*paused),
            FaultCommand::EngineSpeed { engine, factor } => find(engine)?.set_speed(*factor),
            FaultCommand::EngineLeave { engine, leaving: true } => {
                find(engine)?;
                self.withdraw(engine);
            }
            FaultCommand::EngineLeave { engine, leaving: false } => {
                find(engine)?;
                self.readmit(engine);
            }
            FaultCommand::ReportLag { lag_ms } => {
                let lag = Duration::from_millis(*lag_ms);
                self.engines.values().for_each(|it| it.set_report_lag(lag));
            }
            FaultCommand::Poison { text } => {
                self.engines.values().for_each(|it| it.set_crash_text(text))
            }
            _ => {}
        }
        Ok(())
    }

    fn apply_to_service(&self, id: &EndpointId, command: &FaultCommand) -> Result<(), FaultError> {
        let service = self.services.get(id).ok_or_else(|| FaultError::NoService(id.clone()))?;
        match command {
            FaultCommand::ServiceSlow { delay_ms, answer_delay_ms, .. } => {
                service.set_faults(|it| {
                    it.delay = Duration::from_millis(*delay_ms);
                    it.answer_delay = Duration::from_millis(*answer_delay_ms);
                });
            }
            FaultCommand::ServiceLoseAnswers { when: LostAnswer::BeforeEffect, count, .. } => {
                service.set_faults(|it| it.cut_before = *count);
            }
            FaultCommand::ServiceLoseAnswers { when: LostAnswer::AfterEffect, count, .. } => {
                service.set_faults(|it| it.cut_after = *count);
            }
            FaultCommand::ServiceErrors { count, .. } => {
                service.set_faults(|it| it.errors = *count)
            }
            FaultCommand::ServiceCrash { down_ms, .. } => {
                service.crash(Duration::from_millis(*down_ms));
            }
            FaultCommand::ServiceSilent { .. } => service.server().make_unresponsive(),
            _ => {}
        }
        Ok(())
    }
}
