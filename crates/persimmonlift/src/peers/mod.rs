//! Communication with other instances.
//!
//! `peer_links` calls them and finds homes; it is created before the rest of the instance.
//! `handler` answers their calls. `grants` requests shares of limits from homes, and
//! `grant_home` grants them as a home. `maintenance` updates the members, tracks contact and sends
//! strikes.

mod grants;
mod handler;
mod maintenance;

use crate::context::InstanceContext;
use futures_util::FutureExt;
use peer::server;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Serves other instances and runs the background tasks until the runtime stops.
pub fn start(context: &Arc<InstanceContext>, listener: TcpListener) -> JoinHandle<()> {
    let handler_context = context.clone();
    let handler = move |request| handler::answer(handler_context.clone(), request).boxed();
    let traffic = context.peers.served_traffic();
    let secret = context.peers.secret();
    let server = server::serve_with_traffic(listener, secret, Arc::new(handler), traffic);
    let links = context.peers.clone();
    context.reports.add("peers", Box::new(move || links.status()));
    tokio::spawn(maintenance::follow_list(context.clone()));
    tokio::spawn(maintenance::track_contact(context.clone()));
    tokio::spawn(maintenance::broadcast_strikes(context.clone()));
    tokio::spawn(maintenance::repair_strikes(context.clone()));
    tokio::spawn(grants::request_grants(context.clone()));
    tokio::spawn(server)
}
