//! Requests that crash each endpoint which runs them, and come back.

use ferry_serve::Framing;

use crate::quarantine::returns::{Kind, Load, Place};
use crate::simulation::{CrashMoment, FIRST, SECOND, Simulation, ms};

const N_ENDPOINTS: usize = 8;
const SOUND_RATE: f64 = 25.0;

#[derive(Debug)]
struct Case {
    n_instances: usize,
    kind: Kind,
    /// Milliseconds between two attempts.
    gap: u64,
    moment: CrashMoment,
    framing: Framing,
    place: Place,
    /// Requests that crash endpoints, at once.
    n_crashing: usize,
}

impl Case {
    fn failures(&self) -> Vec<String> {
        let mut sim = Simulation::new(self.n_instances);
        sim.fill_pool(self.kind.pool(), N_ENDPOINTS);
        if self.kind == Kind::Items {
            sim.crashes.pools = vec![FIRST, SECOND];
            sim.crashes.pools.clone().into_iter().for_each(|it| sim.fill_pool(it, N_ENDPOINTS));
        }
        sim.crashes.framing = self.framing;
        sim.crashes.moment = self.moment;
        sim.crashes.n_events = 30;
        let mut load = Load::new(self.kind, SOUND_RATE);
        load.run(&mut sim, ms(4_000));
        load.start_crashing(&mut sim, self.n_crashing, ms(self.gap), self.place);
        load.run(&mut sim, ms(14_000 + 4 * self.gap));
        load.failures(&sim, &format!("{self:?}"))
    }
}

#[test]
fn request_that_crashes_endpoints_reaches_few_of_them() {
    let (chunked, connection) = (Framing::Chunked, Framing::Connection);
    let (any, same) = (Place::AnyInstance, Place::SameInstance);
    let (drawn, slow) = (CrashMoment::Drawn, CrashMoment::SLOW);
    let (head, end) = (CrashMoment::BeforeHead, CrashMoment::BeforeEnd);
    let case = |n_instances, kind, gap, moment, framing, place, n_crashing| Case {
        n_instances,
        kind,
        gap,
        moment,
        framing,
        place,
        n_crashing,
    };
    let cases = [
        case(1, Kind::Idempotent, 300, drawn, chunked, same, 1),
        case(1, Kind::Stream, 1_000, slow, chunked, same, 1),
        case(6, Kind::Idempotent, 1_000, drawn, chunked, any, 1),
        case(6, Kind::Idempotent, 300, drawn, chunked, same, 2),
        case(6, Kind::NonIdempotent, 1_000, drawn, chunked, any, 1),
        case(6, Kind::NonIdempotent, 5_000, drawn, chunked, any, 1),
        case(6, Kind::Resumable, 1_000, drawn, chunked, any, 2),
        case(6, Kind::Resumable, 300, end, chunked, any, 1),
        case(6, Kind::Resumable, 1_000, head, connection, any, 1),
        case(6, Kind::Stream, 1_000, CrashMoment::AtHead, chunked, any, 1),
        case(6, Kind::Stream, 300, drawn, connection, any, 1),
        case(6, Kind::Stream, 5_000, slow, chunked, any, 1),
        case(6, Kind::Bare, 1_000, drawn, chunked, any, 1),
        case(6, Kind::Bare, 1_000, end, connection, same, 1),
        case(6, Kind::Items, 1_000, drawn, chunked, any, 1),
        case(76, Kind::Idempotent, 300, drawn, chunked, any, 2),
        case(76, Kind::Resumable, 1_000, drawn, chunked, any, 1),
        case(76, Kind::Bare, 1_000, drawn, connection, any, 1),
        case(300, Kind::NonIdempotent, 300, drawn, chunked, any, 1),
        case(300, Kind::Stream, 1_000, drawn, chunked, any, 1),
        case(470, Kind::Idempotent, 1_000, drawn, chunked, any, 1),
    ];
    let failed: Vec<String> = cases.iter().flat_map(Case::failures).collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Both are in progress at the same moments, and only one of them crashes endpoints.
#[test]
fn sound_request_beside_one_that_crashes_endpoints_stays_served() {
    let mut failed = Vec::new();
    for kind in [Kind::Idempotent, Kind::Resumable, Kind::Bare] {
        for (n_instances, gap, sound_gap, seed) in
            [(1, 1_000, 300, 0), (1, 700, 700, 1), (6, 300, 1_000, 2), (6, 1_000, 1_000, 3)]
        {
            let mut sim = Simulation::new(n_instances);
            sim.fill_pool(kind.pool(), N_ENDPOINTS);
            sim.crashes.moment = CrashMoment::Drawn;
            sim.crashes.n_events = 30;
            let mut load = Load::new(kind, 10.0).with_seed(seed);
            load.run(&mut sim, ms(4_000));
            load.start_crashing(&mut sim, 1, ms(gap), Place::SameInstance);
            load.add_returning(sim.now, ms(sound_gap), Place::SameInstance);
            load.run(&mut sim, ms(14_000));
            let name = format!("{kind:?}, {n_instances} instances, {gap} and {sound_gap} ms");
            failed.extend(load.failures(&sim, &name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// What is known of it must outlive what is known of many others whose answers break off.
#[test]
fn request_that_crashes_endpoints_is_found_beside_many_distinct_ones() {
    let mut failed = Vec::new();
    for (n_instances, kind, rate) in
        [(1, Kind::Idempotent, 300.0), (1, Kind::Stream, 100.0), (6, Kind::Resumable, 150.0)]
    {
        let mut sim = Simulation::new(n_instances);
        sim.fill_pool(kind.pool(), 2 * N_ENDPOINTS);
        sim.crashes.moment = CrashMoment::Drawn;
        sim.crashes.n_events = 30;
        sim.crashes.break_one_in = Some(5);
        let mut load = Load::new(kind, rate);
        load.run(&mut sim, ms(4_000));
        load.start_crashing(&mut sim, 1, ms(2_000), Place::AnyInstance);
        load.run(&mut sim, ms(20_000));
        failed.extend(load.failures(&sim, &format!("{kind:?}, {n_instances} instances, {rate}/s")));
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
