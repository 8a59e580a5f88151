//! The open prefills of engines, for this node and for its peers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::engine_tag::EngineTag;
use super::peer_notice::OpenPrefills;
use super::prompt::PromptPart;
use super::urgency::Urgency;
use crate::back_ends::EngineStage;
use crate::time::Timestamp;
use crate::world::Address;

/// The share of an engine's open prefills that counts as remaining until their end is reported.
const REMAINING_SHARE_MINIMUM: f64 = 0.1;

/// Identifies one of this node's own prefills.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefillId(pub(super) u64);

/// An open prefill of this node.
#[derive(Clone, Debug)]
pub(super) struct LocalPrefill {
    pub(super) engine: EngineTag,
    /// The tokens that the engine has to prefill, without cached tokens.
    pub(super) tokens: u32,
    pub(super) urgency: Urgency,
    pub(super) began: Timestamp,
    /// The time that the request and its answer spend between regions, which is not prefill time.
    pub(super) round_trip: Duration,
    /// The stage of the engine if it had no other open prefill: only such a prefill is a sample of the prefill rate.
    pub(super) isolated_stage: Option<EngineStage>,
    pub(super) shared_parts: Vec<PromptPart>,
    /// The tokens of the full prompt.
    pub(super) prompt_tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct PeerShare {
    tokens: u32,
    late_tokens: u32,
    began: Timestamp,
}

/// Open prefills, by engine.
///
/// Invariant: a peer has a share of an engine's prefills exactly when the engine is in the peer's list.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenTable {
    local: BTreeMap<PrefillId, LocalPrefill>,
    of_peers: HashMap<EngineTag, HashMap<Address, PeerShare>>,
    engines_of: HashMap<Address, Vec<EngineTag>>,
    /// When a prefill last ended at each engine, as far as known: the next one began no earlier.
    ended_at: HashMap<EngineTag, Timestamp>,
}

impl OpenTable {
    pub(super) fn begin(&mut self, id: PrefillId, prefill: LocalPrefill) {
        self.local.insert(id, prefill);
    }

    pub(super) fn end(&mut self, id: PrefillId, now: Timestamp) -> Option<LocalPrefill> {
        let ended = self.local.remove(&id)?;
        self.record_end(ended.engine, now);
        Some(ended)
    }

    /// Records that `engine` has just finished a prefill.
    pub(super) fn record_end(&mut self, engine: EngineTag, now: Timestamp) {
        self.ended_at.insert(engine, now);
    }

    /// Removes engines that are not `present`.
    pub(super) fn retain_engines(&mut self, present: impl Fn(EngineTag) -> bool) {
        self.ended_at.retain(|engine, _| present(*engine));
    }

    /// Replaces the open prefills of a peer by the announced ones.
    pub(super) fn replace(&mut self, peer: Address, open: &[OpenPrefills], now: Timestamp) {
        self.remove_peer(peer);
        for announced in open {
            let began = now - Duration::from_millis(u64::from(announced.age_millis));
            self.of_peers
                .entry(announced.engine)
                .or_default()
                .insert(peer, PeerShare { tokens: announced.tokens, late_tokens: announced.late_tokens, began });
        }
        if !open.is_empty() {
            self.engines_of.insert(peer, open.iter().map(|announced| announced.engine).collect());
        }
    }

    /// Removes the open prefills of a peer.
    pub(super) fn remove_peer(&mut self, peer: Address) {
        for engine in self.engines_of.remove(&peer).unwrap_or_default() {
            if let Some(shares) = self.of_peers.get_mut(&engine) {
                shares.remove(&peer);
                if shares.is_empty() {
                    self.of_peers.remove(&engine);
                }
            }
        }
    }

    /// Estimates the tokens that `engine`, with `rate` tokens per millisecond, has to prefill before a prompt of
    /// `urgency` that arrives now. A prefill whose end is not reported within `maximum` is assumed to have ended.
    ///
    /// Engines prefill one prompt after the other, so progress counts from the last reported end, for whichever node
    /// that prefill was.
    pub(super) fn backlog(
        &self,
        engine: EngineTag,
        urgency: Urgency,
        rate: f64,
        maximum: Duration,
        now: Timestamp,
    ) -> f64 {
        let local = self.local.values().filter(|prefill| prefill.engine == engine);
        let local = local.filter(|prefill| !prefill.urgency.waits_behind(urgency));
        let local = local.map(|prefill| (prefill.tokens, prefill.began));
        let shares = self.of_peers.get(&engine).into_iter().flat_map(HashMap::values);
        let shares = shares.map(|share| match urgency {
            Urgency::InTime => (share.tokens, share.began),
            Urgency::Late => (share.tokens.saturating_add(share.late_tokens), share.began),
        });
        let open = local.chain(shares).filter(|(_, began)| now.since(*began) < maximum);
        let (tokens, oldest) = open.fold((0.0, None), |(sum, oldest), (tokens, began)| {
            (sum + f64::from(tokens), Some(oldest.map_or(began, |oldest: Timestamp| oldest.min(began))))
        });
        let Some(oldest) = oldest else {
            return 0.0;
        };
        let since = self.ended_at.get(&engine).map_or(oldest, |ended_at| oldest.max(*ended_at));
        let completed = now.since(since).as_secs_f64() * 1e3 * rate;
        (tokens - completed).max(tokens * REMAINING_SHARE_MINIMUM)
    }

    /// Returns this node's open prefills by engine, those with most tokens first.
    pub(super) fn announced(&self, now: Timestamp) -> Vec<OpenPrefills> {
        let mut by_engine: BTreeMap<EngineTag, OpenPrefills> = BTreeMap::new();
        for prefill in self.local.values() {
            let age_millis = u16::try_from(now.since(prefill.began).as_millis()).unwrap_or(u16::MAX);
            let engine = prefill.engine;
            let announced =
                by_engine.entry(engine).or_insert(OpenPrefills { engine, tokens: 0, late_tokens: 0, age_millis });
            let counted = match prefill.urgency {
                Urgency::InTime => &mut announced.tokens,
                Urgency::Late => &mut announced.late_tokens,
            };
            *counted = counted.saturating_add(prefill.tokens);
            announced.age_millis = announced.age_millis.max(age_millis);
        }
        let mut announced: Vec<OpenPrefills> = by_engine.into_values().collect();
        announced.sort_by_key(|open| std::cmp::Reverse(open.tokens.saturating_add(open.late_tokens)));
        announced
    }
}
