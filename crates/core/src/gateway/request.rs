//! The state machine of one request in the gateway, from the first dispatcher to the final verdict.

use std::collections::{BTreeSet, VecDeque};

use super::answer_assembler::{AnswerAssembler, AssemblerCounters};
use super::config::GatewayConfig;
use super::event::{AttemptNumber, GatewayAction, GatewayEvent, Target};
use crate::dispatch::{RetryBudget, Revocation};
use crate::membership::Member;
use crate::request::{AnswerPiece, RequestProfile};
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::Address;

/// Drives one request to its verdict.
///
/// The verdict is `NotRun` only if every attempt is known not to have run and to never run. A request is sent again
/// only after a `NotRun` or if it may be repeated, and only within its deadline and the retry budget.
#[derive(Debug)]
pub struct GatewayRequest {
    config: GatewayConfig,
    deadline: Timestamp,
    is_repeatable: bool,
    targets: VecDeque<Target>,
    state: State,
    attempts: u32,
    /// Number of tokens of the answer that the caller had when the current attempt began.
    first_token: u32,
    answer: AnswerAssembler,
    /// Set when an earlier attempt may have run, so the final verdict can't be `NotRun`.
    may_have_run: Option<MayHaveRun>,
    /// Nodes that were asked to withdraw the request and would refuse it from now on.
    revoked_at: BTreeSet<Address>,
    stale_events: u64,
    actions: Vec<GatewayAction>,
}

#[derive(Debug)]
enum State {
    /// The next target is to be tried, because the last one did not accept the request for the reason in `refusal`.
    Choosing { refusal: NotRun, charges_budget: bool },
    /// The request has been sent to the process.
    Sent { peer: Member },
    /// The process has been asked to withdraw the request.
    Revoking { peer: Member, cause: RevocationCause, until: Timestamp },
    /// The verdict has been given.
    Finished,
}

#[derive(Clone, Copy, Debug)]
enum RevocationCause {
    ConnectionLost,
    DeadlinePassed,
    CallerGone,
}

impl RevocationCause {
    fn not_run(self) -> NotRunReason {
        match self {
            RevocationCause::ConnectionLost => NotRunReason::DispatcherUnreachable,
            RevocationCause::DeadlinePassed => NotRunReason::DeadlinePassed,
            RevocationCause::CallerGone => NotRunReason::CallerGone,
        }
    }

    fn may_have_run(self) -> MayHaveRun {
        match self {
            RevocationCause::ConnectionLost => MayHaveRun::DispatcherLost,
            RevocationCause::DeadlinePassed => MayHaveRun::DeadlinePassed,
            RevocationCause::CallerGone => MayHaveRun::CallerGone,
        }
    }
}

impl GatewayRequest {
    /// A request that may be sent to `targets`, in order of preference.
    ///
    /// `contract_is_repeatable` allows a second run after an attempt that may have run; a request with an idempotency
    /// key is never run again.
    pub fn new(
        config: GatewayConfig,
        profile: &RequestProfile,
        contract_is_repeatable: bool,
        targets: Vec<Target>,
        now: Timestamp,
    ) -> Self {
        GatewayRequest {
            deadline: now + profile.time_left,
            is_repeatable: contract_is_repeatable && profile.key.is_none(),
            targets: targets.into_iter().take(config.targets_maximum).collect(),
            config,
            state: State::Choosing { refusal: NotRun::new(NotRunReason::NoEngine), charges_budget: false },
            attempts: 0,
            first_token: 0,
            answer: AnswerAssembler::new(profile.id),
            may_have_run: None,
            revoked_at: BTreeSet::new(),
            stale_events: 0,
            actions: Vec::new(),
        }
    }

    /// Applies an event; [`GatewayRequest::poll`] then returns the actions. Events of earlier attempts are dropped and
    /// counted.
    pub fn step(&mut self, event: GatewayEvent, now: Timestamp) {
        if event_attempt(&event).is_some_and(|attempt| attempt.0 != self.attempts) {
            self.stale_events += 1;
            return;
        }
        match event {
            GatewayEvent::NotSent { .. } => self.on_not_sent(),
            GatewayEvent::Piece { piece, .. } => self.on_piece(piece),
            GatewayEvent::Ended { verdict, .. } => self.on_ended(verdict),
            GatewayEvent::Lost { peer, .. } => self.on_lost(peer, now),
            GatewayEvent::Revoked { from, revocation, .. } => self.on_revoked(from, revocation),
            GatewayEvent::RevocationLost { .. } => self.on_revocation_failed(),
            GatewayEvent::CallerGone => self.revoke(RevocationCause::CallerGone, now),
        }
    }

    /// The actions to perform now, in order. A second attempt is charged to `budget`.
    pub fn poll(&mut self, budget: &mut RetryBudget, now: Timestamp) -> Vec<GatewayAction> {
        match self.state {
            State::Sent { .. } if now >= self.deadline => self.revoke(RevocationCause::DeadlinePassed, now),
            State::Revoking { until, .. } if now >= until => self.on_revocation_failed(),
            _ => {}
        }
        if matches!(self.state, State::Choosing { .. }) {
            self.send_to_next(budget, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`GatewayRequest::poll`] must be called again even if no event occurs.
    pub fn next_poll(&self) -> Option<Timestamp> {
        match &self.state {
            State::Choosing { .. } => Some(Timestamp::ZERO),
            State::Sent { .. } => Some(self.deadline),
            State::Revoking { until, .. } => Some(*until),
            State::Finished => None,
        }
    }

    /// Whether the verdict has been given.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    /// Counts of the dropped pieces of the answer.
    pub fn dropped_pieces(&self) -> AssemblerCounters {
        self.answer.counters()
    }

    /// Number of dropped events of earlier attempts.
    pub fn stale_events(&self) -> u64 {
        self.stale_events
    }

    fn send_to_next(&mut self, budget: &mut RetryBudget, now: Timestamp) {
        let State::Choosing { refusal, charges_budget } = &self.state else { return };
        let (refusal, charges_budget) = (refusal.clone(), *charges_budget);
        if now >= self.deadline {
            return self.finish_not_run(NotRun::new(NotRunReason::DeadlinePassed));
        }
        let Some(target) = self.next_target() else { return self.finish_not_run(refusal) };
        if charges_budget && !budget.try_withdraw() {
            return self.finish_not_run(refusal);
        }
        if self.attempts == 0 {
            budget.record_first_attempt();
        }
        self.attempts += 1;
        self.first_token = self.answer.next_token();
        self.state = State::Sent { peer: target.dispatcher };
        self.actions.push(GatewayAction::Forward {
            attempt: AttemptNumber(self.attempts),
            target,
            resume_from: self.first_token,
            time_left: self.deadline.since(now),
        });
    }

    fn next_target(&mut self) -> Option<Target> {
        std::iter::from_fn(|| self.targets.pop_front())
            .find(|target| !self.revoked_at.contains(&target.dispatcher.address))
    }

    /// Another attempt is not charged to the retry budget: neither a dispatcher nor an engine has received this one.
    fn on_not_sent(&mut self) {
        if matches!(self.state, State::Sent { .. }) {
            let refusal = NotRun::new(NotRunReason::DispatcherUnreachable);
            self.state = State::Choosing { refusal, charges_budget: false };
        }
    }

    fn on_piece(&mut self, piece: AnswerPiece) {
        let accepts = matches!(self.state, State::Sent { .. });
        if let Some(piece) = accepts.then(|| self.answer.accept(piece)).flatten() {
            self.actions.push(GatewayAction::Deliver(piece));
        }
    }

    fn on_ended(&mut self, verdict: Verdict) {
        let cause = match self.state {
            State::Sent { .. } => None,
            State::Revoking { cause, .. } => Some(cause),
            State::Choosing { .. } | State::Finished => return,
        };
        if self.answer.is_complete() {
            return self.finish(Verdict::Completed);
        }
        let has_delivered = self.answer.next_token() > self.first_token;
        match verdict {
            Verdict::NotRun(refusal) if !has_delivered => {
                self.attempt_not_run(cause.map_or(refusal, |cause| NotRun::new(cause.not_run())));
            }
            Verdict::MayHaveRun(reason) => {
                self.attempt_may_have_run(cause.map_or(reason, RevocationCause::may_have_run))
            }
            // Part of the answer is missing, or the dispatcher denies having run a request that it has answered in
            // part.
            Verdict::Completed | Verdict::NotRun(_) => {
                self.attempt_may_have_run(cause.map_or(MayHaveRun::AnswerCut, RevocationCause::may_have_run));
            }
        }
    }

    fn on_lost(&mut self, peer: Member, now: Timestamp) {
        if !matches!(self.state, State::Sent { .. }) {
            return;
        }
        self.state = State::Sent { peer };
        self.revoke(RevocationCause::ConnectionLost, now);
    }

    /// Asks the dispatcher to withdraw the request. Its answer determines the verdict.
    fn revoke(&mut self, cause: RevocationCause, now: Timestamp) {
        match self.state {
            State::Choosing { .. } => self.finish_not_run(NotRun::new(cause.not_run())),
            State::Sent { .. } if self.answer.is_complete() => self.finish(Verdict::Completed),
            State::Sent { peer } => {
                let until = now + self.config.revocation_timeout;
                self.state = State::Revoking { peer, cause, until };
                self.actions.push(GatewayAction::Revoke { attempt: AttemptNumber(self.attempts), peer });
            }
            State::Revoking { .. } | State::Finished => {}
        }
    }

    /// Only the process that received the request can confirm that it never started: a process restarted at the same
    /// address doesn't know what its previous incarnation ran.
    fn on_revoked(&mut self, from: Member, revocation: Revocation) {
        let State::Revoking { peer, cause, .. } = self.state else { return };
        self.revoked_at.insert(peer.address);
        if from == peer && revocation == Revocation::BeforeStart {
            return self.attempt_not_run(NotRun::new(cause.not_run()));
        }
        self.attempt_may_have_run(cause.may_have_run());
    }

    fn on_revocation_failed(&mut self) {
        if let State::Revoking { peer, cause, .. } = self.state {
            self.revoked_at.insert(peer.address);
            self.attempt_may_have_run(cause.may_have_run());
        }
    }

    fn attempt_not_run(&mut self, refusal: NotRun) {
        if refusal.reason.worth_another_try() {
            self.state = State::Choosing { refusal, charges_budget: true };
        } else {
            self.finish_not_run(refusal);
        }
    }

    /// The request is sent again if it may run twice; generation then resumes after the tokens that were passed on.
    fn attempt_may_have_run(&mut self, reason: MayHaveRun) {
        self.may_have_run = Some(reason);
        let is_answer_wanted =
            !matches!(reason, MayHaveRun::CallerGone | MayHaveRun::DeadlinePassed | MayHaveRun::KeyUsed);
        if self.is_repeatable && is_answer_wanted {
            self.state = State::Choosing { refusal: NotRun::new(NotRunReason::NoEngine), charges_budget: true };
        } else {
            self.finish(Verdict::MayHaveRun(reason));
        }
    }

    /// Ends the request when no further attempt is made.
    fn finish_not_run(&mut self, refusal: NotRun) {
        match self.may_have_run {
            Some(reason) => self.finish(Verdict::MayHaveRun(reason)),
            None => self.finish(Verdict::NotRun(refusal)),
        }
    }

    fn finish(&mut self, verdict: Verdict) {
        self.state = State::Finished;
        self.actions.push(GatewayAction::Finish(verdict));
    }
}

fn event_attempt(event: &GatewayEvent) -> Option<AttemptNumber> {
    match event {
        GatewayEvent::NotSent { attempt }
        | GatewayEvent::Piece { attempt, .. }
        | GatewayEvent::Ended { attempt, .. }
        | GatewayEvent::Lost { attempt, .. }
        | GatewayEvent::Revoked { attempt, .. }
        | GatewayEvent::RevocationLost { attempt } => Some(*attempt),
        GatewayEvent::CallerGone => None,
    }
}
