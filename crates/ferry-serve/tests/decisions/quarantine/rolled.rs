//! Instances that come and go between the crashes of a part or a request, before it is in quarantine.

use std::time::Duration;

use ferry_model::Moment;
use ferry_serve::{Event, Tuning};

use crate::quarantine::records::{print_decisions, quarantined};
use crate::quarantine::returns::{FIRST_DIGEST, Kind, Load, Place as At};
use crate::quarantine::traffic::{CRASHING, Place, Traffic};
use crate::simulation::{CrashCause, ENGINE, Simulation, StoreState, ms};

const PART: CrashCause = CrashCause::Part(CRASHING);
const REQUEST: CrashCause = CrashCause::Request(FIRST_DIGEST);
/// Crashing requests per second: so few that a crash is handled before the next one.
const SLOW_RATE: f64 = 0.4;
const STABLE_TIME: Duration = ms(3_000);
/// Time in which an instance stops, and until the next one does.
const STOP_TIME: Duration = ms(2_500);
const DOWN_TIME: Duration = ms(500);
/// Requests that may reach endpoints late.
const MAX_LATE: usize = 3;
/// Crashes that a change may cost: one that is not kept yet.
const MAX_COST: usize = 1;
/// Time from a crash to the change.
const PAUSE: Duration = ms(1_500);

/// What happens to the instances behind a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Nothing.
    Quiet,
    Rollout,
    KillAll,
    /// Twice as many instances from then on, and the former ones stop.
    ScaleOut,
    /// The first third of the instances stands still for some seconds.
    Freeze,
    /// A rollout while the store does not answer, which it does again afterwards.
    RolloutWithoutStore,
}

impl Change {
    const ALL: [Change; 5] = [
        Change::Rollout,
        Change::KillAll,
        Change::ScaleOut,
        Change::Freeze,
        Change::RolloutWithoutStore,
    ];

    /// Plays the change; the callers are served meanwhile, but send nothing that crashes.
    fn play(
        self,
        sim: &mut Simulation,
        n_instances: usize,
        run: &mut dyn FnMut(&mut Simulation, Duration),
    ) {
        sim.is_first_start = false;
        let all = sim.instances.len();
        match self {
            Change::Quiet => run(sim, ms(6_000)),
            Change::Rollout => (0..n_instances).for_each(|it| replace(sim, it, run)),
            Change::RolloutWithoutStore => {
                (0..all).for_each(|it| sim.set_store(it, Some(StoreState::Silent)));
                for instance in 0..n_instances {
                    replace(sim, instance, run);
                    sim.set_store(instance, Some(StoreState::Silent));
                }
                (0..all).for_each(|it| sim.set_store(it, None));
                run(sim, ms(2_000));
            }
            Change::KillAll => {
                (0..all).for_each(|it| sim.kill(it));
                run(sim, DOWN_TIME);
                (0..n_instances).for_each(|it| sim.start(it));
            }
            Change::ScaleOut => {
                (n_instances..all).for_each(|it| sim.start(it));
                run(sim, ms(3_000));
                for instance in 0..n_instances {
                    sim.deliver(instance, Event::Shutdown);
                }
                run(sim, STOP_TIME);
                (0..n_instances).for_each(|it| sim.kill(it));
            }
            Change::Freeze => {
                let frozen = n_instances.div_ceil(3);
                (0..frozen).for_each(|it| sim.freeze(it));
                run(sim, ms(6_000));
                (0..frozen).for_each(|it| sim.thaw(it));
            }
        }
        run(sim, ms(2_000));
    }
}

/// Stops an instance, and starts it again.
fn replace(sim: &mut Simulation, instance: usize, run: &mut dyn FnMut(&mut Simulation, Duration)) {
    sim.deliver(instance, Event::Shutdown);
    run(sim, STOP_TIME);
    sim.kill(instance);
    run(sim, DOWN_TIME);
    sim.start(instance);
    run(sim, ms(500));
}

#[derive(Clone, Copy)]
struct Case {
    change: Change,
    n_instances: usize,
    /// Crashes before it.
    n_crashes: usize,
    pause: Duration,
    keeps_crashes: bool,
}

impl Case {
    /// Returns the requests that reach endpoints late, by the rule that counts from then on.
    fn n_late(sim: &Simulation, cause: CrashCause, n_learning: usize, changed: Moment) -> usize {
        let is_late = |it: &Moment| changed + STABLE_TIME < *it;
        let late = sim.crashes.received_after(cause, n_learning, STABLE_TIME);
        late.iter().filter(|it| is_late(&it.at)).count()
    }

    /// Returns the late requests, the crashes, and what is in quarantine.
    fn play_part(&self) -> (usize, usize, Vec<CrashCause>) {
        let mut sim = self.simulation();
        sim.add_engines(10);
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(25.0);
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, Place::Middle, SLOW_RATE);
        while sim.crashes.crashed.len() < self.n_crashes {
            traffic.run(&mut sim, ms(10));
        }
        traffic.set_crashing_rate(0.0);
        traffic.run(&mut sim, self.pause);
        self.change.play(&mut sim, self.n_instances, &mut |sim, it| traffic.run(sim, it));
        let changed = sim.now;
        traffic.set_crashing_rate(SLOW_RATE);
        traffic.run(&mut sim, ms(50_000));
        let late = Case::n_late(&sim, PART, 5, changed);
        if MAX_LATE < late {
            print_decisions(&sim);
        }
        (late, sim.crashes.crashed.len(), quarantined(&sim))
    }

    fn play_request(&self) -> (usize, usize, Vec<CrashCause>) {
        let mut sim = self.simulation();
        sim.fill_pool(ENGINE, 10);
        sim.crashes.n_events = 30;
        let mut load = Load::new(Kind::Resumable, 25.0);
        load.run(&mut sim, ms(4_000));
        load.start_crashing(&mut sim, 1, ms(2_500), At::AnyInstance);
        while sim.crashes.crashed.len() < self.n_crashes {
            load.run(&mut sim, ms(10));
        }
        load.stop();
        load.run(&mut sim, self.pause);
        self.change.play(&mut sim, self.n_instances, &mut |sim, it| load.run(sim, it));
        let changed = sim.now;
        load.add_returning(sim.now, ms(2_500), At::AnyInstance);
        load.run(&mut sim, ms(50_000));
        let late = Case::n_late(&sim, REQUEST, 3, changed);
        (late, sim.crashes.crashed.len(), quarantined(&sim))
    }

    fn simulation(&self) -> Simulation {
        let n_spare = if self.change == Change::ScaleOut { self.n_instances } else { 0 };
        let mut sim = Simulation::new(self.n_instances + n_spare);
        sim.records.drops_crashes = !self.keeps_crashes;
        if 0 < n_spare {
            (self.n_instances..self.n_instances + n_spare).for_each(|it| sim.kill(it));
            sim.run_for(ms(6_000));
        }
        sim
    }
}

fn cases(keeps_crashes: bool) -> impl Iterator<Item = (Change, usize, bool)> {
    let sized = move |change| [1, 6, 60].map(|n_instances| (change, n_instances, keeps_crashes));
    Change::ALL.into_iter().flat_map(sized)
}

/// Guards against crashes that are forgotten with the instances that have collected them, before the part is
/// in quarantine.
#[test]
fn part_is_found_by_all_its_crashes_whichever_instances_have_seen_them() {
    let mut failed = Vec::new();
    for (change, n_instances, keeps_crashes) in cases(true) {
        for n_crashes in [2, 3, 4] {
            let case = Case { change, n_instances, n_crashes, pause: PAUSE, keeps_crashes };
            let n_quiet = Case { change: Change::Quiet, ..case }.play_part().1;
            let (late, crashes, found) = case.play_part();
            let name = format!("{change:?}, {n_instances} instances, crash {n_crashes}");
            println!("part, {name}: {late} late, {crashes} crashes, {n_quiet} without it");
            if MAX_LATE < late || n_quiet + MAX_COST < crashes || found != [PART] {
                failed.push(format!(
                    "{name}: {late} late, {crashes} crashes, {n_quiet} without it, {found:?}"
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The same for a request as a whole.
#[test]
fn request_is_found_by_all_its_crashes_whichever_instances_have_seen_them() {
    let mut failed = Vec::new();
    for (change, n_instances, keeps_crashes) in cases(true) {
        let case = Case { change, n_instances, n_crashes: 2, pause: PAUSE, keeps_crashes };
        let n_quiet = Case { change: Change::Quiet, ..case }.play_request().1;
        let (late, crashes, found) = case.play_request();
        let name = format!("{change:?}, {n_instances} instances");
        println!("request, {name}: {late} late, {crashes} crashes, {n_quiet} without it");
        if MAX_LATE < late || n_quiet + MAX_COST < crashes || found != [REQUEST] {
            failed.push(format!(
                "{name}: {late} late, {crashes} crashes, {n_quiet} without it, {found:?}"
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against crashes that are forgotten as the only instance that has seen them stops right behind the
/// last one.
#[test]
fn stop_keeps_crashes_that_a_kill_loses() {
    for n_crashes in [2, 3, 4] {
        let case = Case {
            change: Change::Rollout,
            n_instances: 1,
            n_crashes,
            pause: ms(0),
            keeps_crashes: true,
        };
        let kept = case.play_part().1;
        let lost = Case { change: Change::KillAll, ..case }.play_part().1;
        println!("crash {n_crashes}: {kept} crashes after a stop, {lost} after a kill");
        assert!(kept < lost, "crash {n_crashes}: {kept} after a stop, {lost} after a kill");
    }
}

/// Guards against a process that exits as soon as it has no requests, before the crash that ended the last of
/// them is reported and kept.
#[test]
fn instance_exits_only_when_its_last_crash_is_kept() {
    let close_after = Tuning::default().close_after();
    let mut failed = Vec::new();
    for n_before in [1, 2, 3] {
        for before_close in (0..=1_000).step_by(50).map(ms) {
            let mut sim = Simulation::new(1);
            sim.add_engines(10);
            sim.crashes.n_events = 30;
            let mut traffic = Traffic::new(25.0);
            traffic.run(&mut sim, ms(4_000));
            traffic.start_crashing(&mut sim, Place::Middle, SLOW_RATE);
            while sim.crashes.crashed.len() < n_before {
                traffic.run(&mut sim, ms(10));
            }
            traffic.set_crashing_rate(0.0);
            traffic.run(&mut sim, PAUSE);
            sim.deliver(0, Event::Shutdown);
            sim.run_for(close_after - before_close);
            traffic.set_crashing_rate(100.0);
            traffic.run(&mut sim, ms(10));
            while sim.exited.is_empty() {
                sim.run_for(ms(1));
            }
            sim.kill(0);
            let crashes = sim.crashes.crashed.len();
            let open = sim.records.crashes.values().filter_map(|it| it.1.open.as_ref());
            let n_kept: usize = open.map(|it| it.crashes.len()).sum();
            // A quarantine that is kept explains them all.
            let n_found = sim.records.quarantine.len();
            let name = format!(
                "{n_before} crashes, another {before_close:?} before the close: {crashes} crashes, \
                 {n_kept} kept, {n_found} found"
            );
            println!("{name}");
            if crashes <= n_before || (n_kept < crashes && n_found == 0) {
                failed.push(name);
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The calls that crashes cost, with as many instances as there may be: none for a request.
#[test]
fn crashes_cost_few_calls() {
    const N_COLLECTORS: usize = 3;
    for n_instances in [1, 6, 300] {
        let mut sim = Simulation::new(n_instances);
        sim.add_engines(10);
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(25.0);
        traffic.run(&mut sim, ms(4_000));
        let [n_reads, ..] = sim.records.n_quarantine;
        assert_eq!((n_reads, sim.records.n_crashes), (n_instances, 0), "without crashes");
        traffic.start_crashing(&mut sim, Place::Middle, SLOW_RATE);
        traffic.run(&mut sim, ms(30_000));
        let n_crashes = sim.crashes.crashed.len();
        let [n_reads, n_records, n_removed] = sim.records.n_quarantine;
        let n_calls = n_reads - n_instances + n_records + n_removed + sim.records.n_crashes;
        println!("{n_instances} instances, {n_crashes} crashes: {n_calls} calls");
        assert_eq!(quarantined(&sim), [PART], "{n_instances} instances");
        // Each collector reads once where crashes begin, the first one writes behind each crash, and removes
        // the object; the quarantine itself costs four.
        let most = N_COLLECTORS.min(n_instances) * 2 + n_crashes + 1 + 4;
        assert!(n_calls <= most, "{n_instances} instances, {n_crashes} crashes: {n_calls} calls");
    }
}

/// Guards against a quarantine that comes late because the instances were just asked about what is only
/// kept.
#[test]
fn crashes_that_are_kept_delay_no_quarantine() {
    /// Silence, probe and inquiry, and a step of the traffic.
    const DECISION_TIME: Duration = ms(150 + 600 + 300 + 50);
    let mut failed = Vec::new();
    for seed in 0..20 {
        let mut sim = Simulation::new(1);
        sim.add_engines(20);
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(60.0).with_seed(seed);
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, Place::Middle, 3.0);
        while sim.crashes.crashed.len() < 5 {
            traffic.run(&mut sim, ms(10));
        }
        let fifth = sim.now;
        while quarantined(&sim).is_empty() && sim.now < fifth + ms(10_000) {
            traffic.run(&mut sim, ms(10));
        }
        let took = sim.now - fifth;
        if DECISION_TIME < took {
            failed.push(format!("seed {seed}: {took:?}, crashes at {:?}", sim.crashes.crashed));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
