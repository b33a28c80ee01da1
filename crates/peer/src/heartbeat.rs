//! Actor that sends heartbeats and maintains the member table.

use crate::client::PeerClient;
use crate::error::{PeerError, PeerRefusal};
use crate::membership::{Member, MemberTable, MemberView};
use crate::message::{PeerReply, PeerRequest, PeerUpdate};
use catalogue::ListedInstance;
use catalogue::id::InstanceId;
use indexmap::IndexSet;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, SpawnErr};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Interval between heartbeats to one target
    pub interval: Duration,
    /// Timeout of a heartbeat
    pub timeout: Duration,
}

impl Default for HeartbeatTiming {
    fn default() -> HeartbeatTiming {
        HeartbeatTiming { interval: Duration::from_secs(1), timeout: Duration::from_secs(1) }
    }
}

/// Function that returns the number of requests in flight
pub type LoadFn = dyn Fn() -> u32 + Send + Sync;

/// Arguments of the heartbeat actor
pub struct HeartbeatArguments {
    /// This instance
    pub me: Member,
    /// Deployment of this instance and its peers
    pub deployment: SmolStr,
    /// Timing of heartbeats
    pub timing: HeartbeatTiming,
    /// Client for calls to peers
    pub client: PeerClient,
    /// Returns the number of requests in flight on this instance
    pub load: Arc<LoadFn>,
}

/// Handle to the heartbeat actor and its member view
#[derive(Debug, Clone)]
pub struct MemberHandle {
    actor: ActorRef<HeartbeatMessage>,
    view: watch::Receiver<Arc<MemberView>>,
}

/// Message to the heartbeat actor
pub enum HeartbeatMessage {
    /// A new version of the platform's list was read
    Listed(Arc<[ListedInstance]>),
    /// Heartbeats are due
    SendHeartbeats,
    /// A heartbeat to an instance completed
    HeartbeatDone(InstanceId, Result<PeerUpdate, PeerError>),
    /// A heartbeat was received; the port takes the reply
    HeartbeatReceived(PeerUpdate, RpcReplyPort<PeerUpdate>),
    /// Another call to an instance completed; true if the instance answered
    CallDone(InstanceId, bool),
}

impl MemberHandle {
    /// Starts the heartbeat actor
    ///
    /// # Errors
    /// `SpawnErr` if the actor system is shutting down.
    pub async fn start(arguments: HeartbeatArguments) -> Result<MemberHandle, SpawnErr> {
        let table = MemberTable::new(arguments.me.clone());
        let (publisher, view) = watch::channel(Arc::new(table.view(Instant::now())));
        let state = HeartbeatState { arguments, table, publisher };
        let (actor, _) = HeartbeatActor::spawn(None, HeartbeatActor, state).await?;
        Ok(MemberHandle { actor, view })
    }

    /// Current members
    pub fn view(&self) -> Arc<MemberView> {
        self.view.borrow().clone()
    }

    /// Changes of `view`
    pub fn subscribe(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.clone()
    }

    /// Replaces the platform's list of instances
    pub fn set_list(&self, listed: Arc<[ListedInstance]>) {
        let _ = self.actor.cast(HeartbeatMessage::Listed(listed));
    }

    /// Processes a received heartbeat and returns the reply
    ///
    /// # Errors
    /// `Stopping` if the actor has ended.
    pub async fn receive(&self, update: PeerUpdate) -> Result<PeerUpdate, PeerRefusal> {
        let message = |port| HeartbeatMessage::HeartbeatReceived(update, port);
        ractor::call!(self.actor, message).map_err(|_| PeerRefusal::Stopping)
    }

    /// Records whether an instance answered a call
    pub fn record_call(&self, id: &InstanceId, result: &Result<PeerReply, PeerError>) {
        let is_answer = result.as_ref().map_or_else(PeerError::is_answer, |_| true);
        let _ = self.actor.cast(HeartbeatMessage::CallDone(id.clone(), is_answer));
    }

    /// Stops the heartbeat actor
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}

struct HeartbeatActor;

struct HeartbeatState {
    arguments: HeartbeatArguments,
    table: MemberTable,
    publisher: watch::Sender<Arc<MemberView>>,
}

impl Actor for HeartbeatActor {
    type Msg = HeartbeatMessage;
    type State = HeartbeatState;
    type Arguments = HeartbeatState;

    async fn pre_start(
        &self,
        myself: ActorRef<HeartbeatMessage>,
        state: HeartbeatState,
    ) -> Result<HeartbeatState, ActorProcessingErr> {
        myself.send_interval(state.arguments.timing.interval, || HeartbeatMessage::SendHeartbeats);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<HeartbeatMessage>,
        message: HeartbeatMessage,
        state: &mut HeartbeatState,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            HeartbeatMessage::Listed(listed) => state.set_list(&listed, now),
            HeartbeatMessage::SendHeartbeats => state.send_heartbeats(&myself, now),
            HeartbeatMessage::HeartbeatDone(id, result) => state.finish_heartbeat(&id, result, now),
            HeartbeatMessage::HeartbeatReceived(update, port) => {
                let _ = port.send(state.receive(&update, now));
            }
            HeartbeatMessage::CallDone(id, true) => state.table.record_answer(&id, now),
            HeartbeatMessage::CallDone(id, false) => {
                state.table.record_failure(&id, now);
                state.publish(now);
            }
        }
        Ok(())
    }
}

impl HeartbeatState {
    fn set_list(&mut self, listed: &[ListedInstance], now: Instant) {
        self.table.set_list(listed, &self.arguments.deployment);
        let addresses: IndexSet<_> = self.table.addresses().collect();
        self.arguments.client.retain(|address| addresses.contains(address));
        self.publish(now);
    }

    fn send_heartbeats(&self, myself: &ActorRef<HeartbeatMessage>, now: Instant) {
        self.publish(now);
        for target in self.table.targets() {
            let client = self.arguments.client.clone();
            let request = PeerRequest::Ping(self.peer_update(now));
            let timeout = self.arguments.timing.timeout;
            let myself = myself.clone();
            tokio::spawn(async move {
                let result = match client.call(target.address, request, timeout).await {
                    Ok(PeerReply::Pong(update)) => Ok(update),
                    Ok(_) => Err(PeerError::WrongReply),
                    Err(error) => Err(error),
                };
                let _ = myself.cast(HeartbeatMessage::HeartbeatDone(target.id, result));
            });
        }
    }

    fn finish_heartbeat(
        &mut self,
        id: &InstanceId,
        result: Result<PeerUpdate, PeerError>,
        now: Instant,
    ) {
        match result {
            Ok(update) if update.instance == *id => {
                self.table.apply_update(&update, now);
                self.table.record_answer(id, now);
            }
            Ok(update) => {
                log::warn!("event=peer_address_taken instance={id} by={}", update.instance);
                self.table.record_failure(id, now);
            }
            Err(error) if error.is_answer() => self.table.record_answer(id, now),
            Err(error) => {
                log::debug!("event=heartbeat_failed instance={id} error={error:?}");
                self.table.record_failure(id, now);
            }
        }
    }

    fn receive(&mut self, update: &PeerUpdate, now: Instant) -> PeerUpdate {
        self.table.apply_update(update, now);
        self.table.record_answer(&update.instance, now);
        self.peer_update(now)
    }

    fn peer_update(&self, now: Instant) -> PeerUpdate {
        self.table.peer_update((self.arguments.load)(), now)
    }

    /// Publishes the members and logs each that went down or came back.
    fn publish(&self, now: Instant) {
        let view = self.table.view(now);
        let previous = self.publisher.borrow().clone();
        for member in &view.members {
            let was_live = previous.member(&member.id).is_none_or(|it| it.is_live);
            if was_live != member.is_live {
                log::info!("event=member instance={} live={}", member.id, member.is_live);
            }
        }
        self.publisher.send_replace(Arc::new(view));
    }
}
