//! Chooses the endpoint for a stage call.

use ferry_model::{Moment, Stage};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fleet::{EndpointView, Fleet};

/// A chosen endpoint with what the decision looked at.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    pub view: &'a EndpointView,
    pub considered: u32,
    /// Expected time to serve the call, in microseconds.
    pub score: u64,
}

/// Samples up to `sample` endpoints of the stage's pool and takes the cheapest.
pub fn choose<'a>(
    now: Moment,
    fleet: &'a Fleet,
    stage: &'a Stage,
    tried: &[String],
    sample: usize,
    rng: &mut Pcg64Mcg,
) -> Option<Choice<'a>> {
    let mut candidates: Vec<&EndpointView> =
        fleet.pool(&stage.pool).filter(|it| is_fit(it, stage, tried)).collect();
    let n_taken = sample.min(candidates.len());
    for idx in 0..n_taken {
        let other = rng.random_range(idx..candidates.len());
        candidates.swap(idx, other);
    }
    candidates
        .into_iter()
        .take(n_taken)
        .map(|view| Choice { view, considered: n_taken as u32, score: score(now, view) })
        .min_by_key(|it| it.score)
}

fn is_fit(view: &EndpointView, stage: &Stage, tried: &[String]) -> bool {
    let has_model = match &stage.model {
        Some(model) => view.endpoint.models.binary_search(model).is_ok(),
        None => true,
    };
    has_model && view.takes_work() && !tried.contains(&view.endpoint.id)
}

fn score(now: Moment, view: &EndpointView) -> u64 {
    let age = (now.saturating_sub(view.load_at) + view.load.age).as_secs_f64();
    let reported = f64::from(view.load.running + view.load.queued) / (1.0 + age);
    let ahead = f64::from(view.outstanding) + reported;
    (view.service.as_secs_f64() * (1.0 + ahead) * 1e6) as u64
}
