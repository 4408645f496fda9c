//! What the events of a call tell about crashes of its endpoint.

use super::active::{ActiveCall, ActiveRequest, Phase};
use crate::pass::Pass;
use crate::quarantine::CallTrace;
use crate::{CallEvent, CrashCandidate, Exposure, Framing, NotRunReason};

/// Runs of a request that broke off, after which it is not run again.
const MAX_BREAKS: u32 = 2;

/// Records what an event of a call tells about its endpoint and what that ran.
pub fn observe(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    event: &CallEvent,
) {
    // The peer that runs a request watches its endpoints.
    if current.peer.is_some() {
        if matches!(event, CallEvent::Began { .. } | CallEvent::Progress { .. })
            && let Phase::Calling(current) = &mut request.phase
        {
            current.has_begun = true;
        }
        return;
    }
    let now = cx.now;
    let watch = &mut cx.ctx.crash_watch;
    let ActiveCall { endpoint, started, .. } = current;
    match event {
        CallEvent::Unsent { .. } => watch.on_gone(now, endpoint),
        // Another endpoint has the address of this one.
        CallEvent::NotRun { reason: NotRunReason::Moved, .. } => watch.on_gone(now, endpoint),
        CallEvent::NotRun { .. } | CallEvent::Blocked => watch.on_heard(now, endpoint, *started),
        CallEvent::Began { .. } | CallEvent::Progress { .. } => {
            watch.on_heard(now, endpoint, *started);
            if let Phase::Calling(current) = &mut request.phase {
                current.has_begun = true;
            }
        }
        CallEvent::Answer { kind, .. } => {
            watch.on_heard(now, endpoint, *started);
            if !kind.is_error() {
                watch.on_sound(now, &trace(request, current));
            }
        }
        CallEvent::Ended(end) if !end.is_complete() => on_broken(cx, request, current),
        CallEvent::Ended(end) => match end.framing {
            Framing::Length | Framing::Chunked => {
                watch.on_heard(now, endpoint, *started);
                watch.on_sound(now, &trace(request, current));
            }
            Framing::Connection => watch.on_connection_end(now, trace(request, current)),
        },
        CallEvent::Broken { .. } => on_broken(cx, request, current),
    }
}

/// Returns what may crash the endpoints of a request: the request itself, and the parts of its prompt
/// without the last one, which no other request has.
pub fn candidates(request: &ActiveRequest) -> impl Iterator<Item = CrashCandidate> {
    let shared = request.head.prompt.split_last().map_or(&[][..], |it| it.1);
    let parts = shared.iter().map(|it| CrashCandidate::Part(it.id));
    [CrashCandidate::Request(request.digest)].into_iter().chain(parts)
}

/// Whether endpoints have crashed on a request, or on a part of its prompt, so often that it is not sent
/// again.
pub fn is_suspect(cx: &Pass<'_>, request: &ActiveRequest) -> bool {
    MAX_BREAKS <= request.n_breaks
        || candidates(request).any(|it| cx.ctx.crash_watch.is_suspect(&request.pool, it))
}

fn on_broken(cx: &mut Pass<'_>, request: &mut ActiveRequest, current: &ActiveCall) {
    request.n_breaks += 1;
    cx.ctx.crash_watch.on_broken(cx.now, trace(request, current));
}

fn trace(request: &ActiveRequest, current: &ActiveCall) -> CallTrace {
    let exposure = |(idx, candidate): (usize, CrashCandidate)| Exposure {
        candidate,
        request: request.digest as u32,
        place: idx.min(usize::from(u8::MAX)) as u8,
        run_time: None,
    };
    CallTrace {
        pool: request.pool.clone(),
        endpoint: current.endpoint.clone(),
        started: current.started,
        sent_at: current.sent_at,
        exposures: candidates(request).enumerate().map(exposure).collect(),
    }
}
