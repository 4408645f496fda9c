//! Chooses the addresses that callers should use, by availability zone and load.

use ferry_model::{InstanceState, RegionId, ZoneId};
use rand::RngExt;

use crate::member::Member;
use crate::pass::{InstanceRole, Pass};
use crate::{InstanceChoice, InstancesAnswer};

/// Maximum number of addresses in an answer.
const MAX_CHOICES: usize = 4;
/// Minimum of addresses in other availability zones, in case the caller's own zone fails.
const MIN_FAR: usize = 1;
/// Weight of an idle instance in the caller's availability zone.
const NEAR_WEIGHT: u32 = 1000;
/// Weight of an idle instance in another availability zone.
const FAR_WEIGHT: u32 = 100;

/// An instance that the answer may contain.
#[derive(Debug, Clone)]
struct Candidate {
    choice: InstanceChoice,
    region: RegionId,
    load: u32,
}

/// Chooses a few live entry instances; `own_load` counts the requests in flight on this one.
pub fn choose(cx: &mut Pass<'_>, zone: Option<&ZoneId>, own_load: u32) -> InstancesAnswer {
    let mut candidates = candidates(cx, own_load);
    shuffle(cx, &mut candidates);
    let zone = zone.cloned();
    let region = region_of(cx, zone.as_deref());
    let is_near = |it: &Candidate| zone.as_ref().is_none_or(|zone| it.choice.zone == *zone);
    let is_far = |it: &Candidate| region.as_ref().is_some_and(|region| it.region != *region);
    candidates.sort_by_key(|it| (!is_near(it), is_far(it), it.load));
    let n_near = candidates.iter().filter(|it| is_near(it)).count();
    let n_far = candidates.len() - n_near;
    let taken_near = n_near.min(MAX_CHOICES - MIN_FAR.min(n_far));
    let taken_far = n_far.min(MAX_CHOICES - taken_near);
    let choices = candidates[..taken_near]
        .iter()
        .map(|it| with_weight(it, NEAR_WEIGHT))
        .chain(candidates[n_near..n_near + taken_far].iter().map(|it| with_weight(it, FAR_WEIGHT)))
        .collect();
    InstancesAnswer { choices, ttl: cx.ctx.tuning.answer_ttl }
}

fn candidates(cx: &Pass<'_>, own_load: u32) -> Vec<Candidate> {
    let ctx = &cx.ctx;
    let in_state = |state: InstanceState| {
        let members = &ctx.members;
        members.iter().filter(move |it| {
            it.instance.is_entry && members.state(cx.now, ctx.tuning.suspect_after, it) == state
        })
    };
    let mut live: Vec<&Member> = in_state(InstanceState::Live).collect();
    if live.is_empty() {
        live = in_state(InstanceState::Suspect).collect();
    }
    let known: Vec<u32> =
        live.iter().filter_map(|it| Some(it.heartbeat.as_ref()?.load())).collect();
    let mean = known.iter().sum::<u32>() / (known.len() as u32).max(1);
    let mut found: Vec<Candidate> = live
        .iter()
        .map(|it| Candidate {
            choice: InstanceChoice {
                instance: it.instance.id.clone(),
                address: it.instance.address,
                zone: it.instance.zone.clone(),
                weight: 0,
            },
            region: it.instance.region.clone(),
            load: it.heartbeat.as_ref().map_or(mean, |it| it.load()),
        })
        .collect();
    let is_serving = ctx.identity.role == InstanceRole::Entry && !ctx.members.is_leaving();
    if let Some(address) = ctx.members.own_instance().map(|it| it.address).filter(|_| is_serving) {
        found.push(Candidate {
            choice: InstanceChoice {
                instance: ctx.identity.instance.clone(),
                address,
                zone: ctx.identity.zone.clone(),
                weight: 0,
            },
            region: ctx.identity.region.clone(),
            load: own_load,
        });
    }
    found
}

/// Shuffles the candidates, so that callers in one zone get different addresses at equal loads.
fn shuffle(cx: &mut Pass<'_>, candidates: &mut [Candidate]) {
    for idx in (1..candidates.len()).rev() {
        let other = cx.ctx.rng.random_range(0..=idx);
        candidates.swap(idx, other);
    }
}

fn region_of(cx: &Pass<'_>, zone: Option<&str>) -> Option<RegionId> {
    let zone = zone?;
    if cx.ctx.identity.zone == zone {
        return Some(cx.ctx.identity.region.clone());
    }
    cx.ctx.members.iter().find(|it| it.instance.zone == zone).map(|it| it.instance.region.clone())
}

fn with_weight(candidate: &Candidate, idle: u32) -> InstanceChoice {
    let weight = (idle / (1 + candidate.load)).max(1);
    InstanceChoice { weight, ..candidate.choice.clone() }
}
