//! Confirmation of a plan: at most once, and only on the version that the plan was made for.

use crate::configuration::{ConfigurationRecord, ConfigurationVersion, StageError, configuration_key};
use crate::store::{ObjectKey, OperationId, StoredObject};

use super::plan::Plan;
use super::store_edit::{Edit, EditDecision, StoreEdit};

/// The outcome of an operator's confirmation.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationOutcome {
    /// The plan created this version, now or by an earlier confirmation of the same plan. The version is staged and
    /// takes effect later; the record updates the node's own replica.
    Confirmed {
        /// The version.
        version: ConfigurationVersion,
        /// The configuration record in the store.
        record: ConfigurationRecord,
    },
    /// Another plan was confirmed first; this plan has no effect, now or later.
    Stale {
        /// The latest version, on which a new plan can be made.
        latest: ConfigurationVersion,
    },
    /// The plan is so old that the record no longer shows whether it was confirmed. This confirmation has no effect.
    Forgotten {
        /// The latest version.
        latest: ConfigurationVersion,
    },
    /// Too many staged versions have not taken effect yet; nothing is changed.
    TooManyPending,
    /// The stored record can't be read; nothing is changed.
    UnreadableRecord,
}

/// A confirmation in progress.
pub type Confirmation = StoreEdit<StagePlan>;

/// Stages a plan's changes as the next version.
pub struct StagePlan {
    plan: Plan,
}

impl StagePlan {
    /// Creates the edit that stages `plan`.
    pub fn new(plan: Plan) -> Self {
        StagePlan { plan }
    }

    fn decide_for_record(&self, record: ConfigurationRecord) -> EditDecision<ConfirmationOutcome> {
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
            Ok(staged) => write_record(staged),
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
        let Some(object) = object else { return self.decide_for_record(ConfigurationRecord::default()) };
        match serde_json::from_str(&object.value) {
            Ok(record) => self.decide_for_record(record),
            Err(_) => EditDecision::Settled(ConfirmationOutcome::UnreadableRecord),
        }
    }
}

fn write_record(record: ConfigurationRecord) -> EditDecision<ConfirmationOutcome> {
    match serde_json::to_string(&record) {
        Ok(value) => {
            let outcome = ConfirmationOutcome::Confirmed { version: record.latest(), record };
            EditDecision::Write { value, outcome }
        }
        Err(_) => EditDecision::Settled(ConfirmationOutcome::UnreadableRecord),
    }
}
