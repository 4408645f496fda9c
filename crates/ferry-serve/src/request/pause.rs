//! Requests whose endpoints have all asked this instance for a pause.

use std::time::Duration;

use super::active::ActiveRequest;
use super::end::RetryHint;
use crate::pass::Pass;
use crate::{CallerAttempt, EndpointView, rendezvous_hash};

/// Part of the time until an endpoint takes requests again over which callers are spread behind it.
const SPREAD_DIVISOR: u32 = 2;

/// Returns the time until the first endpoint takes a request; none if one does now, or none is left.
pub fn wait(cx: &Pass<'_>, request: &ActiveRequest) -> Option<Duration> {
    let fits = |it: &&EndpointView| {
        it.accepts_work()
            && it.has_build(request.needed_build())
            && !request.tried.contains(&it.endpoint.id)
    };
    let candidates = cx.ctx.endpoints.pool(&request.pool).filter(fits);
    let wait = candidates.map(|it| it.pause_left(cx.now)).min();
    wait.filter(|it| !it.is_zero())
}

/// Returns when a request should come back that its endpoints refuse.
pub fn hint(cx: &Pass<'_>, request: &ActiveRequest) -> RetryHint {
    wait(cx, request).map_or(RetryHint::Soon, RetryHint::AfterPause)
}

/// Returns the time after which a caller should come back, so that callers do not return in one wave
/// and each still has time for its request.
pub fn spread(attempt: &CallerAttempt, wait: Duration, time_left: Duration) -> Duration {
    let rest = time_left.saturating_sub(wait);
    let share = rendezvous_hash(0, attempt) as f64 / u64::MAX as f64;
    wait + (wait.min(rest) / SPREAD_DIVISOR).mul_f64(share)
}
