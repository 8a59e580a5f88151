//! The token bucket of one tenant at its home, and what was granted to which node.
//!
//! The bucket and the units that were granted ahead of demand and may still be unused never exceed the burst together.
//! So units that a node holds don't add to what the limit allows in a window.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::QuotaConfig;
use super::message::{QuotaAnswer, QuotaRequest};
use crate::time::{Timestamp, whole_millis};
use crate::world::Address;

/// The largest debt that one grant may cause. Two homes at once, one on each side of a partition, then stay within the
/// 190,000 units that the bound allows for large requests; the largest request seen has 93,000.
pub(super) const DEBT_MAXIMUM: f64 = 95_000.0;

/// The share of the balance, and of what may still be granted ahead, that one request gets ahead of demand.
const AHEAD_FRACTION: f64 = 0.25;

/// After a refusal nothing is granted ahead of demand for this time: small requests would use it before large ones.
const AHEAD_PAUSE: Duration = Duration::from_secs(1);

/// Units that the node may use for [`QuotaConfig::unused_lifetime`] are counted for longer by this factor, because the
/// clocks of both nodes may be off by 5 %.
const CLOCK_DRIFT_FACTOR: f64 = 1.15;

/// Units of admitted requests are taken back for one to two slots after they were granted. Older ones would add to a
/// window in which they were not granted.
const REFUND_SLOT: Duration = Duration::from_millis(400);

/// The record of a node that has sent no request for this time is removed.
const RECORD_RETENTION: Duration = Duration::from_secs(4);

/// How often outdated records are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time after which a refused node or caller may try again.
pub(super) const RETRY_MAXIMUM: Duration = Duration::from_secs(3_600);

/// A tenant's bucket at its home.
#[derive(Debug)]
pub(super) struct GrantBucket {
    rate: f64,
    capacity: f64,
    balance: f64,
    filled_at: Timestamp,
    /// The units granted ahead of demand to all nodes that may still be unused.
    ahead: f64,
    exhausted_at: Option<Timestamp>,
    nodes: BTreeMap<Address, NodeRecord>,
    pruned_at: Timestamp,
}

/// What was granted to one node.
#[derive(Debug)]
struct NodeRecord {
    sequence: u64,
    answer: QuotaAnswer,
    seen_at: Timestamp,
    /// Units granted ahead of demand with the latest answer.
    ahead: f64,
    ahead_expires: Timestamp,
    /// Units granted in the current and in the previous slot, without those that were returned.
    slots: [f64; 2],
    slot_start: Timestamp,
}

/// The outcome of a request.
#[derive(Debug)]
struct Grant {
    answer: QuotaAnswer,
    /// The units granted, including those ahead of demand.
    units: f64,
    /// The units granted ahead of demand.
    ahead: f64,
}

impl GrantBucket {
    /// An empty bucket without a rate.
    pub(super) fn new(now: Timestamp) -> Self {
        GrantBucket {
            rate: 0.0,
            capacity: 0.0,
            balance: 0.0,
            filled_at: now,
            ahead: 0.0,
            exhausted_at: None,
            nodes: BTreeMap::new(),
            pruned_at: now,
        }
    }

    /// Whether no limit has been set yet.
    pub(super) fn is_new(&self) -> bool {
        self.capacity == 0.0
    }

    /// Sets the units per second and the largest balance.
    pub(super) fn set_limit(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.balance = self.balance.min(self.largest_balance());
    }

    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    /// Answers a request for units; `None` if it is older than the latest one of its sender. A repeated request gets
    /// the answer that it got before.
    pub(super) fn answer(
        &mut self,
        request: &QuotaRequest,
        config: &QuotaConfig,
        now: Timestamp,
    ) -> Option<QuotaAnswer> {
        if let Some(record) = self.nodes.get(&request.sender).filter(|record| request.sequence <= record.sequence) {
            return (request.sequence == record.sequence).then_some(record.answer);
        }
        self.fill(now);
        self.prune(now);
        self.take_back(request.sender, request.returned as f64, now);
        let grant = self.grant(request, config, now);
        self.balance -= grant.units;
        self.ahead += grant.ahead;
        let record = self.nodes.entry(request.sender).or_insert_with(|| NodeRecord::new(now));
        record.sequence = request.sequence;
        record.answer = grant.answer;
        record.seen_at = now;
        record.ahead = grant.ahead;
        record.ahead_expires = now + config.unused_lifetime.mul_f64(CLOCK_DRIFT_FACTOR);
        record.slots[0] += grant.units;
        Some(grant.answer)
    }

    /// Decides what to grant for a request that was not answered before.
    fn grant(&mut self, request: &QuotaRequest, config: &QuotaConfig, now: Timestamp) -> Grant {
        let needed = request.needed as f64;
        let is_covered = needed == 0.0 || (self.balance >= 0.0 && self.balance - needed >= -DEBT_MAXIMUM);
        if !is_covered {
            self.exhausted_at = Some(now);
            let retry_after_millis = self.retry_millis(needed, config);
            return Grant { answer: QuotaAnswer::Exhausted { retry_after_millis }, units: 0.0, ahead: 0.0 };
        }
        let expected = request.wanted.saturating_sub(request.needed);
        let ahead = self.units_ahead(expected, needed, config, now);
        let units = request.needed.saturating_add(ahead as u64);
        Grant { answer: QuotaAnswer::Granted { units }, units: needed + ahead, ahead }
    }

    /// The whole units to grant in addition to `needed`, at most those that the node expects to use.
    fn units_ahead(&self, expected: u64, needed: f64, config: &QuotaConfig, now: Timestamp) -> f64 {
        if self.exhausted_at.is_some_and(|at| now.since(at) < AHEAD_PAUSE) {
            return 0.0;
        }
        let balance = AHEAD_FRACTION * (self.balance - needed);
        let room = AHEAD_FRACTION * (self.capacity * config.ahead_share - self.ahead);
        (expected as f64).min(balance).min(room).max(0.0).floor()
    }

    /// When the balance is expected to cover `needed` again. With many nodes asking it is later, so that the home isn't
    /// flooded with requests that it must refuse.
    fn retry_millis(&self, needed: f64, config: &QuotaConfig) -> u32 {
        let missing = (needed - DEBT_MAXIMUM).max(0.0) - self.balance;
        let refill = if self.rate > 0.0 { (missing / self.rate).max(0.0) } else { f64::INFINITY };
        let spacing = self.nodes.len() as f64 / config.refused_asks_per_second;
        let retry = Duration::from_secs_f64(refill.max(spacing).min(RETRY_MAXIMUM.as_secs_f64()));
        u32::try_from(whole_millis(retry.max(config.refusal_minimum))).unwrap_or(u32::MAX)
    }

    /// Takes back units of a node, at most those that were granted to it recently.
    fn take_back(&mut self, sender: Address, returned: f64, now: Timestamp) {
        let Some(record) = self.nodes.get_mut(&sender) else { return };
        record.advance_slots(now);
        let returned = returned.min(record.ahead.max(record.slots[0] + record.slots[1]));
        record.subtract(returned);
        self.ahead = (self.ahead - record.ahead).max(0.0);
        record.ahead = 0.0;
        self.balance = (self.balance + returned).min(self.largest_balance());
    }

    /// The largest balance, so that it and the units granted ahead of demand don't exceed the burst together.
    fn largest_balance(&self) -> f64 {
        self.capacity - self.ahead
    }

    /// Adds the units that have accrued since the last call. Units granted ahead that can no longer be used stop
    /// reducing the largest balance.
    fn fill(&mut self, now: Timestamp) {
        if self.ahead > 0.0 {
            for record in self.nodes.values_mut().filter(|record| record.ahead_expires <= now) {
                record.ahead = 0.0;
            }
            self.ahead = self.nodes.values().map(|record| record.ahead).sum();
        }
        let accrued = self.rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        self.balance = (self.balance + accrued).min(self.largest_balance());
    }

    fn prune(&mut self, now: Timestamp) {
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.nodes.retain(|_, record| now.since(record.seen_at) < RECORD_RETENTION);
        }
    }
}

impl NodeRecord {
    fn new(now: Timestamp) -> Self {
        NodeRecord {
            sequence: 0,
            answer: QuotaAnswer::NotHome,
            seen_at: now,
            ahead: 0.0,
            ahead_expires: now,
            slots: [0.0; 2],
            slot_start: now,
        }
    }

    /// Begins a new slot when the current one is over.
    fn advance_slots(&mut self, now: Timestamp) {
        let elapsed = now.since(self.slot_start);
        if elapsed >= REFUND_SLOT {
            self.slots = [0.0, if elapsed < REFUND_SLOT * 2 { self.slots[0] } else { 0.0 }];
            self.slot_start = now;
        }
    }

    /// Subtracts returned units, first from the previous slot.
    fn subtract(&mut self, units: f64) {
        let previous = units.min(self.slots[1]);
        self.slots[1] -= previous;
        self.slots[0] = (self.slots[0] - (units - previous)).max(0.0);
    }
}
