//! Cuts between some instances and all endpoints, by the process that a connection comes from.

use crate::process::ProcessId;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

const NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
const HEADER_BYTES: u32 = 16;
const REQUEST_BYTES: u32 = 56;
const INODE_OFFSET: usize = 84;

/// How connections of a cut instance fail
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// All connections go silent; what was sent arrives after the cut
    Hang,
    /// All connections are reset
    Reset,
    /// New connections are reset; open ones live on
    ResetNew,
}

/// Instances that are cut from the endpoints
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CutState {
    cuts: Vec<(ProcessId, CutMode)>,
}

impl CutState {
    /// How connections of a process fail now; `None` if they don't
    pub fn mode(&self, process: ProcessId) -> Option<CutMode> {
        self.cuts.iter().find(|it| it.0 == process).map(|it| it.1)
    }

    /// Process among the cut ones that has opened the connection between two addresses
    pub fn owner(&self, client: SocketAddr, server: SocketAddr) -> Option<ProcessId> {
        if self.cuts.is_empty() {
            return None;
        }
        owner(self.cuts.iter().map(|it| it.0), client, server)
    }
}

/// Switch for the cuts at all endpoints that share it
#[derive(Debug, Clone, Default)]
pub struct CutSwitch(Arc<watch::Sender<CutState>>);

impl CutSwitch {
    /// Cuts a process from the endpoints
    pub fn cut(&self, process: ProcessId, mode: CutMode) {
        self.0.send_modify(|it| it.cuts.push((process, mode)));
    }

    /// Ends the cut of a process
    pub fn heal(&self, process: ProcessId) {
        self.0.send_modify(|it| it.cuts.retain(|it| it.0 != process));
    }

    /// Ends all cuts
    pub fn heal_all(&self) {
        self.0.send_modify(|it| it.cuts.clear());
    }

    /// Receives each change
    pub fn subscribe(&self) -> watch::Receiver<CutState> {
        self.0.subscribe()
    }
}

/// Process among `processes` that has opened the connection between two addresses
fn owner(
    mut processes: impl Iterator<Item = ProcessId>,
    client: SocketAddr,
    server: SocketAddr,
) -> Option<ProcessId> {
    let socket = format!("socket:[{}]", inode(client, server).ok()?);
    processes.find(|process| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let mut links = files.into_iter().flatten().flatten().flat_map(|it| it.path().read_link());
        links.any(|it| it.as_os_str() == socket.as_str())
    })
}

/// Inode of the client's socket, as the kernel's socket diagnosis (`sock_diag(7)`) tells it
///
/// # Errors
/// The kernel's, and `InvalidData` if there is no such socket.
fn inode(client: SocketAddr, server: SocketAddr) -> io::Result<u32> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (client, server) else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let mut request = Vec::new();
    request.extend((HEADER_BYTES + REQUEST_BYTES).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    request.extend([0; 4]);
    request.extend([u8::MAX; 8]);
    let mut socket =
        Socket::new(Domain::from(NETLINK), Type::DGRAM, Some(Protocol::from(NETLINK_SOCK_DIAG)))?;
    socket.send(&request)?;
    let mut answer = [0; 256];
    let length = socket.read(&mut answer)?;
    let inode = answer[..length].get(INODE_OFFSET..INODE_OFFSET + 4);
    let inode = inode.and_then(|it| it.try_into().ok()).map(u32::from_ne_bytes);
    inode.ok_or(io::ErrorKind::InvalidData.into())
}
