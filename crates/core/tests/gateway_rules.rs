//! Single rules of the gateway: what is retried, where and within which limits, how answers are assembled and how pools
//! are ranked.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use havengate_core::claims::AnswerRecorder;
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig, Revocation};
use havengate_core::gateway::{
    AnswerAssembler, AttemptNumber, GatewayAction, GatewayConfig, GatewayConfigError, GatewayEvent, GatewayRequest,
    PoolLoad, PoolOption, PoolPicker, Target,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{AnswerPiece, BlockHash, FinishReason, IdempotencyKey, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::{Address, EnginePerformance, PoolId};

const OWN: RequestId = RequestId(7);
const TOKENS: u32 = 8;

fn member(index: u8, incarnation: u64) -> Member {
    let address = Address(SocketAddr::from(([127, 0, 0, index], 7000)));
    Member { address, incarnation: Incarnation(incarnation) }
}

fn pool(shard: u16) -> PoolId {
    PoolId { model: "model".into(), region: "region".into(), zone: None, shard }
}

fn profile() -> RequestProfile {
    RequestProfile {
        id: OWN,
        tenant: "tenant".into(),
        contract: "contract".into(),
        model: "model".into(),
        prompt_tokens: 1_000,
        max_output_tokens: TOKENS,
        blocks: Vec::new(),
        key: None,
        time_left: Duration::from_secs(10),
        priority: 0,
    }
}

fn text(first: u32, tokens: u32) -> String {
    (first..first + tokens).map(|token| format!("t{token} ")).collect()
}

fn piece(first_token: u32, tokens: u32, finish: Option<FinishReason>) -> AnswerPiece {
    AnswerPiece { request: OWN, first_token, tokens, text: text(first_token, tokens), finish }
}

/// A request with two targets that has been sent to the first.
struct SentRequest {
    request: GatewayRequest,
    budget: RetryBudget,
}

impl SentRequest {
    fn new(is_repeatable: bool, key: Option<&str>, burst: f64) -> Self {
        let key = key.map(|key| IdempotencyKey { tenant: "tenant".into(), key: key.to_owned() });
        let profile = RequestProfile { key, ..profile() };
        let targets = [1, 2].map(|index| Target { pool: pool(index.into()), dispatcher: member(index, 1) }).to_vec();
        let config = GatewayConfig::default();
        let request = GatewayRequest::new(config, &profile, is_repeatable, targets, Timestamp::ZERO);
        let mut sent = SentRequest { request, budget: RetryBudget::new(RetryBudgetConfig { ratio: 0.0, burst }) };
        assert!(matches!(sent.poll(0)[..], [GatewayAction::Forward { attempt: AttemptNumber(1), .. }]));
        sent
    }

    fn poll(&mut self, millis: u64) -> Vec<GatewayAction> {
        self.request.poll(&mut self.budget, Timestamp::from_millis(millis))
    }

    fn step(&mut self, event: GatewayEvent) -> Vec<GatewayAction> {
        self.request.step(event, Timestamp::ZERO);
        self.poll(0)
    }

    fn ended(&mut self, verdict: Verdict) -> Vec<GatewayAction> {
        self.step(GatewayEvent::Ended { attempt: AttemptNumber(1), verdict })
    }

    fn lost_then(&mut self, from: Member, revocation: Revocation) -> Vec<GatewayAction> {
        let revoke = self.step(GatewayEvent::Lost { attempt: AttemptNumber(1), peer: member(1, 1) });
        assert!(matches!(revoke[..], [GatewayAction::Revoke { .. }]), "{revoke:?}");
        self.step(GatewayEvent::Revoked { attempt: AttemptNumber(1), from, revocation })
    }
}

fn queue_full() -> Verdict {
    Verdict::NotRun(NotRun::retry_after(NotRunReason::QueueFull, Duration::from_secs(3)))
}

fn is_second_attempt(actions: &[GatewayAction]) -> bool {
    matches!(actions, [GatewayAction::Forward { attempt: AttemptNumber(2), .. }])
}

fn dispatcher_lost() -> Verdict {
    Verdict::MayHaveRun(MayHaveRun::DispatcherLost)
}

#[test]
fn the_default_limits_are_valid_and_a_gateway_without_targets_is_not() {
    assert_eq!(GatewayConfig::default().validate(), Ok(()));
    let none = GatewayConfig { targets_maximum: 0, ..GatewayConfig::default() };
    assert_eq!(none.validate(), Err(GatewayConfigError::NoTargets));
}

#[test]
fn a_refusal_is_retried_within_the_budget_and_otherwise_final_at_once() {
    assert!(is_second_attempt(&SentRequest::new(false, None, 1.0).ended(queue_full())));
    assert_eq!(SentRequest::new(false, None, 0.0).ended(queue_full()), vec![GatewayAction::Finish(queue_full())]);
}

#[test]
fn a_refusal_that_every_dispatcher_would_give_is_not_retried() {
    let refusal = Verdict::NotRun(NotRun::new(NotRunReason::InvalidRequest));
    assert_eq!(SentRequest::new(true, None, 9.0).ended(refusal.clone()), vec![GatewayAction::Finish(refusal)]);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_it_may_be_repeated() {
    let cut = Verdict::MayHaveRun(MayHaveRun::EngineFailed);
    assert_eq!(SentRequest::new(false, None, 9.0).ended(cut.clone()), vec![GatewayAction::Finish(cut.clone())]);
    assert_eq!(SentRequest::new(true, Some("key"), 9.0).ended(cut.clone()), vec![GatewayAction::Finish(cut.clone())]);
    assert!(is_second_attempt(&SentRequest::new(true, None, 9.0).ended(cut)));
}

#[test]
fn a_lost_hop_counts_as_not_run_only_if_the_process_that_received_the_request_confirms_it() {
    let same = SentRequest::new(false, None, 9.0).lost_then(member(1, 1), Revocation::BeforeStart);
    assert!(is_second_attempt(&same));
    let restarted = SentRequest::new(false, None, 9.0).lost_then(member(1, 2), Revocation::BeforeStart);
    assert_eq!(restarted, vec![GatewayAction::Finish(dispatcher_lost())]);
    for revocation in [Revocation::AfterStart, Revocation::Unknown] {
        let started = SentRequest::new(false, None, 9.0).lost_then(member(1, 1), revocation);
        assert_eq!(started, vec![GatewayAction::Finish(dispatcher_lost())]);
    }
}

#[test]
fn an_unanswered_revocation_ends_the_request_as_may_have_run() {
    let mut sent = SentRequest::new(false, None, 9.0);
    sent.step(GatewayEvent::Lost { attempt: AttemptNumber(1), peer: member(1, 1) });
    assert_eq!(sent.poll(499), vec![]);
    assert_eq!(sent.poll(500), vec![GatewayAction::Finish(dispatcher_lost())]);
}

#[test]
fn later_refusals_do_not_hide_that_the_first_attempt_may_have_run() {
    let mut sent = SentRequest::new(true, None, 9.0);
    sent.ended(Verdict::MayHaveRun(MayHaveRun::EngineFailed));
    let last = sent.step(GatewayEvent::Ended { attempt: AttemptNumber(2), verdict: queue_full() });
    assert_eq!(last, vec![GatewayAction::Finish(Verdict::MayHaveRun(MayHaveRun::EngineFailed))]);
}

#[test]
fn a_second_attempt_resumes_after_the_delivered_tokens() {
    let mut sent = SentRequest::new(true, None, 9.0);
    sent.step(GatewayEvent::Piece { attempt: AttemptNumber(1), piece: piece(0, 3, None) });
    let again = sent.ended(Verdict::MayHaveRun(MayHaveRun::EngineFailed));
    assert!(matches!(again[..], [GatewayAction::Forward { resume_from: 3, .. }]), "{again:?}");
    let late = GatewayEvent::Piece { attempt: AttemptNumber(1), piece: piece(3, 2, None) };
    assert_eq!(sent.step(late), vec![], "a piece of the first attempt was delivered in the second's answer");
    assert_eq!(sent.request.stale_events(), 1);
}

#[test]
fn a_disconnected_caller_or_a_passed_deadline_ends_a_request_without_retry() {
    let mut gone = SentRequest::new(true, None, 9.0);
    assert!(matches!(gone.step(GatewayEvent::CallerGone)[..], [GatewayAction::Revoke { .. }]));
    let verdict = Verdict::MayHaveRun(MayHaveRun::EngineFailed);
    assert_eq!(gone.ended(verdict), vec![GatewayAction::Finish(Verdict::MayHaveRun(MayHaveRun::CallerGone))]);
    let mut late = SentRequest::new(true, None, 9.0);
    assert!(matches!(late.poll(10_000)[..], [GatewayAction::Revoke { .. }]));
    let revoked =
        GatewayEvent::Revoked { attempt: AttemptNumber(1), from: member(1, 1), revocation: Revocation::BeforeStart };
    let expected = Verdict::NotRun(NotRun::new(NotRunReason::DeadlinePassed));
    assert_eq!(late.step(revoked), vec![GatewayAction::Finish(expected)]);
}

#[test]
fn an_unreachable_dispatcher_costs_no_retry() {
    let mut sent = SentRequest::new(false, None, 0.0);
    let next = sent.step(GatewayEvent::NotSent { attempt: AttemptNumber(1) });
    assert!(is_second_attempt(&next));
    let last = sent.step(GatewayEvent::NotSent { attempt: AttemptNumber(2) });
    let expected = Verdict::NotRun(NotRun::new(NotRunReason::DispatcherUnreachable));
    assert_eq!(last, vec![GatewayAction::Finish(expected)]);
}

#[test]
fn a_complete_answer_is_completed_even_if_its_connection_is_lost_afterwards() {
    let mut sent = SentRequest::new(false, None, 0.0);
    let last = GatewayEvent::Piece { attempt: AttemptNumber(1), piece: piece(0, TOKENS, Some(FinishReason::Stop)) };
    assert!(matches!(sent.step(last)[..], [GatewayAction::Deliver(_)]));
    let end = sent.step(GatewayEvent::Lost { attempt: AttemptNumber(1), peer: member(1, 1) });
    assert_eq!(end, vec![GatewayAction::Finish(Verdict::Completed)]);
}

#[test]
fn a_truncated_answer_is_never_completed() {
    let mut sent = SentRequest::new(false, None, 9.0);
    sent.step(GatewayEvent::Piece { attempt: AttemptNumber(1), piece: piece(0, 3, None) });
    let cut = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
    assert_eq!(sent.ended(Verdict::Completed), vec![GatewayAction::Finish(cut)]);
}

#[test]
fn a_request_is_not_sent_again_to_a_node_that_was_asked_to_withdraw_it() {
    let targets = [(1, 1), (2, 1), (3, 2)];
    let target = |(shard, node): (u16, u8)| Target { pool: pool(shard), dispatcher: member(node, 1) };
    let targets = targets.map(target).to_vec();
    let request = GatewayRequest::new(GatewayConfig::default(), &profile(), false, targets, Timestamp::ZERO);
    let mut sent = SentRequest { request, budget: RetryBudget::new(RetryBudgetConfig { ratio: 0.0, burst: 9.0 }) };
    sent.poll(0);
    let next = sent.lost_then(member(1, 1), Revocation::BeforeStart);
    assert!(matches!(&next[..], [GatewayAction::Forward { target, .. }] if target.dispatcher == member(2, 1)));
}

#[test]
fn a_dispatcher_that_denies_having_run_what_it_answered_is_not_trusted() {
    let mut sent = SentRequest::new(false, None, 9.0);
    sent.step(GatewayEvent::Piece { attempt: AttemptNumber(1), piece: piece(0, 3, None) });
    let cut = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
    assert_eq!(sent.ended(queue_full()), vec![GatewayAction::Finish(cut)]);
}

/// A piece as a faulty connection may deliver it: of any length, at any position, of any request, or the last one.
fn arbitrary_piece(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<AnswerPiece> {
    let first = source.int_in_range(0..=TOKENS)?;
    let tokens = source.int_in_range(0..=TOKENS - first)?;
    let is_last = first + tokens == TOKENS;
    let mut arbitrary = piece(first, tokens, is_last.then_some(FinishReason::Stop));
    if source.ratio(1, 6)? {
        arbitrary.request = RequestId(8);
        arbitrary.text = "another caller's text".to_owned();
    }
    Ok(arbitrary)
}

#[test]
fn any_interleaving_of_pieces_gives_the_exact_answer_or_a_detectable_truncation() {
    let completed = Cell::new(0);
    for seed in 0..400u64 {
        let property = |source: &mut Unstructured<'_>| {
            let mut answer = AnswerAssembler::new(OWN);
            let (mut received, mut arrived, mut delivered) = (String::new(), 0, 0);
            while !source.is_empty() && arrived < 200 {
                arrived += 1;
                if let Some(piece) = answer.accept(arbitrary_piece(source)?) {
                    received.push_str(&piece.text);
                    delivered += 1;
                }
            }
            assert_eq!(received, text(0, answer.next_token()));
            assert_eq!(answer.is_complete(), received == text(0, TOKENS));
            completed.set(completed.get() + u32::from(answer.is_complete()));
            assert_eq!(delivered + answer.counters().total(), arrived);
            Ok(())
        };
        arbtest(property).seed(seed << 32 | 0x400);
    }
    assert!(completed.get() > 100, "too few complete answers for a meaningful test: {}", completed.get());
}

#[test]
fn each_kind_of_dropped_piece_has_its_own_counter() {
    let mut answer = AnswerAssembler::new(OWN);
    answer.accept(piece(0, 3, None));
    answer.accept(piece(0, 3, None));
    answer.accept(piece(2, 3, None));
    answer.accept(piece(4, 1, None));
    answer.accept(AnswerPiece { request: RequestId(8), ..piece(3, 1, None) });
    answer.accept(piece(3, TOKENS - 3, Some(FinishReason::Stop)));
    answer.accept(piece(0, TOKENS, Some(FinishReason::Stop)));
    let counters = answer.counters();
    assert!(answer.is_complete());
    let counted = [counters.duplicate, counters.overlapping, counters.gapped, counters.foreign, counters.late];
    assert_eq!(counted, [1; 5]);
}

#[test]
fn a_complete_short_answer_is_recorded_and_returned_as_one_piece() {
    let recorded = |bytes_maximum: usize, last: Option<FinishReason>, verdict: Verdict| {
        let mut recorder = AnswerRecorder::new(bytes_maximum);
        recorder.push(&piece(0, 3, None));
        recorder.push(&piece(3, TOKENS - 3, last));
        recorder.outcome(verdict).answer
    };
    let complete = text(0, TOKENS);
    let answer = recorded(complete.len(), Some(FinishReason::Stop), Verdict::Completed).expect("a recorded answer");
    assert_eq!(answer.into_piece(OWN), piece(0, TOKENS, Some(FinishReason::Stop)));
    assert_eq!(recorded(complete.len() - 1, Some(FinishReason::Stop), Verdict::Completed), None);
    assert_eq!(recorded(complete.len(), None, Verdict::Completed), None);
    assert_eq!(recorded(complete.len(), Some(FinishReason::Stop), dispatcher_lost()), None);
}

fn option(shard: u16, latency_millis: u64) -> PoolOption {
    let index = u8::try_from(shard).expect("a small shard");
    PoolOption {
        pool: pool(shard),
        latency: Duration::from_millis(latency_millis),
        engines: 4,
        performance: EnginePerformance::default(),
        dispatchers: vec![member(index, 1), member(index + 100, 1)],
    }
}

fn pool_load(tokens: u32) -> PoolLoad {
    PoolLoad { waiting_prefill_tokens: tokens, running: 0, serving_engines: 4 }
}

fn first_shards(picker: &mut PoolPicker, options: &[PoolOption], request: &RequestProfile) -> Vec<u16> {
    (0..40).map(|_| picker.rank(request, options, Timestamp::ZERO)[0].pool.shard).collect()
}

#[test]
fn near_pools_rank_first_until_their_load_makes_a_far_one_faster() {
    let options = [option(1, 1), option(2, 40)];
    let mut picker = PoolPicker::new(GatewayConfig::default(), 1);
    let small = RequestProfile { prompt_tokens: 0, ..profile() };
    assert!(first_shards(&mut picker, &options, &small).iter().all(|shard| *shard == 1));
    picker.observe(&pool(1), pool_load(100_000), Timestamp::ZERO);
    assert!(first_shards(&mut picker, &options, &small).iter().all(|shard| *shard == 2));
    let targets = picker.rank(&small, &options, Timestamp::ZERO);
    let order: Vec<Member> = targets.iter().map(|target| target.dispatcher).collect();
    assert_eq!(order, vec![member(2, 1), member(1, 1), member(102, 1), member(101, 1)]);
}

#[test]
fn requests_spread_over_near_pools_by_load_and_recent_sends() {
    let options = [option(1, 1), option(2, 1), option(3, 1)];
    let mut picker = PoolPicker::new(GatewayConfig::default(), 1);
    picker.observe(&pool(1), pool_load(400_000), Timestamp::ZERO);
    let shards = first_shards(&mut picker, &options, &profile());
    let count = |shard: u16| shards.iter().filter(|chosen| **chosen == shard).count();
    assert!(count(1) < 10 && count(2) > 8 && count(3) > 8, "{shards:?}");
}

#[test]
fn prompts_with_one_prefix_share_one_pool_until_it_is_overloaded() {
    let options = [option(1, 1), option(2, 1), option(3, 1)];
    let mut picker = PoolPicker::new(GatewayConfig::default(), 1);
    let request = RequestProfile { prompt_tokens: 0, blocks: vec![BlockHash(5)], ..profile() };
    let shards = first_shards(&mut picker, &options, &request);
    assert!(shards.iter().all(|shard| *shard == shards[0]));
    picker.observe(&pool(shards[0]), pool_load(400_000), Timestamp::ZERO);
    let shard_now = picker.rank(&request, &options, Timestamp::ZERO)[0].pool.shard;
    assert_ne!(shard_now, shards[0]);
}
