//! Holders of the duties as other instances announce them.

use catalogue::id::Fence;
use gateway::duties::{DutyHolder, DutyState};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    holder_is_known_from_its_announcements => known(&[(0, 5)], 5),
    higher_token_is_believed_at_once => known(&[(0, 5), (500, 6)], 6),
    // Guards against counts of usage that go to an earlier holder.
    lower_token_is_not_believed_while_the_holder_is_heard => known(&[(0, 5), (4000, 6), (8000, 5)], 6),
    lower_token_is_not_believed_between_two_announcements => known(&[(0, 6), (4000, 5)], 6),
    // Guard against a token that nobody holds, after which no holder is believed and usage is reported nowhere.
    largest_token_is_given_up => odd(Fence::MAX),
    token_of_a_far_era_is_given_up => odd(1 << 62),
}

/// Time in which the holder must be known again
const BOUND_MS: u64 = 10_000;

fn holder(fence: Fence) -> DutyHolder {
    DutyHolder { instance: format!("instance-{fence}").into(), fence }
}

/// Holder after announcements at times in milliseconds
fn holder_after(announcements: impl IntoIterator<Item = (u64, Fence)>) -> Option<DutyHolder> {
    let (duties, start) = (DutyState::default(), Instant::now());
    for (at_ms, fence) in announcements {
        duties.record_holder(&holder(fence), start + Duration::from_millis(at_ms));
    }
    duties.holder()
}

fn known(announcements: &[(u64, Fence)], expected: Fence) -> Result<()> {
    let known = holder_after(announcements.iter().copied());
    verify_that!(known, some(eq(&holder(expected))))
}

/// The holder announces itself twice a second, and somebody else once a token that isn't granted
fn odd(fence: Fence) -> Result<()> {
    let announcements = (0..BOUND_MS).step_by(500).map(|it| (it, 5));
    let known = holder_after([(0, fence)].into_iter().chain(announcements));
    verify_that!(known, some(eq(&holder(5))))
}
