//! Background tasks: updates the members, tracks contact, and sends strikes, again where they may be missing.

use crate::context::InstanceContext;
use crate::suspects::StrikeNotice;
use indexmap::IndexSet;
use peer::message::StrikeReport;
use peer::{Member, PeerRequest};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::broadcast::error::RecvError;

const CONTACT_INTERVAL: Duration = Duration::from_millis(250);
const STRIKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of strikes sent to an instance that has just become live.
const MAX_REPAIRED_STRIKES: usize = 500;
/// Maximum number of attempts to send a strike to an instance that doesn't answer.
const MAX_STRIKE_ATTEMPTS: usize = 3;

/// Passes the platform's list to the membership whenever it changes.
pub(super) async fn follow_list(context: Arc<InstanceContext>) {
    let mut listed = context.registry.entry_instances();
    listed.mark_changed();
    while listed.changed().await.is_ok() {
        let list = listed.borrow_and_update().clone();
        context.peers.members().set_list(list.into());
    }
}

/// Records contact with other instances and publishes this instance's load to them.
///
/// Contact doesn't count while the catalogue is stopped at a record of a newer version,
/// since peers can't bring it up to date then.
pub(super) async fn track_contact(context: Arc<InstanceContext>) {
    let mut interval = tokio::time::interval(CONTACT_INTERVAL);
    loop {
        interval.tick().await;
        context.peers.set_load(context.status.in_flight());
        let contact = context.peers.view().last_contact;
        if let Some(contact) = contact.filter(|_| !context.catalogue.status().is_stopped) {
            context.status.note_contact(contact.into_std());
        }
    }
}

/// Sends each strike that this instance records to all live instances.
pub(super) async fn broadcast_strikes(context: Arc<InstanceContext>) {
    let mut notices = context.suspects.notices();
    loop {
        match notices.recv().await {
            Ok(notice) => {
                for member in context.peers.view().live_peers() {
                    tokio::spawn(send_strike(context.clone(), member.clone(), notice.clone()));
                }
            }
            Err(RecvError::Lagged(count)) => log::warn!("event=strikes_untold count={count}"),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Sends the known strikes to each instance that has just become live, since it may have missed them.
pub(super) async fn repair_strikes(context: Arc<InstanceContext>) {
    let mut interval = tokio::time::interval(CONTACT_INTERVAL);
    let mut live = IndexSet::new();
    loop {
        interval.tick().await;
        let view = context.peers.view();
        let found = view.live_peers().filter(|it| !live.contains(&it.id)).cloned();
        for member in found.collect::<Vec<_>>() {
            tokio::spawn(send_known_strikes(context.clone(), member));
        }
        live = view.live_peers().map(|it| it.id.clone()).collect();
    }
}

async fn send_known_strikes(context: Arc<InstanceContext>, member: Member) {
    for notice in context.suspects.known(MAX_REPAIRED_STRIKES) {
        send_strike(context.clone(), member.clone(), notice).await;
    }
}

async fn send_strike(context: Arc<InstanceContext>, member: Member, notice: StrikeNotice) {
    let StrikeNotice { fingerprint, endpoint } = notice;
    let request = PeerRequest::Strike(StrikeReport { fingerprint, endpoint: Some(endpoint) });
    for _ in 0..MAX_STRIKE_ATTEMPTS {
        match context.peers.call(&member, request.clone(), STRIKE_TIMEOUT).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!("event=strike_untold instance={} reason=\"{error}\"", member.id);
            }
        }
    }
}
