//! Spread of a number of engines over zones and over kinds.
//!
//! The platform may take all preemptible engines of a zone away at once. So the engines are
//! spread such that those that remain after the loss of any one zone's preemptible engines
//! are as many as needed. Among such spreads the cheapest is taken.

use super::engine_orders::OrderSubject;
use catalogue::id::ZoneName;
use indexmap::IndexMap;

/// Engines of a zone by kind
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Engines that stay
    pub regular: u32,
    /// Engines that the platform may take away
    pub preemptible: u32,
}

impl ZoneCount {
    /// Engines of both kinds
    pub fn total(self) -> u32 {
        self.regular + self.preemptible
    }
}

/// What may be ordered in a zone
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneOffer {
    pub zone: ZoneName,
    /// Price of an engine-second
    pub price: f64,
    /// Whether regular and preemptible engines are to be had
    pub has_regular: bool,
    pub has_preemptible: bool,
    /// Engines there now, which stay if none are to be had
    pub present: ZoneCount,
}

/// Bounds of a spread
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadBounds {
    /// Least and largest number of engines in a zone, of both kinds together
    pub min: u32,
    pub max: u32,
    /// Least number of engines of each kind in a zone
    pub kind_min: u32,
    /// Least number of regular engines in all zones
    pub regular: u32,
    /// Price of a preemptible engine relative to a regular one
    pub preemptible_price: f64,
}

/// Engines by zone
pub type FleetSpread = IndexMap<ZoneName, ZoneCount>;

/// Engines that remain if any one zone loses its preemptible ones
pub fn remaining(spread: impl Iterator<Item = ZoneCount>) -> u32 {
    let (mut total, mut most) = (0, 0);
    for count in spread {
        total += count.total();
        most = most.max(count.preemptible);
    }
    total - most
}

/// Cheapest spread of which `needed` engines remain after the loss of a zone's preemptible ones
///
/// If the bounds allow none, the spread of which most remain.
pub fn spread(needed: u32, offers: &[ZoneOffer], bounds: &SpreadBounds) -> FleetSpread {
    let mut by_price = offers.to_vec();
    by_price.sort_by(|one, other| one.price.total_cmp(&other.price));
    let zones = u32::try_from(offers.len()).unwrap_or(u32::MAX);
    let most = bounds.max.saturating_mul(zones).min(needed).max(bounds.regular);
    let with = |regular| spread_with(needed, regular, &by_price, bounds);
    let is_enough = |regular| remaining(with(regular).values().copied()) >= needed;
    // The price is nearly linear in between.
    let candidates = [with(least(bounds.regular, most, is_enough)), with(most)];
    let rank = |it: &FleetSpread| {
        let missing = needed.saturating_sub(remaining(it.values().copied()));
        (missing, price(it, &by_price, bounds))
    };
    let best = candidates
        .into_iter()
        .map(|it| (rank(&it), it))
        .min_by(|one, other| one.0.0.cmp(&other.0.0).then(one.0.1.total_cmp(&other.0.1)));
    best.map(|it| it.1).unwrap_or_default()
}

/// Least number in a range that suffices, or the largest one; all above one that suffices do as well
pub fn least(low: u32, high: u32, suffices: impl Fn(u32) -> bool) -> u32 {
    let (mut low, mut high) = (low, high);
    while low < high {
        let middle = low + (high - low) / 2;
        if suffices(middle) { high = middle } else { low = middle + 1 }
    }
    low
}

/// Spread with this number of regular engines
fn spread_with(
    needed: u32,
    regular: u32,
    by_price: &[ZoneOffer],
    bounds: &SpreadBounds,
) -> FleetSpread {
    let mut spread = by_price
        .iter()
        .map(|it| {
            let kept =
                if it.has_regular { bounds.kind_min } else { it.present.regular.min(bounds.max) };
            (it.zone.clone(), ZoneCount { regular: kept, preemptible: 0 })
        })
        .collect::<FleetSpread>();
    place_regular(&mut spread, regular, by_price, bounds.max);
    let each = least_each(needed, &spread, by_price, bounds.max);
    for offer in by_price {
        let count = &mut spread[&offer.zone];
        let each = each.max(bounds.kind_min);
        count.preemptible = preemptible(each, offer, count.regular, bounds.max);
    }
    for offer in by_price {
        let count = &mut spread[&offer.zone];
        let missing = bounds.min.saturating_sub(count.total());
        match offer.has_preemptible {
            true => count.preemptible += missing,
            false if offer.has_regular => count.regular += missing,
            false => {}
        }
    }
    spread
}

/// Least number of preemptible engines in each zone of which enough remain, or the bound
fn least_each(needed: u32, spread: &FleetSpread, by_price: &[ZoneOffer], max: u32) -> u32 {
    least(0, max, |each| {
        let counts = by_price.iter().map(|it| {
            let regular = spread[&it.zone].regular;
            ZoneCount { regular, preemptible: preemptible(each, it, regular, max) }
        });
        remaining(counts) >= needed
    })
}

/// Preemptible engines of a zone that is to have `each`: no more than there are where none are to be had
fn preemptible(each: u32, offer: &ZoneOffer, regular: u32, max: u32) -> u32 {
    let most = if offer.has_preemptible { max } else { offer.present.preemptible };
    each.min(most).min(max.saturating_sub(regular))
}

/// Places regular engines one by one in the zone with the fewest, the cheapest first
fn place_regular(spread: &mut FleetSpread, number: u32, by_price: &[ZoneOffer], max: u32) {
    for _ in spread.values().map(|it| it.regular).sum::<u32>()..number {
        let free = by_price.iter().filter(|it| it.has_regular && spread[&it.zone].regular < max);
        let Some(offer) = free.min_by_key(|it| spread[&it.zone].regular) else { return };
        spread[&offer.zone].regular += 1;
    }
}

fn price(spread: &FleetSpread, by_price: &[ZoneOffer], bounds: &SpreadBounds) -> f64 {
    let prices = by_price.iter().map(|it| {
        let count = spread[&it.zone];
        let preemptible = f64::from(count.preemptible) * bounds.preemptible_price;
        it.price * (f64::from(count.regular) + preemptible)
    });
    prices.sum()
}

/// Number of engines by subject
pub fn subjects(target: &FleetSpread) -> impl Iterator<Item = (OrderSubject, u32)> {
    target.iter().flat_map(|(zone, count)| {
        let subject = |is_preemptible| OrderSubject { zone: zone.clone(), is_preemptible };
        [(subject(true), count.preemptible), (subject(false), count.regular)]
    })
}
