//! What was read, sent and answered, and what it means for the own term.

use super::{
    DutyLease, LeaseAct, LeaseAppend, LeaseChange, LeaseRecord, LeaseTime, LossReason, OwnTerm,
    SeenLease, SentAppend, TopicView,
};
use crate::serving::endpoint_list::ListOffset;
use crate::serving::store_era::{StoreEra, TopicPosition};

/// Maximum number of appends whose outcome is unknown. An older one could only be found after a far newer one.
const MAX_SENT: usize = 64;

impl DutyLease {
    /// Records that an append is being sent
    pub fn started(&mut self, append: &LeaseAppend, now: LeaseTime) {
        self.next_append = append.record.append + 1;
        self.sent.push_back(SentAppend { number: append.record.append, sent_at: now });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        if let Some(view) = &mut self.view {
            // Until the outcome is known.
            view.must_read = true;
        }
    }

    /// Records that the store has acknowledged an append of this number of records
    pub fn acknowledged(
        &mut self,
        append: &LeaseAppend,
        records: ListOffset,
        now: LeaseTime,
    ) -> LeaseChange {
        let Some(view) = self.view.as_mut().filter(|it| it.position == append.at) else {
            return LeaseChange::None;
        };
        view.position.offset += records;
        view.must_read = false;
        self.observe_record(Some(append.record.clone()), now)
    }

    /// Records that the store has declined an append, since the topic ends elsewhere
    pub fn declined(&mut self, append: &LeaseAppend, end: ListOffset) {
        // It can never be carried out: the topic only grows. One that ends before the known end is read in full.
        self.sent.retain(|it| it.number != append.record.append);
        if end < append.at.offset {
            self.view = None;
        }
    }

    /// Records the era of the store
    pub fn observe_era(&mut self, era: StoreEra, now: LeaseTime) -> LeaseChange {
        let before = self.era.replace(era);
        if before == Some(era) {
            return LeaseChange::None;
        }
        if before.is_some() {
            self.era_since = Some(now);
            self.may_be_first = false;
        }
        self.view = None;
        self.sent.clear();
        self.end_term(LossReason::Era)
    }

    /// Records a full read: the end of the topic and its record of the lease
    pub fn observe_all(
        &mut self,
        position: TopicPosition,
        record: Option<Option<LeaseRecord>>,
        now: LeaseTime,
    ) -> LeaseChange {
        self.view = Some(TopicView { position, lease: None, read_at: now, must_read: false });
        match record {
            Some(record) => self.observe_record(record, now),
            None => self.end_term(LossReason::RecordGone),
        }
    }

    /// Records a read from the known position on, with the records of the lease in it
    pub fn observe_more(
        &mut self,
        to: TopicPosition,
        records: Vec<Option<LeaseRecord>>,
        now: LeaseTime,
    ) -> LeaseChange {
        if let Some(view) = &mut self.view {
            view.position = to;
            view.must_read = false;
        }
        let mut last = LeaseChange::None;
        for record in records {
            let change = self.observe_record(record, now);
            if change != LeaseChange::None {
                last = change;
            }
        }
        last
    }

    /// Records that the position is no longer kept, so that the topic has to be read in full
    pub fn void_position(&mut self) {
        self.view = None;
    }

    fn observe_record(&mut self, record: Option<LeaseRecord>, now: LeaseTime) -> LeaseChange {
        self.may_be_first = false;
        let own = record.as_ref().filter(|it| it.session == self.session);
        let sent = own.and_then(|it| self.sent.iter().find(|sent| sent.number == it.append));
        let own = own.cloned().zip(sent.copied());
        if let Some(view) = &mut self.view {
            view.lease = Some(SeenLease { record, read_at: now });
        }
        let Some((record, sent)) = own else { return self.end_term(LossReason::Taken) };
        self.sent.retain(|it| it.number >= sent.number);
        self.apply_own(&record, sent.sent_at, now)
    }

    fn apply_own(
        &mut self,
        record: &LeaseRecord,
        sent_at: LeaseTime,
        now: LeaseTime,
    ) -> LeaseChange {
        let fence = record.fence;
        if record.act == LeaseAct::Release {
            self.term = None;
            return LeaseChange::Released(fence);
        }
        let before = self.term.filter(|it| it.fence == fence);
        if before.is_none() && record.act == LeaseAct::Renew {
            // The term was given up after the renewal had been sent.
            return LeaseChange::None;
        }
        // An append may be carried out when the term that it would have given is over.
        let is_late = now.most_since(sent_at) >= self.timing.term;
        let was_held = before.is_some_and(|it| !it.is_expired);
        self.term = Some(OwnTerm { fence, from: sent_at, is_expired: is_late });
        self.last_from = Some(sent_at);
        match (was_held, is_late) {
            (true, false) => LeaseChange::Renewed(fence),
            (false, false) => LeaseChange::Taken(fence),
            (true, true) => LeaseChange::Lost(fence, LossReason::Expired),
            (false, true) => LeaseChange::None,
        }
    }

    pub(super) fn end_term(&mut self, reason: LossReason) -> LeaseChange {
        match self.term.take() {
            Some(term) if term.is_expired => LeaseChange::None,
            Some(term) => LeaseChange::Lost(term.fence, reason),
            None => LeaseChange::None,
        }
    }
}
