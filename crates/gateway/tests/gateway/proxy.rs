//! Loopback TCP proxy that injects faults into connections.

use crate::cut::{CutMode, CutState, CutSwitch};
use crate::process::ProcessId;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval of checks whether held bytes may be forwarded.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does to its connections
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards bytes
    Forward,
    /// Forwards bytes after a delay
    Delay(Duration),
    /// Closes open connections and resets new ones
    Reset,
    /// Holds back bytes to the server
    HoldRequests,
    /// Holds back bytes from the server
    HoldAnswers,
    /// Holds back bytes in both directions
    HoldBoth,
}

/// Link with limited bandwidth, possibly shared by several proxies
#[derive(Debug)]
pub struct LimitedLink {
    bytes_per_s: f64,
    is_free_at: Mutex<Instant>,
}

impl LimitedLink {
    /// Idle link of this bandwidth
    pub fn new(bytes_per_s: f64) -> Arc<LimitedLink> {
        Arc::new(LimitedLink { bytes_per_s, is_free_at: Mutex::new(Instant::now()) })
    }

    /// Adds bytes to those that wait for the link; returns when the last one has passed
    fn reserve(&self, bytes: usize) -> Instant {
        let mut is_free_at = self.is_free_at.lock().expect("no panic");
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *is_free_at = Instant::now().max(*is_free_at) + time;
        *is_free_at
    }
}

/// Direction of bytes through the proxy
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Proxy that runs until the test ends
pub struct FaultProxy {
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    is_listening: watch::Sender<bool>,
}

impl FaultProxy {
    /// Starts a proxy to a server
    pub async fn start(server: SocketAddr) -> FaultProxy {
        FaultProxy::start_limited(server, Vec::new()).await
    }

    /// Starts a proxy to a server whose answers pass all of these links
    pub async fn start_limited(server: SocketAddr, links: Vec<Arc<LimitedLink>>) -> FaultProxy {
        FaultProxy::start_behind(server, links, CutSwitch::default()).await
    }

    /// Starts such a proxy from which instances can be cut
    pub async fn start_behind(
        server: SocketAddr,
        links: Vec<Arc<LimitedLink>>,
        cuts: CutSwitch,
    ) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("bound");
        let (mode, modes) = watch::channel(ProxyMode::Forward);
        let is_listening = watch::Sender::new(true);
        let listening = is_listening.subscribe();
        tokio::spawn(accept(listener, listening, move |socket| {
            let faults = ConnectionFaults::of(&socket, modes.clone(), &cuts);
            tokio::spawn(proxy_connection(socket, server, faults, links.clone()));
        }));
        FaultProxy { address, mode, is_listening }
    }

    /// Closes or reopens the listener; connections that are open stay so
    pub fn set_listening(&self, is_listening: bool) {
        self.is_listening.send_replace(is_listening);
    }

    /// Sets the mode, also for open connections
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections while the listener is to be open
async fn accept(
    mut listener: TcpListener,
    mut listening: watch::Receiver<bool>,
    on_connection: impl Fn(TcpStream),
) {
    let address = listener.local_addr().expect("bound");
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => on_connection(socket),
                Err(_) => return,
            },
            changed = listening.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if !*listening.borrow_and_update() {
            drop(listener);
            if listening.wait_for(|it| *it).await.is_err() {
                return;
            }
            listener = TcpListener::bind(address).await.expect("its own address");
        }
    }
}

/// Faults that apply to one connection
#[derive(Clone)]
struct ConnectionFaults {
    modes: watch::Receiver<ProxyMode>,
    cuts: watch::Receiver<CutState>,
    client: SocketAddr,
    proxy: SocketAddr,
    /// Instance that has opened it, once that is cut
    owner: Option<ProcessId>,
}

impl ConnectionFaults {
    fn of(
        socket: &TcpStream,
        modes: watch::Receiver<ProxyMode>,
        cuts: &CutSwitch,
    ) -> ConnectionFaults {
        let client = socket.peer_addr().expect("open socket");
        let proxy = socket.local_addr().expect("open socket");
        let cuts = cuts.subscribe();
        let owner = cuts.borrow().owner(client, proxy);
        ConnectionFaults { modes, cuts, client, proxy, owner }
    }

    fn cut_mode(&mut self) -> Option<CutMode> {
        let state = self.cuts.borrow_and_update();
        self.owner = self.owner.or_else(|| state.owner(self.client, self.proxy));
        self.owner.and_then(|it| state.mode(it))
    }

    fn is_held(&self, direction: Direction) -> bool {
        let cut = self.owner.and_then(|it| self.cuts.borrow().mode(it));
        cut == Some(CutMode::Hang) || is_held(*self.modes.borrow(), direction)
    }

    /// Waits until the connection is to be reset; `on_change` receives the faults at each change of cuts
    async fn wait_reset(mut self, on_change: impl Fn(&ConnectionFaults)) {
        loop {
            if self.cut_mode() == Some(CutMode::Reset) {
                return;
            }
            on_change(&self);
            let is_reset = |it: &ProxyMode| *it == ProxyMode::Reset;
            let reset = async { self.modes.wait_for(is_reset).await.map(|_| ()) };
            tokio::select! {
                _ = reset => return,
                _ = self.cuts.changed() => {}
            }
        }
    }
}

async fn proxy_connection(
    client: TcpStream,
    server: SocketAddr,
    mut faults: ConnectionFaults,
    links: Vec<Arc<LimitedLink>>,
) {
    let is_cut = matches!(faults.cut_mode(), Some(CutMode::Reset | CutMode::ResetNew));
    if is_cut || *faults.modes.borrow_and_update() == ProxyMode::Reset {
        client.set_zero_linger().expect("open socket");
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    for socket in [&client, &server] {
        socket.set_nodelay(true).expect("open socket");
    }
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let (current, held) = watch::channel(faults.clone());
    let tasks = [
        tokio::spawn(copy(from_client, to_server, held.clone(), Direction::ToServer, Vec::new())),
        tokio::spawn(copy(from_server, to_client, held, Direction::ToClient, links)),
    ];
    let aborts = tasks.each_ref().map(|it| it.abort_handle());
    let [to_server, to_client] = tasks;
    let ended = async { tokio::join!(to_server, to_client) };
    tokio::select! {
        _ = ended => {}
        // Dropping the socket halves closes both connections, possibly in the middle of an answer.
        () = faults.wait_reset(|it| { current.send_replace(it.clone()); }) => {
            aborts.iter().for_each(|it| it.abort());
        }
    }
}

/// Copies bytes until the source ends, then closes the sink
async fn copy(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    faults: watch::Receiver<ConnectionFaults>,
    direction: Direction,
    links: Vec<Arc<LimitedLink>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = source.read(&mut buffer).await.unwrap_or(0);
        let mode = *faults.borrow().modes.borrow();
        if let Some(passed_at) = links.iter().map(|it| it.reserve(count)).max() {
            tokio::time::sleep_until(passed_at).await;
        }
        if let ProxyMode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        while faults.borrow().is_held(direction) {
            tokio::time::sleep(HOLD_POLL_INTERVAL).await;
        }
        if count == 0 || sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn is_held(mode: ProxyMode, direction: Direction) -> bool {
    match mode {
        ProxyMode::HoldBoth => true,
        ProxyMode::HoldRequests => direction == Direction::ToServer,
        ProxyMode::HoldAnswers => direction == Direction::ToClient,
        ProxyMode::Forward | ProxyMode::Delay(_) | ProxyMode::Reset => false,
    }
}
