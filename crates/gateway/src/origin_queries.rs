//! Questions to other instances for the origins of streams.

use catalogue::id::PoolName;
use decide::serving::stream_origins::{StreamKey, VersionView};
use indexmap::IndexMap;
use std::cell::RefCell;
use tokio::sync::Notify;

/// Question for the origin of a stream, until it is answered
#[derive(Debug)]
pub struct OriginQuery {
    pool: PoolName,
    is_sent: bool,
    /// What the lists of instances tell that don't know it
    pub views: Vec<VersionView>,
}

/// Open questions for origins of streams
#[derive(Debug, Default)]
pub struct OriginQueries {
    pub open: RefCell<IndexMap<StreamKey, OriginQuery>>,
    /// Notified when there is a question to be sent
    pub ready: Notify,
    /// Notified when an answer has come
    pub answered: Notify,
}

impl OriginQueries {
    /// Questions that have not been sent
    pub fn take_unsent(&self) -> Vec<(StreamKey, PoolName)> {
        let mut open = self.open.borrow_mut();
        let unsent = open.iter_mut().filter_map(|(stream, it)| {
            let was_sent = std::mem::replace(&mut it.is_sent, true);
            (!was_sent).then(|| (*stream, it.pool.clone()))
        });
        unsent.collect()
    }

    /// Asks for the origin of a stream on a route to a pool
    pub fn ask(&self, stream: StreamKey, pool: &PoolName) {
        let query = OriginQuery { pool: pool.clone(), is_sent: false, views: Vec::new() };
        self.open.borrow_mut().insert(stream, query);
        self.ready.notify_one();
    }

    /// What the lists of those tell that don't know the stream
    pub fn views(&self, stream: StreamKey) -> Vec<VersionView> {
        self.open.borrow().get(&stream).map_or_else(Vec::new, |it| it.views.clone())
    }
}
