use crate::workdir::{Workdir, run};
use googletest::prelude::*;
use testcases::cases;

const COMMANDS: [&str; 10] =
    ["check", "endpoints", "get", "history", "list", "outcomes", "put", "rm", "status", "watch"];

async fn check_help() -> Result<()> {
    let workdir = Workdir::without_instance()?;
    let run = workdir.run_ok(&["--help"]).await?;
    for command in COMMANDS {
        verify_that!(run.stdout, contains_substring(format!("    {command} ")))?;
        let run = workdir.run_ok(&[command, "--help"]).await?;
        let usage = format!("Usage:\n    persimmonctl {command}");
        verify_that!(run.stdout, contains_substring(usage))?;
    }
    Ok(())
}

async fn check_code(args: &[&str], code: i32, reason: &str) -> Result<()> {
    let run = Workdir::without_instance()?.run(args).await?;
    run.check_code(code)?;
    verify_that!(run.stderr, contains_substring(reason))
}

async fn check_no_instance() -> Result<()> {
    let workdir = Workdir::without_instance()?;
    let mut command = workdir.command(&["list"]);
    command.env_remove("PERSIMMONCTL_NODE");
    let run = run(command).await?;
    run.check_code(2)?;
    verify_that!(run.stderr.as_str(), eq("persimmonctl: --node is missing\n"))
}

cases! { async
    help_of_each_command => check_help(),
    no_command => check_code(&[], 2, "no command given"),
    unknown_command => check_code(&["lst"], 2, "no command 'lst'"),
    unknown_option => check_code(&["list", "--jsno"], 2, "'--jsno' is not known"),
    extra_argument => check_code(&["get", "a", "b"], 2, "'b' is not known"),
    argument_missing => check_code(&["get"], 2, "<entry> is missing"),
    instance_not_an_address => check_code(&["list", "--node", "here"], 2, "here"),
    token_file_missing => check_code(&["list", "--token-file", "none"], 2, "none"),
    no_instance_named => check_no_instance(),
    instance_unreachable => check_code(&["list"], 3, "instance 127.0.0.1:1 can't be reached"),
    bad_resolution => check_code(&["outcomes", "resolve", "k", "maybe"], 2, "maybe must be"),
}
