use crate::workdir::{TestNode, entries, run};
use googletest::prelude::*;
use testcases::cases;

/// Two changes are seen, the removal among them, and the command ends by itself.
async fn check_changes() -> Result<()> {
    let node = TestNode::start().await?;
    let workdir = &node.workdir;
    workdir.write_entry("summaries.toml", &entries()[0])?;
    let args = ["watch", "--json", "--changes", "2", "--interval-ms", "50"];
    let watch = tokio::spawn(run(workdir.command(&args)));
    // Edits go on until the watch has seen two, whenever it took its first look.
    while !watch.is_finished() {
        workdir.run_well(&["put", "summaries.toml"]).await?;
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        workdir.run_well(&["rm", "summaries"]).await?;
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
