//! No two modules of a package import each other, so that each can be read after those that it imports.

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use testcases::cases;

/// Text of each module of a package by its path, such as `peers::repair`
type ModuleTexts = BTreeMap<String, String>;

fn sources() -> Result<Vec<PathBuf>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let packages = fs::read_dir(root.join("crates")).or_fail()?;
    let packages = packages.map(|it| Ok(it.or_fail()?.path().join("src")));
    let packages = packages.collect::<Result<Vec<_>>>()?;
    Ok(packages.into_iter().chain([root.join("platform/src")]).filter(|it| it.is_dir()).collect())
}

fn read_modules(folder: &Path, parent: &str, modules: &mut ModuleTexts) -> Result<()> {
    for entry in fs::read_dir(folder).or_fail()? {
        let path = entry.or_fail()?.path();
        let stem = path.file_stem().map(|it| it.to_string_lossy().into_owned()).unwrap_or_default();
        let name = if parent.is_empty() { stem.clone() } else { format!("{parent}::{stem}") };
        if path.is_dir() {
            read_modules(&path, &name, modules)?;
        } else if path.extension().is_some_and(|it| it == "rs") {
            let name = if stem == "mod" { parent.to_owned() } else { name };
            modules.insert(name, fs::read_to_string(&path).or_fail()?);
        }
    }
    Ok(())
}

/// Paths that a module imports from its own package, from the package's root
fn imports(module: &str, text: &str) -> Vec<String> {
    let statements = text.split(';').filter_map(|it| {
        let line =
            it.rfind("\nuse ").or(it.rfind("\npub use ")).or(it.rfind("\npub(crate) use "))?;
        it[line..].split_once("use ").map(|it| it.1)
    });
    let parent = module.rsplit_once("::").map_or("", |it| it.0);
    let paths = statements.flat_map(|it| {
        let tree = it.split_whitespace().collect::<String>();
        let (prefix, items) = tree.split_once('{').unwrap_or((&tree, ""));
        items.split([',', '{', '}']).map(|it| format!("{prefix}{it}")).collect::<Vec<_>>()
    });
    let absolute = paths.filter_map(|it| match it.split_once("::")? {
        ("crate", rest) => Some(rest.to_owned()),
        ("super", rest) if parent.is_empty() => Some(rest.to_owned()),
        ("super", rest) => Some(format!("{parent}::{rest}")),
        _ => None,
    });
    absolute.collect()
}

/// Pairs of modules that import each other; a module and its submodules count as apart
fn circles(modules: &ModuleTexts) -> Vec<(String, String)> {
    let resolve = |path: &str| {
        let mut path = path;
        while !modules.contains_key(path) {
            path = path.rsplit_once("::")?.0;
        }
        Some(path.to_owned())
    };
    let is_within = |one: &str, other: &str| one.starts_with(&format!("{other}::"));
    let edges = modules.iter().flat_map(|(module, text)| {
        let targets = imports(module, text).into_iter().filter_map(|it| resolve(&it));
        targets.map(|it| (module.clone(), it)).collect::<Vec<_>>()
    });
    let edges = edges
        .filter(|(one, other)| one != other && !is_within(one, other) && !is_within(other, one));
    let edges = edges.collect::<BTreeSet<_>>();
    let is_circle = |(one, other): &&(String, String)| {
        one < other && edges.contains(&(other.clone(), one.clone()))
    };
    edges.iter().filter(is_circle).cloned().collect()
}

fn check_workspace() -> Result<()> {
    for source in sources()? {
        let mut modules = ModuleTexts::new();
        read_modules(&source, "", &mut modules)?;
        verify_that!(circles(&modules), is_empty())
            .with_failure_message(|| source.display().to_string())?;
    }
    Ok(())
}

fn check(one: &str, other: &str, expected: usize) -> Result<()> {
    let texts = [("one", one), ("two::other", other), ("two", ""), ("lib", "")];
    let modules = texts.map(|(name, text)| (name.to_owned(), format!("//! Text.\n\n{text}\n")));
    verify_that!(circles(&modules.into_iter().collect()).len(), eq(expected))
}

cases! {
    no_two_modules_import_each_other => check_workspace(),
    one_direction_is_no_circle => check("use crate::two::other::Thing;", "use std::fmt;", 0),
    circle_is_found => check("use crate::two::other::Thing;", "use crate::one::Thing;", 1),
    circle_by_a_list_is_found => check("use crate::{\n    lib::A,\n    two::other::Thing,\n};", "pub use crate::one::{Thing, Other};", 1),
}
