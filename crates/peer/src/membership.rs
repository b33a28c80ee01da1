//! Which instances are thought live, and which is home to a key.
//!
//! The platform's list says who there should be. Heartbeats say who answers: each
//! instance probes only `ring::targets` of them, and instances found down are named
//! to others with every heartbeat until the finding is `NOTICE_TTL` old. What an
//! instance saw itself counts more than what it was told.
//!
//! Views differ between instances for seconds. They serve to find a home and to
//! avoid the dead; nothing that must hold depends on them.

use crate::message::{DownNotice, PeerNews};
use crate::ring;
use catalogue::id::{InstanceId, RegionName, ZoneName};
use catalogue::{InstanceKind, InstanceState, ListedInstance};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

/// Time after which a failure or a notice that was not renewed no longer counts.
pub const NOTICE_TTL: Duration = Duration::from_secs(5);
/// Time for which an answer counts more than notices.
pub const ANSWER_TTL: Duration = Duration::from_secs(3);
/// Calls in a row that fail before an instance is thought down.
pub const FAILURES_TO_DOWN: u32 = 2;
/// Most notices in one heartbeat.
pub const MAX_NOTICES: usize = 32;

/// Entry instance as seen by another
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id
    pub id: InstanceId,
    /// Availability zone
    pub zone: ZoneName,
    /// Region
    pub region: RegionName,
    /// Peer address
    pub address: SocketAddr,
    /// Whether it is listed as live and not found down
    pub is_live: bool,
}

/// Instances at one moment, in the order of their ids
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Instance that holds the view
    pub me: InstanceId,
    /// All listed instances and `me`
    pub members: Vec<Member>,
    /// When at least half of the targets of heartbeats had last answered
    pub last_contact: Option<Instant>,
}

impl MemberView {
    /// Live instances, `me` among them
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|it| it.is_live)
    }

    /// Live instances but `me`
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|it| it.id != self.me)
    }

    /// Instance of that id
    pub fn member(&self, id: &str) -> Option<&Member> {
        let place = self.members.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        self.members.get(place)
    }

    /// Live instance that is home to the key, by rendezvous hashing
    pub fn home(&self, key: &[u8]) -> Option<&Member> {
        let seed = XxHash3_64::oneshot(key);
        self.live().max_by_key(|it| rendezvous_weight(seed, it))
    }

    /// The `count` live instances closest to the key, its home first
    pub fn homes(&self, key: &[u8], count: usize) -> Vec<&Member> {
        let seed = XxHash3_64::oneshot(key);
        let mut ranked: Vec<_> = self.live().map(|it| (rendezvous_weight(seed, it), it)).collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        ranked.into_iter().take(count).map(|(_, it)| it).collect()
    }

    /// Whether this instance is home to the key
    pub fn is_home(&self, key: &[u8]) -> bool {
        self.home(key).is_some_and(|it| it.id == self.me)
    }
}

fn rendezvous_weight(seed: u64, member: &Member) -> u64 {
    XxHash3_64::oneshot_with_seed(seed, member.id.as_bytes())
}

/// What one instance knows of the others
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
    answered: Option<Instant>,
    failed: Option<Instant>,
    failures: u32,
    noticed: Option<Instant>,
}

impl MemberTable {
    /// Table of an instance that knows only itself
    pub fn new(me: Member) -> MemberTable {
        MemberTable { me, records: IndexMap::new(), targets: Vec::new() }
    }

    /// Takes over the platform's list; lines of other kinds and deployments are left out
    pub fn set_list(&mut self, listed: &[ListedInstance], deployment: &str) {
        let mut records = IndexMap::new();
        for line in listed {
            let is_entry = line.kind == InstanceKind::Entry && line.pool == deployment;
            if is_entry && line.id != self.me.id {
                let earlier = self.records.swap_remove(&line.id);
                records.insert(line.id.clone(), MemberRecord::new(line, earlier));
            }
        }
        self.targets = ring::targets(&self.me.id, records.keys().cloned());
        self.records = records;
    }

    /// Notes that an instance answered a call
    pub fn note_answer(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(id) {
            record.answered = Some(now);
            record.failures = 0;
        }
    }

    /// Notes that an instance did not answer a call
    pub fn note_failure(&mut self, id: &str, now: Instant) {
        if let Some(record) = self.records.get_mut(id) {
            record.failed = Some(now);
            record.failures += 1;
        }
    }

    /// Notes what another instance told
    pub fn note_news(&mut self, news: &PeerNews, now: Instant) {
        for notice in &news.down {
            let age = Duration::from_millis(notice.age_ms.into());
            let found = now.checked_sub(age);
            if let Some(record) = self.records.get_mut(&notice.instance) {
                record.noticed = record.noticed.max(found);
            }
        }
    }

    /// What to tell others, the newest findings first
    pub fn news(&self, load: u32, now: Instant) -> PeerNews {
        let mut down: Vec<_> = self.records.values().filter_map(|it| it.notice(now)).collect();
        down.sort_by_key(|it| it.age_ms);
        down.truncate(MAX_NOTICES);
        PeerNews { instance: self.me.id.clone(), load, down }
    }

    /// Instances to send heartbeats to
    pub fn targets(&self) -> Vec<Member> {
        self.target_records().map(|it| it.member.clone()).collect()
    }

    fn target_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.targets.iter().filter_map(|it| self.records.get(it))
    }

    /// An instance that reaches only few others may be in a part that is cut off, which
    /// its peers there can't tell either.
    fn last_contact(&self) -> Option<Instant> {
        let mut answers: Vec<_> = self.target_records().map(|it| it.answered).collect();
        answers.sort_unstable_by(|a, b| b.cmp(a));
        answers.get(answers.len().div_ceil(2).checked_sub(1)?).copied()?
    }

    /// Peer addresses of the listed instances
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.records.values().map(|it| it.member.address)
    }

    /// The members at `now`
    pub fn view(&self, now: Instant) -> MemberView {
        let mut members: Vec<_> = self.records.values().map(|it| it.as_member(now)).collect();
        members.push(self.me.clone());
        members.sort_by(|a, b| a.id.cmp(&b.id));
        MemberView { me: self.me.id.clone(), members, last_contact: self.last_contact() }
    }
}

impl MemberRecord {
    fn new(line: &ListedInstance, earlier: Option<MemberRecord>) -> MemberRecord {
        let member = Member {
            id: line.id.clone(),
            zone: line.zone.clone(),
            region: line.region.clone(),
            address: line.address,
            is_live: true,
        };
        let is_leaving = line.state == InstanceState::Leaving;
        match earlier.filter(|it| it.member.address == line.address) {
            Some(earlier) => MemberRecord { member, is_leaving, ..earlier },
            None => MemberRecord {
                member,
                is_leaving,
                answered: None,
                failed: None,
                failures: 0,
                noticed: None,
            },
        }
    }

    fn as_member(&self, now: Instant) -> Member {
        let is_live = !self.is_leaving && self.down_since(now).is_none();
        Member { is_live, ..self.member.clone() }
    }

    /// When the newest finding that counts was made, if the instance is thought down
    fn down_since(&self, now: Instant) -> Option<Instant> {
        if self.failures >= FAILURES_TO_DOWN {
            return self.failed.filter(|it| now.duration_since(*it) < NOTICE_TTL);
        }
        let is_answering = self.answered.is_some_and(|it| now.duration_since(it) < ANSWER_TTL);
        if is_answering {
            return None;
        }
        self.noticed.filter(|it| now.duration_since(*it) < NOTICE_TTL)
    }

    fn notice(&self, now: Instant) -> Option<DownNotice> {
        let found = self.down_since(now)?;
        let age_ms = now.duration_since(found).as_millis() as u32;
        Some(DownNotice { instance: self.member.id.clone(), age_ms })
    }
}
