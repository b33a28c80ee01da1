//! `persimmonctl check`

use crate::error::{CliError, CliResult, FaultList};
use crate::util;
use catalogue::CatalogueEntry;
use pico_args::Arguments;
use std::path::{Path, PathBuf};

const USAGE: &str = "\
Checks catalogue files without an instance and reports all faults at once.

Usage:
    persimmonctl check [options] <file>...

Options:
    -h, --help  Show this text
";

struct Args {
    files: Vec<PathBuf>,
}

pub fn run(mut arguments: Arguments) -> CliResult {
    if util::wants_help(&mut arguments, USAGE)? {
        return Ok(());
    }
    let args = Args { files: util::take_files(arguments)? };
    let entries = read_entries(&args.files)?;
    for (file, entry) in args.files.iter().zip(&entries) {
        util::print_text(&format!("{}: entry {} is valid\n", file.display(), entry.name))?;
    }
    Ok(())
}

/// Reads the entries of the files; fails with all faults if any file has one.
pub fn read_entries(files: &[PathBuf]) -> CliResult<Vec<CatalogueEntry>> {
    let entries: Vec<_> = files.iter().map(|it| read_entry(it)).collect::<CliResult<_>>()?;
    let mut faults = Vec::new();
    for (file, entry) in files.iter().zip(&entries) {
        faults.extend(entry.faults().into_iter().map(|fault| (file.clone(), fault)));
    }
    if faults.is_empty() { Ok(entries) } else { Err(CliError::InvalidEntries(FaultList(faults))) }
}

fn read_entry(file: &Path) -> CliResult<CatalogueEntry> {
    let text = util::read_text(file)?;
    toml::from_str(&text).map_err(|error| CliError::InvalidToml(file.into(), error))
}
