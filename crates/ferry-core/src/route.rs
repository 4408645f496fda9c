//! Choice of the endpoint for a stage call.

pub mod score;

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, Moment, PoolId, Role, SortedMap, Stage, StageKind};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Tuning;
use crate::fleet::{Affinity, EndpointView, Fleet, Group};
use crate::pass::Context;

use score::score;

/// Random tries per wanted candidate; if no candidate is found, the whole group is searched.
const TRIES_PER_CANDIDATE: usize = 4;
/// Maximum number of endpoints in a group that is scored completely instead of being sampled.
const SMALL_GROUP: usize = 16;

/// How an endpoint is chosen; the policies other than `Score` are baselines for comparison.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Chooses the lowest score of a sample, with limits, queues, hedges and ejection.
    Score,
    RoundRobin,
    Random,
    LeastOutstanding,
}

impl Policy {
    /// Whether calls are limited, queued, refused early, hedged and kept away from bad endpoints.
    pub fn is_managed(self) -> bool {
        self == Policy::Score
    }
}

/// The call for which an endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    pub stage: &'a Stage,
    pub input: &'a str,
    /// Endpoints already tried for this stage of the request.
    pub tried: &'a [EndpointId],
    /// Median service time of the pool.
    pub median: Duration,
    /// An endpoint that has just become free.
    pub hint: Option<&'a str>,
    /// Whether the call resumes a stream that another endpoint began.
    pub is_resumed: bool,
}

/// The chosen endpoint, with details of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    /// Number of endpoints considered.
    pub considered: u32,
    /// Expected cost of the call, in microseconds.
    pub score: u64,
    /// Whether the open connections of the endpoint are considered silent.
    pub is_silent: bool,
}

/// Result of choosing an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pick {
    Chosen(Choice),
    /// Every eligible endpoint has reached its limit of calls.
    Full,
    /// No endpoint is eligible.
    NoEndpoint,
}

/// Positions of the round-robin policy, by pool.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoundRobin {
    next: SortedMap<PoolId, usize>,
}

impl RoundRobin {
    fn next(&mut self, pool: &PoolId) -> usize {
        let next = self.next.get_or_insert_with(pool.clone(), || 0);
        *next = next.wrapping_add(1);
        *next
    }
}

/// Chooses an endpoint by the configured policy.
pub fn choose(
    now: Moment,
    ctx: &mut Context,
    round_robin: &mut RoundRobin,
    query: Query<'_>,
) -> Pick {
    match ctx.tuning.policy {
        Policy::Score => choose_by_score(now, ctx, query),
        Policy::RoundRobin => {
            let offset = round_robin.next(&query.stage.pool);
            choose_from_offset(now, &ctx.fleet, query, offset)
        }
        Policy::Random => {
            let offset = ctx.rng.random_range(0..1_usize << 32);
            choose_from_offset(now, &ctx.fleet, query, offset)
        }
        Policy::LeastOutstanding => {
            let offset = ctx.rng.random_range(0..1_usize << 32);
            choose_least(now, &ctx.fleet, query, offset)
        }
    }
}

struct Sample<'a> {
    now: Moment,
    tuning: &'a Tuning,
    query: Query<'a>,
    zone: &'a str,
    affinity: Option<Affinity>,
    best: Option<(u64, &'a EndpointView)>,
    considered: u32,
    is_full: bool,
}

impl<'a> Sample<'a> {
    /// Scores an endpoint; returns whether it is eligible and has capacity.
    fn consider(&mut self, view: &'a EndpointView) -> bool {
        if view.is_ejected(self.now) || !is_eligible(view, self.query) {
            return false;
        }
        if view.is_full(self.now, self.tuning) {
            self.is_full = true;
            return false;
        }
        self.considered += 1;
        let is_same_zone = view.endpoint.zone == self.zone;
        let median = self.query.median;
        let affinity = self.affinity.as_ref();
        let score = score(self.now, view, median, is_same_zone, affinity, self.tuning);
        let is_better = self.best.is_none_or(|(best, it)| {
            score < best || (score == best && view.endpoint.id < it.endpoint.id)
        });
        if is_better {
            self.best = Some((score, view));
        }
        true
    }
}

fn choose_by_score(now: Moment, ctx: &mut Context, query: Query<'_>) -> Pick {
    let Context { fleet, tuning, rng, identity, .. } = ctx;
    let Some(group) = fleet.group(&query.stage.pool, &query.stage.model) else {
        return Pick::NoEndpoint;
    };
    let affinity = match query.stage.kind {
        StageKind::Generate => fleet.affinity(now, query.input),
        StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service => None,
    };
    let with_prefix = affinity.as_ref().and_then(|it| fleet.get(&it.endpoint));
    let mut sample = Sample {
        now,
        tuning,
        query,
        zone: &identity.zone,
        affinity,
        best: None,
        considered: 0,
        is_full: false,
    };
    let hinted = query.hint.and_then(|it| fleet.get(it));
    for view in [with_prefix, hinted].into_iter().flatten() {
        if view.endpoint.pool == query.stage.pool && has_model(view, query) {
            sample.consider(view);
        }
    }
    if group.all.len() <= SMALL_GROUP {
        consider_all(fleet, group, &mut sample);
    } else {
        consider_sample(fleet, group, &mut sample, rng);
    }
    if sample.best.is_none() && !sample.is_full {
        consider_until_found(fleet, group, &mut sample);
    }
    match sample.best {
        Some((score, view)) => Pick::Chosen(choice_of(now, view, sample.considered, score)),
        None if sample.is_full => Pick::Full,
        None => Pick::NoEndpoint,
    }
}

fn consider_all<'a>(fleet: &'a Fleet, group: &Group, sample: &mut Sample<'a>) {
    for idx in &group.all {
        if let Some(view) = fleet.by_index(*idx) {
            sample.consider(view);
        }
    }
}

/// Considers random endpoints, first in this availability zone, then anywhere.
fn consider_sample<'a>(
    fleet: &'a Fleet,
    group: &Group,
    sample: &mut Sample<'a>,
    rng: &mut Pcg64Mcg,
) {
    let n_sample = sample.tuning.sample_size;
    let half = n_sample.div_ceil(2);
    for (list, n_wanted) in [(&group.same_zone, half), (&group.all, n_sample)] {
        let mut n_found = 0;
        for _ in 0..TRIES_PER_CANDIDATE * n_wanted {
            if list.is_empty() || n_wanted <= n_found {
                break;
            }
            let idx = list[rng.random_range(0..list.len())];
            let is_found = fleet.by_index(idx).is_some_and(|it| sample.consider(it));
            n_found += usize::from(is_found);
        }
    }
}

/// Considers the endpoints of the group in order until one can take the call.
fn consider_until_found<'a>(fleet: &'a Fleet, group: &Group, sample: &mut Sample<'a>) {
    for idx in &group.all {
        if fleet.by_index(*idx).is_some_and(|it| sample.consider(it)) {
            return;
        }
    }
}

fn choose_from_offset(now: Moment, fleet: &Fleet, query: Query<'_>, offset: usize) -> Pick {
    let Some(group) = fleet.group(&query.stage.pool, &query.stage.model) else {
        return Pick::NoEndpoint;
    };
    let n_all = group.all.len();
    let found = (0..n_all)
        .filter_map(|step| fleet.by_index(group.all[(offset + step) % n_all]))
        .find(|it| is_eligible(it, query));
    found.map_or(Pick::NoEndpoint, |it| Pick::Chosen(choice_of(now, it, 1, 0)))
}

fn choose_least(now: Moment, fleet: &Fleet, query: Query<'_>, offset: usize) -> Pick {
    let Some(group) = fleet.group(&query.stage.pool, &query.stage.model) else {
        return Pick::NoEndpoint;
    };
    let n_all = group.all.len();
    let found = (0..n_all)
        .filter_map(|step| fleet.by_index(group.all[(offset + step) % n_all]))
        .filter(|it| is_eligible(it, query))
        .min_by_key(|it| it.outstanding);
    found.map_or(Pick::NoEndpoint, |it| Pick::Chosen(choice_of(now, it, n_all as u32, 0)))
}

fn choice_of(now: Moment, view: &EndpointView, considered: u32, score: u64) -> Choice {
    Choice {
        endpoint: view.endpoint.id.clone(),
        address: view.endpoint.address,
        considered,
        score,
        is_silent: now < view.silent_until,
    }
}

fn is_eligible(view: &EndpointView, query: Query<'_>) -> bool {
    let has_role = match (query.stage.kind, view.endpoint.role) {
        (StageKind::Generate, Role::Both) => true,
        (StageKind::Generate, Role::Decode) => query.is_resumed,
        (StageKind::Generate, Role::Prefill) => false,
        (StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service, _) => {
            true
        }
    };
    has_role && view.accepts_work() && !query.tried.contains(&view.endpoint.id)
}

fn has_model(view: &EndpointView, query: Query<'_>) -> bool {
    let models = &view.endpoint.models;
    query.stage.model.as_ref().is_none_or(|it| models.binary_search(it).is_ok())
}
