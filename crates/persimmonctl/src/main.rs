//! The `persimmonctl` binary: the operators' command line.

fn main() {}
