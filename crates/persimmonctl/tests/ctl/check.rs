use crate::workdir::{Workdir, entries};
use googletest::prelude::*;
use testcases::cases;

async fn check_valid() -> Result<()> {
    let workdir = Workdir::without_instance()?;
    workdir.write_entry("summaries.toml", &entries()[0])?;
    let run = workdir.run_ok(&["check", "summaries.toml"]).await?;
    verify_that!(run.stdout.as_str(), eq("summaries.toml: entry summaries is valid\n"))
}

/// One run reports all faults of all files.
async fn check_all_faults() -> Result<()> {
    let workdir = Workdir::without_instance()?;
    for (number, mut entry) in entries().into_iter().take(2).enumerate() {
        entry.owner = "".into();
        entry.limits.in_flight = 0;
        workdir.write_entry(&format!("{number}.toml"), &entry)?;
    }
    let run = workdir.run(&["check", "0.toml", "1.toml"]).await?;
    run.check_code(2)?;
    for file in ["0.toml", "1.toml"] {
        verify_that!(run.stderr, contains_substring(format!("{file}: owner must be")))?;
        verify_that!(run.stderr, contains_substring(format!("{file}: limits.in_flight must")))?;
    }
    Ok(())
}

async fn check_refused(text: Option<&str>, reason: &str) -> Result<()> {
    let workdir = Workdir::without_instance()?;
    if let Some(text) = text {
        workdir.write("entry.toml", text)?;
    }
    let run = workdir.run(&["check", "entry.toml"]).await?;
    run.check_code(2)?;
    verify_that!(run.stderr, contains_substring(reason))
}

cases! { async
    valid_file => check_valid(),
    faults_of_all_files => check_all_faults(),
    unknown_key => check_refused(Some("nmae = 'x'"), "unknown field `nmae`"),
    not_toml => check_refused(Some("name = "), "entry.toml"),
    missing_file => check_refused(None, "No such file"),
}
