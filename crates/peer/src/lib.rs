//! Messages and connections between instances.
//!
//! An instance calls each peer over one `h2` connection. A call is one `h2` stream that
//! carries one frame in each direction: a version, a length and a `bincode` body. Both
//! sides prove that they know the shared secret before the first stream.
//!
//! Membership tracks which instances are considered live and which of them is the home
//! of a key. It may be wrong for a while; no guarantee depends on its accuracy.

pub mod auth;
pub mod client;
mod connection;
pub mod error;
pub mod frame;
pub mod heartbeat;
pub mod membership;
pub mod message;
pub mod ring;
pub mod server;
pub mod timing;
pub mod traffic;

pub use auth::PeerSecret;
pub use client::PeerClient;
pub use error::{PeerError, PeerRefusal};
pub use heartbeat::MemberHandle;
pub use membership::{Member, MemberView};
pub use message::{PeerReply, PeerRequest};
pub use traffic::PeerTraffic;
