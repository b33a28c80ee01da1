//! The `persimmonlift` binary: one entry instance.

fn main() {}
