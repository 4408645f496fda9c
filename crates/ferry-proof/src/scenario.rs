//! Scenarios in a small test language. docs/PROOF.md describes every statement.

pub mod parse;

use std::time::Duration;

use ferry_core::{Event, Tuning};
use ferry_fakes::{Deployment, DeploymentName, EndpointFaults, FakeEndpoint, Request, World};
use ferry_model::{AdminReply, EndpointState, SortedMap, Ticket};
use thiserror::Error;

use crate::check::{TimeLimits, check};
use crate::fault::LIST_LAG;
use crate::matrix::{self, N_ENTRIES};
use crate::scenario::parse::{Ask, EndpointFault, NodeAction, Show, Statement, StoreFault};

/// An invalid statement in a scenario, with its line number within the block.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line} of the block, `{text}`: {problem}")]
pub struct ScenarioError {
    pub line: usize,
    pub text: String,
    pub problem: String,
}

/// A running scenario: a world, and the requests and changes that statements refer to by name.
#[derive(Debug)]
pub struct Scenario {
    world: World,
    deployment: Deployment,
    tuning: Tuning,
    seed: u64,
    requests: SortedMap<String, Vec<Ticket>>,
    /// The last change of each operator.
    changes: SortedMap<String, Ticket>,
}

impl Scenario {
    pub fn new(name: DeploymentName, seed: u64) -> Scenario {
        let deployment = Deployment::new(name);
        let tuning = Tuning::default();
        let mut world = matrix::world_with_controls(&deployment, &tuning, seed);
        world.run_for(Duration::from_secs(3));
        Scenario {
            world,
            deployment,
            tuning,
            seed,
            requests: SortedMap::new(),
            changes: SortedMap::new(),
        }
    }

    /// Executes a block of statements and returns its output.
    pub fn run(&mut self, block: &str) -> Result<String, ScenarioError> {
        let mut output = String::new();
        for (idx, text) in block.lines().enumerate() {
            let fail = |problem| ScenarioError { line: idx + 1, text: text.to_owned(), problem };
            let Some(statement) = Statement::parse(text).map_err(fail)? else { continue };
            self.execute(statement, &mut output).map_err(fail)?;
        }
        Ok(output)
    }

    fn execute(&mut self, statement: Statement, output: &mut String) -> Result<(), String> {
        match statement {
            Statement::Run(time) => self.run_for(time),
            Statement::Ask(ask) => self.ask(&ask)?,
            Statement::HangUp(name) => {
                for ticket in self.tickets(&name)?.to_vec() {
                    self.world.hang_up(ticket);
                }
            }
            Statement::Fault { target, fault } => {
                let now = self.world.now;
                self.change_endpoints(&target, |it| set_fault(it, fault, now))?;
            }
            Statement::Heal(target) => self.change_endpoints(&target, |it| {
                it.faults = EndpointFaults::default();
            })?,
            Statement::Node { node, action } => self.act_on_node(node, action)?,
            Statement::Store(fault) => self.set_store_fault(fault),
            Statement::Cut { left, right } => {
                for zone in [&left, &right] {
                    self.expect_zone(zone)?;
                }
                self.world.network.partitions.push((left, right));
            }
            Statement::Rejoin => self.world.network.partitions.clear(),
            Statement::Preset { node, name, author } => {
                self.expect_node(node)?;
                let ticket = matrix::choose_preset(&mut self.world, node, &author, name);
                self.changes.insert(author, ticket);
            }
            Statement::Show(show) => {
                output.push_str(&self.show(&show)?);
                output.push('\n');
            }
        }
        Ok(())
    }

    /// Runs the world, and lists endpoints as leaving once `LIST_LAG` has passed.
    fn run_for(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            let next = (self.world.now + LIST_LAG).min(end);
            self.world.run_until(next);
            let now = self.world.now;
            for it in self.world.endpoints.values_mut() {
                if it.leaving_since.is_some_and(|since| since + LIST_LAG <= now) {
                    it.endpoint.state = EndpointState::Leaving;
                }
            }
        }
    }

    fn ask(&mut self, ask: &Ask) -> Result<(), String> {
        self.expect_node(ask.entry)?;
        if self.deployment.config.pipeline(&ask.pipeline).is_none() {
            let names: Vec<&str> =
                self.deployment.config.pipelines.iter().map(|it| it.name.as_str()).collect();
            return Err(format!("no pipeline `{}`; there are {}", ask.pipeline, names.join(", ")));
        }
        for idx in 0..ask.count {
            let name =
                if ask.count == 1 { ask.name.clone() } else { format!("{}-{idx}", ask.name) };
            let key = ask.key.clone().unwrap_or_else(|| name.clone());
            let input = ask.input.clone().unwrap_or_else(|| format!("papers of {key}"));
            let mut request = Request::new(&ask.workspace, &ask.pipeline, input).with_key(key);
            request.deadline = ask.deadline;
            request.stream = ask.stream;
            let ticket = self.world.submit((ask.entry + idx) % N_ENTRIES, request);
            self.requests.get_or_insert_with(ask.name.clone(), Vec::new).push(ticket);
            self.run_for(ask.interval);
        }
        Ok(())
    }

    fn act_on_node(&mut self, node: usize, action: NodeAction) -> Result<(), String> {
        self.expect_node(node)?;
        match action {
            NodeAction::Kill => self.world.kill(node),
            NodeAction::Replace => {
                let generation = u64::from(self.world.generation(node)) + 1;
                let mut identity = self.world.node(node).identity().clone();
                identity.incarnation += 1_000_000 * generation;
                self.set_instance_state(node, EndpointState::Live);
                let seed = self.seed + 100 * generation + node as u64;
                self.world.replace(node, identity, self.tuning.clone(), seed);
            }
            NodeAction::Freeze => self.world.pause(node),
            NodeAction::Thaw => self.world.resume(node),
            NodeAction::Shutdown => {
                self.set_instance_state(node, EndpointState::Leaving);
                self.world.deliver(node, Event::Shutdown);
            }
        }
        Ok(())
    }

    fn set_instance_state(&mut self, node: usize, state: EndpointState) {
        let id = self.world.node(node).identity().instance.clone();
        for it in self.world.instances.iter_mut().filter(|it| it.id == id) {
            it.state = state;
        }
    }

    fn set_store_fault(&mut self, fault: StoreFault) {
        let store = &mut self.world.store;
        match fault {
            StoreFault::Down => store.faults.down = true,
            StoreFault::Slow => store.faults.delay = Duration::from_millis(400),
            StoreFault::LoseAnswer => store.faults.lost_answers += 1,
            StoreFault::Deaf => store.faults.silent_watches = true,
            StoreFault::Stale => store.freeze_reads(),
            StoreFault::Well => {
                store.faults = Default::default();
                self.world.wake_watches();
            }
        }
    }

    fn show(&self, show: &Show) -> Result<String, String> {
        match show {
            Show::Request(name) => Ok(format!("{name}: {}", self.outcomes(name)?)),
            Show::Runs { stage, key } => {
                let is_match = |it: &&ferry_fakes::Run| {
                    it.stage == *stage && key.as_ref().is_none_or(|key| it.key == *key)
                };
                let n_runs = self.world.runs.iter().filter(is_match).count();
                Ok(format!("runs of {stage}: {n_runs}"))
            }
            Show::Change(author) => {
                let ticket = self.changes.get(author);
                let ticket = ticket.ok_or_else(|| format!("no change by `{author}`"))?;
                Ok(format!("change by {author}: {}", reply_word(self.world.reply(*ticket))))
            }
            Show::Revisions => {
                let alive = (0..self.world.n_nodes()).filter(|it| self.world.is_alive(*it));
                let revisions: Vec<String> =
                    alive.map(|it| self.world.node(it).revision().to_string()).collect();
                Ok(format!("revisions: {}", revisions.join(" ")))
            }
            Show::Exited(node) => {
                self.expect_node(*node)?;
                let has_exited = self.world.has_exited(*node);
                Ok(format!("node {node}: {}", if has_exited { "exited" } else { "running" }))
            }
            Show::Invariants => {
                let violations = check(&self.world, &TimeLimits::default());
                if violations.is_empty() {
                    return Ok("promises: hold".to_owned());
                }
                let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
                Ok(format!("promises: broken\n{}", lines.join("\n")))
            }
        }
    }

    /// Returns each outcome of the named requests with its count. One statement can send many
    /// requests under one name.
    fn outcomes(&self, name: &str) -> Result<String, String> {
        let mut counts: SortedMap<String, usize> = SortedMap::new();
        for ticket in self.tickets(name)? {
            let Some(record) = self.world.requests.get(ticket) else { continue };
            let word = match record.answer() {
                Some(answer) => answer.outcome.to_string(),
                None if record.connection_lost => "connection lost".to_owned(),
                None if record.hung_up.is_some() => "hung up".to_owned(),
                None => "no answer".to_owned(),
            };
            *counts.get_or_insert_with(word, || 0) += 1;
        }
        let words: Vec<String> = counts
            .iter()
            .map(|(word, count)| if *count == 1 { word.clone() } else { format!("{count} {word}") })
            .collect();
        Ok(words.join(", "))
    }

    fn tickets(&self, name: &str) -> Result<&[Ticket], String> {
        match self.requests.get(name) {
            Some(tickets) => Ok(tickets),
            None => {
                let names: Vec<&str> = self.requests.keys().map(String::as_str).collect();
                Err(format!("no request `{name}`; there are {}", names.join(", ")))
            }
        }
    }

    /// Applies `change` to one endpoint, or to every endpoint of a pool.
    fn change_endpoints(
        &mut self,
        target: &str,
        mut change: impl FnMut(&mut FakeEndpoint),
    ) -> Result<(), String> {
        let mut n_found = 0;
        for it in self.world.endpoints.values_mut() {
            if it.endpoint.id == target || it.endpoint.pool == target {
                change(it);
                n_found += 1;
            }
        }
        match n_found {
            0 => Err(format!("no endpoint or pool `{target}`")),
            _ => Ok(()),
        }
    }

    fn expect_node(&self, node: usize) -> Result<(), String> {
        let n_nodes = self.world.n_nodes();
        if node < n_nodes {
            Ok(())
        } else {
            Err(format!("no node {node}; there are 0 to {}", n_nodes - 1))
        }
    }

    fn expect_zone(&self, zone: &str) -> Result<(), String> {
        if self.deployment.zones.contains(&zone) {
            return Ok(());
        }
        Err(format!("no zone `{zone}`; there are {}", self.deployment.zones.join(", ")))
    }
}

fn reply_word(reply: Option<&AdminReply>) -> &'static str {
    match reply {
        Some(AdminReply::Accepted { .. }) => "accepted",
        Some(AdminReply::Conflict { .. }) => "conflict",
        Some(AdminReply::Invalid(_)) => "invalid",
        Some(AdminReply::NotFound) => "not found",
        Some(AdminReply::Unavailable(_)) => "unavailable",
        Some(AdminReply::Unconfirmed(_)) => "unsettled",
        Some(_) => "answered",
        None => "no reply",
    }
}

fn set_fault(it: &mut FakeEndpoint, fault: EndpointFault, now: Duration) {
    let faults = &mut it.faults;
    match fault {
        EndpointFault::Down => faults.down = true,
        EndpointFault::Silent => faults.stale_connections = true,
        EndpointFault::Straggle => faults.straggle = Some(20.0),
        EndpointFault::CrashAfter => faults.crash_after_run = true,
        EndpointFault::CrashBefore => faults.crash_before_run = true,
        EndpointFault::Late => faults.answer_delay = Duration::from_secs(3),
        EndpointFault::Duplicate => faults.duplicate = true,
        EndpointFault::Misaddress => faults.wrong_echo = true,
        EndpointFault::Break => faults.break_after = Some(5),
        EndpointFault::Stall => faults.stall_after = Some(5),
        EndpointFault::Fail => faults.fail = true,
        EndpointFault::Mute => faults.omits_load = true,
        EndpointFault::Leave => {
            faults.leaving = true;
            it.leaving_since.get_or_insert(now);
        }
        EndpointFault::Retire => {
            it.leaving_since.get_or_insert(now);
        }
    }
}
