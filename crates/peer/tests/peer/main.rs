//! Tests of frames, calls and membership.

mod calls;
mod frames;
mod keeper;
mod members;
mod net;
