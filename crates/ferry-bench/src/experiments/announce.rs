//! Comparison of three protocols that announce a change, simulated message by message.
//!
//! All protocols have the same instances, delays, dead and slow peers; docs/design/membership.md
//! discusses the results.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use ferry_core::member::subset;
use ferry_core::{Identity, InstanceRole};
use ferry_model::{Instance, InstanceId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumIter, IntoStaticStr};

/// Share of instances that the tree must reach; its replication follows from it.
const RELIABILITY: f64 = 0.999;
/// Number of peers to which an instance gossips.
const FANOUT: usize = 8;
/// One-way delays inside a zone, between zones of a region and between regions.
const ZONE_DELAY: Duration = Duration::from_micros(200);
const REGION_DELAY: Duration = Duration::from_micros(1_500);
const GLOBAL_DELAY: Duration = Duration::from_millis(40);
/// Number of leading identifier bits that the tree uses.
const TREE_BITS: u32 = 32;
/// Time that a slow peer takes to process a message.
const SLOW_DELAY: Duration = Duration::from_millis(500);

/// How a change is announced to all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Protocol {
    /// The writer sends the change to all instances.
    FanOut,
    /// Each instance forwards the change to its heartbeat peers once.
    Gossip,
    /// Each instance forwards the change to delegates in smaller and smaller subtrees, several for
    /// each subtree.
    Tree,
}

/// What is wrong with the faulty instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerFault {
    Dead,
    Slow,
}

/// Conditions of one announcement.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub protocol: Protocol,
    pub n_instances: usize,
    pub fault: PeerFault,
    /// Number of faulty instances as a share of all; the origin is never faulty.
    pub fault_share: f64,
}

/// Coverage, messages and times of one announcement.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Share of live instances that were reached.
    pub coverage: f64,
    pub messages: u64,
    /// Highest number of messages that one instance sent.
    pub most_sent: u64,
    /// Time until 99 % of the reached live instances had received the change.
    pub p99: Duration,
    /// Time until all reached live instances had received the change.
    pub last: Duration,
}

struct Run<'a> {
    setup: Setup,
    fleet: &'a Fleet,
    is_faulty: Vec<bool>,
    reached: Vec<Option<Duration>>,
    sent: Vec<u64>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize, u32)>>,
    n_queued: u64,
    rng: Pcg64Mcg,
}

/// Instances with the data that each protocol needs.
pub struct Fleet {
    instances: Vec<Instance>,
    /// Heartbeat peers of each instance, as the reducer chooses them.
    peers: Vec<Vec<usize>>,
    /// Identifier of each instance in the tree.
    ids: Vec<u64>,
}

impl Fleet {
    pub fn new(instances: Vec<Instance>) -> Fleet {
        let position = |id: &InstanceId| instances.iter().position(|it| it.id == *id);
        let peers = instances
            .iter()
            .map(|instance| {
                let others: Vec<&Instance> =
                    instances.iter().filter(|it| it.id != instance.id).collect();
                let chosen = subset::choose(&identity(instance), &others, FANOUT);
                chosen.iter().filter_map(position).collect()
            })
            .collect();
        let ids = instances.iter().map(|it| hash(&it.id)).collect();
        Fleet { instances, peers, ids }
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        match (from.zone == to.zone, from.region == to.region) {
            (true, _) => ZONE_DELAY,
            (false, true) => REGION_DELAY,
            (false, false) => GLOBAL_DELAY,
        }
    }
}

/// Simulates the announcement of one change by a random instance.
pub fn run(setup: Setup, fleet: &Fleet, seed: u64) -> Outcome {
    let n = setup.n_instances;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let origin = rng.random_range(0..n);
    let mut others: Vec<usize> = (0..n).filter(|it| *it != origin).collect();
    shuffle(&mut others, &mut rng);
    let n_faulty = (setup.fault_share * n as f64).round() as usize;
    let mut is_faulty = vec![false; n];
    others.iter().take(n_faulty).for_each(|it| is_faulty[*it] = true);
    let mut run = Run {
        setup,
        fleet,
        is_faulty,
        reached: vec![None; n],
        sent: vec![0; n],
        queue: BinaryHeap::new(),
        n_queued: 0,
        rng,
    };
    run.receive(Duration::ZERO, origin, 0);
    while let Some(Reverse((at, _, to, height))) = run.queue.pop() {
        run.receive(at, to, height);
    }
    run.outcome()
}

impl Run<'_> {
    fn receive(&mut self, at: Duration, node: usize, height: u32) {
        let is_dead = self.is_faulty[node] && self.setup.fault == PeerFault::Dead;
        if is_dead || self.reached[node].is_some() {
            return;
        }
        let at = if self.is_faulty[node] { at + SLOW_DELAY } else { at };
        self.reached[node] = Some(at);
        match self.setup.protocol {
            Protocol::FanOut => {
                if self.n_queued == 0 {
                    (0..self.setup.n_instances)
                        .filter(|it| *it != node)
                        .for_each(|it| self.send(at, node, it, 0));
                }
            }
            Protocol::Gossip => {
                let fleet = self.fleet;
                fleet.peers[node].iter().for_each(|it| self.send(at, node, *it, 0));
            }
            Protocol::Tree => self.delegate(at, node, height),
        }
    }

    /// Forwards the change to delegates in each subtree that this instance is responsible for.
    fn delegate(&mut self, at: Duration, node: usize, height: u32) {
        let replicas = replication(self.setup.n_instances, self.setup.fault_share);
        let own_id = self.fleet.ids[node];
        for bit in height..TREE_BITS {
            let in_bucket = |it: &usize| (own_id ^ self.fleet.ids[*it]).leading_zeros() == bit;
            let mut bucket: Vec<usize> =
                (0..self.setup.n_instances).filter(|it| *it != node).filter(in_bucket).collect();
            shuffle(&mut bucket, &mut self.rng);
            bucket.truncate(replicas);
            bucket.into_iter().for_each(|it| self.send(at, node, it, bit + 1));
        }
    }

    fn send(&mut self, at: Duration, from: usize, to: usize, height: u32) {
        self.sent[from] += 1;
        self.n_queued += 1;
        let arrives = at + self.fleet.delay(from, to);
        self.queue.push(Reverse((arrives, self.n_queued, to, height)));
    }

    fn outcome(&self) -> Outcome {
        let is_live = |it: &usize| !self.is_faulty[*it] || self.setup.fault == PeerFault::Slow;
        let live: Vec<usize> = (0..self.setup.n_instances).filter(is_live).collect();
        let mut times: Vec<Duration> = live.iter().filter_map(|it| self.reached[*it]).collect();
        times.sort();
        let rank = (times.len() * 99).div_ceil(100).saturating_sub(1);
        Outcome {
            coverage: times.len() as f64 / live.len() as f64,
            messages: self.sent.iter().sum(),
            most_sent: self.sent.iter().max().copied().unwrap_or(0),
            p99: times[rank],
            last: times.last().copied().unwrap_or_default(),
        }
    }
}

/// Returns the number of delegates in each subtree that reach the wanted share `m` of instances:
/// `k = ln(2 (1 - m^(1/b))) / ln P`, rounded up, for `b` identifier bits and a share `P` of lost
/// messages.
pub fn replication(n_instances: usize, loss: f64) -> usize {
    if loss <= 0.0 {
        return 1;
    }
    let bits = (n_instances as f64).log2();
    let missed = 2.0 * (1.0 - RELIABILITY.powf(1.0 / bits));
    (missed.ln() / loss.ln()).ceil().max(1.0) as usize
}

fn identity(instance: &Instance) -> Identity {
    Identity {
        instance: instance.id.clone(),
        incarnation: 1,
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        role: InstanceRole::Entry,
    }
}

fn hash(id: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(id.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn shuffle(items: &mut [usize], rng: &mut Pcg64Mcg) {
    for idx in (1..items.len()).rev() {
        items.swap(idx, rng.random_range(0..=idx));
    }
}
