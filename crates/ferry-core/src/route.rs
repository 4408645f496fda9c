//! Chooses the endpoint for a stage call.

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
use crate::turn::Context;

use score::score;

/// Looks per sampled candidate before the whole group is searched.
const LOOKS: usize = 4;
/// Endpoints up to which a decision looks at each.
const SMALL_GROUP: usize = 16;

/// How an endpoint is chosen; all but the score are there to be measured against.
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
    /// The lowest score of a sample, with limits, queues, hedges and ejection.
    Score,
    RoundRobin,
    Random,
    LeastOutstanding,
}

impl Policy {
    /// Whether load is limited, queued, refused early, hedged and steered round bad endpoints.
    pub fn is_managed(self) -> bool {
        self == Policy::Score
    }
}

/// What a call needs of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    pub stage: &'a Stage,
    pub input: &'a str,
    /// Endpoints that had this stage of the request already.
    pub tried: &'a [EndpointId],
    /// Median service time of the pool.
    pub usual: Duration,
    /// An endpoint that has just become free.
    pub hint: Option<&'a str>,
    /// Whether a stream goes on that another engine began.
    pub is_resumed: bool,
}

/// A chosen endpoint with what the decision looked at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub considered: u32,
    /// Expected time to serve the call, in microseconds.
    pub score: u64,
    /// Its open connections are taken for silent.
    pub is_silent: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pick {
    Chosen(Choice),
    /// Endpoints that would do have as many calls as they may.
    Full,
    /// No endpoint would do.
    Nobody,
}

/// Positions that the simple policies keep.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Turns {
    next: SortedMap<PoolId, usize>,
}

impl Turns {
    fn take(&mut self, pool: &PoolId) -> usize {
        let next = self.next.get_or_insert_with(pool.clone(), || 0);
        *next = next.wrapping_add(1);
        *next
    }
}

/// Chooses an endpoint by the policy in force.
pub fn choose(now: Moment, ctx: &mut Context, turns: &mut Turns, query: Query<'_>) -> Pick {
    match ctx.tuning.policy {
        Policy::Score => choose_by_score(now, ctx, query),
        Policy::RoundRobin => {
            let turn = turns.take(&query.stage.pool);
            choose_in_turn(now, &ctx.fleet, query, turn)
        }
        Policy::Random => {
            let turn = ctx.rng.random_range(0..1_usize << 32);
            choose_in_turn(now, &ctx.fleet, query, turn)
        }
        Policy::LeastOutstanding => {
            let turn = ctx.rng.random_range(0..1_usize << 32);
            choose_least(now, &ctx.fleet, query, turn)
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
    /// Scores an endpoint; returns whether it would do.
    fn look(&mut self, view: &'a EndpointView) -> bool {
        if view.is_ejected(self.now) || !is_fit(view, self.query) {
            return false;
        }
        if view.is_full(self.now, self.tuning) {
            self.is_full = true;
            return false;
        }
        self.considered += 1;
        let is_near = view.endpoint.zone == self.zone;
        let usual = self.query.usual;
        let affinity = self.affinity.as_ref();
        let score = score(self.now, view, usual, is_near, affinity, self.tuning);
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
        return Pick::Nobody;
    };
    let affinity = match query.stage.kind {
        StageKind::Generate => fleet.affinity(now, query.input),
        StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service => None,
    };
    let affine = affinity.as_ref().and_then(|it| fleet.get(&it.endpoint));
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
    for view in [affine, hinted].into_iter().flatten() {
        if view.endpoint.pool == query.stage.pool && has_model(view, query) {
            sample.look(view);
        }
    }
    if group.all.len() <= SMALL_GROUP {
        look_at_all(fleet, group, &mut sample);
    } else {
        look_at_some(fleet, group, &mut sample, rng);
    }
    if sample.best.is_none() && !sample.is_full {
        search(fleet, group, &mut sample);
    }
    match sample.best {
        Some((score, view)) => Pick::Chosen(chosen(now, view, sample.considered, score)),
        None if sample.is_full => Pick::Full,
        None => Pick::Nobody,
    }
}

fn look_at_all<'a>(fleet: &'a Fleet, group: &Group, sample: &mut Sample<'a>) {
    for idx in &group.all {
        if let Some(view) = fleet.at(*idx) {
            sample.look(view);
        }
    }
}

/// Looks at a few endpoints in this zone and a few anywhere.
fn look_at_some<'a>(fleet: &'a Fleet, group: &Group, sample: &mut Sample<'a>, rng: &mut Pcg64Mcg) {
    let n_sample = sample.tuning.sample_size;
    let half = n_sample.div_ceil(2);
    for (list, n_wanted) in [(&group.near, half), (&group.all, n_sample)] {
        let mut n_found = 0;
        for _ in 0..LOOKS * n_wanted {
            if list.is_empty() || n_wanted <= n_found {
                break;
            }
            let idx = list[rng.random_range(0..list.len())];
            let is_found = fleet.at(idx).is_some_and(|it| sample.look(it));
            n_found += usize::from(is_found);
        }
    }
}

/// Looks at every endpoint of the group until one would do.
fn search<'a>(fleet: &'a Fleet, group: &Group, sample: &mut Sample<'a>) {
    for idx in &group.all {
        if fleet.at(*idx).is_some_and(|it| sample.look(it)) {
            return;
        }
    }
}

fn choose_in_turn(now: Moment, fleet: &Fleet, query: Query<'_>, turn: usize) -> Pick {
    let Some(group) = fleet.group(&query.stage.pool, &query.stage.model) else {
        return Pick::Nobody;
    };
    let n_all = group.all.len();
    let found = (0..n_all)
        .filter_map(|step| fleet.at(group.all[(turn + step) % n_all]))
        .find(|it| is_fit(it, query));
    found.map_or(Pick::Nobody, |it| Pick::Chosen(chosen(now, it, 1, 0)))
}

fn choose_least(now: Moment, fleet: &Fleet, query: Query<'_>, turn: usize) -> Pick {
    let Some(group) = fleet.group(&query.stage.pool, &query.stage.model) else {
        return Pick::Nobody;
    };
    let n_all = group.all.len();
    let found = (0..n_all)
        .filter_map(|step| fleet.at(group.all[(turn + step) % n_all]))
        .filter(|it| is_fit(it, query))
        .min_by_key(|it| it.outstanding);
    found.map_or(Pick::Nobody, |it| Pick::Chosen(chosen(now, it, n_all as u32, 0)))
}

fn chosen(now: Moment, view: &EndpointView, considered: u32, score: u64) -> Choice {
    Choice {
        endpoint: view.endpoint.id.clone(),
        address: view.endpoint.address,
        considered,
        score,
        is_silent: now < view.silent_until,
    }
}

fn is_fit(view: &EndpointView, query: Query<'_>) -> bool {
    let has_role = match (query.stage.kind, view.endpoint.role) {
        (StageKind::Generate, Role::Both) => true,
        (StageKind::Generate, Role::Decode) => query.is_resumed,
        (StageKind::Generate, Role::Prefill) => false,
        (StageKind::Encode | StageKind::Retrieve | StageKind::Rerank | StageKind::Service, _) => {
            true
        }
    };
    has_role && view.takes_work() && !query.tried.contains(&view.endpoint.id)
}

fn has_model(view: &EndpointView, query: Query<'_>) -> bool {
    let models = &view.endpoint.models;
    query.stage.model.as_ref().is_none_or(|it| models.binary_search(it).is_ok())
}
