//! The quarantine in the store, which outlives all instances.

use std::time::Duration;

use ferry_model::SortedMap;
use ferry_serve::{
    CrashCandidate, QuarantineAction, QuarantineReason, QuarantineState, RecordKey, StoredEntry,
    StoredRecord,
};

use crate::quarantine::records::{candidate, operate, quarantined};
use crate::quarantine::returns::{FIRST_DIGEST, Kind, Load, Place as At};
use crate::quarantine::traffic::{CRASHING, Place, Traffic};
use crate::simulation::{CrashCause, ENGINE, Ending, Simulation, StoreState, head, ms};

const PART: CrashCause = CrashCause::Part(CRASHING);
const REQUEST: CrashCause = CrashCause::Request(FIRST_DIGEST);
/// Crashing requests per second after the kill: too few for instances to learn of them while they are not
/// stable yet.
const SLOW_RATE: f64 = 0.4;
const DOWN_TIME: Duration = ms(500);
const STABLE_TIME: Duration = ms(3_000);
/// Time in which a change is in the store, with some seconds to look after it.
const STORE_TIME: Duration = ms(5_000);

fn kill_all(sim: &mut Simulation) {
    kill_all_beside(sim, None);
}

/// Kills all instances, which find the store in this state as they are back.
fn kill_all_beside(sim: &mut Simulation, state: Option<StoreState>) {
    (0..sim.instances.len()).for_each(|it| sim.kill(it));
    sim.is_first_start = false;
    sim.run_for(DOWN_TIME);
    set_store(sim, state);
    (0..sim.instances.len()).for_each(|it| sim.start(it));
}

fn set_store(sim: &mut Simulation, state: Option<StoreState>) {
    (0..sim.instances.len()).for_each(|it| sim.set_store(it, state));
}

fn key(cause: CrashCause) -> RecordKey {
    (ENGINE.to_owned(), candidate(cause))
}

/// Returns the stored state of a candidate.
fn stored(sim: &Simulation, cause: CrashCause) -> Option<QuarantineState> {
    sim.records.quarantine.get(&key(cause))?.record.map(|it| it.state)
}

/// Guards against a part that crashes endpoints again after all instances were killed.
#[test]
fn part_in_quarantine_reaches_no_endpoint_after_all_instances_were_killed() {
    struct Case {
        name: &'static str,
        n_instances: usize,
        /// The store as the instances are back.
        store: Option<StoreState>,
        /// What happens between the crashes and the end of all instances, and afterwards.
        before: fn(&mut Simulation, &mut Traffic),
        after: fn(&mut Simulation, &mut Traffic),
    }
    let quiet = |_: &mut Simulation, _: &mut Traffic| ();
    let cases = [
        Case { name: "one instance", n_instances: 1, store: None, before: quiet, after: quiet },
        Case { name: "six instances", n_instances: 6, store: None, before: quiet, after: quiet },
        Case { name: "sixty instances", n_instances: 60, store: None, before: quiet, after: quiet },
        Case {
            name: "a second kill",
            n_instances: 6,
            store: None,
            before: quiet,
            after: |sim, traffic| {
                traffic.run(sim, ms(300));
                kill_all(sim);
            },
        },
        Case {
            name: "the store is away as the part is found, and comes back",
            n_instances: 6,
            store: None,
            before: |sim, traffic| {
                set_store(sim, Some(StoreState::Silent));
                traffic.run(sim, ms(9_000));
                set_store(sim, None);
                traffic.run(sim, ms(4_000));
            },
            after: quiet,
        },
        Case {
            name: "two instances die as the part is found",
            n_instances: 6,
            store: None,
            before: |sim, traffic| {
                traffic.run(sim, ms(2_500));
                sim.kill(0);
                sim.kill(1);
                traffic.run(sim, ms(6_000));
            },
            after: quiet,
        },
        Case {
            name: "answers of the store are lost",
            n_instances: 6,
            store: None,
            before: |sim, traffic| {
                sim.records.lose_one_in = Some(2);
                traffic.run(sim, ms(9_000));
            },
            after: quiet,
        },
        Case {
            name: "the store comes back from a copy without the record",
            n_instances: 6,
            store: None,
            before: |sim, traffic| {
                let copy = sim.records.clone();
                traffic.run(sim, ms(9_000));
                sim.restore_records(copy);
                traffic.run(sim, ms(6_000));
            },
            after: quiet,
        },
        Case {
            name: "the store is away as the instances start",
            n_instances: 6,
            store: Some(StoreState::Refuses),
            before: quiet,
            after: |sim, traffic| {
                traffic.run(sim, ms(1_000));
                set_store(sim, None);
            },
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let mut sim = Simulation::new(case.n_instances);
        sim.add_engines(10);
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(25.0);
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, Place::Middle, 3.0);
        (case.before)(&mut sim, &mut traffic);
        traffic.run(&mut sim, ms(9_000));
        assert_eq!(quarantined(&sim), [PART], "{}", case.name);
        kill_all_beside(&mut sim, case.store);
        traffic.set_crashing_rate(SLOW_RATE);
        (case.after)(&mut sim, &mut traffic);
        let from = sim.now + STABLE_TIME;
        traffic.run(&mut sim, ms(28_000));
        let late = sim.crashes.received.iter().filter(|it| from < it.at).count();
        let late_before = sim.crashes.received_after(PART, 5, STABLE_TIME);
        let n_late = late_before.iter().filter(|it| it.at <= from).count();
        println!("{}: {late} late after the kill, {n_late} before", case.name);
        if 0 < late || quarantined(&sim) != [PART] {
            failed.push(format!("{}: {late} late, {:?}", case.name, sim.crashes.crashed));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against crashes that are counted anew after a kill of all instances, before the part is in
/// quarantine.
#[test]
fn part_is_found_soon_although_all_instances_are_killed_at_its_fifth_crash() {
    let mut failed = Vec::new();
    for (n_instances, n_crashes) in [(1, 5), (6, 3), (6, 5), (60, 5)] {
        let mut sim = Simulation::new(n_instances);
        sim.add_engines(10);
        sim.crashes.n_events = 30;
        let mut traffic = Traffic::new(25.0);
        traffic.run(&mut sim, ms(4_000));
        traffic.start_crashing(&mut sim, Place::Middle, SLOW_RATE);
        while sim.crashes.crashed.len() < n_crashes {
            traffic.run(&mut sim, ms(10));
        }
        kill_all(&mut sim);
        traffic.run(&mut sim, ms(60_000));
        let late = sim.crashes.received_after(PART, 5, DOWN_TIME + STABLE_TIME).len();
        println!("{n_instances} instances, killed at crash {n_crashes}: {late} late");
        if 3 < late {
            failed.push(format!("{n_instances} instances, crash {n_crashes}: {late} late"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The same for a request as a whole.
#[test]
fn request_in_quarantine_reaches_no_endpoint_after_all_instances_were_killed() {
    for kind in [Kind::Idempotent, Kind::Resumable, Kind::Items] {
        let mut sim = Simulation::new(6);
        sim.fill_pool(kind.pool(), 10);
        sim.crashes.n_events = 30;
        let mut load = Load::new(kind, 25.0);
        load.run(&mut sim, ms(4_000));
        load.start_crashing(&mut sim, 1, ms(2_000), At::AnyInstance);
        load.run(&mut sim, ms(14_000));
        assert_eq!(quarantined(&sim), [REQUEST], "{kind:?}");
        kill_all(&mut sim);
        let from = sim.now + STABLE_TIME;
        load.run(&mut sim, ms(14_000));
        let late = sim.crashes.received.iter().filter(|it| from < it.at).count();
        assert_eq!(late, 0, "{kind:?}: {:?}", sim.crashes.crashed);
        assert_eq!(quarantined(&sim), [REQUEST], "{kind:?}");
    }
}

/// Guards against a lift that ends when instances, the store or messages fail.
#[test]
fn lift_of_an_operator_holds_whatever_fails_beside_it() {
    struct Case {
        name: &'static str,
        /// What happens before the lift, and after it.
        before: fn(&mut Simulation),
        after: fn(&mut Simulation),
    }
    let quiet = |_: &mut Simulation| ();
    let cases = [
        Case { name: "all are killed", before: quiet, after: kill_all },
        Case {
            name: "an instance is frozen meanwhile",
            before: |sim| sim.freeze(2),
            after: |sim| {
                sim.thaw(2);
                sim.run_for(ms(500));
                kill_all(sim);
            },
        },
        Case {
            name: "an instance is frozen meanwhile, and alone for some seconds afterwards",
            before: |sim| sim.freeze(2),
            after: |sim| {
                (0..6).filter(|it| *it != 2).for_each(|it| sim.kill(it));
                sim.thaw(2);
                sim.run_for(ms(9_000));
                (0..6).filter(|it| *it != 2).for_each(|it| sim.start(it));
                sim.run_for(ms(3_000));
                kill_all(sim);
            },
        },
        Case {
            name: "the store comes back from a copy without it",
            before: quiet,
            after: |sim| {
                let mut copy = sim.records.clone();
                let entry = copy.quarantine.get_mut(&key(PART)).expect("it is stored");
                let record = entry.record.as_mut().expect("it can be read");
                (record.state, record.version) = (QuarantineState::Quarantined, 1);
                sim.restore_records(copy);
                sim.run_for(ms(9_000));
                kill_all(sim);
            },
        },
        Case {
            name: "the store is away meanwhile",
            before: |sim| set_store(sim, Some(StoreState::Silent)),
            after: |sim| {
                sim.run_for(ms(20_000));
                set_store(sim, None);
                sim.run_for(ms(6_000));
                kill_all(sim);
            },
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(6);
        operate(&mut sim, 0, ENGINE, PART, QuarantineAction::Set);
        sim.run_for(STORE_TIME);
        assert_eq!(stored(&sim, PART), Some(QuarantineState::Quarantined), "{}", case.name);
        (case.before)(&mut sim);
        operate(&mut sim, 1, ENGINE, PART, QuarantineAction::Lift);
        sim.run_for(STORE_TIME);
        (case.after)(&mut sim);
        sim.run_for(STORE_TIME);
        assert_eq!(quarantined(&sim), [], "{}", case.name);
        assert_eq!(stored(&sim, PART), Some(QuarantineState::Lifted), "{}", case.name);
    }
}

/// An instance serves while the store does not answer it, and knows the records once it does.
#[test]
fn start_waits_for_no_record() {
    let mut sim = Simulation::new(3);
    operate(&mut sim, 0, ENGINE, CrashCause::Part(7), QuarantineAction::Set);
    sim.run_for(STORE_TIME);
    kill_all_beside(&mut sim, Some(StoreState::Silent));
    sim.arrive(1, "early", head("stream", "early"));
    sim.run_for(ms(3_000));
    assert_eq!(sim.outcome("early").ending, Ending::Stream);
    set_store(&mut sim, None);
    sim.run_for(ms(1_500));
    sim.arrive(1, "late", head("stream", "late"));
    sim.run_for(ms(3_000));
    assert!(matches!(sim.outcome("late").ending, Ending::Refused(_)));
}

/// Entries that cannot be read say nothing, cost nothing else and stay as they are.
#[test]
fn unreadable_entry_costs_only_itself() {
    let mut sim = Simulation::new(3);
    let foreign = StoredEntry { key: key(CrashCause::Part(8)), record: None, revision: Some(1) };
    sim.records.quarantine.insert(foreign.key.clone(), foreign.clone());
    operate(&mut sim, 0, ENGINE, CrashCause::Part(7), QuarantineAction::Set);
    sim.run_for(STORE_TIME);
    kill_all(&mut sim);
    sim.run_for(STORE_TIME);
    assert_eq!(quarantined(&sim), [CrashCause::Part(7)]);
    operate(&mut sim, 0, ENGINE, CrashCause::Part(8), QuarantineAction::Set);
    sim.run_for(ms(70_000));
    let calls = sim.records.n_quarantine;
    sim.run_for(ms(600_000));
    assert_eq!(sim.records.quarantine.get(&foreign.key), Some(&foreign));
    assert_eq!(sim.records.n_quarantine, calls, "calls go on for an entry that stays");
    assert_eq!(quarantined(&sim).len(), 2);
}

/// The calls that a change costs, and a start, with as many instances as there may be.
#[test]
fn records_cost_few_calls() {
    struct Case {
        n_instances: usize,
        /// Most reads, writes and removals of one change, after all have started.
        most: [usize; 3],
    }
    for Case { n_instances, most } in [
        Case { n_instances: 1, most: [1, 1, 0] },
        Case { n_instances: 6, most: [3, 1, 0] },
        Case { n_instances: 300, most: [3, 1, 0] },
    ] {
        let mut sim = Simulation::new(n_instances);
        assert_eq!(sim.records.n_quarantine, [n_instances, 0, 0], "a start is one read");
        for (number, action) in [QuarantineAction::Set, QuarantineAction::Lift].iter().enumerate() {
            let before = sim.records.n_quarantine;
            operate(&mut sim, 0, ENGINE, CrashCause::Part(7), *action);
            sim.run_for(ms(70_000));
            let calls: Vec<usize> = sim
                .records
                .n_quarantine
                .iter()
                .zip(before)
                .map(|(it, before)| it - before)
                .collect();
            println!("{n_instances} instances, change {number}: {calls:?}");
            assert!(calls.iter().zip(most).all(|it| *it.0 <= it.1), "{n_instances}: {calls:?}");
            assert_eq!(calls[1], 1, "{n_instances}: {calls:?}");
        }
    }
}

/// More records than an instance keeps: the newest are known, and the others leave the store.
#[test]
fn store_has_no_more_records_than_an_instance() {
    const MAX_RECORDS: usize = 256;
    let mut sim = Simulation::new(3);
    let record = |number: u64| {
        let state = match number.is_multiple_of(2) {
            true => QuarantineState::Lifted,
            false => QuarantineState::Quarantined,
        };
        let (reason, age) = (QuarantineReason::Operator, ms(1_000 * (400 - number)));
        StoredRecord { state, reason, version: 1, age }
    };
    let entries: SortedMap<RecordKey, StoredEntry> = (0..400)
        .map(|it| {
            let key = (ENGINE.to_owned(), CrashCandidate::Part(it));
            (key.clone(), StoredEntry { key, record: Some(record(it)), revision: Some(it + 1) })
        })
        .collect();
    sim.records.quarantine = entries;
    kill_all(&mut sim);
    sim.run_for(ms(120_000));
    assert!(sim.records.quarantine.len() <= MAX_RECORDS, "{}", sim.records.quarantine.len());
    assert_eq!(quarantined(&sim).len(), 200);
    let calls = sim.records.n_quarantine;
    sim.run_for(ms(300_000));
    assert_eq!(sim.records.n_quarantine, calls, "calls go on without a change");
}
