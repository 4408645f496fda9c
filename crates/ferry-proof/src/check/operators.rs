//! What operators were told of their changes, against what the store took.

use ferry_fakes::{OperatorRequest, World};
use ferry_model::AdminReply;

use super::{Promise, Violation};

pub(super) fn check(world: &World, found: &mut Vec<Violation>) {
    for asking in &world.trace.operator_requests {
        let replies =
            world.admin_replies.get(&asking.ticket).map(Vec::as_slice).unwrap_or_default();
        let what = match replies {
            [] => is_overdue(world, asking).then(|| "got no reply".to_owned()),
            [(_, reply)] => untrue(world, asking, reply),
            _ => Some(format!("got {} replies", replies.len())),
        };
        if let Some(what) = what {
            let change = &asking.change;
            found.push(Violation::new(Promise::Settled, format!("change {change} {what}")));
        }
    }
}

fn is_overdue(world: &World, asking: &OperatorRequest) -> bool {
    let life = asking.generation;
    world.is_alive(asking.node)
        && world.generation(asking.node) == life
        && !world.has_exited(asking.node)
        && !world.trace.was_paused(asking.node, asking.at, world.now)
}

/// Returns what is untrue of a reply.
fn untrue(world: &World, asking: &OperatorRequest, reply: &AdminReply) -> Option<String> {
    let written = world.trace.written.iter().find(|it| it.change == asking.change);
    match (reply, written) {
        (AdminReply::Accepted { revision }, Some(written)) if written.revision == *revision => None,
        (AdminReply::Accepted { revision }, _) => {
            Some(format!("was accepted as revision {revision}, which nobody wrote"))
        }
        (
            AdminReply::Conflict { .. }
            | AdminReply::Invalid(_)
            | AdminReply::NotFound
            | AdminReply::Unavailable(_),
            Some(written),
        ) => Some(format!("was refused, but stands as revision {}", written.revision)),
        _ => None,
    }
}
