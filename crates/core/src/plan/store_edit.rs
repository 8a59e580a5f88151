//! Changing one object of the store by reading it, deciding, and writing by compare-and-set, until it is settled.
//!
//! A lost reply is settled by reading back, so an edit must recognise its own earlier success in what it reads.

use std::time::Duration;

use crate::configuration::StoreToken;
use crate::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use crate::time::Timestamp;

/// What is to become of an object.
pub trait Edit {
    /// What the edit ends with.
    type Outcome: Clone;

    /// The object.
    fn key(&self) -> ObjectKey;

    /// The identity of the write, the same for each try.
    fn operation(&self) -> OperationId;

    /// What to do about the object as it was read, possibly as it was a while ago.
    fn decide(&self, object: Option<&StoredObject>) -> EditDecision<Self::Outcome>;
}

/// What an [`Edit`] decides.
pub enum EditDecision<Outcome> {
    /// Write `value`; the edit ends with `outcome` when the write takes effect.
    Write {
        /// The new content, JSON text.
        value: String,
        /// What the edit then ends with.
        outcome: Outcome,
    },
    /// The edit is settled without a write.
    Settled(Outcome),
    /// What was read is too old to decide on: read again later.
    ReadAgain,
}

/// Settings of a [`StoreEdit`].
#[derive(Clone, Copy, Debug)]
pub struct StoreEditConfig {
    /// How long to wait before the next try after a lost reply.
    pub retry_interval: Duration,
    /// How long a reply is waited for.
    pub store_timeout: Duration,
    /// How long to try in all.
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

/// How a [`StoreEdit`] has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEditEnd<Outcome> {
    /// It is settled.
    Settled(Outcome),
    /// The store did not settle it in time.
    GaveUp {
        /// Whether the write may have taken effect or may still do so; otherwise nothing has happened and nothing will.
        may_take_effect: bool,
    },
}

/// A request to the store, and the token by which its reply is recognised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// Comes back with the reply.
    pub token: StoreToken,
    /// The request.
    pub request: StoreRequest,
}

/// One edit in progress.
pub struct StoreEdit<E: Edit> {
    config: StoreEditConfig,
    edit: E,
    gives_up_at: Timestamp,
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
    /// Starts the edit: its first request is ready.
    pub fn new(config: StoreEditConfig, edit: E, now: Timestamp) -> Self {
        let mut started = StoreEdit {
            config,
            edit,
            gives_up_at: now + config.time_limit,
            token: StoreToken::default(),
            waiting: Waiting::BeforeRetry { until: now },
            may_take_effect: false,
            ready: None,
            end: None,
        };
        started.read(now);
        started
    }

    /// Takes in the store's reply to the call with `token`; replies to earlier calls are dropped.
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
                self.wait(now);
            }
            (Waiting::ForRead { .. }, _) => self.wait(now),
            (Waiting::BeforeRetry { until }, _) => self.waiting = Waiting::BeforeRetry { until },
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.end.is_some() {
            return;
        }
        if now >= self.gives_up_at {
            let writing = matches!(self.waiting, Waiting::ForWrite { .. });
            self.end = Some(StoreEditEnd::GaveUp { may_take_effect: self.may_take_effect || writing });
            return;
        }
        match self.waiting {
            Waiting::ForWrite { until, .. } if now >= until => {
                self.may_take_effect = true;
                self.read(now);
            }
            Waiting::ForRead { until } | Waiting::BeforeRetry { until } if now >= until => self.read(now),
            _ => {}
        }
    }

    /// When [`tick`](Self::tick) has something to do again; nothing when the edit has ended.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let (Waiting::ForRead { until } | Waiting::ForWrite { until, .. } | Waiting::BeforeRetry { until }) =
            self.waiting;
        self.end.is_none().then_some(until.min(self.gives_up_at))
    }

    /// The next request to the store.
    pub fn take_ready(&mut self) -> Option<StoreCall> {
        self.ready.take()
    }

    /// How the edit has ended, if it has.
    pub fn end(&self) -> Option<&StoreEditEnd<E::Outcome>> {
        self.end.as_ref()
    }

    fn decide(&mut self, object: Option<StoredObject>, now: Timestamp) {
        match self.edit.decide(object.as_ref()) {
            EditDecision::Settled(outcome) => self.settle(outcome),
            EditDecision::ReadAgain => self.wait(now),
            EditDecision::Write { value, outcome } => {
                let expected = object.map_or(Revision::default(), |object| object.revision);
                let (key, operation) = (self.edit.key(), self.edit.operation());
                self.ask(StoreRequest::CompareAndSet { key, expected, operation, value });
                self.waiting = Waiting::ForWrite { until: now + self.config.store_timeout, outcome };
            }
        }
    }

    fn read(&mut self, now: Timestamp) {
        self.ask(StoreRequest::Read { key: self.edit.key() });
        self.waiting = Waiting::ForRead { until: now + self.config.store_timeout };
    }

    fn ask(&mut self, request: StoreRequest) {
        self.token.0 += 1;
        self.ready = Some(StoreCall { token: self.token, request });
    }

    fn wait(&mut self, now: Timestamp) {
        self.waiting = Waiting::BeforeRetry { until: now + self.config.retry_interval };
    }

    fn settle(&mut self, outcome: E::Outcome) {
        self.end = Some(StoreEditEnd::Settled(outcome));
    }
}
