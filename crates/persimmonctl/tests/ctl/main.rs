//! The command line as its users run it, a module a command.

mod check;
mod edits;
mod outcomes;
mod status;
mod usage;
mod watch;
mod workdir;
