//! What happened to each request, with the guarantees checked as it happens.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::dispatch::Revocation;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, Verdict};

/// One request's life.
#[derive(Debug)]
pub struct Life {
    pub profile: RequestProfile,
    pub repeatable: bool,
    pub arrived: Timestamp,
    pub refused: Option<NotRun>,
    pub revoked: Option<Revocation>,
    pub starts: u32,
    /// Attempts that an engine took on.
    pub runs: u32,
    pub first_token_at: Option<Timestamp>,
    /// Tokens that reached the caller.
    pub tokens: u32,
    pub ended: Option<(Timestamp, Verdict)>,
}

impl Life {
    pub fn has_ended(&self) -> bool {
        self.refused.is_some() || self.ended.is_some() || self.revoked == Some(Revocation::BeforeStart)
    }

    pub fn time_to_first_token(&self) -> Option<Duration> {
        self.first_token_at.map(|at| at.since(self.arrived))
    }
}

#[derive(Debug, Default)]
pub struct History {
    pub lives: BTreeMap<RequestId, Life>,
}

impl History {
    pub fn life(&mut self, request: RequestId) -> &mut Life {
        self.lives.get_mut(&request).expect("the request was submitted")
    }

    pub fn arrived(&mut self, profile: &RequestProfile, repeatable: bool, now: Timestamp) {
        let life = Life {
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
        self.lives.insert(profile.id, life);
    }

    pub fn started(&mut self, request: RequestId, attempt: u32, resume_from: u32) {
        let life = self.life(request);
        assert!(!life.has_ended(), "{request} started after its end: {life:?}");
        life.starts += 1;
        assert_eq!(life.starts, attempt, "attempts are counted");
        assert_eq!(resume_from, life.tokens, "an attempt goes on after the tokens that were delivered");
    }

    pub fn ran(&mut self, request: RequestId) {
        let life = self.life(request);
        life.runs += 1;
        assert!(life.runs == 1 || life.repeatable, "{request} must not be repeated and ran twice");
    }

    pub fn ended(&mut self, request: RequestId, verdict: Verdict, now: Timestamp) {
        let life = self.life(request);
        assert!(!life.has_ended(), "{request} ended twice: {life:?}, then {verdict:?}");
        assert!(!matches!(verdict, Verdict::NotRun(_)) || life.runs == 0, "{request} ended as not run, but ran");
        if verdict == Verdict::Completed {
            assert_eq!(life.tokens, output_tokens(&life.profile), "{request}: the answer isn't whole");
        }
        life.ended = Some((now, verdict));
    }

    pub fn check_all_ended(&self) {
        for (request, life) in &self.lives {
            assert!(life.has_ended(), "{request} has no end: {life:?}");
        }
    }

    /// Requests that completed within their contract's times.
    pub fn met(&self, first_token_within: impl Fn(&RequestProfile) -> Duration) -> usize {
        let met = |life: &&Life| {
            let in_time = life.time_to_first_token().is_some_and(|time| time <= first_token_within(&life.profile));
            let completed = matches!(life.ended, Some((_, Verdict::Completed)));
            completed && in_time && life.mean_interval() <= Duration::from_millis(100)
        };
        self.lives.values().filter(met).count()
    }
}

impl Life {
    pub fn mean_interval(&self) -> Duration {
        match (self.first_token_at, &self.ended) {
            (Some(first), Some((end, _))) => end.since(first) / self.tokens.saturating_sub(1).max(1),
            _ => Duration::ZERO,
        }
    }
}

/// Tokens that the answer to a request has: between half and all of those allowed.
pub fn output_tokens(profile: &RequestProfile) -> u32 {
    let allowed = profile.max_output_tokens;
    (allowed / 2 + (profile.id.0 as u32).wrapping_mul(2_654_435_761) % (allowed / 2).max(1)).max(1)
}
