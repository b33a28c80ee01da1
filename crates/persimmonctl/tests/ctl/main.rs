//! Runs the command line as users do, grouped by command.

mod check;
mod edits;
mod outcomes;
mod status;
mod usage;
mod watch;
mod workdir;
