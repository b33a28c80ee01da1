//! Tracks which instances are considered live and which is the home of a key.
//!
//! The platform's list names the instances. Heartbeats show which of them respond: each
//! instance probes only its `ring::targets`, and every heartbeat carries notices of
//! instances that are down, until a notice is `NOTICE_TTL` old. An instance's own
//! observations take precedence over notices.
//!
//! Views may differ between instances for seconds. They are used to find homes and to
//! avoid instances that are down; no guarantee depends on them.

use crate::message::{DownNotice, PeerUpdate};
use crate::ring;
use catalogue::id::{InstanceId, RegionName, ZoneName};
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

/// Time after which a failure or notice expires unless it is renewed.
pub const NOTICE_TTL: Duration = Duration::from_secs(5);
/// Time for which an answer overrides notices.
pub const ANSWER_TTL: Duration = Duration::from_secs(3);
/// Consecutive failed calls after which an instance is considered down.
pub const FAILURES_TO_DOWN: u32 = 2;
/// Maximum number of notices in one heartbeat.
pub const MAX_NOTICES: usize = 32;

/// Entry instance in another instance's view
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    pub id: InstanceId,
    pub zone: ZoneName,
    pub region: RegionName,
    /// Address for peer calls
    pub address: SocketAddr,
    /// Whether it is not listed as leaving and not considered down
    pub is_live: bool,
}

/// Snapshot of the instances, ordered by id
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// This instance
    pub me: InstanceId,
    /// All listed instances of the deployment, and `me`
    pub members: Vec<Member>,
    /// Latest time since which at least half of the heartbeat targets have answered
    pub last_contact: Option<Instant>,
}

impl MemberView {
    /// Live instances, including `me`
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|it| it.is_live)
    }

    /// Live instances, excluding `me`
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|it| it.id != self.me)
    }

    pub fn member(&self, id: &str) -> Option<&Member> {
        let index = self.members.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        self.members.get(index)
    }

    /// Live instance that is the home of the key, by rendezvous hashing
    pub fn home(&self, key: &[u8]) -> Option<&Member> {
        let seed = XxHash3_64::oneshot(key);
        self.live().max_by_key(|it| rendezvous_weight(seed, it))
    }

    /// The `count` live instances with the highest rendezvous weight, the home first
    pub fn homes(&self, key: &[u8], count: usize) -> Vec<&Member> {
        let seed = XxHash3_64::oneshot(key);
        let mut ranked: Vec<_> = self.live().map(|it| (rendezvous_weight(seed, it), it)).collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        ranked.into_iter().take(count).map(|(_, it)| it).collect()
    }

    /// Whether this instance is the home of the key
    pub fn is_home(&self, key: &[u8]) -> bool {
        self.home(key).is_some_and(|it| it.id == self.me)
    }
}

fn rendezvous_weight(seed: u64, member: &Member) -> u64 {
    XxHash3_64::oneshot_with_seed(seed, member.id.as_bytes())
}

/// Table from which an instance computes its `MemberView`
#[derive(Debug)]
pub struct MemberTable {
    me: Member,
    records: IndexMap<InstanceId, MemberRecord>,
    targets: Vec<InstanceId>,
}

#[derive(Debug)]
struct MemberRecord {
    member: Member,
    is_leaving: bool,
    last_answer: Option<Instant>,
    last_failure: Option<Instant>,
    failures: u32,
    last_notice: Option<Instant>,
}

impl MemberTable {
    /// Table without other instances
    pub fn new(me: Member) -> MemberTable {
        MemberTable { me, records: IndexMap::new(), targets: Vec::new() }
    }

    /// Replaces the list; skips instances of other kinds and deployments
    pub fn set_list(&mut self, listed: &[ListedInstance], deployment: &str) {
        let mut records = IndexMap::new();
        for line in listed {
            let is_entry = line.kind == InstanceKind::Entry && line.pool == deployment;
            if is_entry && line.id != self.me.id {
                let previous = self.records.swap_remove(&line.id);
                records.insert(line.id.clone(), MemberRecord::new(line, previous));
            }
        }
        self.targets = ring::targets(&self.me.id, records.keys().cloned());
        self.records = records;
    }

    /// Records that an instance answered a call
    pub fn record_answer(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(id) {
            record.last_answer = Some(now);
            record.failures = 0;
        }
    }

    /// Records that an instance did not answer a call
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(id) {
            record.last_failure = Some(now);
            record.failures += 1;
        }
    }

    /// Applies the notices in another instance's heartbeat
    pub fn apply_update(&mut self, update: &PeerUpdate, now: Instant) {
        for notice in &update.down {
            let age = Duration::from_millis(notice.age_ms.into());
            let found_at = now.checked_sub(age);
            if let Some(record) = self.records.get_mut(&notice.instance) {
                record.last_notice = record.last_notice.max(found_at);
            }
        }
    }

    /// Heartbeat content: load and the newest notices
    pub fn peer_update(&self, load: u32, now: Instant) -> PeerUpdate {
        let mut down: Vec<_> = self.records.values().filter_map(|it| it.notice(now)).collect();
        down.sort_by_key(|it| it.age_ms);
        down.truncate(MAX_NOTICES);
        PeerUpdate { instance: self.me.id.clone(), load, down }
    }

    /// Instances to send heartbeats to
    pub fn targets(&self) -> Vec<Member> {
        self.target_records().map(|it| it.member.clone()).collect()
    }

    fn target_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.targets.iter().filter_map(|it| self.records.get(it))
    }

    /// Requires answers from half of the targets: an instance that reaches fewer may be in a
    /// minority partition, which the peers that it still reaches can't detect either.
    fn last_contact(&self) -> Option<Instant> {
        let mut answers: Vec<_> = self.target_records().map(|it| it.last_answer).collect();
        answers.sort_unstable_by(|a, b| b.cmp(a));
        answers.get(answers.len().div_ceil(2).checked_sub(1)?).copied()?
    }

    /// Peer addresses of the listed instances
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.records.values().map(|it| it.member.address)
    }

    /// Members as of `now`
    pub fn view(&self, now: Instant) -> MemberView {
        let mut members: Vec<_> = self.records.values().map(|it| it.to_member(now)).collect();
        members.push(self.me.clone());
        members.sort_by(|a, b| a.id.cmp(&b.id));
        MemberView { me: self.me.id.clone(), members, last_contact: self.last_contact() }
    }
}

impl MemberRecord {
    fn new(line: &ListedInstance, previous: Option<MemberRecord>) -> MemberRecord {
        let member = Member {
            id: line.id.clone(),
            zone: line.zone.clone(),
            region: line.region.clone(),
            address: line.address,
            is_live: true,
        };
        let is_leaving = line.state == InstanceState::Leaving;
        match previous.filter(|it| it.member.address == line.address) {
            Some(previous) => MemberRecord { member, is_leaving, ..previous },
            None => MemberRecord {
                member,
                is_leaving,
                last_answer: None,
                last_failure: None,
                failures: 0,
                last_notice: None,
            },
        }
    }

    fn to_member(&self, now: Instant) -> Member {
        let is_live = !self.is_leaving && self.down_since(now).is_none();
        Member { is_live, ..self.member.clone() }
    }

    /// Time of the latest failure or notice, if the instance is considered down
    fn down_since(&self, now: Instant) -> Option<Instant> {
        if self.failures >= FAILURES_TO_DOWN {
            return self.last_failure.filter(|it| now.duration_since(*it) < NOTICE_TTL);
        }
        let is_answering = self.last_answer.is_some_and(|it| now.duration_since(it) < ANSWER_TTL);
        if is_answering {
            return None;
        }
        self.last_notice.filter(|it| now.duration_since(*it) < NOTICE_TTL)
    }

    fn notice(&self, now: Instant) -> Option<DownNotice> {
        let found_at = self.down_since(now)?;
        let age_ms = now.duration_since(found_at).as_millis() as u32;
        Some(DownNotice { instance: self.member.id.clone(), age_ms })
    }
}
