//! Requests of operators and callers, and the execution of a node's effects.

use ferry_core::{Effect, Event};
use ferry_model::{AdminOp, AdminReply, AdminRequest, StoreOp, Ticket};

use super::{Action, NodeIdx, World};
use crate::trace::OperatorRequest;

impl World {
    /// Sends an operator's request to a node and returns its ticket.
    pub fn submit_admin(&mut self, node: NodeIdx, author: &str, id: &str, op: AdminOp) -> Ticket {
        self.n_tickets += 1;
        let ticket = self.n_tickets;
        let at = self.now.as_millis() as u64;
        let (author, id) = (author.to_owned(), id.to_owned());
        if self.nodes[node].alive {
            let (at, generation, change) = (self.now, self.nodes[node].generation, id.clone());
            self.trace.operator_requests.push(OperatorRequest {
                ticket,
                at,
                node,
                generation,
                change,
            });
        }
        self.deliver(node, Event::Admin(AdminRequest { ticket, author, id, at, op }));
        ticket
    }

    /// Requests from a node the addresses that a caller should use, and returns the ticket.
    pub fn query_instances(&mut self, node: NodeIdx, zone: Option<&str>) -> Ticket {
        self.n_tickets += 1;
        let ticket = self.n_tickets;
        let zone = zone.map(str::to_owned);
        self.deliver(node, Event::AskInstances { ticket, zone });
        ticket
    }

    /// Returns the reply to an operator's request if there is exactly one.
    pub fn reply(&self, ticket: Ticket) -> Option<&AdminReply> {
        match self.admin_replies.get(&ticket).map(Vec::as_slice) {
            Some([(_, reply)]) => Some(reply),
            Some(_) | None => None,
        }
    }

    pub(super) fn execute(&mut self, idx: NodeIdx, effect: Effect) {
        let generation = self.nodes[idx].generation;
        match effect {
            Effect::Answer { ticket, answer } => {
                let at = self.now;
                if let Some(record) = self.requests.get_mut(&ticket) {
                    record.answers.push((at, *answer));
                }
            }
            Effect::Emit { ticket, number, text } => {
                if let Some(record) = self.requests.get_mut(&ticket) {
                    record.tokens.push((number, text));
                }
            }
            Effect::Call(call) => self.start_call(idx, generation, call),
            Effect::Cancel { attempt } => self.start_cancel(idx, generation, attempt),
            Effect::Store { call, op } => {
                *self.store_calls.get_or_insert_with(verb_of(&op), || 0) += 1;
                let at = self.now + self.store.faults.delay;
                self.schedule(at, Action::Store { node: idx, generation, call, op });
            }
            Effect::Send { to, message, .. } => {
                self.peer_traffic.messages += 1;
                self.peer_traffic.bytes +=
                    postcard::to_stdvec(&message).map_or(0, |it| it.len() as u64);
                let from = self.nodes[idx].node.identity().instance.clone();
                let found =
                    self.nodes.iter().position(|it| it.node.identity().instance == to && it.alive);
                let Some(target) = found else { return };
                let (left, right) = (&self.nodes[idx].zone, &self.nodes[target].zone);
                if self.network.is_partitioned(left, right) {
                    return;
                }
                let at = self.now + self.network.delay(left, right);
                let generation = self.nodes[target].generation;
                self.send(at, target, generation, Event::Peer { from, message: *message });
            }
            Effect::Log(decision) => self.decisions.push((self.now, idx, decision)),
            Effect::Count { metric, by } => {
                *self.nodes[idx].counts.get_or_insert_with(metric, || 0) += by;
            }
            Effect::Exit => {
                self.nodes[idx].exited = true;
                self.trace.exits.push((self.now, idx));
            }
            Effect::Instances { ticket, answer } => {
                self.instance_answers.insert(ticket, *answer);
            }
            Effect::Key { ticket, state } => {
                self.key_states.insert(ticket, state);
            }
            Effect::Admin { ticket, reply } => {
                self.admin_replies.get_or_insert_with(ticket, Vec::new).push((self.now, *reply));
            }
            Effect::Order { order, .. } => self.start_order(idx, generation, order),
            Effect::Inspect { endpoint, .. } => self.inspect(idx, generation, endpoint),
        }
    }
}

fn verb_of(op: &StoreOp) -> &'static str {
    match op {
        StoreOp::Get { .. } => "get",
        StoreOp::List { .. } => "list",
        StoreOp::Put { .. } => "put",
        StoreOp::Delete { .. } => "delete",
        StoreOp::Watch { .. } => "watch",
    }
}
