//! Acquires, keeps and gives up the authority over one pool.

use super::config::AuthorityConfig;
use super::fences::{FenceAnswer, FenceSet};
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

/// The authority over one pool, as one node sees it.
///
/// A node that is ranked first takes the authority: it uses a term that was allocated to it ahead of time, or has the
/// store allocate one, raises the fence at every engine, and only then calls itself holder. It steps down as soon as it
/// learns of a higher term in use. Two nodes may both believe that they hold the authority for a while; the engines'
/// fences decide whose orders count.
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
    /// Since when this node has been ranked first and has known of no other holder.
    first_since: Timestamp,
    invited_until: Timestamp,
    succession: Succession,
    last_step: Timestamp,
    actions: Vec<AuthorityAction>,
    events: Vec<AuthorityEvent>,
}

impl PoolAuthority {
    /// A follower that knows neither members nor engines yet.
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
            first_since: now,
            invited_until: now,
            last_step: now,
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    /// This process begins a new life as `me`, which owns no term yet. Replies to calls of the former life may follow.
    pub fn rejoin(&mut self, me: Member, now: Timestamp) {
        self.step_down();
        let own = self.grant.take().unwrap_or_default();
        self.highest_foreign = self.highest_foreign.max(own);
        self.me = me;
        self.ranking.clear();
        self.invited_until = now;
        self.store.rejoin(me);
        self.use_record(now);
    }

    /// Takes in what has happened.
    pub fn step(&mut self, input: AuthorityInput, now: Timestamp) {
        self.notice_pause(now);
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

    /// Lets time pass; to be called several times within the pause limit.
    pub fn tick(&mut self, now: Timestamp) {
        self.notice_pause(now);
        self.advance(now);
    }

    /// What to do now, in order.
    pub fn take_ready(&mut self) -> Vec<AuthorityAction> {
        std::mem::take(&mut self.actions)
    }

    /// What has happened to the authority since the last call, in order.
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

    /// Whether this node, ranked first but unable to get the authority, may use engines whose fence it has not raised.
    ///
    /// By then the last orders of an earlier holder have arrived or were dropped unsent.
    pub fn may_use_unfenced(&self, now: Timestamp) -> bool {
        self.term().is_none() && self.is_first() && now >= self.first_since + self.config.settle
    }

    fn on_ranking(&mut self, ranking: Vec<Member>, now: Timestamp) {
        let was_first = self.is_first();
        self.ranking = ranking;
        if was_first || !self.is_first() {
            return;
        }
        self.first_since = now;
        // Another node may have dispatched meanwhile, with or without authority: start as after a takeover.
        self.raise_fences_anew(now);
    }

    fn on_store_reply(&mut self, reply: StoreReply, now: Timestamp) {
        self.store.reply(reply, now);
        self.use_record(now);
    }

    fn on_fence_reply(&mut self, engine: EngineName, reply: OrderReply, now: Timestamp) {
        let answer = self.fences.answered(&engine, reply.report(), now);
        let Some(report) = reply.report().cloned() else { return };
        self.notice_term(report.fence, now);
        let Some(term) = self.term().filter(|_| answer != FenceAnswer::NotRaised) else { return };
        if answer == FenceAnswer::Raised && matches!(self.state, State::Holder { .. }) {
            self.fences.doubt_others(&engine, now);
        }
        self.events.push(AuthorityEvent::EngineFenced { engine, term, report });
    }

    fn on_engine_reply(&mut self, engine: EngineName, reply: &OrderReply, now: Timestamp) {
        if let Some(report) = reply.report() {
            self.on_report(engine, report, now);
        }
    }

    fn on_report(&mut self, engine: EngineName, report: &EngineReport, now: Timestamp) {
        self.notice_term(report.fence, now);
        if self.term().is_none() || !self.fences.observe(&engine, report, now) {
            return;
        }
        self.fences.doubt_others(&engine, now);
        self.events.push(AuthorityEvent::EngineUnfenced { engine });
    }

    fn on_message(&mut self, from: Member, message: AuthorityMessage, now: Timestamp) {
        match message {
            AuthorityMessage::Announce { holder, stored } => {
                self.on_holder(holder, stored, now);
                self.answer_announcement(from, holder);
            }
            AuthorityMessage::HandOver { holder, stored } => {
                self.invited_until = now + self.config.invitation;
                self.on_holder(holder, stored, now);
            }
            AuthorityMessage::Acknowledge { term } => {
                self.succession.acknowledge(from, term);
            }
            AuthorityMessage::Superseded { term } => self.notice_term(term, now),
        }
    }

    fn on_holder(&mut self, holder: TermGrant, stored: RecordAt, now: Timestamp) {
        if holder.member != self.me {
            self.notice_term(holder.term, now);
        }
        self.store.learn(stored);
        self.use_record(now);
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

    /// Draws conclusions from the newest record: a term for this process, a term in use by another one.
    fn use_record(&mut self, now: Timestamp) {
        let Some(known) = self.store.known() else { return };
        let granted = known.record.grant_of(self.me);
        let holder = known.record.holder;
        self.grant = self.grant.max(granted);
        if let Some(holder) = holder.filter(|holder| holder.member != self.me) {
            self.notice_term(holder.term, now);
        }
    }

    /// Steps down when `term` is higher than the own one. Terms are unique, so an equal one is the own.
    fn notice_term(&mut self, term: Term, now: Timestamp) {
        if Some(term) == self.term() || Some(term) == self.grant {
            return;
        }
        self.highest_foreign = self.highest_foreign.max(term);
        if self.term().is_some_and(|own| own < term) {
            self.step_down();
            self.first_since = now;
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

    /// After a pause another node may have taken over: the authority is in doubt until the fences are raised anew.
    fn notice_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.last_step) > self.config.pause_limit;
        self.last_step = now;
        if !paused {
            return;
        }
        self.first_since = now;
        self.raise_fences_anew(now);
    }

    fn raise_fences_anew(&mut self, now: Timestamp) {
        if let Some(term) = self.term() {
            self.step_down();
            self.raise_fences(term, now);
        }
    }

    fn advance(&mut self, now: Timestamp) {
        match self.state {
            State::Follower => self.seek(now),
            State::Acquiring => self.acquire(now),
            State::Fencing { term, deadline } => self.fence(term, deadline, now),
            State::Holder { term } => self.hold(term, now),
        }
    }

    fn seek(&mut self, now: Timestamp) {
        if !self.wants(now) || now < self.reacquire_at {
            return;
        }
        self.state = State::Acquiring;
        self.acquire(now);
    }

    fn acquire(&mut self, now: Timestamp) {
        if !self.wants(now) {
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
        if !self.wants(now) {
            return self.step_down();
        }
        self.call_fences(term, now);
        if self.fences.all_tried() || now >= deadline {
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
        if !self.wants(now) {
            self.hand_over(term);
        }
    }

    fn call_fences(&mut self, term: Term, now: Timestamp) {
        let due = self.fences.due(now);
        self.actions.extend(due.into_iter().map(|engine| AuthorityAction::RaiseFence { engine, term }));
    }

    /// Writes the record only when it differs from what it should be: nothing is written while nothing changes.
    fn publish(&mut self, term: Term, now: Timestamp) {
        let holder = TermGrant { member: self.me, term };
        let heirs = self.heirs();
        let settled = |record: &super::AuthorityRecord| record.held_by(holder, &heirs) == *record;
        if self.store.known().is_some_and(|known| settled(&known.record)) {
            return;
        }
        let request = self.store.request(now, |record| record.held_by(holder, &heirs));
        self.actions.extend(request.map(AuthorityAction::Store));
    }

    /// Tells successors their terms until each has acknowledged.
    fn announce(&mut self, term: Term, now: Timestamp) {
        let Some(known) = self.store.known().filter(|_| self.is_stored()) else { return };
        let holder = TermGrant { member: self.me, term };
        for grant in self.succession.due(&known.record, now) {
            let message = AuthorityMessage::Announce { holder, stored: known.clone() };
            self.actions.push(AuthorityAction::SendPeer { to: grant.member, message });
        }
    }

    /// Gives up the authority to the node that is ranked first, once that has a term to follow with.
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

    fn heirs(&self) -> Vec<Member> {
        self.ranking.iter().copied().filter(|member| *member != self.me).take(SUCCESSORS).collect()
    }

    fn is_stored(&self) -> bool {
        let holder = self.term().map(|term| TermGrant { member: self.me, term });
        holder.is_some() && self.store.known().is_some_and(|known| known.record.holder == holder)
    }

    fn is_first(&self) -> bool {
        self.ranking.first() == Some(&self.me)
    }

    fn wants(&self, now: Timestamp) -> bool {
        self.is_first() || now < self.invited_until
    }

    fn term(&self) -> Option<Term> {
        self.state.term()
    }
}
