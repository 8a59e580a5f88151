//! The state of one slot at one holder.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::ops::Bound;

use super::config::ClaimConfig;
use super::message::{
    ClaimAnswer, ClaimRefusal, ClaimRequest, OutcomeReport, TakeOverReply, TakeOverRequest, TransferredClaim,
};
use super::record::{ClaimRecord, ClaimState};
use super::slot_map::{HolderSet, MapVersion, Slot};
use super::takeover::TakeOver;
use super::usage::Usage;
use crate::membership::{Incarnation, Member};
use crate::request::IdempotencyKey;
use crate::time::Timestamp;
use crate::verdict::Verdict;
use crate::world::Address;

/// The state of one slot at one holder.
#[derive(Debug, Default)]
pub(super) struct SlotState {
    /// The newest version that this incarnation has learned of; nothing is granted in older ones.
    fence: MapVersion,
    /// The holders of the newest map that this node has adopted.
    current: Option<HolderSet>,
    /// The version since which the node has had all claims that concern it; `None` while it abstains.
    complete_since: Option<MapVersion>,
    /// The highest incarnations that have asked for a takeover or answered one, whether or not they are in `current`.
    incarnations: BTreeMap<Address, Incarnation>,
    records: BTreeMap<IdempotencyKey, ClaimRecord>,
    pub takeover: Option<TakeOver>,
}

impl SlotState {
    /// Adopts a newer version of the slot; an older one changes nothing.
    pub fn adopt(&mut self, slot: &Slot, me: Member) {
        if slot.current.version <= self.version() {
            self.update_gone(slot);
            return;
        }
        self.fence = self.fence.max(slot.current.version);
        self.incarnations.insert(me.address, me.incarnation);
        self.current = Some(slot.current.clone());
        self.takeover = None;
        let Some(position) = slot.current.position(me.address) else { return };
        let own = &slot.current.holders[position];
        if self.complete_since == Some(own.since) {
            return;
        }
        let is_initial_holder = slot.history.is_empty() && own.member == me;
        self.complete_since = is_initial_holder.then_some(own.since);
        if !is_initial_holder {
            self.takeover = Some(TakeOver::new(slot, me));
        }
    }

    /// The version of the slot that this node has adopted.
    pub fn version(&self) -> MapVersion {
        self.current.as_ref().map_or(MapVersion::default(), |set| set.version)
    }

    /// Whether the node grants claims in the version that it has adopted.
    pub fn votes(&self, me: Address) -> bool {
        self.is_holder(me) && self.complete_since.is_some() && self.fence == self.version()
    }

    /// Whether the node is a holder in the map that it has adopted.
    pub fn is_holder(&self, me: Address) -> bool {
        self.current.as_ref().is_some_and(|set| set.position(me).is_some())
    }

    /// Answers a claim.
    pub fn claim(
        &mut self,
        request: ClaimRequest,
        me: Address,
        config: &ClaimConfig,
        usage: &mut Usage,
        now: Timestamp,
    ) -> ClaimAnswer {
        if let Some(refusal) = self.refusal(&request, me, config) {
            return ClaimAnswer::Refused(refusal);
        }
        let deadline = now + request.time_left;
        let record = ClaimRecord {
            state: ClaimState::Granted { request: request.request, deadline },
            expires: deadline + config.retention,
        };
        let existing = self.records.get(&request.key).filter(|existing| now < existing.expires);
        let Some(existing) = existing else { return self.grant_new(request.key, record, usage) };
        match &existing.state {
            ClaimState::Granted { request: same, .. } if *same == request.request => self.granted(),
            ClaimState::Released { request: same } if *same == request.request => {
                ClaimAnswer::Refused(ClaimRefusal::Released)
            }
            _ => match existing.held(now) {
                Some(held) => ClaimAnswer::Held(held),
                None => self.grant_new(request.key, record, usage),
            },
        }
    }

    /// Records how a request ended. False when there is no room for the record.
    pub fn record(&mut self, report: OutcomeReport, config: &ClaimConfig, usage: &mut Usage, now: Timestamp) -> bool {
        let request = report.request;
        let record = if matches!(report.outcome.verdict, Verdict::NotRun(_)) {
            ClaimRecord { state: ClaimState::Released { request }, expires: now + config.released_retention }
        } else {
            let outcome = Box::new(usage.trim(report.outcome, config));
            ClaimRecord { state: ClaimState::Ended { request, outcome }, expires: now + config.retention }
        };
        match self.records.entry(report.key) {
            Entry::Vacant(vacant) => usage.try_add(&record).map(|()| vacant.insert(record)).is_some(),
            Entry::Occupied(mut occupied) => {
                let existing = occupied.get();
                let is_own_claim =
                    matches!(&existing.state, ClaimState::Granted { request: own, .. } if *own == request);
                if is_own_claim || now >= existing.expires {
                    usage.remove(existing);
                    usage.add(&record);
                    occupied.insert(record);
                }
                true
            }
        }
    }

    /// Fences this node at the new holder's version and hands over a page of claims; `None` when that version is older
    /// than the fence.
    ///
    /// A new holder whose incarnation is not the latest known one of its address receives nothing: a later incarnation
    /// may have granted claims, and claimers discard them only on learning of an incarnation later than that. This
    /// includes a process that was restarted after its clock was set back.
    pub fn hand_over(
        &mut self,
        request: TakeOverRequest,
        me: Member,
        config: &ClaimConfig,
        now: Timestamp,
    ) -> Option<TakeOverReply> {
        if request.version < self.fence
            || self.latest_incarnation(request.new_holder.address) > request.new_holder.incarnation
        {
            return None;
        }
        self.fence = request.version;
        self.record_incarnation(request.new_holder);
        let start = request.after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let remaining = self.records.range((start, Bound::Unbounded)).filter(|(_, record)| now < record.expires);
        let mut transfers = remaining.filter_map(|(key, record)| record.transfer(key, now));
        let page_records = if self.complete_since.is_some() { config.page_records } else { 0 };
        let records = transfers.by_ref().take(page_records).collect();
        let is_last = self.complete_since.is_none() || transfers.next().is_none();
        Some(TakeOverReply {
            slot: request.slot,
            version: request.version,
            incarnation: me.incarnation,
            complete_since: self.complete_since,
            after: request.after,
            records,
            is_last,
        })
    }

    /// Merges a page of a previous holder's claims.
    pub fn receive(&mut self, from: Address, reply: TakeOverReply, me: Address, usage: &mut Usage, now: Timestamp) {
        let Some(takeover) = &mut self.takeover else { return };
        if !takeover.accept(from, &reply, me, now) {
            return;
        }
        self.record_incarnation(Member { address: from, incarnation: reply.incarnation });
        for claim in reply.records {
            if !self.merge(claim, usage, now)
                && let Some(takeover) = &mut self.takeover
            {
                takeover.restart_source(from);
                return;
            }
        }
    }

    /// Starts to vote when the takeover is finished.
    pub fn finish_takeover(&mut self, me: Address, config: &ClaimConfig, now: Timestamp) {
        let Some(takeover) = &mut self.takeover else { return };
        if takeover.is_ready(me, now, config.quarantine()) {
            self.takeover = None;
            let own = self.current.as_ref().and_then(|set| set.holders.iter().find(|own| own.member.address == me));
            self.complete_since = own.map(|own| own.since);
        }
    }

    /// Removes expired keys.
    pub fn sweep(&mut self, usage: &mut Usage, now: Timestamp) {
        self.records.retain(|_, record| {
            let is_kept = now < record.expires;
            if !is_kept {
                usage.remove(record);
            }
            is_kept
        });
    }

    fn refusal(&self, request: &ClaimRequest, me: Address, config: &ClaimConfig) -> Option<ClaimRefusal> {
        if request.version < self.fence {
            return Some(ClaimRefusal::OlderVersion);
        }
        if request.version > self.version() {
            return Some(ClaimRefusal::UnknownVersion);
        }
        if !self.votes(me) {
            return Some(ClaimRefusal::Abstaining);
        }
        (request.time_left > config.request_time_maximum).then_some(ClaimRefusal::TimeTooLong)
    }

    fn grant_new(&mut self, key: IdempotencyKey, record: ClaimRecord, usage: &mut Usage) -> ClaimAnswer {
        if let Some(expired) = self.records.remove(&key) {
            usage.remove(&expired);
        }
        if usage.try_add(&record).is_none() {
            return ClaimAnswer::Refused(ClaimRefusal::Full);
        }
        self.records.insert(key, record);
        self.granted()
    }

    fn granted(&self) -> ClaimAnswer {
        let holders = self.current.iter().flat_map(|set| set.addresses());
        ClaimAnswer::Granted(holders.map(|address| self.latest_incarnation(address)).collect())
    }

    /// The latest known incarnation of an address.
    fn latest_incarnation(&self, address: Address) -> Incarnation {
        let holders = self.current.iter().flat_map(|set| &set.holders);
        let mapped = holders.filter(|holder| holder.member.address == address).map(|holder| holder.member.incarnation);
        mapped.chain(self.incarnations.get(&address).copied()).max().unwrap_or_default()
    }

    fn merge(&mut self, claim: TransferredClaim, usage: &mut Usage, now: Timestamp) -> bool {
        let key = claim.key.clone();
        let incoming = ClaimRecord::from_transfer(claim, now);
        let merged = match self.records.remove(&key) {
            Some(existing) => {
                usage.remove(&existing);
                existing.merge(incoming)
            }
            None => incoming,
        };
        let has_room = usage.try_add(&merged).is_some();
        if has_room {
            self.records.insert(key, merged);
        }
        has_room
    }

    /// Updates the takeover if machines turn out to be gone while their claims are awaited.
    fn update_gone(&mut self, slot: &Slot) {
        let is_current = slot.current.version == self.version();
        if let Some(takeover) = self.takeover.as_mut().filter(|_| is_current) {
            takeover.set_gone(&slot.gone);
        }
    }

    fn record_incarnation(&mut self, member: Member) {
        let known = self.incarnations.entry(member.address).or_default();
        *known = member.incarnation.max(*known);
    }
}
