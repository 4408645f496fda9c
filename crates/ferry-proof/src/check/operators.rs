//! Checks replies to operators against the changes written to the store.

use ferry_fakes::{OperatorRequest, World};
use ferry_model::AdminReply;

use super::{Invariant, Violation};

pub(super) fn check(world: &World, violations: &mut Vec<Violation>) {
    for request in &world.trace.operator_requests {
        let replies =
            world.admin_replies.get(&request.ticket).map(Vec::as_slice).unwrap_or_default();
        let detail = match replies {
            [] => is_overdue(world, request).then(|| "got no reply".to_owned()),
            [(_, reply)] => contradiction(world, request, reply),
            _ => Some(format!("got {} replies", replies.len())),
        };
        if let Some(detail) = detail {
            let change = &request.change;
            violations.push(Violation::new(
                Invariant::TruthfulReplies,
                format!("change {change} {detail}"),
            ));
        }
    }
}

fn is_overdue(world: &World, request: &OperatorRequest) -> bool {
    let generation = request.generation;
    world.is_alive(request.node)
        && world.generation(request.node) == generation
        && !world.has_exited(request.node)
        && !world.trace.was_paused(request.node, request.at, world.now)
}

/// Returns how a reply contradicts the store, if it does.
fn contradiction(world: &World, request: &OperatorRequest, reply: &AdminReply) -> Option<String> {
    let written = world.trace.written.iter().find(|it| it.change == request.change);
    match (reply, written) {
        (AdminReply::Accepted { revision }, Some(written)) if written.revision == *revision => None,
        (AdminReply::Accepted { revision }, _) => {
            Some(format!("was accepted as revision {revision}, which was never written"))
        }
        (
            AdminReply::Conflict { .. }
            | AdminReply::Invalid(_)
            | AdminReply::NotFound
            | AdminReply::Unavailable(_),
            Some(written),
        ) => Some(format!("was refused, but was written as revision {}", written.revision)),
        _ => None,
    }
}
