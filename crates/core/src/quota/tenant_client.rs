//! The requesting side of one tenant: the units that this node holds, the requests that wait, and the outstanding
//! request to the home.

use std::collections::BTreeSet;
use std::time::Duration;

use super::config::QuotaConfig;
use super::demand::Demand;
use super::grant_bucket::DEBT_MAXIMUM;
use super::message::{QuotaAnswer, QuotaRequest};
use super::ranking::CANDIDATES_MAXIMUM;
use crate::time::Timestamp;
use crate::world::{Address, TenantName};

/// The largest share by which a time until a retry is lengthened at random, so that nodes and callers don't return
/// together.
const RETRY_SPREAD: f64 = 0.5;

/// After this many homes in a row that didn't answer, requests no longer wait for long.
const FAILURES_UNTIL_ALONE: u32 = 3;

/// The units, waiting requests and outstanding request of one tenant at a node that requests units.
#[derive(Debug, Default)]
pub(super) struct TenantClient {
    /// Granted units that are not used; negative: units that were used and not granted yet.
    balance: i64,
    /// When granted units can no longer be used.
    usable_until: Timestamp,
    /// Units to return with the next request to the home.
    returnable: u64,
    /// Whether `returnable` is to be sent without waiting for the next request.
    has_refund: bool,
    /// The requests that wait, in order: when each first asked, and what it counts.
    waiting: BTreeSet<(Timestamp, u64)>,
    outstanding: Option<Outstanding>,
    refusal: Option<Refusal>,
    unlimited_until: Timestamp,
    request_not_before: Timestamp,
    /// Nodes that answer `NotHome`, at most as many as there are candidates.
    not_home: Vec<NotHome>,
    /// Homes in a row that didn't answer.
    failures: u32,
    demand: Demand,
    pub(super) admitted: u64,
    pub(super) refused: u64,
}

#[derive(Debug)]
struct Outstanding {
    to: Address,
    request: QuotaRequest,
    first_sent: Timestamp,
    sent: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Timestamp,
    /// When the limit is expected to allow a request again.
    retry_at: Timestamp,
}

/// A node that answers `NotHome`.
#[derive(Clone, Copy, Debug)]
struct NotHome {
    node: Address,
    since: Timestamp,
    latest: Timestamp,
    /// Until when it is passed over; `None` while it is still asked.
    passed_over_until: Option<Timestamp>,
}

/// Whether a request may run, by the units that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    Unlimited,
    Admitted,
    Waiting,
    Refused { retry_after: Duration },
}

/// What to do about the outstanding request.
#[derive(Debug)]
pub(super) enum Progress {
    Nothing,
    Repeat(Address, QuotaRequest),
    TimedOut(Address),
}

impl TenantClient {
    /// Decides on a request that counts `cost`; to be called again for a request that waits since `waiting_since`.
    pub(super) fn decide(
        &mut self,
        cost: u64,
        waiting_since: Timestamp,
        config: &QuotaConfig,
        now: Timestamp,
    ) -> Decision {
        if now < self.unlimited_until {
            return Decision::Unlimited;
        }
        self.expire(config, now);
        let key = (waiting_since, cost);
        let is_new = !self.waiting.contains(&key);
        if is_new && waiting_since == now {
            self.demand.record(cost, now);
        }
        if let Some(refusal) = self.refusal.filter(|_| is_new) {
            return self.refuse(refusal.retry_at.since(now));
        }
        let reserved: u64 = self.waiting.range(..key).fold(0, |sum, (_, cost)| sum.saturating_add(*cost));
        let required = to_signed(reserved.saturating_add(cost));
        if self.balance >= required {
            self.waiting.remove(&key);
            self.balance -= to_signed(cost);
            self.admitted += 1;
            return Decision::Admitted;
        }
        if now.since(waiting_since) >= self.waiting_maximum(config) {
            self.waiting.remove(&key);
            return self.refuse(config.refusal_minimum);
        }
        self.waiting.insert(key);
        Decision::Waiting
    }

    /// Removes a request that waits.
    pub(super) fn stop_waiting(&mut self, cost: u64, waiting_since: Timestamp) {
        self.waiting.remove(&(waiting_since, cost));
    }

    fn refuse(&mut self, retry_after: Duration) -> Decision {
        self.refused += 1;
        Decision::Refused { retry_after }
    }

    fn waiting_maximum(&self, config: &QuotaConfig) -> Duration {
        let is_alone = self.failures >= FAILURES_UNTIL_ALONE;
        if is_alone { config.waiting_without_home } else { config.waiting_maximum }
    }

    /// Returns units that a request didn't use.
    pub(super) fn refund(&mut self, units: u64) {
        let units_signed = to_signed(units);
        let settled = units_signed.min(self.balance.min(0).saturating_neg());
        self.balance += settled;
        self.returnable = self.returnable.saturating_add((units_signed - settled).unsigned_abs());
        self.has_refund = self.returnable > 0;
    }

    /// Charges units without admission. What the held units don't cover is settled with the home.
    pub(super) fn charge(&mut self, units: u64) {
        let from_refund = units.min(if self.has_refund { self.returnable } else { 0 });
        self.returnable -= from_refund;
        self.has_refund &= self.returnable > 0;
        self.balance = self.balance.saturating_sub(to_signed(units - from_refund));
    }

    /// Whether a request to the home is to be sent now.
    pub(super) fn has_request_due(&mut self, config: &QuotaConfig, now: Timestamp) -> bool {
        self.expire(config, now);
        self.request_due().is_some_and(|at| at <= now)
    }

    /// When the next request to the home is to be sent.
    fn request_due(&self) -> Option<Timestamp> {
        // A waiting request that the balance covers is admitted at its next attempt and needs no units of the home.
        let is_uncovered = |(_, cost): &(Timestamp, u64)| to_signed(*cost) > self.balance;
        let has_reason = self.waiting.first().is_some_and(is_uncovered) || self.balance < 0 || self.has_refund;
        if self.outstanding.is_some() || !has_reason {
            return None;
        }
        Some(self.refusal.map_or(self.request_not_before, |refusal| refusal.until.max(self.request_not_before)))
    }

    /// The request to the home at `to`. It returns all units that are held, so that the home knows what is unused.
    pub(super) fn ask(
        &mut self,
        to: Address,
        (sender, sequence): (Address, u64),
        tenant: &TenantName,
        config: &QuotaConfig,
        now: Timestamp,
    ) -> QuotaRequest {
        let debt = self.balance.min(0).unsigned_abs();
        let returned = self.returnable.saturating_add(self.balance.max(0).unsigned_abs());
        let needed = self.needed(debt);
        let waiting = self.waiting.iter().fold(debt, |sum, (_, cost)| sum.saturating_add(*cost));
        let expected = self.demand.expected_units(config.ahead_requests, now);
        let wanted = waiting.saturating_add(expected).max(needed);
        self.balance = self.balance.min(0);
        self.returnable = 0;
        self.has_refund = false;
        let request = QuotaRequest { sender, sequence, tenant: tenant.clone(), needed, wanted, returned };
        self.outstanding = Some(Outstanding { to, request: request.clone(), first_sent: now, sent: now });
        request
    }

    /// The units for the debt and for as many waiting requests, in order, as one grant may cover.
    fn needed(&self, debt: u64) -> u64 {
        let first_cost = self.waiting.first().map_or(0, |(_, cost)| *cost);
        let maximum = first_cost.max(DEBT_MAXIMUM as u64);
        let mut needed = debt.saturating_add(first_cost).min(maximum);
        for (_, cost) in self.waiting.iter().skip(1) {
            if needed.saturating_add(*cost) > maximum {
                break;
            }
            needed += cost;
        }
        needed
    }

    /// Repeats the outstanding request, or gives up on it.
    pub(super) fn progress(&mut self, config: &QuotaConfig, now: Timestamp) -> Progress {
        let Some(outstanding) = &mut self.outstanding else { return Progress::Nothing };
        if now.since(outstanding.first_sent) >= config.answer_timeout {
            let to = outstanding.to;
            self.outstanding = None;
            self.failures = self.failures.saturating_add(1);
            return Progress::TimedOut(to);
        }
        if now.since(outstanding.sent) < config.repeat_after {
            return Progress::Nothing;
        }
        outstanding.sent = now;
        Progress::Repeat(outstanding.to, outstanding.request.clone())
    }

    /// No node may be asked: refuses for a short time.
    pub(super) fn refuse_without_home(&mut self, config: &QuotaConfig, now: Timestamp) {
        self.failures = self.failures.max(FAILURES_UNTIL_ALONE);
        let until = now + config.refusal_minimum;
        self.begin_refusal(Refusal { until, retry_at: until });
    }

    fn begin_refusal(&mut self, refusal: Refusal) {
        self.refusal = Some(refusal);
        self.waiting.clear();
    }

    /// Handles the answer of `sender`. `spread` in 0 to 1 delays the next request after a refusal. Returns false if it
    /// doesn't answer the latest request.
    pub(super) fn receive(
        &mut self,
        (sender, sequence): (Address, u64),
        answer: QuotaAnswer,
        spread: f64,
        config: &QuotaConfig,
        now: Timestamp,
    ) -> bool {
        let is_answer = |asked: &mut Outstanding| asked.to == sender && asked.request.sequence == sequence;
        let Some(asked) = self.outstanding.take_if(is_answer) else { return false };
        if now.since(asked.first_sent) > config.grant_lifetime {
            return false;
        }
        if answer == QuotaAnswer::NotHome {
            self.receive_not_home(sender, config, now);
            return true;
        }
        self.failures = 0;
        self.not_home.retain(|not_home| not_home.node != sender);
        match answer {
            QuotaAnswer::Granted { units } => {
                let units = to_signed(units.min(asked.request.wanted));
                self.balance = self.balance.saturating_add(units);
                self.usable_until = asked.first_sent + config.unused_lifetime;
            }
            QuotaAnswer::Exhausted { retry_after_millis } => {
                let retry = Duration::from_millis(retry_after_millis.into()).max(config.refusal_minimum);
                let pause = lengthen(retry, spread).min(config.refusal_maximum);
                self.begin_refusal(Refusal { until: now + pause, retry_at: now + retry });
            }
            QuotaAnswer::Unlimited => {
                self.balance = 0;
                self.waiting.clear();
                self.unlimited_until = now + config.unlimited_lifetime;
            }
            QuotaAnswer::NotHome => {}
        }
        true
    }

    fn receive_not_home(&mut self, node: Address, config: &QuotaConfig, now: Timestamp) {
        let known = self.not_home.iter().position(|not_home| not_home.node == node);
        let known = known.map(|index| self.not_home.remove(index));
        let recent = known.filter(|not_home| now.since(not_home.latest) < config.suspension * 2);
        let since = recent.map_or(now, |not_home| not_home.since);
        let is_persistent = now.since(since) >= config.not_home_patience;
        let passed_over_until = is_persistent.then(|| now + config.suspension);
        if is_persistent {
            self.failures = self.failures.saturating_add(1);
        } else {
            self.request_not_before = now + config.not_home_retry;
        }
        self.not_home.truncate(CANDIDATES_MAXIMUM - 1);
        self.not_home.insert(0, NotHome { node, since, latest: now, passed_over_until });
    }

    /// Whether `node` is not asked for this tenant because it has repeatedly answered `NotHome`.
    pub(super) fn passes_over(&self, node: Address, now: Timestamp) -> bool {
        let not_home = self.not_home.iter().find(|not_home| not_home.node == node);
        not_home.is_some_and(|not_home| not_home.passed_over_until.is_some_and(|until| now < until))
    }

    /// The limit has changed: units of the former one are returned, and a refusal ends.
    pub(super) fn limit_changed(&mut self) {
        self.returnable = self.returnable.saturating_add(self.balance.max(0).unsigned_abs());
        self.balance = self.balance.min(0);
        self.refusal = None;
        self.unlimited_until = Timestamp::ZERO;
    }

    /// When the next request, repetition, time-out or end of a wait is due.
    pub(super) fn next_poll(&self, config: &QuotaConfig) -> Option<Timestamp> {
        let answer_due = self.outstanding.as_ref().map(|outstanding| {
            (outstanding.sent + config.repeat_after).min(outstanding.first_sent + config.answer_timeout)
        });
        let waited = self.waiting.first().map(|(since, _)| *since + self.waiting_maximum(config));
        answer_due.into_iter().chain(self.request_due()).chain(waited).min()
    }

    pub(super) fn balance(&self) -> i64 {
        self.balance
    }

    /// Removes held units, a refusal and waiting requests whose time is over.
    fn expire(&mut self, config: &QuotaConfig, now: Timestamp) {
        if self.balance > 0 && now >= self.usable_until {
            self.returnable = self.returnable.saturating_add(self.balance.unsigned_abs());
            self.balance = 0;
        }
        self.refusal = self.refusal.filter(|refusal| now < refusal.until);
        let waiting_maximum = self.waiting_maximum(config);
        while self.waiting.first().is_some_and(|(since, _)| now.since(*since) >= waiting_maximum) {
            self.waiting.pop_first();
        }
    }
}

/// A time until a retry, longer by up to [`RETRY_SPREAD`] in proportion to `spread` in 0 to 1.
pub(super) fn lengthen(retry_after: Duration, spread: f64) -> Duration {
    retry_after.mul_f64(1.0 + RETRY_SPREAD * spread)
}

/// The units as a signed number; the largest one if they exceed it.
fn to_signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX)
}
