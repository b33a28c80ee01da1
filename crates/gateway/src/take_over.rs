//! Waits for a silent endpoint while other instances are asked to take its request over.
//!
//! The endpoint may go on at any time, and the other instances may refuse the request. So
//! the connection to the endpoint is kept until another instance has answered.

use crate::attempt::WholeAnswer;
use crate::serving_call::ServingCall;
use crate::state::Gateway;
use decide::serving::route::RetryRule;
use platform_adapter::answer::promises_not_run;
use std::pin::pin;

/// End of the relay beside a send
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEnd {
    NotTried,
    /// Given up while another instance may have run the request
    Cancelled,
    /// No other instance has taken the request over
    Declined,
}

/// Result of a send beside which other instances may have been tried
pub enum SendOutcome<T, R> {
    /// The endpoint has answered, or was given up
    Direct { result: T, relay: RelayEnd },
    /// Another instance has answered; the send to the endpoint was cancelled
    TakenOver(R),
}

/// Waits for a send; while its endpoint is silent and this instance reaches none, the request is relayed as well, and
/// whichever answers first counts
pub async fn send_or_relay<T, R>(
    gateway: &Gateway,
    call: &ServingCall,
    sending: impl Future<Output = T>,
    relaying: impl Future<Output = Option<R>>,
) -> SendOutcome<T, R> {
    let once = call.route.retry_rule == RetryRule::Once;
    let mut sending = pin!(sending);
    tokio::select! {
        biased;
        result = &mut sending => {
            return SendOutcome::Direct { result, relay: RelayEnd::NotTried };
        }
        () = call.relay_due(gateway, once) => {}
    }
    call.count_silent_send();
    let taken_over = tokio::select! {
        biased;
        result = &mut sending => {
            return SendOutcome::Direct { result, relay: RelayEnd::Cancelled };
        }
        taken_over = relaying => taken_over,
    };
    match taken_over {
        Some(answer) => SendOutcome::TakenOver(answer),
        None => SendOutcome::Direct { result: sending.await, relay: RelayEnd::Declined },
    }
}

/// Whether an instance's answer serves the request, so that its silent endpoint need not be waited for
pub fn is_served(answer: &WholeAnswer) -> bool {
    !answer.status.is_server_error() && !promises_not_run(answer.status)
}
