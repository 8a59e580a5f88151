//! Acquires, keeps and hands over the authority over one pool.

use super::config::AuthorityConfig;
use super::fences::{FenceOutcome, FenceSet};
use super::message::{
    AuthorityAction, AuthorityEvent, AuthorityInput, AuthorityMessage, AuthorityStatus, FencedEngine,
};
use super::order::{EngineReport, OrderReply, Term};
use super::record::{RecordAt, SUCCESSORS, TermGrant};
use super::record_store::RecordStore;
use super::state::State;
use super::succession::Succession;
use crate::membership::Member;
use crate::store::StoreReply;
use crate::time::Timestamp;
use crate::world::{EngineName, PoolId};

/// One node's state machine for the authority over one pool.
///
/// A node that is ranked first acquires the authority: it uses a term that was allocated to it in advance, or has the
/// store allocate one, raises the fence at every engine, and only then becomes the holder. It steps down as soon as it
/// learns of a higher term in use. Two nodes may both be in the state of holder for a while; the engines' fences decide
/// whose orders are executed.
pub struct PoolAuthority {
    config: AuthorityConfig,
    pool: PoolId,
    me: Member,
    ranking: Vec<Member>,
    state: State,
    store: RecordStore,
    fences: FenceSet,
    /// The highest term allocated to this process.
    grant: Option<Term>,
    highest_foreign: Term,
    reacquire_at: Timestamp,
    /// Since when this node has been ranked first without knowing of another holder.
    ranked_first_since: Timestamp,
    invitation_ends: Timestamp,
    succession: Succession,
    last_step: Timestamp,
    actions: Vec<AuthorityAction>,
    events: Vec<AuthorityEvent>,
}

impl PoolAuthority {
    /// Creates a follower that knows neither members nor engines.
    pub fn new(config: AuthorityConfig, pool: PoolId, me: Member, now: Timestamp) -> Self {
        PoolAuthority {
            store: RecordStore::new(&pool, me, &config),
            fences: FenceSet::new(config.fence_retry),
            succession: Succession::new(config.announce_interval),
            config,
            pool,
            me,
            ranking: Vec::new(),
            state: State::Follower,
            grant: None,
            highest_foreign: Term::default(),
            reacquire_at: now,
            ranked_first_since: now,
            invitation_ends: now,
            last_step: now,
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Starts a new incarnation of this process as `me`, which owns no term yet. Replies to calls of the previous
    /// incarnation may still arrive.
    pub fn rejoin(&mut self, me: Member, now: Timestamp) {
        self.step_down();
        let own = self.grant.take().unwrap_or_default();
        self.highest_foreign = self.highest_foreign.max(own);
        self.me = me;
        self.ranking.clear();
        self.invitation_ends = now;
        self.store.rejoin(me);
        self.apply_record(now);
    }

    /// Applies an input.
    pub fn step(&mut self, input: AuthorityInput, now: Timestamp) {
        self.detect_pause(now);
        match input {
            AuthorityInput::OwnerRanking(ranking) => self.on_ranking(ranking, now),
            AuthorityInput::Engines(engines) => self.fences.set_engines(&engines),
            AuthorityInput::StoreReply(reply) => self.on_store_reply(reply, now),
            AuthorityInput::FenceReply { engine, reply } => self.on_fence_reply(engine, reply, now),
            AuthorityInput::EngineReply { engine, reply } => self.on_engine_reply(engine, &reply, now),
            AuthorityInput::EngineReport { engine, report } => self.on_report(engine, &report, now),
            AuthorityInput::PeerMessage { from, message } => self.on_message(from, message, now),
        }
        self.advance(now);
    }

    /// Advances the clock to `now`. Must be called several times within the pause limit.
    pub fn tick(&mut self, now: Timestamp) {
        self.detect_pause(now);
        self.advance(now);
    }

    /// Takes the pending actions, in order.
    pub fn take_ready(&mut self) -> Vec<AuthorityAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<AuthorityEvent> {
        std::mem::take(&mut self.events)
    }

    /// The term under which orders may be given now; see [`AuthorityStatus::may_order`].
    pub fn order_term(&self) -> Option<Term> {
        match self.state {
            State::Holder { term } if self.is_first() && self.fences.majority_confirmed() => Some(term),
            _ => None,
        }
    }

    /// What this node publishes about the authority.
    pub fn status(&self) -> AuthorityStatus {
        let (role, term) = (self.state.role(), self.term());
        let fenced =
            self.fences.raised().map(|(engine, incarnation)| FencedEngine { engine: engine.clone(), incarnation });
        AuthorityStatus {
            pool: self.pool.clone(),
            role,
            term,
            fenced: fenced.filter(|_| term.is_some()).collect(),
            unfenced: if term.is_some() { self.fences.unfenced() } else { Vec::new() },
            may_order: self.order_term().is_some(),
            stored: self.is_stored(),
            prepared_successors: self.succession.prepared(),
            highest_foreign_term: self.highest_foreign,
            store: self.store.counters(),
        }
    }

    /// Whether this node, ranked first but unable to acquire the authority, may use engines whose fence it has not
    /// raised.
    ///
    /// By then the last orders of an earlier holder have arrived or have been dropped unsent.
    pub fn may_use_unfenced(&self, now: Timestamp) -> bool {
        self.term().is_none() && self.is_first() && now >= self.ranked_first_since + self.config.settle
    }

    fn on_ranking(&mut self, ranking: Vec<Member>, now: Timestamp) {
        let was_first = self.is_first();
        self.ranking = ranking;
        if was_first || !self.is_first() {
            return;
        }
        self.ranked_first_since = now;
        // Another node may have dispatched in the meantime, with or without authority: start as after a takeover.
        self.restart_fencing(now);
    }

    fn on_store_reply(&mut self, reply: StoreReply, now: Timestamp) {
        self.store.reply(reply, now);
        self.apply_record(now);
    }

    fn on_fence_reply(&mut self, engine: EngineName, reply: OrderReply, now: Timestamp) {
        let outcome = self.fences.finish_call(&engine, reply.report(), now);
        let Some(report) = reply.report().cloned() else { return };
        self.observe_term(report.fence, now);
        let Some(term) = self.term().filter(|_| outcome != FenceOutcome::NotRaised) else { return };
        if outcome == FenceOutcome::Raised && matches!(self.state, State::Holder { .. }) {
            self.fences.revalidate_others(&engine, now);
        }
        self.events.push(AuthorityEvent::EngineFenced { engine, term, report });
    }

    fn on_engine_reply(&mut self, engine: EngineName, reply: &OrderReply, now: Timestamp) {
        if let Some(report) = reply.report() {
            self.on_report(engine, report, now);
        }
    }

    fn on_report(&mut self, engine: EngineName, report: &EngineReport, now: Timestamp) {
        self.observe_term(report.fence, now);
        if self.term().is_none() || !self.fences.observe(&engine, report, now) {
            return;
        }
        self.fences.revalidate_others(&engine, now);
        self.events.push(AuthorityEvent::EngineUnfenced { engine });
    }

    fn on_message(&mut self, from: Member, message: AuthorityMessage, now: Timestamp) {
        match message {
            AuthorityMessage::Announce { holder, stored } => {
                self.on_holder(holder, stored, now);
                self.answer_announcement(from, holder);
            }
            AuthorityMessage::HandOver { holder, stored } => {
                self.invitation_ends = now + self.config.invitation;
                self.on_holder(holder, stored, now);
            }
            AuthorityMessage::Acknowledge { term } => {
                self.succession.acknowledge(from, term);
            }
            AuthorityMessage::Superseded { term } => self.observe_term(term, now),
        }
    }

    fn on_holder(&mut self, holder: TermGrant, stored: RecordAt, now: Timestamp) {
        if holder.member != self.me {
            self.observe_term(holder.term, now);
        }
        self.store.learn(stored);
        self.apply_record(now);
    }

    fn answer_announcement(&mut self, from: Member, holder: TermGrant) {
        let in_use = self.term().unwrap_or_default().max(self.highest_foreign);
        let message = match self.grant {
            _ if in_use > holder.term => AuthorityMessage::Superseded { term: in_use },
            Some(term) => AuthorityMessage::Acknowledge { term },
            None => return,
        };
        self.actions.push(AuthorityAction::SendPeer { to: from, message });
    }

    /// Applies the newest record, which may contain a term for this process or a term in use by another process.
    fn apply_record(&mut self, now: Timestamp) {
        let Some(known) = self.store.known() else { return };
        let granted = known.record.grant_of(self.me);
        let holder = known.record.holder;
        self.grant = self.grant.max(granted);
        if let Some(holder) = holder.filter(|holder| holder.member != self.me) {
            self.observe_term(holder.term, now);
        }
    }

    /// Steps down when `term` is higher than this node's term. Terms are unique, so an equal term is this node's.
    fn observe_term(&mut self, term: Term, now: Timestamp) {
        if Some(term) == self.term() || Some(term) == self.grant {
            return;
        }
        self.highest_foreign = self.highest_foreign.max(term);
        if self.term().is_some_and(|own| own < term) {
            self.step_down();
            self.ranked_first_since = now;
            self.reacquire_at = now + self.config.reacquire_delay;
        }
    }

    fn step_down(&mut self) {
        if matches!(self.state, State::Holder { .. }) {
            self.events.push(AuthorityEvent::Lost);
        }
        self.state = State::Follower;
        self.succession.clear();
    }

    /// Detects a pause of the process. Another node may have taken over meanwhile, so the fences are raised again
    /// before this node acts.
    fn detect_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.last_step) > self.config.pause_limit;
        self.last_step = now;
        if !paused {
            return;
        }
        self.ranked_first_since = now;
        self.restart_fencing(now);
    }

    fn restart_fencing(&mut self, now: Timestamp) {
        if let Some(term) = self.term() {
            self.step_down();
            self.raise_fences(term, now);
        }
    }

    fn advance(&mut self, now: Timestamp) {
        match self.state {
            State::Follower => self.start_acquiring(now),
            State::Acquiring => self.acquire(now),
            State::Fencing { term, deadline } => self.fence(term, deadline, now),
            State::Holder { term } => self.hold(term, now),
        }
    }

    fn start_acquiring(&mut self, now: Timestamp) {
        if !self.is_eligible(now) || now < self.reacquire_at {
            return;
        }
        self.state = State::Acquiring;
        self.acquire(now);
    }

    fn acquire(&mut self, now: Timestamp) {
        if !self.is_eligible(now) {
            return self.step_down();
        }
        if let Some(term) = self.grant.filter(|term| *term > self.highest_foreign) {
            return self.raise_fences(term, now);
        }
        let me = self.me;
        let request = self.store.request(now, |record| record.with_grant_for(me));
        self.actions.extend(request.map(AuthorityAction::Store));
    }

    fn raise_fences(&mut self, term: Term, now: Timestamp) {
        let deadline = now + self.config.fence_patience;
        self.fences.start(term, now);
        self.state = State::Fencing { term, deadline };
        self.fence(term, deadline, now);
    }

    fn fence(&mut self, term: Term, deadline: Timestamp, now: Timestamp) {
        if !self.is_eligible(now) {
            return self.step_down();
        }
        self.call_fences(term, now);
        if self.fences.all_attempted() || now >= deadline {
            self.state = State::Holder { term };
            let orders_from = now + self.config.settle;
            self.events.push(AuthorityEvent::Gained { term, orders_from });
            self.hold(term, now);
        }
    }

    fn hold(&mut self, term: Term, now: Timestamp) {
        self.call_fences(term, now);
        self.publish(term, now);
        self.announce(term, now);
        if !self.is_eligible(now) {
            self.hand_over(term);
        }
    }

    fn call_fences(&mut self, term: Term, now: Timestamp) {
        let due = self.fences.due(now);
        self.actions.extend(due.into_iter().map(|engine| AuthorityAction::RaiseFence { engine, term }));
    }

    /// Writes the record only when it differs from the desired one: nothing is written while nothing changes.
    fn publish(&mut self, term: Term, now: Timestamp) {
        let holder = TermGrant { member: self.me, term };
        let successor_members = self.successor_members();
        let up_to_date = |record: &super::AuthorityRecord| record.held_by(holder, &successor_members) == *record;
        if self.store.known().is_some_and(|known| up_to_date(&known.record)) {
            return;
        }
        let request = self.store.request(now, |record| record.held_by(holder, &successor_members));
        self.actions.extend(request.map(AuthorityAction::Store));
    }

    /// Announces terms to the successors until each has acknowledged its term.
    fn announce(&mut self, term: Term, now: Timestamp) {
        let Some(known) = self.store.known().filter(|_| self.is_stored()) else { return };
        let holder = TermGrant { member: self.me, term };
        for grant in self.succession.due(&known.record, now) {
            let message = AuthorityMessage::Announce { holder, stored: known.clone() };
            self.actions.push(AuthorityAction::SendPeer { to: grant.member, message });
        }
    }

    /// Hands the authority over to the node that is ranked first, once that node has been allocated a higher term.
    fn hand_over(&mut self, term: Term) {
        let (Some(next), Some(known)) = (self.ranking.first().copied(), self.store.known()) else { return };
        if known.record.grant_of(next).is_none_or(|granted| granted <= term) {
            return;
        }
        let holder = TermGrant { member: self.me, term };
        let message = AuthorityMessage::HandOver { holder, stored: known.clone() };
        self.actions.push(AuthorityAction::SendPeer { to: next, message });
        self.step_down();
    }

    fn successor_members(&self) -> Vec<Member> {
        self.ranking.iter().copied().filter(|member| *member != self.me).take(SUCCESSORS).collect()
    }

    fn is_stored(&self) -> bool {
        let holder = self.term().map(|term| TermGrant { member: self.me, term });
        holder.is_some() && self.store.known().is_some_and(|known| known.record.holder == holder)
    }

    fn is_first(&self) -> bool {
        self.ranking.first() == Some(&self.me)
    }

    fn is_eligible(&self, now: Timestamp) -> bool {
        self.is_first() || now < self.invitation_ends
    }

    fn term(&self) -> Option<Term> {
        self.state.term()
    }
}
