//! Tests of frames, calls and membership.

mod calls;
mod frames;
mod heartbeat;
mod members;
mod net;
