use crate::workdir::{TestInstance, entries, run};
use googletest::prelude::*;
use testcases::cases;

/// The command prints two changes, one of them a removal, and then exits.
async fn check_changes() -> Result<()> {
    let instance = TestInstance::start().await?;
    let workdir = &instance.workdir;
    workdir.write_entry("summaries.toml", &entries()[0])?;
    let args = ["watch", "--json", "--changes", "2", "--interval-ms", "50"];
    let watch = tokio::spawn(run(workdir.command(&args)));
    // Keep editing until the command has printed two changes, since its first read may come
    // at any time.
    while !watch.is_finished() {
        workdir.run_ok(&["put", "summaries.toml"]).await?;
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        workdir.run_ok(&["rm", "summaries"]).await?;
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    let run = watch.await.or_fail()??;
    run.check_code(0)?;
    let lines: Vec<_> = run.stdout.lines().collect();
    verify_that!(lines.len(), eq(2))?;
    verify_that!(lines.iter().any(|it| it.contains("\"revision\":null")), eq(true))
}

cases! { async
    changes => check_changes(),
}
