//! Which requests the engine refuses.

use havengate_core::world::EngineRole;

use super::super::work::{EngineRefusalCode, GenerateWork, WorkKind};
use super::EngineModel;

impl EngineModel {
    /// Why the engine would refuse a request now, if it would.
    pub(super) fn refusal(&self, work: &GenerateWork) -> Option<EngineRefusalCode> {
        let report = self.arbiter.report();
        let is_known = |known: &GenerateWork| known.request == work.request;
        let rules = [
            (!self.is_up, EngineRefusalCode::Down),
            (self.revoked.contains(work.request), EngineRefusalCode::Revoked),
            (report.leaving, EngineRefusalCode::Leaving),
            (report.changing, EngineRefusalCode::Changing),
            (report.model != work.model, EngineRefusalCode::UnknownModel),
            (!serves(report.role, work), EngineRefusalCode::WrongRole),
            (!self.can_ever_run(work), EngineRefusalCode::Invalid),
            (self.waiting.len() >= self.config.waiting_maximum, EngineRefusalCode::Full),
            (self.waiting.values().any(is_known), EngineRefusalCode::Duplicate),
            (self.batch.iter().any(|sequence| is_known(&sequence.work)), EngineRefusalCode::Duplicate),
        ];
        rules.into_iter().find(|(applies, _)| *applies).map(|(_, refusal)| refusal)
    }

    fn can_ever_run(&self, work: &GenerateWork) -> bool {
        work.prompt_tokens > 0
            && (1..=work.max_tokens).contains(&work.answer_tokens)
            && work.resume_from <= work.answer_tokens
            && work.longest_tokens() <= self.config.performance.kv_capacity_tokens
    }
}

fn serves(role: EngineRole, work: &GenerateWork) -> bool {
    match work.kind {
        WorkKind::Prefill => role.serves_prefill(),
        WorkKind::Generate if work.import.is_some() => role.serves_decode(),
        WorkKind::Generate => role == EngineRole::Mixed,
    }
}
