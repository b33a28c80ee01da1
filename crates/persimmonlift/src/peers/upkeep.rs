//! Keeps members, contact and strikes up to date.

use crate::context::NodeContext;
use crate::suspects::StrikeNotice;
use peer::message::StrikeReport;
use peer::{Member, PeerRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::broadcast::error::RecvError;

const CONTACT_INTERVAL: Duration = Duration::from_millis(250);
const STRIKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that a strike is told to an instance that does not answer.
const STRIKE_TRIES: usize = 3;

/// Gives the platform's list to the members whenever it changes.
pub(super) async fn follow_list(context: Arc<NodeContext>) {
    let mut listed = context.registry.entry_instances();
    listed.mark_changed();
    while listed.changed().await.is_ok() {
        let list = listed.borrow_and_update().clone();
        context.peers.members().set_list(list.into());
    }
}

/// Notes contact with other instances, and tells them the load. Contact is of no use
/// to a catalogue that a record of a newer version has stopped.
pub(super) async fn note_contact(context: Arc<NodeContext>) {
    let mut interval = tokio::time::interval(CONTACT_INTERVAL);
    loop {
        interval.tick().await;
        context.peers.set_load(context.standing.in_flight());
        let contact = context.peers.view().last_contact;
        if let Some(contact) = contact.filter(|_| !context.catalogue.status().is_stopped) {
            context.standing.note_contact(contact.into_std());
        }
    }
}

/// Tells all live instances of each strike seen here.
pub(super) async fn tell_strikes(context: Arc<NodeContext>) {
    let mut notices = context.suspects.notices();
    loop {
        match notices.recv().await {
            Ok(notice) => {
                for member in context.peers.view().live_peers() {
                    tokio::spawn(tell_strike(context.clone(), member.clone(), notice.clone()));
                }
            }
            Err(RecvError::Lagged(count)) => log::warn!("event=strikes_untold count={count}"),
            Err(RecvError::Closed) => return,
        }
    }
}

async fn tell_strike(context: Arc<NodeContext>, member: Member, notice: StrikeNotice) {
    let StrikeNotice { fingerprint, endpoint } = notice;
    let request = PeerRequest::Strike(StrikeReport { fingerprint, endpoint: Some(endpoint) });
    for _ in 0..STRIKE_TRIES {
        match context.peers.call(&member, request.clone(), STRIKE_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!("event=strike_untold instance={} reason=\"{error}\"", member.id);
            }
        }
    }
}
