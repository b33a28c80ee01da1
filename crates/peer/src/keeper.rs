//! The actor that sends heartbeats and keeps the member table.

use crate::client::PeerClient;
use crate::error::{PeerError, PeerRefusal};
use crate::membership::{Member, MemberTable, MemberView};
use crate::message::{PeerNews, PeerReply, PeerRequest};
use catalogue::ListedInstance;
use catalogue::id::InstanceId;
use indexmap::IndexSet;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, SpawnErr};
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Times of heartbeats
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTimes {
    /// Time between heartbeats to one target
    pub interval: Duration,
    /// Time for an answer
    pub timeout: Duration,
}

impl Default for HeartbeatTimes {
    fn default() -> HeartbeatTimes {
        HeartbeatTimes { interval: Duration::from_secs(1), timeout: Duration::from_secs(1) }
    }
}

/// Function that counts the requests in flight
pub type LoadFn = dyn Fn() -> u32 + Send + Sync;

/// What a keeper starts from
pub struct KeeperArguments {
    /// The instance itself
    pub me: Member,
    /// Deployment that its peers belong to
    pub deployment: SmolStr,
    /// Times of heartbeats
    pub times: HeartbeatTimes,
    /// Client to reach peers with
    pub client: PeerClient,
    /// Requests in flight here
    pub load: Arc<LoadFn>,
}

/// Handle to the members
#[derive(Debug, Clone)]
pub struct MemberHandle {
    keeper: ActorRef<KeeperMessage>,
    view: watch::Receiver<Arc<MemberView>>,
}

/// Message to the keeper
pub enum KeeperMessage {
    /// The platform's list was read
    Listed(Arc<[ListedInstance]>),
    /// Time to send heartbeats
    Beat,
    /// A heartbeat ended
    Beaten(InstanceId, Result<PeerNews, PeerError>),
    /// A heartbeat came in
    Heard(PeerNews, RpcReplyPort<PeerNews>),
    /// Another call found an instance answering or not
    Called(InstanceId, bool),
}

impl MemberHandle {
    /// Starts the keeper
    ///
    /// # Errors
    /// `SpawnErr` if the actor system is shutting down.
    pub async fn start(arguments: KeeperArguments) -> Result<MemberHandle, SpawnErr> {
        let table = MemberTable::new(arguments.me.clone());
        let (publisher, view) = watch::channel(Arc::new(table.view(Instant::now())));
        let state = KeeperState { arguments, table, publisher };
        let (keeper, _) = MemberKeeper::spawn(None, MemberKeeper, state).await?;
        Ok(MemberHandle { keeper, view })
    }

    /// The members now
    pub fn view(&self) -> Arc<MemberView> {
        self.view.borrow().clone()
    }

    /// The members as they change
    pub fn subscribe(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.clone()
    }

    /// Takes over the platform's list
    pub fn set_list(&self, listed: Arc<[ListedInstance]>) {
        let _ = self.keeper.cast(KeeperMessage::Listed(listed));
    }

    /// Takes in a heartbeat and gives the news to answer with
    ///
    /// # Errors
    /// `Stopping` once the keeper has ended.
    pub async fn hear(&self, news: PeerNews) -> Result<PeerNews, PeerRefusal> {
        let heard = |port| KeeperMessage::Heard(news, port);
        ractor::call!(self.keeper, heard).map_err(|_| PeerRefusal::Stopping)
    }

    /// Notes how a call to an instance went
    pub fn note_call(&self, id: &InstanceId, result: &Result<PeerReply, PeerError>) {
        let is_answer = result.as_ref().map_or_else(PeerError::is_answer, |_| true);
        let _ = self.keeper.cast(KeeperMessage::Called(id.clone(), is_answer));
    }

    /// Ends the keeper
    pub fn stop(&self) {
        self.keeper.stop(None);
    }
}

struct MemberKeeper;

struct KeeperState {
    arguments: KeeperArguments,
    table: MemberTable,
    publisher: watch::Sender<Arc<MemberView>>,
}

impl Actor for MemberKeeper {
    type Msg = KeeperMessage;
    type State = KeeperState;
    type Arguments = KeeperState;

    async fn pre_start(
        &self,
        myself: ActorRef<KeeperMessage>,
        state: KeeperState,
    ) -> Result<KeeperState, ActorProcessingErr> {
        myself.send_interval(state.arguments.times.interval, || KeeperMessage::Beat);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<KeeperMessage>,
        message: KeeperMessage,
        state: &mut KeeperState,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            KeeperMessage::Listed(listed) => state.set_list(&listed, now),
            KeeperMessage::Beat => state.beat(&myself, now),
            KeeperMessage::Beaten(id, result) => state.note_beat(&id, result, now),
            KeeperMessage::Heard(news, port) => {
                let _ = port.send(state.hear(&news, now));
            }
            KeeperMessage::Called(id, true) => state.table.note_answer(&id, now),
            KeeperMessage::Called(id, false) => {
                state.table.note_failure(&id, now);
                state.publish(now);
            }
        }
        Ok(())
    }
}

impl KeeperState {
    fn set_list(&mut self, listed: &[ListedInstance], now: Instant) {
        self.table.set_list(listed, &self.arguments.deployment);
        let addresses: IndexSet<_> = self.table.addresses().collect();
        self.arguments.client.retain(|address| addresses.contains(address));
        self.publish(now);
    }

    fn beat(&self, myself: &ActorRef<KeeperMessage>, now: Instant) {
        self.publish(now);
        for target in self.table.targets() {
            let client = self.arguments.client.clone();
            let request = PeerRequest::Ping(self.news(now));
            let timeout = self.arguments.times.timeout;
            let myself = myself.clone();
            tokio::spawn(async move {
                let result = match client.call(target.address, request, timeout).await {
                    Ok(PeerReply::Pong(news)) => Ok(news),
                    Ok(_) => Err(PeerError::WrongReply),
                    Err(error) => Err(error),
                };
                let _ = myself.cast(KeeperMessage::Beaten(target.id, result));
            });
        }
    }

    fn note_beat(&mut self, id: &InstanceId, result: Result<PeerNews, PeerError>, now: Instant) {
        match result {
            Ok(news) if news.instance == *id => {
                self.table.note_news(&news, now);
                self.table.note_answer(id, now);
            }
            Ok(news) => {
                log::warn!("event=peer_address_taken instance={id} by={}", news.instance);
                self.table.note_failure(id, now);
            }
            Err(error) if error.is_answer() => self.table.note_answer(id, now),
            Err(error) => {
                log::debug!("event=heartbeat_failed instance={id} error={error:?}");
                self.table.note_failure(id, now);
            }
        }
    }

    fn hear(&mut self, news: &PeerNews, now: Instant) -> PeerNews {
        self.table.note_news(news, now);
        self.table.note_answer(&news.instance, now);
        self.news(now)
    }

    fn news(&self, now: Instant) -> PeerNews {
        self.table.news((self.arguments.load)(), now)
    }

    /// Publishes the members and logs each that was found down or came back.
    fn publish(&self, now: Instant) {
        let view = self.table.view(now);
        let earlier = self.publisher.borrow().clone();
        for member in &view.members {
            let was_live = earlier.member(&member.id).is_none_or(|it| it.is_live);
            if was_live != member.is_live {
                log::info!("event=member instance={} live={}", member.id, member.is_live);
            }
        }
        self.publisher.send_replace(Arc::new(view));
    }
}
