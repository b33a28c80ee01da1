//! The end of a background task ends the process instead of leaving it half alive.

use gateway::background::BackgroundTasks;
use gateway::error::GatewayError;
use googletest::prelude::*;
use std::time::Duration;
use testcases::cases;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Runs a task beside one that doesn't end
async fn check(task: impl Future<Output = ()> + 'static, ends: bool) -> Result<()> {
    let run = async {
        let mut tasks = BackgroundTasks::default();
        tasks.spawn(std::future::pending());
        tasks.spawn(task);
        timeout(Duration::from_secs(5), tasks.ended()).await
    };
    let ended = LocalSet::new().run_until(run).await;
    verify_that!(matches!(ended, Ok(GatewayError::TaskFailed(_))), eq(ends))
}

cases! { paused
    // Guards against an instance that serves on without messages, since the task that receives them has panicked.
    panic_of_a_task_ends_the_process => check(async { panic!("as expected by this test") }, true),
    return_of_a_task_ends_the_process => check(async { sleep(Duration::from_secs(1)).await }, true),
    running_tasks_end_nothing => check(std::future::pending(), false),
}
