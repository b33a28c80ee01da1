//! Orders for engines that were given, and when the next one may be.
//!
//! A subject is a zone and a kind of engine. An order states a number, so that a repeat
//! changes nothing. One without an answer may be carried out seconds later: then the
//! subject rests until the endpoint list shows the result.

use catalogue::id::ZoneName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Shortest time between two orders for a subject.
pub const ORDER_INTERVAL: Duration = Duration::from_secs(3);
/// Orders for a subject within `ORDER_PERIOD`, and those of them that may lower its number; the rest is
/// kept for raising it.
pub const MAX_ORDERS: usize = 12;
pub const MAX_LOWERING_ORDERS: usize = 8;
pub const ORDER_PERIOD: Duration = Duration::from_secs(60);
/// Time beyond the stated one in which ordered engines may still appear in the list.
const STARTUP_MARGIN: Duration = Duration::from_secs(3);
/// Time for which a subject rests after an order without an answer; the API may execute a call seconds later.
const UNANSWERED_REST: Duration = Duration::from_secs(5);
/// Time for which a subject rests after too many calls.
const LIMITED_REST: Duration = Duration::from_secs(1);
/// First and longest rest after none were to be had; that lasts for some seconds.
const FIRST_REST: Duration = Duration::from_secs(3);
const MAX_REST: Duration = Duration::from_secs(30);
/// Time after a lowering order in which its engines may still be listed as ready: an order without an answer may be
/// executed seconds later.
const LISTING_TIME: Duration = Duration::from_secs(6);
/// Time after a lowering order in which engines that leave are the result of it.
const LOWERING_TIME: Duration = Duration::from_secs(15);

/// What an order is for
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OrderSubject {
    pub zone: ZoneName,
    pub is_preemptible: bool,
}

/// Order for a number of engines
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    pub subject: OrderSubject,
    pub count: u32,
}

/// Outcome of an order
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    Accepted,
    /// None are to be had
    Unavailable,
    /// Invalid to the platform
    Declined,
    /// Too many calls
    Limited,
    /// No answer: it may still be carried out
    Uncertain,
}

#[derive(Debug, Clone, Default)]
struct SubjectOrders {
    ordered: Option<(u32, Instant)>,
    /// Times of recent orders
    times: VecDeque<Instant>,
    lowered_at: Option<Instant>,
    rests_until: Option<Instant>,
    /// Until when none are to be had
    unavailable_until: Option<Instant>,
    unavailable_times: u32,
}

/// Orders for the engines of a pool
#[derive(Debug, Clone, Default)]
pub struct OrderBook {
    subjects: IndexMap<OrderSubject, SubjectOrders>,
}

impl OrderBook {
    /// Orders of an earlier holder, as if they had been given now
    pub fn resume(orders: impl IntoIterator<Item = EngineOrder>, now: Instant) -> OrderBook {
        let subjects = orders.into_iter().map(|it| {
            let ordered = Some((it.count, now));
            // Two holders keep to the interval between two orders, too.
            let times = VecDeque::from([now]);
            (it.subject, SubjectOrders { ordered, times, ..SubjectOrders::default() })
        });
        OrderBook { subjects: subjects.collect() }
    }

    /// Last order of each subject
    pub fn orders(&self) -> Vec<EngineOrder> {
        let last = self.subjects.iter().filter_map(|(subject, it)| {
            it.ordered.map(|(count, _)| EngineOrder { subject: subject.clone(), count })
        });
        last.collect()
    }

    /// Number that the platform is working towards; the present one if the last order's time is over
    pub fn expected(
        &self,
        subject: &OrderSubject,
        present: u32,
        startup: Duration,
        now: Instant,
    ) -> u32 {
        match self.subjects.get(subject).and_then(|it| it.ordered) {
            Some((count, at)) if is_within(Some(at), startup + STARTUP_MARGIN, now) => {
                count.max(present)
            }
            _ => present,
        }
    }

    /// Number that was ordered last, if its engines should be present by now
    pub fn overdue(&self, subject: &OrderSubject, startup: Duration, now: Instant) -> Option<u32> {
        let (count, at) = self.subjects.get(subject)?.ordered?;
        (!is_within(Some(at), startup + STARTUP_MARGIN, now)).then_some(count)
    }

    /// Number that was ordered last
    pub fn last(&self, subject: &OrderSubject) -> Option<u32> {
        Some(self.subjects.get(subject)?.ordered?.0)
    }

    /// Whether engines of the subject seem to be had
    pub fn is_available(&self, subject: &OrderSubject, now: Instant) -> bool {
        let orders = self.subjects.get(subject);
        orders.and_then(|it| it.unavailable_until).is_none_or(|it| it <= now)
    }

    /// Whether a recent lowering order is why engines leave: as many are present as it left
    pub fn explains_leaving(&self, subject: &OrderSubject, present: u32, now: Instant) -> bool {
        let Some(orders) = self.subjects.get(subject) else { return false };
        is_within(orders.lowered_at, LOWERING_TIME, now)
            && orders.ordered.is_some_and(|(count, _)| present >= count)
    }

    /// Whether engines that a recent order gives up are still listed
    pub fn has_open_lowering(
        &self,
        present_of: impl Fn(&OrderSubject) -> u32,
        now: Instant,
    ) -> bool {
        self.subjects.iter().any(|(subject, it)| {
            is_within(it.lowered_at, LISTING_TIME, now)
                && it.ordered.is_some_and(|(count, _)| present_of(subject) > count)
        })
    }

    /// Whether an order may be given now
    pub fn may_order(&self, subject: &OrderSubject, is_lowering: bool, now: Instant) -> bool {
        let Some(orders) = self.subjects.get(subject) else { return true };
        let recent = orders.times.iter().filter(|it| is_within(Some(**it), ORDER_PERIOD, now));
        let most = if is_lowering { MAX_LOWERING_ORDERS } else { MAX_ORDERS };
        recent.count() < most
            && !is_within(orders.times.back().copied(), ORDER_INTERVAL, now)
            && orders.rests_until.is_none_or(|it| it <= now)
    }

    /// Records an order that is about to be given
    pub fn record_order(&mut self, order: &EngineOrder, is_lowering: bool, now: Instant) {
        let orders = self.subjects.entry(order.subject.clone()).or_default();
        orders.ordered = Some((order.count, now));
        orders.times.retain(|it| is_within(Some(*it), ORDER_PERIOD, now));
        orders.times.push_back(now);
        if is_lowering {
            orders.lowered_at = Some(now);
        }
    }

    /// Records the outcome of an order
    pub fn record_outcome(&mut self, subject: &OrderSubject, outcome: OrderOutcome, now: Instant) {
        let orders = self.subjects.entry(subject.clone()).or_default();
        match outcome {
            OrderOutcome::Accepted => orders.unavailable_times = 0,
            OrderOutcome::Uncertain => orders.rests_until = Some(now + UNANSWERED_REST),
            OrderOutcome::Limited => {
                orders.ordered = None;
                orders.rests_until = Some(now + LIMITED_REST);
            }
            OrderOutcome::Unavailable | OrderOutcome::Declined => {
                orders.ordered = None;
                let rest = FIRST_REST * (1 << orders.unavailable_times.min(4));
                orders.unavailable_times += 1;
                orders.unavailable_until = Some(now + rest.min(MAX_REST));
            }
        }
    }

    /// Records that the last order was not accepted and changes nothing
    pub fn withdraw(&mut self, subject: &OrderSubject) {
        if let Some(orders) = self.subjects.get_mut(subject) {
            orders.ordered = None;
        }
    }

    /// Records that the platform takes engines of a subject away; none are to be had for a time
    pub fn record_taken_away(&mut self, subject: &OrderSubject, now: Instant) {
        let orders = self.subjects.entry(subject.clone()).or_default();
        orders.ordered = None;
        let until = now + FIRST_REST;
        orders.unavailable_until = orders.unavailable_until.max(Some(until));
    }
}

fn is_within(at: Option<Instant>, time: Duration, now: Instant) -> bool {
    at.is_some_and(|it| now.saturating_duration_since(it) < time)
}
