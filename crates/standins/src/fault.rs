//! Faults that can be switched while a fleet runs.

use crate::fleet::Fleet;
use crate::log::LostAnswer;
use catalogue::InstanceState;
use catalogue::id::{EndpointId, InstanceId};
use smol_str::SmolStr;
use std::time::Duration;

/// Switch of one fault
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultOrder {
    /// Outage of the log
    LogDown {
        /// On or off
        down: bool,
    },
    /// Slowness of the log
    LogSlow {
        /// Time before a call takes effect, in milliseconds
        delay_ms: u64,
        /// Time between an append's effect and its answer, in milliseconds
        answer_delay_ms: u64,
    },
    /// Loss of the answers to the next appends
    LogLoseAnswers {
        /// Before or after the effect
        when: LostAnswer,
        /// How many
        count: u32,
    },
    /// Open connections to the log go silent
    LogSilent,
    /// Outage of the list
    ListDown {
        /// On or off
        down: bool,
    },
    /// Lag of the list
    ListLag {
        /// Time until a change shows, in milliseconds
        lag_ms: u64,
    },
    /// State of an entry instance in the list
    InstanceLeave {
        /// Instance
        instance: InstanceId,
        /// Whether it leaves or is taken back
        leaving: bool,
    },
    /// Removal of an entry instance from the list
    InstanceGone {
        /// Instance
        instance: InstanceId,
    },
    /// Crash of an engine
    EngineCrash {
        /// Engine
        engine: EndpointId,
        /// Time until it is back, in milliseconds
        down_ms: u64,
    },
    /// Open connections of an engine go silent
    EngineSilent {
        /// Engine
        engine: EndpointId,
    },
    /// Freeze of an engine
    EnginePause {
        /// Engine
        engine: EndpointId,
        /// On or off
        paused: bool,
    },
    /// Speed of an engine
    EngineSpeed {
        /// Engine
        engine: EndpointId,
        /// Multiple of its ordinary speed
        factor: f64,
    },
    /// Withdrawal of an engine
    EngineLeave {
        /// Engine
        engine: EndpointId,
        /// Whether it leaves or is taken back
        leaving: bool,
    },
    /// Lag of all load reports
    ReportLag {
        /// Age of a report, in milliseconds
        lag_ms: u64,
    },
    /// Text in a prompt that crashes any engine; empty for none
    Poison {
        /// Text
        text: SmolStr,
    },
    /// Slowness of a service
    ServiceSlow {
        /// Service
        service: EndpointId,
        /// Time before an execution, in milliseconds
        delay_ms: u64,
        /// Time between the execution and its answer, in milliseconds
        answer_delay_ms: u64,
    },
    /// Loss of the answers to a service's next requests
    ServiceLoseAnswers {
        /// Service
        service: EndpointId,
        /// Before or after the effect
        when: LostAnswer,
        /// How many
        count: u32,
    },
    /// Errors in answer to a service's next requests, which do not run
    ServiceErrors {
        /// Service
        service: EndpointId,
        /// How many
        count: u32,
    },
    /// Crash of a service
    ServiceCrash {
        /// Service
        service: EndpointId,
        /// Time until it is back, in milliseconds
        down_ms: u64,
    },
    /// Open connections of a service go silent
    ServiceSilent {
        /// Service
        service: EndpointId,
    },
}

/// Why a fault could not be switched
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum FaultError {
    /// no such engine: {0}
    NoEngine(EndpointId),
    /// no such service: {0}
    NoService(EndpointId),
}

impl std::error::Error for FaultError {}

impl Fleet {
    /// Switches a fault
    ///
    /// # Errors
    /// `FaultError` if the fleet has no such endpoint.
    pub fn apply(&self, order: &FaultOrder) -> Result<(), FaultError> {
        match order {
            FaultOrder::LogDown { .. }
            | FaultOrder::LogSlow { .. }
            | FaultOrder::LogLoseAnswers { .. }
            | FaultOrder::LogSilent
            | FaultOrder::ListDown { .. }
            | FaultOrder::ListLag { .. }
            | FaultOrder::InstanceLeave { .. }
            | FaultOrder::InstanceGone { .. } => {
                self.apply_to_platform(order);
                Ok(())
            }
            FaultOrder::ServiceSlow { service, .. }
            | FaultOrder::ServiceLoseAnswers { service, .. }
            | FaultOrder::ServiceErrors { service, .. }
            | FaultOrder::ServiceCrash { service, .. }
            | FaultOrder::ServiceSilent { service } => self.apply_to_service(service, order),
            _ => self.apply_to_engines(order),
        }
    }

    fn apply_to_platform(&self, order: &FaultOrder) {
        match order {
            FaultOrder::LogDown { down } => self.log.set_down(*down),
            FaultOrder::LogSlow { delay_ms, answer_delay_ms } => self.log.set_faults(|it| {
                it.delay = Duration::from_millis(*delay_ms);
                it.answer_delay = Duration::from_millis(*answer_delay_ms);
            }),
            FaultOrder::LogLoseAnswers { when, count } => self.log.lose_answers(*when, *count),
            FaultOrder::LogSilent => self.log_server().silence(),
            FaultOrder::ListDown { down } => self.list.set_down(*down),
            FaultOrder::InstanceLeave { instance, leaving: true } => {
                self.list.mark(instance, InstanceState::Leaving);
            }
            FaultOrder::InstanceLeave { instance, leaving: false } => {
                self.list.mark(instance, InstanceState::Live);
            }
            FaultOrder::InstanceGone { instance } => self.list.remove(instance),
            FaultOrder::ListLag { lag_ms } => self.list.set_lag(Duration::from_millis(*lag_ms)),
            _ => {}
        }
    }

    fn apply_to_engines(&self, order: &FaultOrder) -> Result<(), FaultError> {
        let find =
            |id: &EndpointId| self.engines.get(id).ok_or_else(|| FaultError::NoEngine(id.clone()));
        match order {
            FaultOrder::EngineCrash { engine, down_ms } => {
                find(engine)?.crash_for(Duration::from_millis(*down_ms));
            }
            FaultOrder::EngineSilent { engine } => find(engine)?.silence(),
            FaultOrder::EnginePause { engine, paused } => find(engine)?.pause(*paused),
            FaultOrder::EngineSpeed { engine, factor } => find(engine)?.set_speed(*factor),
            FaultOrder::EngineLeave { engine, leaving: true } => {
                find(engine)?;
                self.withdraw(engine);
            }
            FaultOrder::EngineLeave { engine, leaving: false } => {
                find(engine)?;
                self.readmit(engine);
            }
            FaultOrder::ReportLag { lag_ms } => {
                let lag = Duration::from_millis(*lag_ms);
                self.engines.values().for_each(|it| it.set_report_lag(lag));
            }
            FaultOrder::Poison { text } => self.engines.values().for_each(|it| it.set_poison(text)),
            _ => {}
        }
        Ok(())
    }

    fn apply_to_service(&self, id: &EndpointId, order: &FaultOrder) -> Result<(), FaultError> {
        let service = self.services.get(id).ok_or_else(|| FaultError::NoService(id.clone()))?;
        match order {
            FaultOrder::ServiceSlow { delay_ms, answer_delay_ms, .. } => {
                service.set_faults(|it| {
                    it.delay = Duration::from_millis(*delay_ms);
                    it.answer_delay = Duration::from_millis(*answer_delay_ms);
                });
            }
            FaultOrder::ServiceLoseAnswers { when: LostAnswer::BeforeEffect, count, .. } => {
                service.set_faults(|it| it.cut_before = *count);
            }
            FaultOrder::ServiceLoseAnswers { when: LostAnswer::AfterEffect, count, .. } => {
                service.set_faults(|it| it.cut_after = *count);
            }
            FaultOrder::ServiceErrors { count, .. } => service.set_faults(|it| it.errors = *count),
            FaultOrder::ServiceCrash { down_ms, .. } => {
                service.crash(Duration::from_millis(*down_ms));
            }
            FaultOrder::ServiceSilent { .. } => service.server().silence(),
            _ => {}
        }
        Ok(())
    }
}
