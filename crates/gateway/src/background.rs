//! Tasks that run for the life of the process.
//!
//! An instance that has lost one of them would serve on without configuration, endpoints or
//! messages, so the end of any of them ends the process, after final answers to the requests
//! that are left. The platform starts it again.

use crate::error::GatewayError;
use std::future::Future;
use tokio::task::JoinSet;

/// Background tasks of an instance, ended when dropped
#[derive(Debug, Default)]
pub struct BackgroundTasks {
    tasks: JoinSet<()>,
}

impl BackgroundTasks {
    /// Starts a task that is not expected to end
    pub fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Waits until a task has ended; never, if there is none
    pub async fn ended(&mut self) -> GatewayError {
        match self.tasks.join_next().await {
            Some(Err(error)) => GatewayError::TaskFailed(error.to_string()),
            Some(Ok(())) => GatewayError::TaskFailed("it returned".to_owned()),
            None => std::future::pending().await,
        }
    }
}
