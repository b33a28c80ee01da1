//! The commands, one module per command.

pub mod check;
pub mod endpoints;
pub mod get;
pub mod history;
pub mod list;
pub mod outcomes;
pub mod put;
pub mod rm;
pub mod status;
pub mod watch;
