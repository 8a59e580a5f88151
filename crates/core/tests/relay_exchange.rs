//! What follows from the outcome of each send of a request.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use havengate_core::relay::{
    BudgetShare, Exchange, ExchangeRules, NextStep, SendOutcome, SharedRetryBudget, SharedRetryBudgetConfig,
};
use havengate_core::routing::RequestKind;
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRunReason};

const NOW: Timestamp = Timestamp::from_millis(1_000);
const KINDS: [RequestKind; 4] = [
    RequestKind::Repeatable,
    RequestKind::Once,
    RequestKind::Stream { resumable: true },
    RequestKind::Stream { resumable: false },
];
const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::Declined, SendOutcome::Failed, SendOutcome::Lost];

fn budget(slack: f64) -> SharedRetryBudget {
    let config = SharedRetryBudgetConfig { ratio: 0.0, slack: 2.0 * slack, window: Duration::from_secs(10) };
    SharedRetryBudget::new(config, BudgetShare { nodes: 1 })
}

fn exchange(kind: RequestKind, attempts_maximum: u32) -> Exchange {
    Exchange::new(ExchangeRules { kind, attempts_maximum, ends_at: NOW + Duration::from_secs(5) })
}

fn sent(exchange: &mut Exchange, outcome: SendOutcome) -> NextStep {
    if outcome != SendOutcome::NotSent {
        exchange.record_sent();
    }
    exchange.after_send(outcome)
}

#[test]
fn a_request_that_runs_once_is_not_sent_again_when_its_answer_is_lost() {
    for kind in [RequestKind::Once, RequestKind::Stream { resumable: false }] {
        let mut exchange = exchange(kind, 3);
        assert_eq!(sent(&mut exchange, SendOutcome::Lost), NextStep::Fail(MayHaveRun::EngineFailed));
    }
}

#[test]
fn a_request_that_was_declined_goes_to_another_back_end() {
    let mut exchange = exchange(RequestKind::Once, 2);
    assert_eq!(sent(&mut exchange, SendOutcome::Declined), NextStep::SendAgain);
    assert_eq!(exchange.begin_send(&mut budget(1.0), NOW), Ok(()));
}

#[test]
fn what_cant_be_sent_again_is_refused_only_while_it_has_not_run() {
    let mut declined = exchange(RequestKind::Repeatable, 2);
    sent(&mut declined, SendOutcome::Declined);
    assert_eq!(declined.begin_send(&mut budget(0.0), NOW), Err(NextStep::Refuse(NotRunReason::RetryBudgetSpent)));
    let mut lost = exchange(RequestKind::Repeatable, 2);
    sent(&mut lost, SendOutcome::Lost);
    assert_eq!(lost.begin_send(&mut budget(0.0), NOW), Err(NextStep::Fail(MayHaveRun::RetryBudgetSpent)));
}

#[test]
fn the_last_failure_of_a_back_end_is_passed_on() {
    let mut exchange = exchange(RequestKind::Repeatable, 2);
    assert_eq!(sent(&mut exchange, SendOutcome::Failed), NextStep::SendAgain);
    assert_eq!(sent(&mut exchange, SendOutcome::Failed), NextStep::Deliver);
}

#[test]
fn a_back_end_that_cant_be_connected_to_costs_no_attempt_but_not_for_ever() {
    let mut exchange = exchange(RequestKind::Once, 1);
    let mut budget = budget(0.0);
    let mut rounds = 0;
    while exchange.begin_send(&mut budget, NOW).is_ok() {
        assert_eq!(sent(&mut exchange, SendOutcome::NotSent), NextStep::SendAgain);
        rounds += 1;
        assert!(rounds < 10);
    }
    assert!(rounds > 1);
    assert!(!exchange.may_have_run());
}

#[test]
fn with_no_useful_time_left_the_end_is_final() {
    let mut exchange = Exchange::new(ExchangeRules { kind: RequestKind::Once, attempts_maximum: 1, ends_at: NOW });
    let end = exchange.begin_send(&mut budget(1.0), NOW);
    assert_eq!(end, Err(NextStep::Refuse(NotRunReason::DeadlineUnreachable)));
}

#[test]
fn the_first_reading_of_a_prompt_is_free_and_a_declined_one_is_not() {
    let mut taken = exchange(RequestKind::Once, 1);
    taken.after_prefill(None);
    assert!(!taken.may_prefill());
    assert_eq!(taken.begin_send(&mut budget(0.0), NOW), Ok(()));
    let mut declined = exchange(RequestKind::Once, 1);
    declined.after_prefill(Some(SendOutcome::Declined));
    assert_eq!(declined.begin_send(&mut budget(9.0), NOW), Err(NextStep::Refuse(NotRunReason::NoEngine)));
}

#[test]
fn what_follows_a_failure_to_read_the_prompt_is_a_repeat_but_no_second_attempt() {
    for outcome in [SendOutcome::Failed, SendOutcome::Lost] {
        let mut failed = exchange(RequestKind::Once, 1);
        failed.after_prefill(Some(outcome));
        assert!(!failed.may_prefill() && !failed.may_have_run(), "reading a prompt is no run");
        assert_eq!(failed.begin_send(&mut budget(0.0), NOW), Err(NextStep::Refuse(NotRunReason::RetryBudgetSpent)));
        assert_eq!(failed.begin_send(&mut budget(1.0), NOW), Ok(()));
    }
}

/// Drives one request through random outcomes and checks the invariants at each step.
fn invariants_hold(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let kind = KINDS[choices.choose_index(KINDS.len())?];
    let attempts_maximum = choices.int_in_range(0..=4_u32)?;
    let slack = choices.int_in_range(0..=3_u32)?;
    let mut budget = budget(f64::from(slack));
    let mut exchange = exchange(kind, attempts_maximum);
    let (mut sends, mut may_have_run) = (0, false);
    for _ in 0..20 {
        if let Err(end) = exchange.begin_send(&mut budget, NOW) {
            assert_eq!(matches!(end, NextStep::Refuse(_)), !may_have_run, "{end:?} with may_have_run {may_have_run}");
            return Ok(());
        }
        assert!(!may_have_run || kind.may_repeat(), "{kind:?} is sent again although it may have run");
        let outcome = OUTCOMES[choices.choose_index(OUTCOMES.len())?];
        sends += u32::from(outcome != SendOutcome::NotSent);
        may_have_run |= matches!(outcome, SendOutcome::Failed | SendOutcome::Lost);
        assert!(sends <= attempts_maximum.max(1) && sends <= 1 + slack, "{sends} sends");
        match sent(&mut exchange, outcome) {
            NextStep::SendAgain => {}
            NextStep::Deliver => {
                assert_eq!(outcome, SendOutcome::Failed);
                return Ok(());
            }
            NextStep::Refuse(_) => panic!("a send that ended is no refusal"),
            NextStep::Fail(_) => {
                assert!(may_have_run);
                return Ok(());
            }
        }
    }
    panic!("the request does not end");
}

#[test]
fn random_outcomes_keep_the_invariants() {
    for seed in 1..=500_u64 {
        arbtest::arbtest(invariants_hold).seed(seed << 32 | 0x100);
    }
}

/// Users saw repeats pile up beyond what is allowed. Engines that broke off their work on prompts had seen these requests,
/// and counted the next send as a repeat; the node had called the reading free and paid for one repeat less. This drives a
/// request through random outcomes of its reading and its sends, and counts arrivals as engines do: all but the first, and
/// but for the first reading that an engine takes up.
fn engines_count_no_more_repeats_than_were_paid(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let kind = KINDS[choices.choose_index(KINDS.len())?];
    let mut budget = budget(f64::from(choices.int_in_range(0..=3_u32)?));
    let mut exchange = exchange(kind, choices.int_in_range(1..=4_u32)?);
    let mut arrivals = 0_u32;
    let reads = choices.ratio(3, 4_u8)?;
    while reads && exchange.may_prefill() {
        let failure =
            if choices.ratio(1, 3_u8)? { None } else { Some(OUTCOMES[choices.choose_index(OUTCOMES.len())?]) };
        exchange.after_prefill(failure);
        arrivals += u32::from(failure.is_some_and(|failure| failure != SendOutcome::NotSent));
    }
    while exchange.begin_send(&mut budget, NOW).is_ok() {
        let outcome = OUTCOMES[choices.choose_index(OUTCOMES.len())?];
        arrivals += u32::from(outcome != SendOutcome::NotSent);
        if sent(&mut exchange, outcome) != NextStep::SendAgain {
            break;
        }
    }
    let repeats = arrivals.saturating_sub(1);
    assert!(repeats <= exchange.repeats(), "engines count {repeats} repeats, {} were paid", exchange.repeats());
    Ok(())
}

#[test]
fn every_repeat_that_engines_count_was_paid_for() {
    for seed in 1..=500_u64 {
        arbtest::arbtest(engines_count_no_more_repeats_than_were_paid).seed(seed << 32 | 0x200);
    }
}
