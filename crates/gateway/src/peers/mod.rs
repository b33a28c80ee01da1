//! Messages between instances: work in flight and updates of the store.
//!
//! Instances list their addresses in the platform's store, and ask each other whether they
//! still answer. Messages are datagrams, since only the newest matters and the next one
//! replaces a lost one. Few instances form a full mesh and send their work directly to each
//! other. With many, each sends it to the leader of its zone, which replies with the work of
//! all others. The overall leader of a full mesh, or the leader of each zone, also sends what
//! it reads from the store, so that the others needn't read it. What one has learned of
//! crashing requests and leaving endpoints is sent once and repaired where digests differ. A
//! configuration that is too large for a datagram is transferred over TCP to those that ask
//! for it.

pub mod config_transfer;
mod duty_updates;
mod listing;
mod origin_queries;
mod port;
mod presence;
pub mod repair;
mod store_updates;

pub use listing::{format_entry, parse_entry, unlist};

use crate::background::BackgroundTasks;
use crate::boot_clock::boot_time;
use crate::duty_messages::DUTY_BYTE;
use crate::duty_task::hold_lease;
use crate::error::GatewayError;
use crate::link_evidence::ReportedLink;
use crate::listen;
use crate::messages::{
    MAX_MESSAGE_BYTES, MessageBody, PeerMessage, ServingUpdate, WorkScope, received_work, work_body,
};
use crate::state::Gateway;
use crate::suspect_store::keep_suspects;
use crate::usage::reporting::report_usage;
use crate::usage::sending::send_counts;
use catalogue::id::InstanceId;
use decide::serving::leader::{InstanceTable, PeerInstance};
use decide::serving::load::EndpointWork;
use indexmap::IndexMap;
use repair::{DigestPair, RepairSchedule};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// Interval of messages while work changes. Requests take about 30 ms; in the load model, 20 ms instead
/// of 40 ms serves 5% more of them in time.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of messages through leaders, whose work grows with the square of their members.
const LEADER_MESSAGE_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of messages while nothing changes.
const IDLE_MESSAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a message after which a leader removes a member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

type SharedTable = Rc<RefCell<InstanceTable>>;

/// Instance that sends its work to this one as its leader
struct ZoneMember {
    address: SocketAddr,
    received_at: Instant,
}

/// Sends and receives messages on one socket
struct PeerExchange {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    table: SharedTable,
    members: RefCell<IndexMap<InstanceId, ZoneMember>>,
    /// Updates to be relayed by this instance as a leader, from its members and from other zones
    member_update: RefCell<ServingUpdate>,
    zone_update: RefCell<ServingUpdate>,
    /// Whether other instances' work was received since the last relay
    has_received_work: Cell<bool>,
    repairs: RefCell<RepairSchedule>,
}

/// Starts sending and receiving messages, and answering transfers
///
/// # Errors
/// `GatewayError::Bind` if the port is in use.
pub async fn start(gateway: Rc<Gateway>, tasks: &mut BackgroundTasks) -> Result<(), GatewayError> {
    let address = SocketAddr::new(gateway.settings.ip, gateway.settings.peer_port);
    let socket =
        UdpSocket::bind(address).await.map_err(|error| GatewayError::Bind { address, error })?;
    let listener =
        TcpListener::bind(address).await.map_err(|error| GatewayError::Bind { address, error })?;
    tasks.spawn(listen::accept(gateway.clone(), listener, port::start_connection));
    let table = gateway.instances.clone();
    tasks.spawn(listing::keep_listed(gateway.clone(), table.clone()));
    let exchange = Rc::new(PeerExchange {
        gateway,
        socket,
        table,
        members: RefCell::default(),
        member_update: RefCell::default(),
        zone_update: RefCell::default(),
        has_received_work: Cell::default(),
        repairs: RefCell::default(),
    });
    tasks.spawn(receive(exchange.clone()));
    tasks.spawn(store_updates::send_updates(exchange.clone()));
    tasks.spawn(origin_queries::send_queries(exchange.clone()));
    tasks.spawn(presence::ask_silent(exchange.clone()));
    let reader = exchange.clone();
    tasks.spawn(keep_suspects(exchange.gateway.clone(), move |now| reader.is_reader(now)));
    if exchange.gateway.settings.duties.is_some() {
        tasks.spawn(duty_updates::send_duties(exchange.clone()));
        let reader = exchange.clone();
        tasks.spawn(hold_lease(exchange.gateway.clone(), move |now| reader.is_reader(now)));
    }
    if exchange.gateway.usage.is_some() {
        let sender = exchange.clone();
        tasks.spawn(async move { send_counts(&sender.gateway, &sender.socket).await });
        tasks.spawn(report_usage(exchange.gateway.clone()));
    }
    tasks.spawn(send_work(exchange));
    Ok(())
}

async fn receive(exchange: Rc<PeerExchange>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        match exchange.socket.recv_from(&mut buffer).await {
            Ok((length, address)) => exchange.handle_datagram(&buffer[..length], address).await,
            Err(error) => log::debug!("event=peer_message_lost error={error}"),
        }
    }
}

/// Handles a message; an error in the code ends neither the task nor the process
fn handle_safely(exchange: &Rc<PeerExchange>, message: PeerMessage, address: SocketAddr) {
    let instance = message.instance.clone();
    let handle = || exchange.handle_message(message, address);
    if catch_unwind(AssertUnwindSafe(handle)).is_err() {
        log::error!("event=peer_message_failed instance={instance} from={address}");
    }
}

impl PeerExchange {
    async fn handle_datagram(self: &Rc<PeerExchange>, bytes: &[u8], address: SocketAddr) {
        if bytes.first() == Some(&DUTY_BYTE) && self.gateway.settings.duties.is_some() {
            return duty_updates::receive(self, bytes, address).await;
        }
        match PeerMessage::decode(bytes) {
            Some(message) => handle_safely(self, message, address),
            None => log::debug!("event=peer_message_unreadable from={address}"),
        }
    }

    fn handle_message(self: &Rc<PeerExchange>, message: PeerMessage, address: SocketAddr) {
        let now = Instant::now();
        let instance = message.instance.clone();
        let digest = message.digest;
        self.gateway.record_reported_link(&instance, ReportedLink::of(&message));
        if message.instances > 0 {
            self.gateway.load.borrow_mut().record_reported(message.instances as usize, now);
        }
        let is_full_mesh = {
            let mut table = self.table.borrow_mut();
            if table.insert(instance.clone(), message.sender(address)) {
                log::info!("event=peer_found instance={instance} address={address}");
            }
            if table.record_received(&instance, now) {
                // The others may have removed the entry of an instance that was cut off or suspended.
                self.gateway.list_read_due.notify_one();
            }
            table.is_full_mesh(now)
        };
        // In a larger group the next message may not come before the repair would be due.
        let is_repaired = is_full_mesh || !message.body.is_origin();
        self.handle_body(message, address, is_full_mesh, now);
        let digests = DigestPair { own: self.gateway.fact_digest(), other: digest };
        if digests.is_same() {
            self.gateway.has_joined.set(true);
        }
        if is_repaired {
            self.repairs.borrow_mut().observe(&instance, address, digests, now);
        }
    }

    fn handle_body(
        self: &Rc<PeerExchange>,
        message: PeerMessage,
        address: SocketAddr,
        is_full_mesh: bool,
        now: Instant,
    ) {
        let instance = message.instance;
        let load = &self.gateway.load;
        match message.body {
            MessageBody::Store(update)
                if is_full_mesh || message.zone == self.gateway.settings.zone =>
            {
                store_updates::apply(&self.gateway, update, address, now);
            }
            MessageBody::Store(_) => {}
            MessageBody::Repair(repair) => self.gateway.apply_repair(&repair),
            MessageBody::OriginQuery { stream, pool } => {
                origin_queries::answer(self, stream, pool, address);
            }
            MessageBody::OriginAnswer { stream, origin, view } => {
                self.gateway.apply_origin_answer(stream, origin, view);
            }
            MessageBody::Work(WorkScope::Rest, work, update) => {
                self.gateway.apply_update(&update);
                load.borrow_mut().apply_leader_report(received_work(work), now);
            }
            MessageBody::Work(scope, work, update) => {
                self.gateway.apply_update(&update);
                if !is_full_mesh {
                    self.queue_update(scope, update);
                }
                if scope == WorkScope::Own && !is_full_mesh {
                    let member = ZoneMember { address, received_at: now };
                    self.members.borrow_mut().insert(instance.clone(), member);
                }
                load.borrow_mut().apply_report(instance, received_work(work), now);
                self.has_received_work.set(true);
            }
        }
    }

    /// Queues an update that this leader is to relay
    fn queue_update(&self, scope: WorkScope, update: ServingUpdate) {
        let queued = if scope == WorkScope::Own { &self.member_update } else { &self.zone_update };
        queued.borrow_mut().extend(update);
    }

    async fn send(&self, body: MessageBody, address: SocketAddr) {
        let settings = &self.gateway.settings;
        let sender = PeerInstance {
            address: SocketAddr::new(settings.ip, settings.peer_port),
            zone: settings.zone.clone(),
            power: settings.power,
        };
        let instances = self.gateway.load.borrow().reported_instances();
        let digest = self.gateway.fact_digest();
        let instance = settings.instance.clone();
        let reaches = !self.gateway.link.is_cut();
        let mut message = PeerMessage::new(instance, &sender, instances, digest, reaches, body);
        message.takes_requests = self.gateway.takes_requests();
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("event=peer_message_failed error={error}");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            log::debug!("event=peer_message_failed to={address} error={error}");
        }
    }

    /// Sends this instance's work to all others
    async fn send_to_all(&self, work: &EndpointWork, update: ServingUpdate, now: Instant) {
        let peers = {
            let mut table = self.table.borrow_mut();
            let peers = table.present(now).map(|(id, it)| (id.clone(), it.address));
            let peers = peers.collect::<Vec<_>>();
            for (id, _) in &peers {
                table.record_sent(id, now);
            }
            peers
        };
        for (_, address) in peers {
            self.send(work_body(WorkScope::Own, work, update.clone()), address).await;
        }
    }

    /// Sends this instance's work to the instances that the settings name, so that they answer; no other is known
    async fn send_to_seeds(&self, work: &EndpointWork) {
        let settings = &self.gateway.settings;
        for ip in &settings.seeds {
            let address = SocketAddr::new(*ip, settings.peer_port);
            let body = work_body(WorkScope::Own, work, ServingUpdate::default());
            self.send(body, address).await;
        }
    }

    /// Leader of the own zone; `None` if it is this instance
    fn zone_leader(&self, now: Instant) -> Option<(InstanceId, SocketAddr)> {
        let settings = &self.gateway.settings;
        let own = Some((&settings.instance, settings.power));
        let table = self.table.borrow();
        table.leader(&settings.zone, own, now).map(|(id, it)| (id.clone(), it.address))
    }

    /// Whether this instance reads the store for others: in a full mesh for all, otherwise for its zone
    fn reads_for_others(&self, now: Instant) -> bool {
        let settings = &self.gateway.settings;
        let table = self.table.borrow();
        if table.is_full_mesh(now) {
            table.overall_leader((&settings.instance, settings.power), now).is_none()
        } else {
            table.leader(&settings.zone, Some((&settings.instance, settings.power)), now).is_none()
        }
    }

    /// Whether this instance is known to read the store for others; until the others are listed, each would take
    /// itself for the one that reads
    fn is_reader(&self, now: Instant) -> bool {
        let is_listed = self.gateway.load.borrow().listed_instances().is_some();
        is_listed && self.reads_for_others(now)
    }

    /// Relays work and updates to the members of the zone and to the leaders of other zones
    async fn relay_as_leader(&self, own_update: ServingUpdate, now: Instant) {
        let mut zone_update = own_update;
        zone_update.extend(self.member_update.take());
        let mut all_update = zone_update.clone();
        all_update.extend(self.zone_update.take());
        let members = {
            let mut members = self.members.borrow_mut();
            members.retain(|_, it| now.saturating_duration_since(it.received_at) < MEMBER_TIMEOUT);
            members.iter().map(|(id, it)| (id.clone(), it.address)).collect::<IndexMap<_, _>>()
        };
        for (member, address) in &members {
            let rest = self.gateway.load.borrow().total_without(member);
            self.send(work_body(WorkScope::Rest, &rest, all_update.clone()), *address).await;
        }
        let zone = self.gateway.load.borrow().total_with(|it| members.contains_key(it));
        let leaders = {
            let mut table = self.table.borrow_mut();
            let zones = table.zones().into_iter().filter(|it| *it != self.gateway.settings.zone);
            let leaders = zones
                .filter_map(|it| {
                    table.leader(&it, None, now).map(|(id, it)| (id.clone(), it.address))
                })
                .collect::<Vec<_>>();
            for (id, _) in &leaders {
                table.record_sent(id, now);
            }
            leaders
        };
        for (_, address) in leaders {
            self.send(work_body(WorkScope::Zone, &zone, zone_update.clone()), address).await;
        }
    }
}

async fn send_work(exchange: Rc<PeerExchange>) {
    let gateway = exchange.gateway.clone();
    let mut last_sent = EndpointWork::new();
    let mut last_sent_at = Instant::now();
    let mut last_takes = false;
    loop {
        let is_full_mesh = exchange.table.borrow().is_full_mesh(Instant::now());
        sleep(if is_full_mesh { MESSAGE_INTERVAL } else { LEADER_MESSAGE_INTERVAL }).await;
        let now = Instant::now();
        exchange.send_repairs(now).await;
        gateway.load.borrow_mut().expire(now);
        gateway.config_confirmation.borrow_mut().record_active(boot_time());
        gateway.update_limits(now);
        // A cut instance's requests don't reach the endpoints, or not before it gives them up.
        let work = match gateway.link.is_cut() {
            true => EndpointWork::new(),
            false => gateway.load.borrow().own().clone(),
        };
        let takes = gateway.takes_requests();
        let is_due = work != last_sent
            || takes != last_takes
            || now.saturating_duration_since(last_sent_at) >= IDLE_MESSAGE_INTERVAL;
        if exchange.table.borrow().is_empty() {
            if is_due {
                exchange.send_to_seeds(&work).await;
            }
        } else if is_full_mesh {
            if is_due {
                exchange.send_to_all(&work, gateway.pending_update.take(), now).await;
            }
        } else if let Some((leader, address)) = exchange.zone_leader(now) {
            if is_due {
                exchange.table.borrow_mut().record_sent(&leader, now);
                let update = gateway.pending_update.take();
                exchange.send(work_body(WorkScope::Own, &work, update), address).await;
            }
        } else if is_due || exchange.has_received_work.take() {
            exchange.relay_as_leader(gateway.pending_update.take(), now).await;
        }
        if is_due {
            let instances = gateway.load.borrow().max_instances();
            gateway.metrics.instances.set(i64::try_from(instances).unwrap_or(i64::MAX));
            last_sent = work;
            last_takes = takes;
            last_sent_at = now;
        }
    }
}
