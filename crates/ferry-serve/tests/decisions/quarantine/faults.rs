//! Instances that die, start, are cut off or lose messages while a part crashes engines.

use ferry_serve::{CrashCandidate, Framing, PeerMessage, QuarantineAction};

use crate::quarantine::records::{operate, quarantined};
use crate::quarantine::traffic::{CRASHING, Place, Traffic};
use crate::quarantine::trouble::Trouble;
use crate::simulation::{CrashCause, ENGINE, RecordStore, Simulation, ms};

/// What happens to the instances, in steps of half a second from the first crash on.
pub struct FaultCase {
    pub name: &'static str,
    pub apply: fn(&mut Simulation, usize),
}

pub const FAULTS: [FaultCase; 8] = [
    FaultCase {
        name: "two instances die and come back",
        apply: |sim, number| match number {
            1 | 3 => sim.kill(number),
            7 => [1, 3].into_iter().for_each(|it| sim.start(it)),
            _ => (),
        },
    },
    FaultCase {
        name: "an instance starts later",
        apply: |sim, number| match number {
            0 => sim.kill(2),
            14 => sim.start(2),
            _ => (),
        },
    },
    FaultCase {
        name: "an instance is cut off for five seconds",
        apply: |sim, number| match number {
            0 => sim.isolated = vec![4],
            10 => sim.isolated.clear(),
            _ => (),
        },
    },
    FaultCase { name: "one in ten messages is lost", apply: |sim, _| sim.drop_one_in = Some(10) },
    FaultCase {
        name: "engines are killed beside",
        apply: |sim, number| Trouble::KillOne.apply(sim, number),
    },
    FaultCase {
        name: "engines are released beside",
        apply: |sim, number| Trouble::Release.apply(sim, number),
    },
    FaultCase {
        name: "answers break off beside",
        apply: |sim, number| Trouble::BrokenAnswers.apply(sim, number),
    },
    FaultCase {
        name: "an instance loses its connections beside",
        apply: |sim, number| Trouble::ResetInstance.apply(sim, number),
    },
];

#[test]
fn faults_of_instances_let_no_crashing_part_through() {
    for case in FAULTS {
        for (framing, rate, seed) in
            [(Framing::Chunked, 3.0, 0), (Framing::Chunked, 1.0, 1), (Framing::Connection, 3.0, 2)]
        {
            let mut sim = Simulation::new(6);
            sim.add_engines(10);
            sim.crashes.framing = framing;
            sim.crashes.n_events = 30;
            let mut traffic = Traffic::new(25.0).with_seed(seed);
            traffic.run(&mut sim, ms(4_000));
            traffic.start_crashing(&mut sim, Place::Middle, rate);
            for number in 0..40 {
                (case.apply)(&mut sim, number);
                traffic.run(&mut sim, ms(500));
            }
            traffic.check(&sim, &format!("{}, {framing}, {rate}, {seed}", case.name));
        }
    }
}

#[test]
fn crashing_part_is_found_although_a_collector_dies() {
    for victim in 0..6 {
        for after in [0, 600, 1_200] {
            let mut sim = Simulation::new(6);
            sim.add_engines(10);
            sim.crashes.n_events = 30;
            let mut traffic = Traffic::new(25.0).with_seed(after);
            traffic.run(&mut sim, ms(4_000));
            traffic.start_crashing(&mut sim, Place::NextToLast, 3.0);
            traffic.run(&mut sim, ms(after));
            sim.kill(victim);
            traffic.run(&mut sim, ms(16_000));
            traffic.check(&sim, &format!("instance {victim} dies after {after} ms"));
        }
    }
}

/// All instances have the same records a few seconds after the last change.
#[test]
fn instances_that_missed_a_quarantine_learn_it() {
    let mut sim = Simulation::new(12);
    sim.add_engines(6);
    sim.isolated = vec![5];
    sim.kill(6);
    sim.run_for(ms(2_000));
    operate(&mut sim, 0, ENGINE, CrashCause::Part(CRASHING), QuarantineAction::Set);
    sim.run_for(ms(100));
    let knows = |sim: &Simulation, it: usize| {
        let gateway = sim.instances[it].as_ref().expect("it runs");
        gateway.quarantine().is_quarantined("engine", CrashCandidate::Part(CRASHING))
    };
    let unaware: Vec<usize> = (0..12).filter(|it| *it != 6 && !knows(&sim, *it)).collect();
    assert_eq!(unaware, [5]);
    sim.isolated.clear();
    sim.start(6);
    sim.run_for(ms(1_500));
    assert!((0..12).all(|it| knows(&sim, it)));
    assert_eq!(quarantined(&sim), [CrashCause::Part(CRASHING)]);
}

/// Without any instance left that knew the part, and without its record, it is learnt again.
#[test]
fn part_is_learnt_again_after_all_instances_died() {
    let mut sim = Simulation::new(6);
    sim.add_engines(10);
    sim.crashes.n_events = 30;
    let mut traffic = Traffic::new(25.0);
    traffic.run(&mut sim, ms(4_000));
    traffic.start_crashing(&mut sim, Place::Middle, 3.0);
    traffic.run(&mut sim, ms(8_000));
    assert_eq!(quarantined(&sim), [CrashCause::Part(CRASHING)]);
    (0..6).for_each(|it| sim.kill(it));
    sim.records = RecordStore::default();
    sim.run_for(ms(500));
    (0..6).for_each(|it| sim.start(it));
    let n_crashes = sim.crashes.crashed.len();
    traffic.run(&mut sim, ms(14_000));
    assert_eq!(quarantined(&sim), [CrashCause::Part(CRASHING)]);
    let after = sim.crashes.received_after(CrashCause::Part(CRASHING), n_crashes + 5, ms(3_000));
    assert_eq!(after.len(), 0, "crashes at {:?}", sim.crashes.crashed);
}

#[test]
fn old_heartbeats_and_notices_change_nothing() {
    let mut sim = Simulation::new(2);
    let cause = CrashCause::Part(CRASHING);
    operate(&mut sim, 0, ENGINE, cause, QuarantineAction::Set);
    sim.run_for(ms(100));
    let record = ferry_serve::QuarantineNotice {
        pool: "engine".to_owned(),
        candidate: CrashCandidate::Part(CRASHING),
        state: ferry_serve::QuarantineState::Quarantined,
        reason: ferry_serve::QuarantineReason::Operator,
        version: 1,
        age: ms(100),
        idle: ms(100),
    };
    operate(&mut sim, 0, ENGINE, cause, QuarantineAction::Lift);
    sim.run_for(ms(100));
    assert_eq!(quarantined(&sim), Vec::<CrashCause>::new());
    let from = crate::simulation::peer(1);
    let message = PeerMessage::Quarantine(vec![record]);
    sim.deliver(0, ferry_serve::Event::Peer { from, message });
    sim.run_for(ms(1_500));
    assert_eq!(quarantined(&sim), Vec::<CrashCause>::new());
}

/// An operator's record refuses requests at once, with no time to retry, until it is lifted; a part of
/// which nothing was heard for a day is lifted by itself.
#[test]
fn operator_and_time_end_a_quarantine() {
    let mut sim = Simulation::new(3);
    let cause = CrashCause::Part(7);
    let is_refused = |sim: &mut Simulation, instance: usize, attempt: &str| {
        sim.arrive(instance, attempt, crate::simulation::head("stream", attempt));
        sim.run_for(ms(3_000));
        let ending = &sim.outcome(attempt).ending;
        matches!(ending, crate::simulation::Ending::Refused(it) if it.retry_after.is_none())
    };
    assert!(!is_refused(&mut sim, 1, "before"));
    operate(&mut sim, 0, ENGINE, cause, QuarantineAction::Set);
    sim.run_for(ms(100));
    assert!(is_refused(&mut sim, 1, "set"));
    operate(&mut sim, 2, ENGINE, cause, QuarantineAction::Lift);
    sim.run_for(ms(100));
    assert!(!is_refused(&mut sim, 1, "lifted"));
    operate(&mut sim, 0, ENGINE, cause, QuarantineAction::Set);
    sim.run_for(ms(100));
    let day = ms(24 * 3_600 * 1_000);
    let mut quarantine = sim.instances[0].as_ref().expect("it runs").quarantine().clone();
    assert!(quarantine.expire(sim.now + day / 2).is_empty());
    assert_eq!(quarantine.expire(sim.now + day).len(), 1);
    assert!(!quarantine.is_quarantined("engine", CrashCandidate::Part(7)));
}
