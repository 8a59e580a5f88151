//! Edits one object of the store: reads it, decides, and writes by compare-and-set, until the edit is settled.
//!
//! After a lost reply the object is read again, so an edit must recognise its own earlier write in the object.

use std::time::Duration;

use crate::configuration::StoreToken;
use crate::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use crate::time::Timestamp;

/// A change to one object of the store.
pub trait Edit {
    /// The outcome of the edit.
    type Outcome: Clone;

    /// Returns the key of the object.
    fn key(&self) -> ObjectKey;

    /// Returns the identifier of the write, which is the same for each attempt.
    fn operation(&self) -> OperationId;

    /// Decides on the object that was read; its content may be out of date.
    fn decide(&self, object: Option<&StoredObject>) -> EditDecision<Self::Outcome>;
}

/// The decision of an [`Edit`].
pub enum EditDecision<Outcome> {
    /// Write `value`; the edit ends with `outcome` when the write takes effect.
    Write {
        /// The new content, as JSON.
        value: String,
        /// The outcome when the write takes effect.
        outcome: Outcome,
    },
    /// The edit is settled without a write.
    Settled(Outcome),
    /// The object that was read is too old to decide on; it is read again later.
    ReadAgain,
}

/// Settings of a [`StoreEdit`].
#[derive(Clone, Copy, Debug)]
pub struct StoreEditConfig {
    /// The delay before the next attempt after a lost reply.
    pub retry_interval: Duration,
    /// The timeout for one reply of the store.
    pub store_timeout: Duration,
    /// The time limit for the whole edit.
    pub time_limit: Duration,
}

impl Default for StoreEditConfig {
    fn default() -> Self {
        StoreEditConfig {
            retry_interval: Duration::from_millis(250),
            store_timeout: Duration::from_secs(5),
            time_limit: Duration::from_secs(30),
        }
    }
}

/// The result of a [`StoreEdit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEditEnd<Outcome> {
    /// The edit is settled.
    Settled(Outcome),
    /// The edit was not settled within the time limit.
    GaveUp {
        /// Whether a write may have taken effect or may still do so. If false, nothing is changed, now or later.
        may_take_effect: bool,
    },
}

/// A request to the store, with the token that identifies its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// The token that is returned with the reply.
    pub token: StoreToken,
    /// The request.
    pub request: StoreRequest,
}

/// An edit in progress.
pub struct StoreEdit<E: Edit> {
    config: StoreEditConfig,
    edit: E,
    deadline: Timestamp,
    token: StoreToken,
    waiting: Waiting<E::Outcome>,
    may_take_effect: bool,
    ready: Option<StoreCall>,
    end: Option<StoreEditEnd<E::Outcome>>,
}

enum Waiting<Outcome> {
    ForRead { until: Timestamp },
    ForWrite { until: Timestamp, outcome: Outcome },
    BeforeRetry { until: Timestamp },
}

impl<E: Edit> StoreEdit<E> {
    /// Starts the edit and prepares its first request.
    pub fn new(config: StoreEditConfig, edit: E, now: Timestamp) -> Self {
        let mut store_edit = StoreEdit {
            config,
            edit,
            deadline: now + config.time_limit,
            token: StoreToken::default(),
            waiting: Waiting::BeforeRetry { until: now },
            may_take_effect: false,
            ready: None,
            end: None,
        };
        store_edit.prepare_read(now);
        store_edit
    }

    /// Handles the store's reply to the call with `token`; replies to earlier calls are ignored.
    pub fn step(&mut self, token: StoreToken, reply: StoreReply, now: Timestamp) {
        if token != self.token || self.end.is_some() {
            return;
        }
        let waiting = std::mem::replace(&mut self.waiting, Waiting::BeforeRetry { until: now });
        match (waiting, reply) {
            (Waiting::ForRead { .. }, StoreReply::Object(object)) => self.decide(object, now),
            (Waiting::ForWrite { outcome, .. }, StoreReply::Written(_)) => self.settle(outcome),
            (Waiting::ForWrite { .. }, StoreReply::Conflict(object)) => self.decide(object, now),
            (Waiting::ForWrite { .. }, _) => {
                self.may_take_effect = true;
                self.schedule_retry(now);
            }
            (Waiting::ForRead { .. }, _) => self.schedule_retry(now),
            (Waiting::BeforeRetry { until }, _) => self.waiting = Waiting::BeforeRetry { until },
        }
    }

    /// Handles the timeouts that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.end.is_some() {
            return;
        }
        if now >= self.deadline {
            let writing = matches!(self.waiting, Waiting::ForWrite { .. });
            self.end = Some(StoreEditEnd::GaveUp { may_take_effect: self.may_take_effect || writing });
            return;
        }
        match self.waiting {
            Waiting::ForWrite { until, .. } if now >= until => {
                self.may_take_effect = true;
                self.prepare_read(now);
            }
            Waiting::ForRead { until } | Waiting::BeforeRetry { until } if now >= until => self.prepare_read(now),
            _ => {}
        }
    }

    /// Returns when [`tick`](Self::tick) is due next, or `None` when the edit has ended.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let (Waiting::ForRead { until } | Waiting::ForWrite { until, .. } | Waiting::BeforeRetry { until }) =
            self.waiting;
        self.end.is_none().then_some(until.min(self.deadline))
    }

    /// Takes the next request to send to the store.
    pub fn take_ready(&mut self) -> Option<StoreCall> {
        self.ready.take()
    }

    /// Returns the result of the edit once it has ended.
    pub fn end(&self) -> Option<&StoreEditEnd<E::Outcome>> {
        self.end.as_ref()
    }

    fn decide(&mut self, object: Option<StoredObject>, now: Timestamp) {
        match self.edit.decide(object.as_ref()) {
            EditDecision::Settled(outcome) => self.settle(outcome),
            EditDecision::ReadAgain => self.schedule_retry(now),
            EditDecision::Write { value, outcome } => {
                let expected = object.map_or(Revision::default(), |object| object.revision);
                let (key, operation) = (self.edit.key(), self.edit.operation());
                self.prepare_call(StoreRequest::CompareAndSet { key, expected, operation, value });
                self.waiting = Waiting::ForWrite { until: now + self.config.store_timeout, outcome };
            }
        }
    }

    fn prepare_read(&mut self, now: Timestamp) {
        self.prepare_call(StoreRequest::Read { key: self.edit.key() });
        self.waiting = Waiting::ForRead { until: now + self.config.store_timeout };
    }

    fn prepare_call(&mut self, request: StoreRequest) {
        self.token.0 += 1;
        self.ready = Some(StoreCall { token: self.token, request });
    }

    fn schedule_retry(&mut self, now: Timestamp) {
        self.waiting = Waiting::BeforeRetry { until: now + self.config.retry_interval };
    }

    fn settle(&mut self, outcome: E::Outcome) {
        self.end = Some(StoreEditEnd::Settled(outcome));
    }
}
