//! What the events of a call tell about crashes of its endpoint.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::active::{ActiveCall, ActiveRequest, Phase};
use crate::pass::Pass;
use crate::quarantine::{CallTrace, Timing};
use crate::{CallEvent, Exposure, Framing, NotRunReason};

/// Records what an event of a call tells about its endpoint and the parts of its prompt.
pub fn observe(
    cx: &mut Pass<'_>,
    request: &mut ActiveRequest,
    current: &ActiveCall,
    event: &CallEvent,
) {
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
            on_written(cx, request, current);
        }
        CallEvent::Answer { is_error, .. } => {
            watch.on_heard(now, endpoint, *started);
            if !is_error {
                watch.on_sound(current.sent_at, &trace(request, current));
            }
        }
        CallEvent::Ended(end) if !end.is_complete() => {
            watch.on_broken(now, &trace(request, current));
        }
        CallEvent::Ended(end) => match end.framing {
            Framing::Length | Framing::Chunked => {
                watch.on_heard(now, endpoint, *started);
                let began = current.began_at.unwrap_or(current.sent_at);
                watch.on_sound(began, &trace(request, current));
            }
            Framing::Connection => watch.on_connection_end(now, trace(request, current)),
        },
        CallEvent::Broken { .. } => watch.on_broken(now, &trace(request, current)),
    }
}

/// Whether endpoints have crashed on a part of a request so often that it is not sent again.
pub fn is_suspect(cx: &Pass<'_>, request: &ActiveRequest) -> bool {
    let shared = request.head.prompt.split_last().map_or(&[][..], |it| it.1);
    shared.iter().any(|it| cx.ctx.crash_watch.is_suspect(it.id))
}

fn on_written(cx: &mut Pass<'_>, request: &mut ActiveRequest, current: &ActiveCall) {
    let mut trace = match current.is_sound {
        true => return,
        false => trace(request, current),
    };
    let began_at = *trace.began_at.get_or_insert(cx.now);
    let is_sound = trace.is_sound(cx.now);
    if is_sound {
        cx.ctx.crash_watch.on_sound(began_at, &trace);
    }
    if let Phase::Calling(current) = &mut request.phase {
        current.began_at = Some(began_at);
        current.is_sound = is_sound;
    }
}

fn trace(request: &ActiveRequest, current: &ActiveCall) -> CallTrace {
    let shared = request.head.prompt.split_last().map_or(&[][..], |it| it.1);
    let mut hasher = DefaultHasher::new();
    request.head.attempt.hash(&mut hasher);
    let attempt = hasher.finish() as u32;
    let exposure = |(idx, it): (usize, &crate::PromptPart)| Exposure {
        part: it.id,
        attempt,
        place: idx.min(usize::from(u8::MAX)) as u8,
        timing: Timing::Other,
    };
    CallTrace {
        pool: request.pool.clone(),
        endpoint: current.endpoint.clone(),
        started: current.started,
        parts: shared.iter().enumerate().map(exposure).collect(),
        sent_at: current.sent_at,
        began_at: current.began_at,
    }
}
