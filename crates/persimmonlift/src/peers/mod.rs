//! Dealings with other instances.
//!
//! `links` holds what is needed to call them and to find homes, and exists before
//! the rest of the instance. `handler` answers their calls. `grants` asks homes for
//! shares of limits and gives them out as a home. `upkeep` keeps members, contact
//! and strikes up to date.

pub mod grants;
mod handler;
pub mod links;
mod upkeep;

pub use grants::GrantHome;
pub use links::PeerLinks;

use crate::context::NodeContext;
use futures_util::FutureExt;
use peer::server;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Serves other instances and keeps in touch with them until the runtime stops.
pub fn start(context: &Arc<NodeContext>, listener: TcpListener) -> JoinHandle<()> {
    let handled = context.clone();
    let handler = move |request| handler::answer(handled.clone(), request).boxed();
    let traffic = context.peers.served_traffic();
    let secret = context.peers.secret();
    let server = server::serve_counted(listener, secret, Arc::new(handler), traffic);
    let report_of = context.peers.clone();
    context.reports.add("peers", Box::new(move || report_of.report()));
    tokio::spawn(upkeep::follow_list(context.clone()));
    tokio::spawn(upkeep::note_contact(context.clone()));
    tokio::spawn(upkeep::tell_strikes(context.clone()));
    tokio::spawn(grants::ask(context.clone()));
    tokio::spawn(server)
}
