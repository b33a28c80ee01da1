//! The fault matrix: every fault at every step of every protocol.
//!
//! For each cell, the tables in `matrix` name the tests that cover it or the reason
//! why the fault can't occur there. The check fails on an empty cell, on a test that
//! does not exist and on a page that differs from the tables; `WRITE_FAULTS=1`
//! rewrites the page.

mod matrix;

use googletest::prelude::*;
use matrix::{FaultCell, PROTOCOLS, ProtocolTable};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use testcases::cases;

const WRITE_VARIABLE: &str = "WRITE_FAULTS";
const HEAD: &str = "# Faults\n\n\
    Written by the test run: `WRITE_FAULTS=1 cargo test -p standins --test fault_matrix`. \
    The same test fails when a cell is empty, when a test that a cell names does not exist, \
    and when this page differs from its table.\n\n\
    Rows are the faults, columns the steps of each protocol. A cell names the \
    test that covers it as `package::file::case`, or gives the reason why the fault can't \
    occur at that step.\n";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Names of all tests in the workspace, as `package::file::case`
fn test_names() -> Result<BTreeSet<String>> {
    let mut names = BTreeSet::new();
    for package in fs::read_dir(root().join("crates")).or_fail()? {
        let package = package.or_fail()?;
        let tests = package.path().join("tests");
        if tests.is_dir() {
            collect(&package.file_name().to_string_lossy(), &tests, &mut names)?;
        }
    }
    Ok(names)
}

fn collect(package: &str, folder: &Path, names: &mut BTreeSet<String>) -> Result<()> {
    for entry in fs::read_dir(folder).or_fail()? {
        let path = entry.or_fail()?.path();
        if path.is_dir() {
            collect(package, &path, names)?;
        } else if path.extension().is_some_and(|it| it == "rs") {
            let file = path.file_stem().map(|it| it.to_string_lossy()).unwrap_or_default();
            let text = fs::read_to_string(&path).or_fail()?;
            names.extend(case_names(&text).map(|case| format!("{package}::{file}::{case}")));
        }
    }
    Ok(())
}

/// Cases of a file's `cases!` tables and its plain test functions
fn case_names(text: &str) -> impl Iterator<Item = String> {
    let tables = text.split("cases! {").skip(1).filter_map(|it| it.split("\n}").next());
    let cases = tables.flat_map(str::lines).filter_map(|line| line.split_once(" => "));
    let functions = text.split("#[test]").skip(1).filter_map(|it| it.split_once("fn "));
    let functions = functions.filter_map(|(_, rest)| rest.split_once('('));
    let names = cases.map(|(name, _)| name.trim()).chain(functions.map(|(name, _)| name));
    names.filter(|it| is_identifier(it)).map(str::to_owned).collect::<Vec<_>>().into_iter()
}

fn is_identifier(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|it| it.is_ascii_alphanumeric() || it == '_')
}

/// Problem of a cell, if any
fn cell_problem(cell: &FaultCell, names: &BTreeSet<String>) -> Option<String> {
    match cell {
        FaultCell::Test([]) => Some("no test".to_owned()),
        FaultCell::Test(tests) => {
            let missing: Vec<&str> =
                tests.iter().copied().filter(|it| !names.contains(*it)).collect();
            (!missing.is_empty()).then(|| format!("no such test: {}", missing.join(", ")))
        }
        FaultCell::Reason(reason) => reason.trim().is_empty().then(|| "no reason".to_owned()),
    }
}

fn check_cells() -> Result<()> {
    let names = test_names()?;
    let mut problems = Vec::new();
    for protocol in PROTOCOLS {
        for (row, fault) in protocol.faults.iter().enumerate() {
            let cells = protocol.cells.get(row).copied().unwrap_or_default();
            for (column, step) in protocol.steps.iter().enumerate() {
                let problem = match cells.get(column) {
                    Some(cell) => cell_problem(cell, &names),
                    None => Some("empty".to_owned()),
                };
                let place = format!("{} / {fault} / {step}", protocol.name);
                problems.extend(problem.map(|it| format!("{place}: {it}")));
            }
        }
    }
    verify_that!(problems, is_empty())
}

fn page() -> String {
    PROTOCOLS.iter().fold(HEAD.to_owned(), |mut page, protocol| {
        write_table(&mut page, protocol);
        page
    })
}

fn write_table(page: &mut String, protocol: &ProtocolTable) {
    // Writing to a string can't fail.
    let _ = write!(page, "\n## {}\n\n| fault |", protocol.name);
    protocol.steps.iter().for_each(|it| page.push_str(&format!(" {it} |")));
    page.push_str("\n| --- |");
    protocol.steps.iter().for_each(|_| page.push_str(" --- |"));
    for (row, fault) in protocol.faults.iter().enumerate() {
        let _ = write!(page, "\n| {fault} |");
        for cell in protocol.cells.get(row).copied().unwrap_or_default() {
            let _ = write!(page, " {} |", cell_text(cell));
        }
    }
    page.push('\n');
}

fn cell_text(cell: &FaultCell) -> String {
    match cell {
        FaultCell::Test(tests) => {
            tests.iter().map(|it| format!("`{it}`")).collect::<Vec<_>>().join(", ")
        }
        FaultCell::Reason(reason) => (*reason).to_owned(),
    }
}

fn check_page() -> Result<()> {
    let path = root().join("docs/FAULTS.md");
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        fs::write(&path, page()).or_fail()?;
    }
    verify_that!(fs::read_to_string(&path).or_fail()?, eq(&page()))
}

fn check_reading() -> Result<()> {
    let text = "cases! { async\n    first => check(1),\n    second => check(\n        2\n    ),\n}\n\
        #[test]\nfn third() {}\nmatch x { other => 1 }\n";
    let names: Vec<String> = case_names(text).collect();
    verify_that!(names, elements_are![eq("first"), eq("second"), eq("third")])
}

fn check_empty_cell() -> Result<()> {
    let names = BTreeSet::from(["a::b::c".to_owned()]);
    verify_that!(cell_problem(&FaultCell::Test(&["a::b::c"]), &names), none())?;
    verify_that!(cell_problem(&FaultCell::Test(&["a::b::d"]), &names), some(anything()))?;
    verify_that!(cell_problem(&FaultCell::Test(&[]), &names), some(anything()))?;
    verify_that!(cell_problem(&FaultCell::Reason(" "), &names), some(anything()))
}

cases! {
    names_are_read => check_reading(),
    empty_cells_are_found => check_empty_cell(),
    every_cell_is_covered => check_cells(),
    page_is_current => check_page(),
}
