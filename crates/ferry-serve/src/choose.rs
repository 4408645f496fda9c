//! Chooses the endpoint of a request by the lowest expected cost.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{EndpointId, GatewayPool, Moment, PoolKind, ZoneId};
use strum::{Display, IntoStaticStr};

use crate::{EndpointView, Endpoints, Mechanism, PromptPart, PromptTokens, Tuning};

/// Expected time of a call to a plain endpoint.
const PLAIN_TIME: Duration = Duration::from_millis(60);
/// Cost of a call that fails, as time.
pub(crate) const FAIL_COST: Duration = Duration::from_millis(400);
/// Cost of sending a request to another availability zone than the instance's own.
pub(crate) const ZONE_HOP_COST: Duration = Duration::from_millis(3);
/// Cost of asking for a permit, as time.
pub(crate) const PERMIT_COST: Duration = Duration::from_millis(5);
/// Fraction of the shared prompt that the first of the affine endpoints is assumed to have cached.
pub(crate) const LIKELY_CACHED_FRACTION: f64 = 0.7;
/// Number of endpoints that serve requests with the same shared prompt parts.
const N_AFFINE_ENDPOINTS: usize = 3;
/// Cost of an answer that is late, as time.
const LATE_COST: Duration = Duration::from_millis(1_000);

/// What a request needs from its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    pub pool: &'a str,
    pub kind: &'a GatewayPool,
    pub prompt: &'a [PromptPart],
    /// Megabytes of results to read, by zone.
    pub results: &'a [(ZoneId, f64)],
    /// Differs between requests, so that instances with the same view do not all choose the same
    /// endpoint.
    pub salt: &'a str,
    /// Endpoints to which the request was already sent.
    pub tried: &'a [EndpointId],
    /// Build that the endpoint must have.
    pub build: Option<&'a str>,
    /// Time until the first event, or the answer, is late.
    pub slack: Duration,
    /// Longest useful wait for an endpoint that limits its requests.
    pub max_wait: Duration,
    /// Zone of this instance.
    pub zone: &'a str,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub considered: u32,
    /// Expected cost, as time.
    pub cost: Duration,
    /// Expected time to the first token or the complete answer, not counting slowdown of the
    /// endpoint.
    pub expected: Duration,
    /// Tokens of the prompt; none if the endpoint is not an engine.
    pub prompt: Option<PromptTokens>,
    pub chooser: Chooser,
}

/// Who has chosen an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
pub enum Chooser {
    #[strum(serialize = "expected to cost least")]
    Instance,
    #[strum(serialize = "chosen by the scheduler")]
    Scheduler,
}

/// Returns the cheapest endpoint; those that failed recently are used only if no other is left.
pub fn choose_endpoint(
    now: Moment,
    endpoints: &Endpoints,
    tuning: &Tuning,
    need: Requirements<'_>,
) -> Option<Choice> {
    let fits = |it: &&EndpointView| {
        it.is_open(now) && it.has_build(need.build) && !need.tried.contains(&it.endpoint.id)
    };
    let candidates: Vec<&EndpointView> = endpoints.pool(need.pool).filter(fits).collect();
    let has_usable = candidates.iter().any(|it| it.is_usable(now));
    let prefixes = match need.kind.kind {
        PoolKind::Engine { .. } => prefixes(need.prompt),
        PoolKind::Plain | PoolKind::Batch(_) => Vec::new(),
    };
    let usable = candidates.iter().copied().filter(|it| !has_usable || it.is_usable(now));
    let open = with_permits(now, usable.collect(), need.max_wait);
    let choices = match tuning.is_enabled(Mechanism::Affinity) {
        true => affine_endpoints(open, &prefixes),
        false => open,
    };
    let first = choices.first().map(|it| it.endpoint.id.clone()).filter(|_| !prefixes.is_empty());
    let mut best: Option<(f64, Duration, &EndpointView)> = None;
    for view in choices {
        let is_first = first.as_ref().is_some_and(|it| *it == view.endpoint.id);
        let expected = expected(now, view, tuning, need, &prefixes, is_first);
        let cost = cost(now, view, tuning, need, expected, &prefixes, is_first);
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, expected, view));
        }
    }
    let (cost, expected, view) = best?;
    Some(Choice {
        endpoint: view.endpoint.id.clone(),
        address: view.endpoint.address,
        considered: candidates.len() as u32,
        cost: Duration::from_secs_f64(cost / 1e3),
        expected,
        prompt: (!prefixes.is_empty()).then(|| prompt_tokens(now, view, &prefixes)),
        chooser: Chooser::Instance,
    })
}

/// Returns the endpoints that take a request now, as far as known here; if there is none, the one
/// that does first, within `max_wait`.
fn with_permits(now: Moment, usable: Vec<&EndpointView>, max_wait: Duration) -> Vec<&EndpointView> {
    if usable.iter().all(|it| !it.may_have_permit(now)) {
        let first = usable.into_iter().min_by_key(|it| it.permit_wait(now));
        return first.into_iter().filter(|it| it.permit_wait(now) <= max_wait).collect();
    }
    usable.into_iter().filter(|it| it.may_have_permit(now)).collect()
}

/// Returns a hash of each prefix of a prompt, with the tokens of its last part.
pub fn prefixes(prompt: &[PromptPart]) -> Vec<(u64, u32)> {
    let mut hasher = DefaultHasher::new();
    let mut add = |part: &PromptPart| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    };
    prompt.iter().map(&mut add).collect()
}

/// Returns the tokens that an engine is likely to prefill: the request's own part, and the shared
/// parts that it has not cached.
pub fn likely_prefill(prompt: &[PromptPart]) -> f64 {
    let Some((own, shared)) = prompt.split_last() else { return 0.0 };
    let shared: u32 = shared.iter().map(|it| it.tokens).sum();
    f64::from(own.tokens) + f64::from(shared) * (1.0 - LIKELY_CACHED_FRACTION)
}

/// Ranks names by a hash with `key`, so that all instances agree on the first without messages.
pub fn rendezvous_hash(key: u64, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, name).hash(&mut hasher);
    hasher.finish()
}

/// Returns the few endpoints that serve requests with the same shared prompt parts, best first; all
/// of them if nothing is shared.
///
/// Load reports are old, and many instances read the same ones: if each of them took the least
/// loaded endpoint, they would overload it. Requests with different parts use different endpoints.
fn affine_endpoints<'a>(
    usable: Vec<&'a EndpointView>,
    prefixes: &[(u64, u32)],
) -> Vec<&'a EndpointView> {
    if shared_key(prefixes).is_none() {
        return usable;
    }
    let mut endpoints: Vec<(&EndpointView, ())> = usable.into_iter().map(|it| (it, ())).collect();
    sort_by_affinity(&mut endpoints, prefixes);
    endpoints.into_iter().take(N_AFFINE_ENDPOINTS).map(|it| it.0).collect()
}

/// Returns the hash of the parts of a prompt that other requests share; none if there are none.
pub(crate) fn shared_key(prefixes: &[(u64, u32)]) -> Option<u64> {
    prefixes.len().checked_sub(2).and_then(|it| prefixes.get(it)).map(|it| it.0)
}

/// Sorts endpoints by how much requests with the same shared prompt parts prefer them, as all
/// instances agree without messages.
pub(crate) fn sort_by_affinity<T>(endpoints: &mut [(&EndpointView, T)], prefixes: &[(u64, u32)]) {
    let Some(key) = shared_key(prefixes) else { return };
    endpoints.sort_by_cached_key(|it| std::cmp::Reverse(rendezvous_hash(key, &it.0.endpoint.id)));
}

fn expected(
    now: Moment,
    view: &EndpointView,
    tuning: &Tuning,
    need: Requirements<'_>,
    prefixes: &[(u64, u32)],
    is_first: bool,
) -> Duration {
    match need.kind.kind {
        PoolKind::Plain | PoolKind::Batch(_) => PLAIN_TIME,
        PoolKind::Engine { .. } => {
            let own = prefixes.last().map_or(0, |(_, tokens)| *tokens);
            let shared = f64::from(uncached_shared(now, view, prefixes));
            let likely = if is_first { 1.0 - LIKELY_CACHED_FRACTION } else { 1.0 };
            let read = (f64::from(own) + shared * likely) / tuning.tokens_per_ms;
            tuning.first_token + Duration::from_secs_f64(read / 1e3)
        }
    }
}

/// Returns the tokens of the shared prompt parts that the endpoint has not cached.
fn uncached_shared(now: Moment, view: &EndpointView, prefixes: &[(u64, u32)]) -> u32 {
    let shared = &prefixes[..prefixes.len().saturating_sub(1)];
    let total: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
    total - view.cached_tokens(now, shared)
}

fn prompt_tokens(now: Moment, view: &EndpointView, prefixes: &[(u64, u32)]) -> PromptTokens {
    let total: u32 = prefixes.iter().map(|(_, tokens)| tokens).sum();
    let own = prefixes.last().map_or(0, |(_, tokens)| *tokens);
    PromptTokens { own, shared: total - own, uncached: uncached_shared(now, view, prefixes) }
}

/// Returns the cost in milliseconds.
fn cost(
    now: Moment,
    view: &EndpointView,
    tuning: &Tuning,
    need: Requirements<'_>,
    expected: Duration,
    prefixes: &[(u64, u32)],
    is_first: bool,
) -> f64 {
    let occupancy = f64::from(view.occupancy(now));
    let slots = f64::from(view.endpoint.slots.max(1));
    let work = millis(expected) * view.slowdown;
    let queue = match need.kind.kind {
        PoolKind::Engine { .. } => occupancy * millis(tuning.load_cost),
        PoolKind::Plain | PoolKind::Batch(_) => work * occupancy / slots,
    };
    let overflow = (occupancy + 1.0 - slots).max(0.0) * work / slots;
    let elsewhere: f64 =
        need.results.iter().filter(|it| it.0 != view.endpoint.zone).map(|it| it.1).sum();
    let transfer = elsewhere * millis(tuning.transfer_cost);
    let hop = if view.endpoint.zone == need.zone { 0.0 } else { millis(ZONE_HOP_COST) };
    let permit = view.rate_limit().map_or(0.0, |_| millis(PERMIT_COST));
    let time = work + queue + overflow;
    let late = if millis(need.slack) < time { millis(LATE_COST) } else { 0.0 };
    let reread = match is_first {
        true => 0.0,
        false => f64::from(uncached_shared(now, view, prefixes)) / 1e3 * millis(tuning.reread_cost),
    };
    let jitter = jitter(need.salt, &view.endpoint.id) * millis(tuning.max_jitter);
    time + late + reread + transfer + hop + permit + jitter + view.failure_rate * millis(FAIL_COST)
}

/// Returns a number between zero and one that is fixed for a request and an endpoint.
fn jitter(salt: &str, endpoint: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    rendezvous_hash(hasher.finish(), endpoint) as f64 / u64::MAX as f64
}

pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
