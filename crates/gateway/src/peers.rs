//! Messages between instances: what each has in flight.
//!
//! An instance lists its address in the platform's store and reads the others' there.
//! Messages are datagrams, since only the newest matters and a lost one is replaced by
//! the next.

use crate::error::GatewayError;
use crate::state::Gateway;
use catalogue::id::{EndpointId, InstanceId};
use decide::serving::load::WorkCount;
use indexmap::IndexMap;
use platform_adapter::store::INSTANCE_TOPIC;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};

/// Pause between messages while work changes; requests take about 80 ms.
const MESSAGE_PAUSE: Duration = Duration::from_millis(40);
/// Pause between messages while nothing changes.
const QUIET_PAUSE: Duration = Duration::from_millis(500);
/// Pause between readings of the instances' addresses.
const ADDRESS_PAUSE: Duration = Duration::from_secs(10);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a silent peer gets no messages.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Largest message, in bytes; fits one packet.
const MAX_MESSAGE_BYTES: usize = 1400;
/// Version of the message format.
const MESSAGE_VERSION: u8 = 1;

/// Message to all peers
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadMessage {
    /// Version of the format
    pub version: u8,
    /// Sender
    pub instance: InstanceId,
    /// Requests and unread prompt tokens by endpoint
    pub work: Vec<(EndpointId, u32, u64)>,
}

/// Peer that gets messages
#[derive(Debug, Clone, Copy)]
struct PeerAddress {
    address: SocketAddr,
    seen_at: Instant,
}

type PeerTable = Rc<RefCell<IndexMap<InstanceId, PeerAddress>>>;

/// Starts the exchange of messages
///
/// # Errors
/// `Bind` if the port is taken.
pub async fn start(gateway: Rc<Gateway>) -> Result<(), GatewayError> {
    let address = SocketAddr::new(gateway.settings.ip, gateway.settings.peer_port);
    let socket =
        UdpSocket::bind(address).await.map_err(|error| GatewayError::Bind { address, error })?;
    let socket = Rc::new(socket);
    let peers = PeerTable::default();
    tokio::task::spawn_local(keep_listed(gateway.clone(), peers.clone()));
    tokio::task::spawn_local(receive(gateway.clone(), socket.clone(), peers.clone()));
    tokio::task::spawn_local(tell(gateway, socket, peers));
    Ok(())
}

/// Encodes a message
///
/// # Errors
/// The encoder's error.
pub fn encode(message: &LoadMessage) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
}

/// Decodes a message; `None` for one of another version or sender
pub fn decode(bytes: &[u8]) -> Option<LoadMessage> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, _): (LoadMessage, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    Some(message).filter(|it| it.version == MESSAGE_VERSION)
}

async fn keep_listed(gateway: Rc<Gateway>, peers: PeerTable) {
    let settings = &gateway.settings;
    let own = SocketAddr::new(settings.ip, settings.peer_port).to_string();
    loop {
        let result = gateway.store.newest(INSTANCE_TOPIC).await;
        let records = match result {
            Ok(batch) => batch.records,
            Err(error) => {
                log::debug!("event=instances_unread error={error}");
                Vec::new()
            }
        };
        let mut is_listed = false;
        for record in &records {
            let Some(address) = record.value.as_deref().and_then(parse_address) else {
                continue;
            };
            if record.key == settings.instance {
                is_listed = address.to_string() == own;
            } else {
                let peer = PeerAddress { address, seen_at: Instant::now() };
                peers.borrow_mut().insert(record.key.clone(), peer);
            }
        }
        gateway.load.borrow_mut().listed(peers.borrow().len() + 1);
        if is_listed {
            sleep(ADDRESS_PAUSE).await;
            continue;
        }
        match gateway.store.append(INSTANCE_TOPIC, &settings.instance, own.as_bytes()).await {
            Ok(()) => log::info!("event=listed address={own} peers={}", peers.borrow().len()),
            Err(error) => log::warn!("event=not_listed error={error}"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn parse_address(value: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, peers: PeerTable) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=peer_message_lost error={error}");
                continue;
            }
        };
        let Some(message) = decode(&buffer[..length]) else {
            log::debug!("event=peer_message_unreadable from={address}");
            continue;
        };
        let now = Instant::now();
        let peer = PeerAddress { address, seen_at: now };
        if peers.borrow_mut().insert(message.instance.clone(), peer).is_none() {
            log::info!("event=peer_found instance={} address={address}", message.instance);
        }
        let work = message.work.into_iter().map(|(endpoint, requests, unread_tokens)| {
            (endpoint, WorkCount { requests, unread_tokens })
        });
        gateway.load.borrow_mut().heard(message.instance, work.collect(), now);
    }
}

async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, peers: PeerTable) {
    let mut ticks = interval(MESSAGE_PAUSE);
    let mut told = Vec::new();
    let mut told_at = Instant::now();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        gateway.load.borrow_mut().expire(now);
        let work = own_work(&gateway);
        let is_new = work != told;
        if !is_new && now.saturating_duration_since(told_at) < QUIET_PAUSE {
            continue;
        }
        peers.borrow_mut().retain(|_, it| now.saturating_duration_since(it.seen_at) < FORGET_AFTER);
        let instances = gateway.load.borrow().instances();
        gateway.meters.instances.set(i64::try_from(instances).unwrap_or(i64::MAX));
        let instance = gateway.settings.instance.clone();
        let message = LoadMessage { version: MESSAGE_VERSION, instance, work: work.clone() };
        match encode(&message) {
            Ok(bytes) => send_to_all(&socket, &peers, &bytes).await,
            Err(error) => log::warn!("event=peer_message_failed error={error}"),
        }
        told = work;
        told_at = now;
    }
}

fn own_work(gateway: &Gateway) -> Vec<(EndpointId, u32, u64)> {
    let load = gateway.load.borrow();
    let mut work = load
        .own()
        .iter()
        .map(|(id, it)| (id.clone(), it.requests, it.unread_tokens))
        .collect::<Vec<_>>();
    work.sort();
    work
}

async fn send_to_all(socket: &UdpSocket, peers: &PeerTable, bytes: &[u8]) {
    let addresses = peers.borrow().values().map(|it| it.address).collect::<Vec<_>>();
    for address in addresses {
        if let Err(error) = socket.send_to(bytes, address).await {
            log::debug!("event=peer_message_failed to={address} error={error}");
        }
    }
}
