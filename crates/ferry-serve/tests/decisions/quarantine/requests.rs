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
