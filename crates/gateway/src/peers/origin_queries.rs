//! Sends questions for the origins of streams, and answers those of other instances.

use super::PeerExchange;
use crate::messages::MessageBody;
use crate::stream_origins::ASKED_INSTANCES;
use catalogue::id::PoolName;
use decide::serving::stream_origins::StreamKey;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Sends questions for the life of the process
pub async fn send_queries(exchange: Rc<PeerExchange>) {
    loop {
        exchange.gateway.origin_queries.ready.notified().await;
        for (stream, pool) in exchange.gateway.origin_queries.take_unsent() {
            let addresses = {
                let table = exchange.table.borrow();
                let instances = table.present(Instant::now()).map(|(_, it)| it.address);
                instances.choose_multiple(&mut rand::rng(), ASKED_INSTANCES)
            };
            for address in addresses {
                let body = MessageBody::OriginQuery { stream, pool: pool.clone() };
                exchange.send(body, address).await;
            }
        }
    }
}

/// Answers a question of the instance at an address
pub fn answer(exchange: &Rc<PeerExchange>, stream: StreamKey, pool: PoolName, to: SocketAddr) {
    let exchange = exchange.clone();
    tokio::task::spawn_local(async move {
        let origin = exchange.gateway.stream_origins.borrow().get(stream).cloned();
        let view = exchange.gateway.version_view(&pool);
        exchange.send(MessageBody::OriginAnswer { stream, origin, view }, to).await;
    });
}
