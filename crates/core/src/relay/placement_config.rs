//! What placement weighs, as operators set it: each mechanism can be switched off to see what it is worth.

use std::time::Duration;

use serde::Deserialize;

/// What placement weighs. What a settings file leaves out has its default.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementConfig {
    /// Whether what engines keep counts: each shared part that an engine keeps, with all before it, need not be read again.
    pub affinity: bool,
    /// Whether an engine takes parts over from another one that keeps them instead of reading them.
    pub takes_parts_over: bool,
    /// Whether decode engines are candidates for reading long prompts.
    pub decode_engines_read: bool,
    /// The share of its target within which a prompt must be expected to be read by a prefill engine, for decode engines
    /// to be left out: reading there holds up all answers that run there. 0: they are never left out.
    pub prefill_suffices_share: f64,
    /// Whether short prompts are read by prefill engines that have nothing else to read, instead of between the answers of
    /// the decode engine that answers them.
    pub short_prompts_apart: bool,
    /// How much more a millisecond of reading costs on a decode engine: it holds up the answers that run there.
    pub decode_interference: f64,
    /// Requests that an engine in another zone must have fewer to be preferred to one in the prompt's zone: a KV cache
    /// takes twice as long between zones.
    pub zone_advantage: f64,
    /// Whether engines are told who goes first: urgent routes before others, and requests that can be in time before those
    /// that are late.
    pub orders_by_urgency: bool,
    /// Whether a request that no engine can begin to answer before its end is refused at once.
    pub refuses_early: bool,
    /// The share of a target within which a prompt must be expected to be read, for the request to count as in time. More
    /// than 1: what is expected is not exact, and one that is put behind others is late for sure.
    pub target_share: f64,
    /// The time that an engine has still to read that counts like a request under way there, in milliseconds: short
    /// prompts wait behind long ones.
    pub backlog_per_request_milliseconds: f64,
}

/// A target's share that is divided by is no smaller.
const TARGET_SHARE_MINIMUM: f64 = 0.01;

/// a placement value is out of its range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct PlacementConfigError(pub &'static str);

impl Default for PlacementConfig {
    fn default() -> Self {
        PlacementConfig {
            affinity: true,
            takes_parts_over: true,
            decode_engines_read: true,
            prefill_suffices_share: 0.5,
            short_prompts_apart: true,
            decode_interference: 1.75,
            zone_advantage: 2.0,
            orders_by_urgency: true,
            refuses_early: true,
            target_share: 1.5,
            backlog_per_request_milliseconds: 20.0,
        }
    }
}

impl PlacementConfig {
    /// The time within which a prompt must be read to be in time, for a request with this `target` that has
    /// `waited` so long; `None` for one without a target, which is never late.
    pub fn in_time(&self, target: Duration, waited: Duration) -> Option<Duration> {
        (!target.is_zero()).then(|| target.mul_f64(self.target_share).saturating_sub(waited))
    }

    /// The time within which a prefill engine must be expected to read a prompt that has to be read `in_time`, for decode
    /// engines to be left out; `None` where they are never left out.
    pub fn prefill_suffices_within(&self, in_time: Option<Duration>) -> Option<Duration> {
        let share = self.prefill_suffices_share / self.target_share.max(TARGET_SHARE_MINIMUM);
        in_time.filter(|_| share > 0.0).map(|in_time| in_time.mul_f64(share))
    }

    /// Checks that each value can be reckoned with.
    ///
    /// # Errors
    /// Names the first value that can't.
    pub fn validate(&self) -> Result<(), PlacementConfigError> {
        let within = |value: f64, least: f64| value.is_finite() && (least..=1e3).contains(&value);
        if !within(self.decode_interference, 0.1) {
            return Err(PlacementConfigError("decode_interference: 0.1 to 1000"));
        }
        if !within(self.prefill_suffices_share, 0.0) {
            return Err(PlacementConfigError("prefill_suffices_share: 0 to 1000"));
        }
        if !within(self.zone_advantage, 0.0) {
            return Err(PlacementConfigError("zone_advantage: 0 to 1000"));
        }
        if !within(self.target_share, 0.0) {
            return Err(PlacementConfigError("target_share: 0 to 1000"));
        }
        if !(self.backlog_per_request_milliseconds.is_finite() && self.backlog_per_request_milliseconds > 0.0) {
            return Err(PlacementConfigError("backlog_per_request_milliseconds: more than 0"));
        }
        Ok(())
    }
}
