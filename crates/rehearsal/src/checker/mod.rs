//! Checks what callers were told against what engines have run.
//!
//! The checks are pure functions over typed histories: [`CallRecord`]s of the callers and [`EngineObservation`]s of the
//! stand-in engines. What nodes say about themselves counts for nothing here.

mod answers;
mod call;
mod engines;
mod evidence;
mod keys;
mod violation;

pub use call::{CallRecord, KeyedPrompt, Outcome};
pub use evidence::{Departure, Disturbance, EngineObservation, Evidence};
pub use violation::Violation;

/// All breaches of guarantees in `evidence`.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(answers::unaccounted(evidence));
    violations.extend(answers::wrong_answers(evidence));
    violations.extend(answers::completed_without_run(evidence));
    violations.extend(answers::ran_after_not_run(evidence));
    violations.extend(answers::cut_without_failure(evidence));
    violations.extend(keys::ran_again(evidence));
    violations.extend(engines::work_while_leaving(evidence));
    violations.extend(engines::cut_by_order(evidence));
    violations.extend(engines::conflicting_orders(evidence));
    violations.extend(engines::incomplete_histories(evidence));
    violations
}
