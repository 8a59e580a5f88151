//! The retry budget that all nodes share without messages.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use havengate_core::relay::{BudgetShare, SharedRetryBudget, SharedRetryBudgetConfig};
use havengate_core::time::Timestamp;

const WINDOW: Duration = Duration::from_secs(10);
const CONFIG: SharedRetryBudgetConfig = SharedRetryBudgetConfig { ratio: 0.2, slack: 54.0, window: WINDOW };
const STEP_MILLIS: u64 = 50;
const STEPS: u64 = 800;

fn node(nodes: u32) -> SharedRetryBudget {
    SharedRetryBudget::new(CONFIG, BudgetShare { nodes })
}

fn without_slack() -> SharedRetryBudget {
    SharedRetryBudget::new(SharedRetryBudgetConfig { slack: 0.0, ..CONFIG }, BudgetShare { nodes: 1 })
}

#[test]
fn half_of_the_repeats_per_request_are_available_at_once() {
    let mut budget = without_slack();
    let now = Timestamp::from_millis(1_000);
    assert!(!budget.try_repeat(now));
    (0..20).for_each(|_| budget.record_request(now));
    let now = now + Duration::from_millis(250);
    assert!(budget.try_repeat(now) && budget.try_repeat(now) && !budget.try_repeat(now));
}

#[test]
fn a_steady_load_reaches_the_full_ratio_of_repeats() {
    let mut budget = without_slack();
    let (mut requests, mut repeats) = (0, 0);
    for number in 0..STEPS {
        let now = Timestamp::from_millis(1_000 + number * STEP_MILLIS);
        budget.record_request(now);
        let repeated = (0..10).filter(|_| budget.try_repeat(now)).count();
        if number >= STEPS / 2 {
            requests += 1;
            repeats += repeated;
        }
    }
    let share = repeats as f64 / f64::from(requests);
    assert!((0.19..=0.2).contains(&share), "{share} of the requests were repeated");
}

#[test]
fn spent_repeats_are_available_again_after_the_window() {
    let mut budget = node(1);
    let now = Timestamp::from_millis(1_000);
    while budget.try_repeat(now) {}
    assert!(!budget.try_repeat(now + WINDOW - Duration::from_millis(300)));
    assert!(budget.try_repeat(now + WINDOW + Duration::from_millis(500)));
}

#[test]
fn shares_shrink_with_more_nodes() {
    let mut budget = node(1);
    let now = Timestamp::from_millis(1_000);
    let alone = budget.left(now);
    budget.set_share(BudgetShare { nodes: 9 });
    assert!((alone / 9.0 - budget.left(now)).abs() < 1e-9);
}

/// The requests and repeats of all nodes in one step.
#[derive(Clone, Copy, Default)]
struct Step {
    requests: u32,
    repeats: u32,
}

fn sum(steps: &[Step], first: u64, count: u64, count_of: impl Fn(&Step) -> u32) -> f64 {
    let (first, count) = (usize::try_from(first).unwrap(), usize::try_from(count).unwrap());
    steps.iter().skip(first).take(count).map(|step| f64::from(count_of(step))).sum()
}

/// Several nodes with bursts of requests use all repeats that the budget allows. One node is restarted from time to time.
fn shared_budget_holds(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let count = choices.int_in_range(1..=9_u32)?;
    let mut nodes: Vec<SharedRetryBudget> = (0..count).map(|_| node(count)).collect();
    let mut steps = vec![Step::default(); STEPS as usize];
    let mut loads = vec![0; nodes.len()];
    for number in 0..STEPS {
        if number % 40 == 0 {
            for load in &mut loads {
                *load = choices.int_in_range(0..=3_u32)?;
            }
        }
        if number % 250 == 249 {
            let restarted = choices.choose_index(nodes.len())?;
            nodes[restarted] = node(count);
        }
        let now = Timestamp::from_millis(1_000 + number * STEP_MILLIS);
        let step = &mut steps[usize::try_from(number).unwrap()];
        for (budget, load) in nodes.iter_mut().zip(&loads) {
            (0..*load).for_each(|_| budget.record_request(now));
            step.requests += load;
            while budget.try_repeat(now) {
                step.repeats += 1;
            }
        }
    }
    check_windows(&steps);
    Ok(())
}

fn check_windows(steps: &[Step]) {
    let window = u64::try_from(WINDOW.as_millis()).unwrap() / STEP_MILLIS;
    for first in window..STEPS - window {
        let repeats = sum(steps, first, window, |step| step.repeats);
        let starts = [first, first - window / 2, first - window];
        let requests = starts.map(|start| sum(steps, start, window, |step| step.requests));
        let allowed = CONFIG.ratio * requests.into_iter().fold(0.0, f64::max) + CONFIG.slack;
        assert!(repeats <= allowed, "{repeats} repeats from step {first}, allowed {allowed}");
    }
}

/// Guards against repeats beyond the budget when callers move between nodes. Each node compared its repeats with the one of
/// three windows that had most of its own requests, but all nodes together have to use the same window: otherwise, the nodes
/// that callers leave count the requests before the move and the others those after it. That made 580 repeats here, where
/// 534 are allowed. Most of the excess repeats seen while engines interrupted requests were uncounted prefills, which
/// `relay_exchange` covers.
#[test]
fn load_that_moves_between_nodes_counts_once_for_repeats() {
    let mut nodes: Vec<SharedRetryBudget> = (0..8).map(|_| node(8)).collect();
    let mut steps = vec![Step::default(); STEPS as usize];
    for number in 200..STEPS {
        let now = Timestamp::from_millis(1_000 + number * STEP_MILLIS);
        let step = &mut steps[usize::try_from(number).unwrap()];
        let busy = if number / 180 % 2 == 0 { 0..4 } else { 4..8 };
        for budget in &mut nodes[busy] {
            (0..3).for_each(|_| budget.record_request(now));
            step.requests += 3;
        }
        for budget in &mut nodes {
            while number % 180 > 100 && budget.try_repeat(now) {
                step.repeats += 1;
            }
        }
    }
    check_windows(&steps);
}

/// Nodes with changing load that repeat requests only intermittently, and are restarted from time to time.
fn shared_budget_holds_with_intermittent_repeats(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let count = choices.int_in_range(1..=9_u32)?;
    let mut nodes: Vec<SharedRetryBudget> = (0..count).map(|_| node(count)).collect();
    let mut steps = vec![Step::default(); STEPS as usize];
    let mut phases = vec![(0, false); nodes.len()];
    for number in 0..STEPS {
        if number % 20 == 0 {
            for phase in &mut phases {
                if choices.ratio(1, 3_u8)? {
                    *phase = (choices.int_in_range(0..=9_u32)?, choices.ratio(1, 4_u8)?);
                }
            }
        }
        if number % 250 == 249 {
            let restarted = choices.choose_index(nodes.len())?;
            nodes[restarted] = node(count);
        }
        let now = Timestamp::from_millis(1_000 + number * STEP_MILLIS);
        let step = &mut steps[usize::try_from(number).unwrap()];
        for (budget, (load, repeats)) in nodes.iter_mut().zip(&phases) {
            (0..*load).for_each(|_| budget.record_request(now));
            step.requests += load;
            while *repeats && budget.try_repeat(now) {
                step.repeats += 1;
            }
        }
    }
    check_windows(&steps);
    Ok(())
}

#[test]
fn nodes_that_repeat_intermittently_stay_within_the_budget_in_every_window() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(shared_budget_holds_with_intermittent_repeats).seed(seed << 32 | 0x400);
    }
}

#[test]
fn all_nodes_together_stay_within_the_budget_in_every_window() {
    for seed in 1..=40_u64 {
        arbtest::arbtest(shared_budget_holds).seed(seed << 32 | 0x100);
    }
}
