//! Instances that die, start, are cut off or lose messages while a request crashes endpoints.

use ferry_model::{GatewayConfig, KeyOwner};
use ferry_serve::{Framing, QuarantineAction, RequestHead};

use crate::quarantine::faults::FAULTS;
use crate::quarantine::records::{MAX_BYTES, most_bytes, operate, quarantined, state_len};
use crate::quarantine::returns::{FIRST_DIGEST, Kind, Load, Place, STABLE_TIME};
use crate::quarantine::trouble::Trouble;
use crate::simulation::{
    Behaviour, CrashCause, CrashMoment, ENGINE, Ending, PLAIN, RecordStore, Simulation, config,
    head, ms,
};

const N_ENDPOINTS: usize = 10;
const CRASHING: CrashCause = CrashCause::Request(FIRST_DIGEST);

fn start(n_instances: usize, kind: Kind, seed: u64) -> (Simulation, Load) {
    let mut sim = Simulation::new(n_instances);
    sim.fill_pool(kind.pool(), N_ENDPOINTS);
    sim.crashes.moment = CrashMoment::Drawn;
    sim.crashes.n_events = 30;
    let mut load = Load::new(kind, 25.0).with_seed(seed);
    load.run(&mut sim, ms(4_000));
    (sim, load)
}

#[test]
fn faults_of_instances_let_no_crashing_request_through() {
    let mut failed = Vec::new();
    for case in FAULTS {
        for (kind, framing, gap, seed) in [
            (Kind::Resumable, Framing::Chunked, 300, 0),
            (Kind::Stream, Framing::Chunked, 1_000, 1),
            (Kind::Bare, Framing::Connection, 700, 2),
        ] {
            let (mut sim, mut load) = start(6, kind, seed);
            sim.crashes.framing = framing;
            load.start_crashing(&mut sim, 1, ms(gap), Place::AnyInstance);
            for number in 0..40 {
                (case.apply)(&mut sim, number);
                load.run(&mut sim, ms(500));
            }
            failed.extend(load.failures(&sim, &format!("{}, {kind:?}, {framing}", case.name)));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn crashing_request_is_found_although_a_collector_dies() {
    let mut failed = Vec::new();
    for victim in 0..6 {
        for after in [0, 600, 1_200] {
            let (mut sim, mut load) = start(6, Kind::Idempotent, after);
            load.start_crashing(&mut sim, 1, ms(500), Place::AnyInstance);
            load.run(&mut sim, ms(after));
            sim.kill(victim);
            load.run(&mut sim, ms(14_000));
            let name = format!("instance {victim} dies after {after} ms");
            failed.extend(load.failures(&sim, &name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Without any instance left that knew the request, and without its record, three crashes are enough again.
#[test]
fn crashing_request_is_learnt_again_after_all_instances_died() {
    let (mut sim, mut load) = start(6, Kind::Idempotent, 0);
    load.start_crashing(&mut sim, 1, ms(500), Place::AnyInstance);
    load.run(&mut sim, ms(8_000));
    assert_eq!(quarantined(&sim), [CRASHING]);
    (0..6).for_each(|it| sim.kill(it));
    sim.records = RecordStore::default();
    sim.run_for(ms(500));
    (0..6).for_each(|it| sim.start(it));
    let n_crashes = sim.crashes.crashed.len();
    load.run(&mut sim, ms(14_000));
    assert_eq!(quarantined(&sim), [CRASHING]);
    let after = sim.crashes.received_after(CRASHING, n_crashes + 3, STABLE_TIME);
    assert!(after.len() <= 3, "crashes at {:?}", sim.crashes.crashed);
}

/// An operator sets and lifts it; a lift starts from the beginning, and so does the end after a day.
#[test]
fn operator_and_time_end_the_quarantine_of_a_request() {
    let (mut sim, mut load) = start(3, Kind::Idempotent, 0);
    let is_refused = |sim: &mut Simulation, attempt: &str| {
        sim.arrive_same(1, attempt, FIRST_DIGEST, Kind::Idempotent.head(attempt, 0));
        sim.run_for(ms(3_000));
        let ending = &sim.outcome(attempt).ending;
        matches!(ending, Ending::Refused(it) if it.retry_after.is_none())
    };
    assert!(!is_refused(&mut sim, "before"));
    operate(&mut sim, 0, PLAIN, CRASHING, QuarantineAction::Set);
    sim.run_for(ms(100));
    assert!(is_refused(&mut sim, "set"));
    operate(&mut sim, 2, PLAIN, CRASHING, QuarantineAction::Lift);
    sim.run_for(ms(100));
    assert!(!is_refused(&mut sim, "lifted"));
    let mut n_crashes = 0;
    for pause in [ms(0), ms(24 * 3_600 * 1_000 + 60_000)] {
        sim.run_for(pause);
        assert_eq!(quarantined(&sim), []);
        load.start_crashing(&mut sim, 1, ms(500), Place::AnyInstance);
        load.run(&mut sim, ms(10_000));
        crate::quarantine::records::print_decisions(&sim);
        assert_eq!(quarantined(&sim), [CRASHING], "after {pause:?}");
        let after = sim.crashes.received_after(CRASHING, n_crashes + 3, STABLE_TIME);
        assert!(after.len() <= 3, "crashes at {:?}", sim.crashes.crashed);
        n_crashes = sim.crashes.crashed.len();
        load.stop();
    }
}

/// Guards against a quarantine that ends at once, as a later one explains the crashes of the former one of
/// the same request.
#[test]
fn request_that_crashes_endpoints_again_after_a_lift_is_in_quarantine_again() {
    for n_instances in [1, 3] {
        let (mut sim, mut load) = start(n_instances, Kind::Idempotent, 0);
        for number in 0..4 {
            load.start_crashing(&mut sim, 1, ms(500), Place::AnyInstance);
            load.run(&mut sim, ms(10_000));
            assert_eq!(quarantined(&sim), [CRASHING], "{n_instances} instances, lift {number}");
            load.stop();
            operate(&mut sim, 0, PLAIN, CRASHING, QuarantineAction::Lift);
            sim.run_for(ms(2_000));
        }
    }
}

#[test]
fn messages_about_crashing_requests_stay_within_their_bound() {
    for n_instances in [6, 76, 300, 470] {
        let (mut sim, mut load) = start(n_instances, Kind::Resumable, 0);
        load.start_crashing(&mut sim, 6, ms(300), Place::AnyInstance);
        for number in 0..10 {
            Trouble::KillInTurn.apply(&mut sim, number);
            load.run(&mut sim, ms(500));
        }
        let most = most_bytes(&sim);
        println!("{n_instances}: {most} B/s in a series of crashes");
        assert!(most <= MAX_BYTES, "{n_instances}: {most}");
    }
}

/// What an instance knows is bounded, however many distinct requests are broken off.
#[test]
fn distinct_requests_without_end_fill_no_memory() {
    let mut sim = Simulation::new(1);
    [PLAIN, ENGINE].iter().for_each(|it| sim.fill_pool(it, N_ENDPOINTS));
    let all = sim.ids(PLAIN).len() as u64;
    let mut lens = Vec::new();
    let mut n_requests = 0_u64;
    for _ in 0..3 {
        for step in 0..8_000_u64 {
            n_requests += 1;
            if step.is_multiple_of(100) {
                let number = step / 100;
                sim.kill_endpoint(&format!("{ENGINE}-{}", number % all));
                sim.set_behaviour(&format!("{PLAIN}-{}", number % all), Behaviour::Reset);
                sim.set_behaviour(&format!("{PLAIN}-{}", (number + 8) % all), Behaviour::Healthy);
            }
            let attempt = format!("attempt-{n_requests}");
            let kind = if step.is_multiple_of(2) { Kind::Stream } else { Kind::Idempotent };
            let mut head = kind.head(&attempt, n_requests);
            head.prompt.iter_mut().for_each(|it| it.id += 1_000 * n_requests);
            sim.arrive(0, &attempt, head);
            sim.run_for(ms(5));
        }
        sim.run_for(ms(10_000));
        lens.push(state_len(&sim, 0));
    }
    println!("{lens:?} bytes after {n_requests} requests");
    assert!(lens[2] * 10 <= lens[1] * 11, "{lens:?}");
    assert!(lens[2] <= 4_000_000, "{lens:?}");
}

/// Two keys of one workspace are one caller; the same request of another workspace is another one.
#[test]
fn request_is_known_by_its_workspace_and_not_by_its_key() {
    let owner = |workspace: &str| KeyOwner { workspace: workspace.to_owned(), priority: None };
    let keys = [("key", "workspace"), ("second", "workspace"), ("third", "other")];
    let keys = keys.into_iter().map(|(key, it)| (key.to_owned(), owner(it)));
    let config = GatewayConfig { keys: Some(keys.collect()), ..config(2) };
    let mut sim = Simulation::new(6);
    sim.fill_pool(PLAIN, N_ENDPOINTS);
    sim.spread(&std::sync::Arc::new(config));
    sim.run_for(ms(1_000));
    sim.crashes.requests = vec![FIRST_DIGEST];
    sim.crashes.spared = Some("other");
    let send = |sim: &mut Simulation, number: usize, key: &str, digest| {
        let attempt = format!("{key}-{number}-{digest}");
        let head =
            RequestHead { key: Some(key.to_owned()), prompt: Vec::new(), ..head("get", &attempt) };
        sim.arrive_same(number % 6, &attempt, digest, head);
        sim.run_for(ms(100));
        attempt
    };
    let mut sound = Vec::new();
    for number in 0..20 {
        send(&mut sim, number, ["key", "second"][number % 2], FIRST_DIGEST);
        sound.push(send(&mut sim, number, "third", FIRST_DIGEST));
        sound.push(send(&mut sim, number, "key", FIRST_DIGEST + 1));
        sim.run_for(ms(400));
    }
    let late = sim.crashes.received_after(CRASHING, 3, STABLE_TIME);
    assert!(late.len() <= 3, "{} late, crashes at {:?}", late.len(), sim.crashes.crashed);
    let last = &sound[sound.len() / 2..];
    let failed: Vec<&String> =
        last.iter().filter(|it| sim.outcome(it).ending != Ending::Answer).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
