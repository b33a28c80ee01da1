//! Pure decisions: inputs in, a decision with its reason out.
//!
//! Nothing here does I/O or reads a clock; time and random numbers are arguments.
