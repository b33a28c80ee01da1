//! Helpers shared by the commands: arguments, files and output.

use crate::error::{CliError, CliResult};
use pico_args::Arguments;
use smol_str::SmolStr;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;
const ABSENT: &str = "-";

/// Prints the usage if `--help` is given; returns whether it was.
pub fn wants_help(arguments: &mut Arguments, usage: &str) -> CliResult<bool> {
    let wants_help = arguments.contains(["-h", "--help"]);
    if wants_help {
        print_text(usage)?;
    }
    Ok(wants_help)
}

/// Prints the usage if `--help` is given, and fails otherwise.
pub fn print_usage_or(arguments: &mut Arguments, usage: &str, error: CliError) -> CliResult {
    if wants_help(arguments, usage)? { Ok(()) } else { Err(error) }
}

/// Takes the next positional argument.
pub fn take_free(arguments: &mut Arguments, name: &'static str) -> CliResult<SmolStr> {
    match arguments.opt_free_from_str().map_err(CliError::Arguments)? {
        Some(value) => Ok(value),
        None => Err(CliError::Missing(name)),
    }
}

pub fn take_option<T: std::str::FromStr>(
    arguments: &mut Arguments,
    name: &'static str,
) -> CliResult<Option<T>>
where
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(name).map_err(CliError::Arguments)
}

/// Takes all remaining arguments as files; at least one is required.
pub fn take_files(arguments: Arguments) -> CliResult<Vec<PathBuf>> {
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    let is_option = |it: &&PathBuf| it.to_string_lossy().starts_with('-');
    match files.iter().find(is_option) {
        Some(option) => Err(CliError::UnknownArgument(option.to_string_lossy().into())),
        None if files.is_empty() => Err(CliError::Missing("FILE")),
        None => Ok(files),
    }
}

/// Fails if arguments remain.
pub fn finish(arguments: Arguments) -> CliResult {
    match arguments.finish().first() {
        Some(argument) => Err(CliError::UnknownArgument(argument.to_string_lossy().into())),
        None => Ok(()),
    }
}

/// Reads a file as text.
pub fn read_text(file: &Path) -> CliResult<String> {
    std::fs::read_to_string(file).map_err(|error| CliError::Unreadable(file.into(), error))
}

/// Formats the time of a record in UTC.
pub fn utc_time(time_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(time_ms);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Prints text; a closed pipe is not an error.
pub fn print_text(text: &str) -> CliResult {
    let mut stdout = std::io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CliError::Output(error)),
        _ => Ok(()),
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl serde::Serialize) -> CliResult {
    let text = serde_json::to_string_pretty(value).map_err(CliError::InvalidAnswer)?;
    print_text(&format!("{text}\n"))
}

/// Prints a table; each column is as wide as its longest cell.
pub fn print_table(headings: &[&str], rows: &[Vec<String>]) -> CliResult {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|it| it.get(column)).map(|it| it.chars().count());
        cells.chain([headings[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..headings.len()).map(width).collect();
    let headings: Vec<_> = headings.iter().map(|it| it.to_uppercase()).collect();
    let mut text = table_line(&headings, &widths);
    for row in rows {
        text.push_str(&table_line(row, &widths));
    }
    print_text(&text)
}

fn table_line(cells: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        line.push_str(&format!("{cell:width$}{:COLUMN_GAP$}", ""));
    }
    format!("{}\n", line.trim_end())
}

/// Formats a value that may be absent.
pub fn cell(value: Option<impl ToString>) -> String {
    value.map_or(ABSENT.into(), |it| it.to_string())
}

/// Formats a flag.
pub fn yes_no(flag: bool) -> String {
    if flag { "yes".into() } else { "no".into() }
}
