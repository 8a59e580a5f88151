//! Records what happened to each request, and checks the dispatcher's guarantees at each event.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::dispatch::Revocation;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, Verdict};

/// The record of one request.
#[derive(Debug)]
pub struct RequestRecord {
    pub profile: RequestProfile,
    pub repeatable: bool,
    pub arrived: Timestamp,
    pub refused: Option<NotRun>,
    pub revoked: Option<Revocation>,
    pub starts: u32,
    /// Attempts that an engine accepted.
    pub runs: u32,
    pub first_token_at: Option<Timestamp>,
    /// Tokens that reached the caller.
    pub tokens: u32,
    pub ended: Option<(Timestamp, Verdict)>,
}

impl RequestRecord {
    pub fn has_ended(&self) -> bool {
        self.refused.is_some() || self.ended.is_some() || self.revoked == Some(Revocation::BeforeStart)
    }

    pub fn time_to_first_token(&self) -> Option<Duration> {
        self.first_token_at.map(|at| at.since(self.arrived))
    }
}

#[derive(Debug, Default)]
pub struct History {
    pub records: BTreeMap<RequestId, RequestRecord>,
}

impl History {
    pub fn record(&mut self, request: RequestId) -> &mut RequestRecord {
        self.records.get_mut(&request).expect("the request was submitted")
    }

    pub fn arrived(&mut self, profile: &RequestProfile, repeatable: bool, now: Timestamp) {
        let record = RequestRecord {
            profile: profile.clone(),
            repeatable,
            arrived: now,
            refused: None,
            revoked: None,
            starts: 0,
            runs: 0,
            first_token_at: None,
            tokens: 0,
            ended: None,
        };
        self.records.insert(profile.id, record);
    }

    pub fn started(&mut self, request: RequestId, attempt: u32, resume_from: u32) {
        let record = self.record(request);
        assert!(!record.has_ended(), "{request} started after its end: {record:?}");
        record.starts += 1;
        assert_eq!(record.starts, attempt, "the attempt number equals the number of starts");
        assert_eq!(resume_from, record.tokens, "an attempt resumes after the delivered tokens");
    }

    pub fn ran(&mut self, request: RequestId) {
        let record = self.record(request);
        record.runs += 1;
        assert!(record.runs == 1 || record.repeatable, "{request} must not be repeated and ran twice");
    }

    pub fn ended(&mut self, request: RequestId, verdict: Verdict, now: Timestamp) {
        let record = self.record(request);
        assert!(!record.has_ended(), "{request} ended twice: {record:?}, then {verdict:?}");
        assert!(!matches!(verdict, Verdict::NotRun(_)) || record.runs == 0, "{request} ended as not run, but ran");
        if verdict == Verdict::Completed {
            assert_eq!(record.tokens, output_tokens(&record.profile), "{request}: the answer is incomplete");
        }
        record.ended = Some((now, verdict));
    }

    pub fn check_all_ended(&self) {
        for (request, record) in &self.records {
            assert!(record.has_ended(), "{request} has no end: {record:?}");
        }
    }

    /// The number of requests that completed within the times of their contract.
    pub fn met(&self, first_token_within: impl Fn(&RequestProfile) -> Duration) -> usize {
        let met = |record: &&RequestRecord| {
            let in_time = record.time_to_first_token().is_some_and(|time| time <= first_token_within(&record.profile));
            let completed = matches!(record.ended, Some((_, Verdict::Completed)));
            completed && in_time && record.mean_interval() <= Duration::from_millis(100)
        };
        self.records.values().filter(met).count()
    }
}

impl RequestRecord {
    pub fn mean_interval(&self) -> Duration {
        match (self.first_token_at, &self.ended) {
            (Some(first), Some((end, _))) => end.since(first) / self.tokens.saturating_sub(1).max(1),
            _ => Duration::ZERO,
        }
    }
}

/// The length of the answer to a request, in tokens: between half of the allowed maximum and all of it.
pub fn output_tokens(profile: &RequestProfile) -> u32 {
    let allowed = profile.max_output_tokens;
    (allowed / 2 + (profile.id.0 as u32).wrapping_mul(2_654_435_761) % (allowed / 2).max(1)).max(1)
}
