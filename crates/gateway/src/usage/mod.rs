//! Usage by customer: counts what begins to run, sends the counts to the holder of the
//! duties, and reports them to the platform while this instance is the holder.
//!
//! The request path only notes the boot time and the customer. A task sorts what was noted
//! into windows of true time, in the first seconds only once the fleet's time is known.
//! Where the settings have no usage duty, there is no such state and nothing runs.

pub mod begun;
pub mod mark;
pub mod records;
pub mod reporting;
pub mod sending;
pub mod state;
