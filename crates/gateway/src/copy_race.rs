//! Awaits two copies of a request until one has a usable answer.

use crate::attempt::SendError;
use futures_util::future::{Either, select};

/// Copies of a request once one of them is chosen
pub struct CopyRace<T> {
    /// Whether the second copy is chosen
    pub is_second: bool,
    pub answer: Result<T, SendError>,
    /// How the other copy has ended
    pub other: OtherCopy,
}

/// End of the copy that is not chosen
pub enum OtherCopy {
    /// Dropped while it may have run
    Cancelled,
    /// No answer
    Failed(SendError),
    /// Answer that was no better
    Answered,
}

/// Awaits the first answer that `is_usable`; any other result waits for the other copy, and the better one counts
pub async fn race<T, F>(first: F, second: F, is_usable: impl Fn(&T) -> bool) -> CopyRace<T>
where
    F: Future<Output = Result<T, SendError>> + Unpin,
{
    let (is_second, early, rest) = match select(first, second).await {
        Either::Left((early, second)) => (false, early, second),
        Either::Right((early, first)) => (true, early, first),
    };
    if early.as_ref().is_ok_and(&is_usable) {
        return CopyRace { is_second, answer: early, other: OtherCopy::Cancelled };
    }
    let late = rest.await;
    let rank = |it: &Result<T, SendError>| match it {
        Ok(answer) if is_usable(answer) => 2,
        Ok(_) => 1,
        Err(_) => 0,
    };
    let is_late_chosen = rank(&late) >= rank(&early);
    let (answer, other) = if is_late_chosen { (late, early) } else { (early, late) };
    let other = other.map_or_else(OtherCopy::Failed, |_| OtherCopy::Answered);
    CopyRace { is_second: is_second != is_late_chosen, answer, other }
}
