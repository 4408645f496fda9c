//! Operators' requests: each change is one conditional update of an object.
//!
//! If the answer to an update is lost, the object is read back. Where it still has the version
//! that the change was made from, the same conditional update is repeated: at most one of them can
//! take effect. docs/design/configuration.md compares the alternatives.

pub mod document;

use ferry_model::{
    AdminOp, AdminReply, AdminRequest, InstanceState, InstanceStatus, Moment, ObjectKind, Revision,
    SortedMap, StoreError, StoreOp, StoreReply, StoredObject, Ticket, Version,
};
use serde::{Deserialize, Serialize};

use crate::admin::document::{Document, Target};
use crate::config::feed::jitter;
use crate::member::status_poll;
use crate::pass::Pass;
use crate::{CallId, Decision, DecisionKind, Effect, Owner};

/// Wait before a call to the object API is retried; it doubles with each failure.
const FIRST_RETRY: Moment = Moment::from_millis(50);
const MAX_RETRY: Moment = Moment::from_secs(1);

/// An update that is to be written.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Write {
    document: Document,
    value: String,
    /// Version of the object that the change was made from.
    expect: Version,
    /// Whether an earlier put of this value may have taken effect or may still do so.
    may_apply: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Phase {
    /// The object is being read.
    Read,
    Write(Box<Write>),
    /// The object is being read to find out whether a put took effect.
    Verify(Box<Write>),
    List,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Op {
    request: AdminRequest,
    phase: Phase,
    call: Option<CallId>,
    deadline: Moment,
    /// When the call of the phase is made next.
    retry_at: Option<Moment>,
    backoff: Moment,
    /// The last error of the object API, for the reply at the deadline.
    error: String,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Admin {
    ops: SortedMap<Ticket, Op>,
}

impl Admin {
    pub fn new() -> Admin {
        Admin::default()
    }

    pub fn is_idle(&self) -> bool {
        self.ops.is_empty()
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.ops.values().map(|it| it.retry_at.unwrap_or(it.deadline).min(it.deadline)).min()
    }

    pub fn on_request(&mut self, cx: &mut Pass<'_>, request: AdminRequest) {
        let ticket = request.ticket;
        let phase = match &request.op {
            AdminOp::Status => {
                let reply = AdminReply::Status(status(cx));
                answer(cx, ticket, reply);
                return;
            }
            AdminOp::ReadWorkspaces => Phase::List,
            _ => Phase::Read,
        };
        let op = Op {
            request,
            phase,
            call: None,
            deadline: cx.now + cx.ctx.tuning.admin_deadline,
            retry_at: Some(cx.now),
            backoff: FIRST_RETRY,
            error: "no answer in time".to_owned(),
        };
        self.ops.insert(ticket, op);
        self.tick(cx);
    }

    pub fn tick(&mut self, cx: &mut Pass<'_>) {
        let now = cx.now;
        let expired: Vec<Ticket> =
            self.ops.iter().filter(|(_, it)| it.deadline <= now).map(|(id, _)| *id).collect();
        for ticket in expired {
            if let Some(op) = self.ops.remove(&ticket) {
                let reply = op.expire();
                finish(cx, &op.request, reply);
            }
        }
        for op in self.ops.values_mut() {
            if op.retry_at.is_some_and(|it| it <= now) {
                op.retry_at = None;
                op.call = Some(cx.ctx.calls.start(Owner::Admin, op.next_call(), cx.effects));
            }
        }
    }

    pub fn on_store(
        &mut self,
        cx: &mut Pass<'_>,
        call: CallId,
        result: Result<StoreReply, StoreError>,
    ) {
        let found = self.ops.iter().find(|(_, it)| it.call == Some(call)).map(|(id, _)| *id);
        let Some(ticket) = found else { return };
        let Some(mut op) = self.ops.remove(&ticket) else { return };
        op.call = None;
        match op.on_result(cx, result) {
            Some(reply) => finish(cx, &op.request, reply),
            None => {
                self.ops.insert(ticket, op);
                self.tick(cx);
            }
        }
    }
}

impl Op {
    fn next_call(&self) -> StoreOp {
        let key = Target::new(&self.request.op).key();
        match &self.phase {
            Phase::List => StoreOp::List { kind: ObjectKind::Workspaces },
            Phase::Read | Phase::Verify(_) => StoreOp::Get { key },
            Phase::Write(write) => {
                StoreOp::Put { key, expect: write.expect, value: write.value.clone() }
            }
        }
    }

    /// Handles the result of the call of this phase; returns the reply once it is known.
    fn on_result(
        &mut self,
        cx: &mut Pass<'_>,
        result: Result<StoreReply, StoreError>,
    ) -> Option<AdminReply> {
        let phase = std::mem::replace(&mut self.phase, Phase::Read);
        match (phase, result) {
            (Phase::List, Ok(StoreReply::List { objects, .. })) => {
                Some(document::list_workspaces(&objects))
            }
            (Phase::Read, Ok(StoreReply::Object(object))) => self.on_read(cx, object),
            (Phase::Write(write), Ok(StoreReply::Written(_))) => {
                let revision = write.document.revision();
                write.document.apply_newer(cx);
                Some(AdminReply::Accepted { revision })
            }
            (Phase::Write(write), Err(StoreError::Conflict(_))) if write.may_apply => {
                self.schedule(cx, Phase::Verify(write), Moment::ZERO)
            }
            // Another writer was first: read what it wrote and check the request against that.
            (Phase::Write(_), Err(StoreError::Conflict(_))) => {
                self.schedule(cx, Phase::Read, Moment::ZERO)
            }
            (Phase::Write(mut write), Err(StoreError::Unknown(error))) => {
                write.may_apply = true;
                self.error = error;
                self.schedule(cx, Phase::Verify(write), Moment::ZERO)
            }
            (Phase::Write(write), Err(StoreError::Refused(error))) if !write.may_apply => {
                Some(AdminReply::Unavailable(error))
            }
            (Phase::Verify(write), Ok(StoreReply::Object(object))) => {
                self.on_verified(cx, write, object)
            }
            (phase, Err(error)) => {
                self.error = error.to_string();
                self.retry(cx, phase)
            }
            (phase, Ok(_)) => self.retry(cx, phase),
        }
    }

    fn on_read(&mut self, cx: &mut Pass<'_>, object: Option<StoredObject>) -> Option<AdminReply> {
        let expect = object.as_ref().map_or(0, |it| it.version);
        let target = Target::new(&self.request.op);
        let document = match Document::parse(target, object.as_ref()) {
            Ok(document) => document,
            Err(error) => return Some(AdminReply::Unavailable(error)),
        };
        if document.revision() < document.revision_in_force(cx) {
            "the object API shows an older revision than the one in force"
                .clone_into(&mut self.error);
            return self.retry(cx, Phase::Read);
        }
        if let Some(revision) = document.find_change(&self.request.id) {
            document.apply_newer(cx);
            return Some(AdminReply::Accepted { revision });
        }
        let edited = match document.edit(&self.request) {
            Ok(edited) => edited,
            Err(reply) => return Some(reply),
        };
        let value = match edited.to_json() {
            Ok(value) => value,
            Err(reply) => return Some(reply),
        };
        let write = Write { document: edited, value, expect, may_apply: false };
        self.schedule(cx, Phase::Write(Box::new(write)), Moment::ZERO)
    }

    /// Decides by the current object whether a put with a lost answer took effect.
    fn on_verified(
        &mut self,
        cx: &mut Pass<'_>,
        write: Box<Write>,
        object: Option<StoredObject>,
    ) -> Option<AdminReply> {
        let version = object.as_ref().map_or(0, |it| it.version);
        let target = Target::new(&self.request.op);
        let Ok(document) = Document::parse(target, object.as_ref()) else {
            return self.retry(cx, Phase::Verify(write));
        };
        if let Some(revision) = document.find_change(&self.request.id) {
            document.apply_newer(cx);
            return Some(AdminReply::Accepted { revision });
        }
        if version <= write.expect {
            // The put has not taken effect yet, or this read is stale: repeating the same
            // conditional update cannot apply it twice.
            return self.retry(cx, Phase::Write(write));
        }
        if !document.covers(write.document.revision()) {
            return Some(AdminReply::Unconfirmed(
                "the history no longer reaches back to this change".to_owned(),
            ));
        }
        // Another change replaced the version that was read, so the put can never take effect.
        self.schedule(cx, Phase::Read, Moment::ZERO)
    }

    /// Continues with `phase` after `wait`.
    fn schedule(&mut self, cx: &Pass<'_>, phase: Phase, wait: Moment) -> Option<AdminReply> {
        self.phase = phase;
        self.retry_at = Some(cx.now + wait);
        None
    }

    /// Continues with `phase` after a backoff.
    fn retry(&mut self, cx: &mut Pass<'_>, phase: Phase) -> Option<AdminReply> {
        let wait = jitter(cx, self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_RETRY);
        self.schedule(cx, phase, wait)
    }

    /// Returns the reply for a request whose deadline has passed.
    fn expire(&self) -> AdminReply {
        match &self.phase {
            Phase::Read | Phase::List => AdminReply::Unavailable(self.error.clone()),
            Phase::Write(write) if !write.may_apply && self.call.is_none() => {
                AdminReply::Unavailable(self.error.clone())
            }
            Phase::Write(_) | Phase::Verify(_) => AdminReply::Unconfirmed(self.error.clone()),
        }
    }
}

/// Returns the state and revision of every instance, including this one.
fn status(cx: &mut Pass<'_>) -> Vec<InstanceStatus> {
    let mut statuses = status_poll::status(cx);
    let own_revision: Revision = cx.ctx.revision();
    if let Some(instance) = cx.ctx.members.own_instance() {
        let state = match cx.ctx.members.is_leaving() {
            true => InstanceState::Leaving,
            false => InstanceState::Live,
        };
        let (highest, since) = cx.ctx.members.highest_revision();
        let lag = (own_revision < highest).then(|| cx.now.saturating_sub(since));
        let own = InstanceStatus { instance: instance.clone(), state, revision: own_revision, lag };
        statuses.push(own);
        statuses.sort_by(|left, right| left.instance.id.cmp(&right.instance.id));
    }
    statuses
}

fn finish(cx: &mut Pass<'_>, request: &AdminRequest, reply: AdminReply) {
    let outcome = match &reply {
        AdminReply::Accepted { revision } => format!("accepted as revision {revision}"),
        AdminReply::Conflict { revision, .. } => format!("conflicts with revision {revision}"),
        AdminReply::Invalid(findings) => format!("invalid: {} findings", findings.len()),
        AdminReply::NotFound => "not found".to_owned(),
        AdminReply::Unavailable(error) => format!("not accepted: {error}"),
        AdminReply::Unconfirmed(error) => format!("unsettled: {error}"),
        AdminReply::Config(_) | AdminReply::Workspaces(_) | AdminReply::Status(_) => {
            "read".to_owned()
        }
    };
    let reason = format!("change {} of {}: {outcome}", request.id, request.author);
    let decision = Decision::new(DecisionKind::Configure, reason, cx.ctx.revision());
    cx.effects.push(Effect::Log(decision));
    answer(cx, request.ticket, reply);
}

fn answer(cx: &mut Pass<'_>, ticket: Ticket, reply: AdminReply) {
    cx.effects.push(Effect::Admin { ticket, reply: Box::new(reply) });
}
