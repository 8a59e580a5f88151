//! Confirming a plan: once only, and only on the version that it was made for.

use crate::configuration::{ConfigurationRecord, ConfigurationVersion, StageError, configuration_key};
use crate::store::{ObjectKey, OperationId, StoredObject};

use super::plan::Plan;
use super::store_edit::{Edit, EditDecision, StoreEdit};

/// What an operator's confirmation has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationOutcome {
    /// The plan made this version, now or by an earlier confirmation of the same plan. It is staged, and comes into
    /// force; the record is for the node's own replica.
    Confirmed {
        /// The version.
        version: ConfigurationVersion,
        /// The store's record.
        record: ConfigurationRecord,
    },
    /// Another plan was confirmed first: nothing has happened and nothing will.
    Stale {
        /// The latest version, to plan for again.
        latest: ConfigurationVersion,
    },
    /// The plan is so old that the store no longer knows whether it was confirmed. Nothing has happened now.
    Forgotten {
        /// The latest version.
        latest: ConfigurationVersion,
    },
    /// Too many versions wait to come into force: nothing has happened.
    TooManyPending,
    /// What the store holds can't be read: nothing has happened.
    UnreadableRecord,
}

/// A confirmation in progress.
pub type Confirmation = StoreEdit<StagePlan>;

/// Stages a plan's changes as the next version.
pub struct StagePlan {
    plan: Plan,
}

impl StagePlan {
    /// Stages `plan`.
    pub fn new(plan: Plan) -> Self {
        StagePlan { plan }
    }

    fn decide_on(&self, record: ConfigurationRecord) -> EditDecision<ConfirmationOutcome> {
        if let Some(version) = record.version_of(self.plan.id) {
            return EditDecision::Settled(ConfirmationOutcome::Confirmed { version, record });
        }
        let latest = record.latest();
        if latest < self.plan.base {
            return EditDecision::ReadAgain;
        }
        if latest > self.plan.base && !record.remembers_successor_of(self.plan.base) {
            return EditDecision::Settled(ConfirmationOutcome::Forgotten { latest });
        }
        match record.stage(self.plan.id, self.plan.base, self.plan.changes.clone()) {
            Ok(staged) => write_of(staged),
            Err(StageError::Stale { latest }) => EditDecision::Settled(ConfirmationOutcome::Stale { latest }),
            Err(StageError::TooManyPending { .. }) => EditDecision::Settled(ConfirmationOutcome::TooManyPending),
        }
    }
}

impl Edit for StagePlan {
    type Outcome = ConfirmationOutcome;

    fn key(&self) -> ObjectKey {
        configuration_key()
    }

    fn operation(&self) -> OperationId {
        OperationId(self.plan.id.0)
    }

    fn decide(&self, object: Option<&StoredObject>) -> EditDecision<ConfirmationOutcome> {
        let Some(object) = object else { return self.decide_on(ConfigurationRecord::default()) };
        match serde_json::from_str(&object.value) {
            Ok(record) => self.decide_on(record),
            Err(_) => EditDecision::Settled(ConfirmationOutcome::UnreadableRecord),
        }
    }
}

fn write_of(record: ConfigurationRecord) -> EditDecision<ConfirmationOutcome> {
    match serde_json::to_string(&record) {
        Ok(value) => {
            let outcome = ConfirmationOutcome::Confirmed { version: record.latest(), record };
            EditDecision::Write { value, outcome }
        }
        Err(_) => EditDecision::Settled(ConfirmationOutcome::UnreadableRecord),
    }
}
