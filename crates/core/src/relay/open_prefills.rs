//! The prompts that engines read now, for this node and for its peers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::engine_tag::EngineTag;
use super::peer_notice::OpenPrefills;
use super::prompt::PromptPart;
use super::urgency::Urgency;
use crate::back_ends::EngineStage;
use crate::time::Timestamp;
use crate::world::Address;

/// The share of what an engine reads that is regarded as left until the end is heard of.
const LEFT_MINIMUM: f64 = 0.1;

/// Names one of this node's own readings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefillId(pub(super) u64);

/// One of this node's own readings that is open.
#[derive(Clone, Debug)]
pub(super) struct LocalPrefill {
    pub(super) engine: EngineTag,
    /// The tokens that the engine has to read, without those that it kept.
    pub(super) tokens: u32,
    pub(super) urgency: Urgency,
    pub(super) began: Timestamp,
    /// The stage of an engine that had nothing else to read: such a reading shows how fast engines read.
    pub(super) alone_at: Option<EngineStage>,
    pub(super) shared_parts: Vec<PromptPart>,
    /// The tokens of the whole prompt.
    pub(super) prompt_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct PeerShare {
    tokens: u32,
    late_tokens: u32,
    began: Timestamp,
}

/// Readings that are open, by engine.
///
/// Invariant: a peer has a share of an engine's readings exactly when the engine is in the peer's list.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenTable {
    own: BTreeMap<PrefillId, LocalPrefill>,
    of_peers: HashMap<EngineTag, HashMap<Address, PeerShare>>,
    engines_of: HashMap<Address, Vec<EngineTag>>,
    /// When a reading was last heard to end at each engine: the next one began no earlier.
    ended_at: HashMap<EngineTag, Timestamp>,
}

impl OpenTable {
    pub(super) fn begin(&mut self, id: PrefillId, reading: LocalPrefill) {
        self.own.insert(id, reading);
    }

    pub(super) fn end(&mut self, id: PrefillId, now: Timestamp) -> Option<LocalPrefill> {
        let ended = self.own.remove(&id)?;
        self.note_end(ended.engine, now);
        Some(ended)
    }

    /// Notes that `engine` has just read a prompt.
    pub(super) fn note_end(&mut self, engine: EngineTag, now: Timestamp) {
        self.ended_at.insert(engine, now);
    }

    /// Forgets engines that are not `present`.
    pub(super) fn retain_engines(&mut self, present: impl Fn(EngineTag) -> bool) {
        self.ended_at.retain(|engine, _| present(*engine));
    }

    /// Puts what a peer tells in the place of what it told before.
    pub(super) fn replace(&mut self, peer: Address, open: &[OpenPrefills], now: Timestamp) {
        self.forget(peer);
        for told in open {
            let began = now - Duration::from_millis(u64::from(told.age_millis));
            self.of_peers
                .entry(told.engine)
                .or_default()
                .insert(peer, PeerShare { tokens: told.tokens, late_tokens: told.late_tokens, began });
        }
        if !open.is_empty() {
            self.engines_of.insert(peer, open.iter().map(|told| told.engine).collect());
        }
    }

    /// Forgets what a peer told.
    pub(super) fn forget(&mut self, peer: Address) {
        for engine in self.engines_of.remove(&peer).unwrap_or_default() {
            if let Some(shares) = self.of_peers.get_mut(&engine) {
                shares.remove(&peer);
                if shares.is_empty() {
                    self.of_peers.remove(&engine);
                }
            }
        }
    }

    /// The tokens that `engine`, which reads `rate` of them in a millisecond, has to read before a prompt of `urgency` that
    /// comes now. What is not heard to end within `maximum` is regarded as ended.
    ///
    /// Prompts are read one after the other, so the work done is that since the last one ended, whoever it was for.
    pub(super) fn backlog(
        &self,
        engine: EngineTag,
        urgency: Urgency,
        rate: f64,
        maximum: Duration,
        now: Timestamp,
    ) -> f64 {
        let own = self.own.values().filter(|reading| reading.engine == engine);
        let own = own.filter(|reading| !reading.urgency.waits_behind(urgency));
        let own = own.map(|reading| (reading.tokens, reading.began));
        let shares = self.of_peers.get(&engine).into_iter().flat_map(HashMap::values);
        let shares = shares.map(|share| match urgency {
            Urgency::InTime => (share.tokens, share.began),
            Urgency::Late => (share.tokens.saturating_add(share.late_tokens), share.began),
        });
        let open = own.chain(shares).filter(|(_, began)| now.since(*began) < maximum);
        let (tokens, oldest) = open.fold((0.0, None), |(sum, oldest), (tokens, began)| {
            (sum + f64::from(tokens), Some(oldest.map_or(began, |oldest: Timestamp| oldest.min(began))))
        });
        let Some(oldest) = oldest else {
            return 0.0;
        };
        let since = self.ended_at.get(&engine).map_or(oldest, |ended_at| oldest.max(*ended_at));
        let read = now.since(since).as_secs_f64() * 1e3 * rate;
        (tokens - read).max(tokens * LEFT_MINIMUM)
    }

    /// This node's open readings by engine, those with most tokens first.
    pub(super) fn told(&self, now: Timestamp) -> Vec<OpenPrefills> {
        let mut by_engine: BTreeMap<EngineTag, OpenPrefills> = BTreeMap::new();
        for reading in self.own.values() {
            let age_millis = u16::try_from(now.since(reading.began).as_millis()).unwrap_or(u16::MAX);
            let engine = reading.engine;
            let told =
                by_engine.entry(engine).or_insert(OpenPrefills { engine, tokens: 0, late_tokens: 0, age_millis });
            let counted = match reading.urgency {
                Urgency::InTime => &mut told.tokens,
                Urgency::Late => &mut told.late_tokens,
            };
            *counted = counted.saturating_add(reading.tokens);
            told.age_millis = told.age_millis.max(age_millis);
        }
        let mut told: Vec<OpenPrefills> = by_engine.into_values().collect();
        told.sort_by_key(|open| std::cmp::Reverse(open.tokens.saturating_add(open.late_tokens)));
        told
    }
}
