//! What calls tell about the ways to endpoints.

use super::active::{ActiveCall, ActiveRequest};
use crate::CallEvent;
use crate::pass::Pass;

/// Records what an event of a call tells about the way to its endpoint: its first response, but no
/// later one, as open connections may live on where no new one can be opened.
pub fn observe(
    cx: &mut Pass<'_>,
    request: &ActiveRequest,
    current: &ActiveCall,
    event: &CallEvent,
) {
    if current.peer.is_some() {
        return;
    }
    let (now, reach) = (cx.now, &mut cx.ctx.reach);
    match event {
        CallEvent::Unsent { .. } => reach.on_failed(now, &request.pool, &current.endpoint),
        CallEvent::NotRun { .. } | CallEvent::Began { .. } | CallEvent::Answer { .. } => {
            reach.on_heard(now, current.sent_at, &request.pool, &current.endpoint);
        }
        CallEvent::Progress { .. }
        | CallEvent::Ended(_)
        | CallEvent::Blocked
        | CallEvent::Broken { .. } => (),
    }
}
