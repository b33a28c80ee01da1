//! Messages and connections between instances.
//!
//! Every pair of instances that talks shares one `h2` connection in each
//! direction of calling. A call is one `h2` stream that carries one frame each
//! way: a version, a length and a `bincode` body. Both sides prove that they know
//! the shared secret before the first stream.
//!
//! Membership tells which instances are thought live and which of them is home
//! to a key. Nothing that must hold depends on it being right.

pub mod auth;
pub mod client;
mod connection;
pub mod error;
pub mod frame;
pub mod keeper;
pub mod membership;
pub mod message;
pub mod ring;
pub mod server;
pub mod traffic;

pub use auth::PeerSecret;
pub use client::PeerClient;
pub use error::{PeerError, PeerRefusal};
pub use keeper::MemberHandle;
pub use membership::{Member, MemberView};
pub use message::{PeerReply, PeerRequest};
pub use traffic::PeerTraffic;
