//! Retries stay within the budget that all instances share.

mod count;
mod faults;

use ferry_serve::{RetryBudget, RetryShare, Tuning};

use crate::simulation::{Behaviour, Simulation, head, ms};

#[test]
fn retries_of_all_instances_stay_within_budget() {
    // Every endpoint fails, so each request would be retried.
    let mut sim = Simulation::new(4);
    sim.set_behaviour("plain-0", Behaviour::Failing);
    sim.set_behaviour("plain-1", Behaviour::Failing);
    let n_requests = 400;
    for number in 0..n_requests {
        let attempt = format!("load-{number}");
        sim.arrive(number % 4, &attempt, head("get", &attempt));
        sim.run_for(ms(20));
    }
    sim.run_for(ms(1_000));
    let n_calls: usize = ["plain-0", "plain-1"]
        .iter()
        .map(|it| sim.endpoints.get(*it).expect("the endpoint exists").n_calls)
        .sum();
    let n_retries = n_calls - n_requests;
    let tuning = Tuning::default();
    let limit = tuning.retry_ratio * n_requests as f64 + tuning.retry_extra;
    assert!(n_retries as f64 <= limit, "{n_retries} retries, {limit} are allowed");
    assert!(20 <= n_retries, "{n_retries} retries: the budget is not used");
}

#[test]
fn retry_budget_refills_as_its_window_slides() {
    let tuning = Tuning::default();
    let share = RetryShare { ratio: 1.0, constant: 1.0 };
    let mut budget = RetryBudget::new();
    let n_spent = |budget: &mut RetryBudget, at| {
        let n_reserved = (0..1_000).take_while(|_| budget.try_reserve(at, &tuning, share)).count();
        (0..n_reserved).for_each(|_| budget.settle(at, &tuning));
        n_reserved
    };
    let first = n_spent(&mut budget, ms(0));
    assert!(first as f64 <= tuning.retry_extra);
    assert_eq!(n_spent(&mut budget, ms(5_000)), 0);
    assert_eq!(n_spent(&mut budget, ms(10_500)), first);
}
