//! Starts simulations, and the instances of one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ferry_model::{GatewayConfig, Moment, SortedMap};
use ferry_serve::{EvacuatedZones, Event, Gateway, Identity, StoreUpdate, Tuning};

use super::{
    Crashes, ENGINE, FIRST, PLAIN, RecordStore, SECOND, Simulation, config, front, ms, peer, relay,
};

impl Simulation {
    pub fn new(n_instances: usize) -> Simulation {
        Simulation::with_tuning(n_instances, Tuning::default())
    }

    pub fn with_tuning(n_instances: usize, tuning: Tuning) -> Simulation {
        Simulation::with_config(n_instances, config(1), tuning)
    }

    /// Creates a simulation whose routes have another time limit.
    pub fn with_time_limit(n_instances: usize, limit: Duration) -> Simulation {
        Simulation::with_limit_and_tuning(n_instances, limit, Tuning::default())
    }

    pub fn with_limit_and_tuning(
        n_instances: usize,
        limit: Duration,
        tuning: Tuning,
    ) -> Simulation {
        let mut config = config(1);
        config.routes.iter_mut().for_each(|it| it.time_limit = limit);
        Simulation::with_config(n_instances, config, tuning)
    }

    pub fn with_config(n_instances: usize, config: GatewayConfig, tuning: Tuning) -> Simulation {
        let mut sim = Simulation {
            now: Moment::ZERO,
            tuning,
            config: Arc::new(config),
            instances: Vec::new(),
            endpoints: SortedMap::new(),
            outcomes: SortedMap::new(),
            first_events: SortedMap::new(),
            runs: SortedMap::new(),
            reached: SortedMap::new(),
            sent: SortedMap::new(),
            cuts: Vec::new(),
            passed_on: SortedMap::new(),
            offset: 0,
            abandoned: BTreeSet::new(),
            n_passed_on: 0,
            is_first_start: true,
            evacuated: Vec::new(),
            loses_results: false,
            inputs: Vec::new(),
            violations: Vec::new(),
            pauses: Vec::new(),
            n_batches: 0,
            n_freed: 0,
            reads_of_freed: Vec::new(),
            n_read_again: 0,
            n_checks: 0,
            loses_notices: false,
            loses_reads: false,
            n_entries_sent: 0,
            decisions: Vec::new(),
            exited: Vec::new(),
            closed: Vec::new(),
            timer_lag: vec![ms(0); n_instances],
            drop_one_in: None,
            rng: 1,
            records: RecordStore::default(),
            isolated: Vec::new(),
            island: Vec::new(),
            frozen: SortedMap::new(),
            results: SortedMap::new(),
            freed: Vec::new(),
            callers: SortedMap::new(),
            cancelled: Vec::new(),
            open_calls: SortedMap::new(),
            answers: SortedMap::new(),
            batches: SortedMap::new(),
            broken: Vec::new(),
            events: SortedMap::new(),
            calls: SortedMap::new(),
            asked: SortedMap::new(),
            sources: SortedMap::new(),
            event_builds: SortedMap::new(),
            crashes: Crashes::new(),
            digests: SortedMap::new(),
            begun: BTreeSet::new(),
            incarnations: vec![0; n_instances],
            sets_clocks_back: false,
            timers: vec![None; n_instances],
            queue: BTreeMap::new(),
            n_queued: 0,
            n_tickets: 0,
        };
        for (pool, n_endpoints) in [(PLAIN, 2), (ENGINE, 3), (FIRST, 3), (SECOND, 3)] {
            for number in 0..n_endpoints {
                sim.add_endpoint(pool, number);
            }
        }
        sim.instances.resize_with(n_instances, || None);
        for instance in 0..n_instances {
            sim.start(instance);
        }
        sim.run_for(ms(1_000));
        sim
    }

    /// Starts an instance, which reads the configuration and the endpoints from the store.
    pub fn start(&mut self, instance: usize) {
        self.start_without_store(instance);
        self.deliver(instance, Event::Config(self.config.clone()));
        let endpoints = self.endpoints.values().map(|it| it.entry.clone()).collect();
        let revision = 10;
        self.deliver(instance, Event::Store(StoreUpdate::List { revision, endpoints }));
        if self.tuning.has_evacuations {
            let zones = EvacuatedZones { revision, zones: self.evacuated.clone() };
            self.deliver(instance, Event::Store(StoreUpdate::EvacuatedZones(zones)));
        }
    }

    /// Starts an instance that the store does not answer.
    pub fn start_without_store(&mut self, instance: usize) {
        self.incarnations[instance] += 1;
        let identity = Identity {
            instance: format!("instance-{instance}"),
            incarnation: match self.sets_clocks_back {
                true => u64::from(u16::MAX) - self.incarnations[instance],
                false => self.incarnations[instance],
            },
            zone: format!("zone-{}", instance % 2),
            weight: 0.25,
            is_first_start: self.is_first_start,
            front: front(instance),
            peer: peer(instance),
            relay: relay(instance),
        };
        self.instances[instance] = Some(Gateway::new(identity, self.tuning.clone()));
        let members = (0..self.instances.len()).map(peer).collect();
        self.deliver(instance, Event::Members(members));
        self.arm(instance);
    }
}
