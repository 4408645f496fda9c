//! Drawn rollouts with instances that are killed again and again.

use std::time::Duration;

use ferry_model::{EndpointState, Moment};
use ferry_serve::{Event, StoreUpdate};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{builds, continuation, stream};
use crate::simulation::{ENGINE, Ending, Simulation, ms};

/// Days for each number of instances.
const N_DAYS: u64 = 6;
/// Least share of the continuations that go on whose build has an endpoint.
const LEAST: f64 = 0.9;
const LENGTH: Duration = ms(20_000);
/// Longest time until an instance has read a change of an endpoint from the store.
const MAX_LAG: u64 = 1_300;
/// Time in which the instances that were killed are started again, and their callers come back.
const MAX_DOWN: u64 = 2_500;
const MAX_PATIENCE: u64 = 300;

#[derive(Debug, Clone)]
enum Step {
    Arrive,
    /// Adds engines of the next build.
    Roll,
    /// Removes the entries of the engines of the build before.
    Leave {
        build: usize,
    },
    /// Tells an instance of a change.
    Report {
        instance: usize,
        update: StoreUpdate,
    },
    Kill {
        share: f64,
    },
    Start {
        instance: usize,
    },
    TakeUp {
        first: String,
    },
}

struct Day {
    sim: Simulation,
    rng: Pcg64Mcg,
    /// Sorted by time, in reverse.
    steps: Vec<(Moment, Step)>,
    revision: u64,
    n_builds: usize,
    /// Streams by the instance at which they are in progress.
    running: Vec<(usize, String)>,
    /// Continuations: the first attempt, the next one, and whether the build had an endpoint.
    taken_up: Vec<(String, String, bool)>,
}

fn build(number: usize) -> String {
    format!("v{number}")
}

impl Day {
    fn new(n_instances: usize, seed: u64) -> Day {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut sim = Simulation::new(n_instances);
        sim.crashes.n_events = rng.random_range(20..100);
        let mut day = Day {
            sim,
            rng,
            steps: Vec::new(),
            revision: 1_000,
            n_builds: 1,
            running: Vec::new(),
            taken_up: Vec::new(),
        };
        for id in day.sim.ids(ENGINE) {
            day.sim.set_build(&id, &build(1));
            let update = day.changed(&id);
            (0..n_instances).for_each(|it| day.sim.deliver(it, Event::Store(update.clone())));
        }
        // The pool has been as it is for long.
        day.sim.run_for(ms(30_000));
        day.draw();
        day
    }

    /// Draws when builds come and leave, and when instances are killed.
    fn draw(&mut self) {
        let begin = self.sim.now;
        for _ in 0..self.rng.random_range(0..3) {
            let at = begin + ms(self.rng.random_range(0..15_000));
            self.plan(at, Step::Roll);
        }
        for _ in 0..self.rng.random_range(1..4) {
            let at = begin + ms(self.rng.random_range(1_000..18_000));
            let share = [0.3, 0.6, 1.0, 1.0, 1.0][self.rng.random_range(0..5)];
            self.plan(at, Step::Kill { share });
        }
        let interval = self.rng.random_range(20..60);
        let mut at = begin;
        while at < begin + LENGTH {
            self.plan(at, Step::Arrive);
            at += ms(interval);
        }
    }

    fn plan(&mut self, at: Moment, step: Step) {
        let idx = self.steps.partition_point(|it| at < it.0);
        self.steps.insert(idx, (at, step));
    }

    fn plan_in(&mut self, longest: u64, step: Step) {
        let at = self.sim.now + ms(self.rng.random_range(0..=longest));
        self.plan(at, step);
    }

    fn play(&mut self) {
        while let Some((at, step)) = self.steps.pop() {
            self.sim.run_for(at.saturating_sub(self.sim.now));
            self.apply(step);
        }
        self.sim.run_for(ms(6_000));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive => {
                let Some(instance) = self.pick_live() else { return };
                let attempt = format!("first-{}", self.sim.now.as_millis());
                self.sim.arrive(instance, &attempt, stream(&attempt));
                self.running.push((instance, attempt));
            }
            Step::Roll => self.roll(),
            Step::Leave { build } => self.leave(build),
            Step::Report { instance, update } => self.sim.deliver(instance, Event::Store(update)),
            Step::Kill { share } => self.kill(share),
            Step::Start { instance } => self.start(instance),
            Step::TakeUp { first } => self.take_up(first),
        }
    }

    fn pick_live(&mut self) -> Option<usize> {
        let instances = self.sim.instances.iter().enumerate();
        let live: Vec<usize> = instances.filter(|it| it.1.is_some()).map(|it| it.0).collect();
        (!live.is_empty()).then(|| live[self.rng.random_range(0..live.len())])
    }

    fn changed(&mut self, id: &str) -> StoreUpdate {
        self.revision += 1;
        let endpoint = self.sim.endpoints.get(id).expect("the engine exists").entry.clone();
        StoreUpdate::Changed { revision: self.revision, endpoint }
    }

    fn report(&mut self, update: &StoreUpdate) {
        for instance in 0..self.sim.instances.len() {
            let step = Step::Report { instance, update: update.clone() };
            self.plan_in(MAX_LAG, step);
        }
    }

    fn roll(&mut self) {
        self.n_builds += 1;
        let build = build(self.n_builds);
        for _ in 0..self.rng.random_range(1..4) {
            let number = self.sim.ids(ENGINE).len();
            self.sim.add_endpoint(ENGINE, number);
            let id = format!("{ENGINE}-{number}");
            self.sim.set_build(&id, &build);
            let update = self.changed(&id);
            self.report(&update);
        }
        // Some builds serve side by side for long.
        if self.rng.random_bool(0.7) {
            self.plan_in(10_000, Step::Leave { build: self.n_builds - 1 });
        }
    }

    fn leave(&mut self, number: usize) {
        let build = build(number);
        let has_build =
            |it: &String| self.sim.endpoints.get(it).is_some_and(|it| it.entry.build == build);
        let ids: Vec<String> = self.sim.ids(ENGINE).into_iter().filter(has_build).collect();
        for id in ids {
            let endpoint = self.sim.endpoints.get_mut(&id).expect("the engine exists");
            endpoint.entry.state = EndpointState::Leaving;
            self.revision += 1;
            let update = StoreUpdate::Removed { revision: self.revision, id };
            self.report(&update);
        }
    }

    fn kill(&mut self, share: f64) {
        for instance in 0..self.sim.instances.len() {
            if self.sim.instances[instance].is_none() || !self.rng.random_bool(share) {
                continue;
            }
            self.sim.kill(instance);
            self.plan_in(MAX_DOWN, Step::Start { instance });
        }
        let Simulation { instances, event_builds, outcomes, .. } = &self.sim;
        let (killed, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|it| instances[it.0].is_none());
        let broken = killed
            .into_iter()
            .filter(|it| event_builds.contains_key(&it.1) && !outcomes.contains_key(&it.1));
        let broken: Vec<String> = broken.map(|it| it.1).collect();
        self.running = running;
        for first in broken {
            let after = MAX_DOWN + self.rng.random_range(0..MAX_PATIENCE);
            self.plan(self.sim.now + ms(after), Step::TakeUp { first });
        }
    }

    /// Starts an instance with what the store has now.
    fn start(&mut self, instance: usize) {
        if self.sim.instances[instance].is_some() {
            return;
        }
        self.sim.start_without_store(instance);
        let config = self.sim.config.clone();
        self.sim.deliver(instance, Event::Config(config));
        let live = self.sim.endpoints.values().map(|it| &it.entry);
        let live = live.filter(|it| it.state == EndpointState::Live);
        let endpoints = live.cloned().collect();
        let update = StoreUpdate::List { revision: self.revision, endpoints };
        self.sim.deliver(instance, Event::Store(update));
    }

    fn take_up(&mut self, first: String) {
        let Some(instance) = self.pick_live() else { return };
        let begun = builds(&self.sim, &[&first]);
        let has_endpoint = self.sim.endpoints.values().any(|it| {
            it.entry.pool == ENGINE
                && it.entry.state == EndpointState::Live
                && begun.contains(&it.entry.build)
        });
        let second = format!("{first}-again");
        self.sim.arrive(instance, &second, continuation(&second, &first));
        self.taken_up.push((first, second, has_endpoint));
    }
}

#[test]
fn killed_instances_leave_no_stream_of_two_builds_and_most_go_on() {
    for n_instances in [1, 6, 30, 76, 195] {
        let (mut n_possible, mut n_continued) = (0, 0);
        for seed in 0..N_DAYS {
            let mut day = Day::new(n_instances, seed);
            day.play();
            let name = format!("{n_instances} instances, seed {seed}");
            for (first, second, has_endpoint) in &day.taken_up {
                let builds = builds(&day.sim, &[first, second]);
                assert!(builds.len() <= 1, "{name}: {first} has events of {builds:?}");
                // One that another kill ended is not counted.
                let Some(outcome) = day.sim.outcomes.get(second) else { continue };
                if *has_endpoint {
                    n_possible += 1;
                    n_continued += usize::from(outcome.ending == Ending::Stream);
                }
            }
            assert_eq!(day.sim.violations, Vec::<String>::new(), "{name}");
        }
        let share = n_continued as f64 / n_possible.max(1) as f64;
        println!("{n_instances} instances: {n_continued} of {n_possible} went on");
        assert!(0 < n_possible, "{n_instances} instances");
        assert!(LEAST <= share, "{n_instances} instances: {n_continued} of {n_possible} went on");
    }
}
