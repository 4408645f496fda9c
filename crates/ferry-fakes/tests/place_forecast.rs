//! Capacity is loaded before a burst that recurs daily, and is released slowly.

use std::time::Duration;

use ferry_core::Tuning;
use ferry_fakes::{Deployment, DeploymentName, FakeEntries, World};
use ferry_model::Moment;

const SECOND: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(240);
/// Time of the day at which the burst comes, and its length.
const BURST: Moment = Duration::from_secs(120);
const BURST_LENGTH: Duration = Duration::from_secs(20);
const HOLD: Duration = Duration::from_secs(15);

struct Case {
    name: &'static str,
    forecast: bool,
    /// Whether the lease holder dies after the first day; the next one has only the stored history.
    holder_dies: bool,
    /// Whether all endpoints are loaded when the burst comes.
    ready: bool,
}

const CASES: [Case; 3] = [
    Case { name: "forecast", forecast: true, holder_dies: false, ready: true },
    Case { name: "forecast by a new holder", forecast: true, holder_dies: true, ready: true },
    Case { name: "recent demand only", forecast: false, holder_dies: false, ready: false },
];

#[test]
fn capacity_for_a_daily_burst_is_loaded_before_it_comes() {
    for case in CASES {
        let mut tuning = Tuning::default();
        tuning.place.day_length = DAY;
        tuning.place.hold_time = HOLD;
        tuning.place.lookahead = 40 * SECOND;
        tuning.place.forecast = case.forecast;
        let deployment = Deployment::new(DeploymentName::Ikenna);
        let mut world = World::with_deployment(&deployment, 0, &tuning, 3).expect("valid");
        let mut entries = FakeEntries::new(&mut world, 2);
        let mut controls = vec![world.add_node(deployment.control(0, 3), tuning.clone(), 31)];

        entries.set_concurrency("drafting", 8);
        entries.run(&mut world, &controls, BURST);
        assert_eq!(world.n_loaded("drafting"), 5, "{}: the floor before the burst", case.name);
        entries.set_concurrency("drafting", 70);
        entries.run(&mut world, &controls, BURST_LENGTH);
        entries.set_concurrency("drafting", 8);
        entries.run(&mut world, &controls, HOLD / 2);
        let n_loaded = world.n_loaded("drafting");
        assert!(7 <= n_loaded, "{}: {n_loaded} loaded right after the burst", case.name);
        let rest_of_day = DAY - world.now;
        entries.run(&mut world, &controls, rest_of_day);
        assert_eq!(world.n_loaded("drafting"), 5, "{}: the floor at the end of the day", case.name);

        if case.holder_dies {
            world.kill(controls[0]);
            let mut tuning = tuning.clone();
            tuning.place.started_at = world.now.as_millis() as u64;
            controls = vec![world.add_node(deployment.control(1, 3), tuning, 32)];
        }
        entries.run(&mut world, &controls, BURST);
        let is_ready = world.n_loaded("drafting") == 10;
        assert_eq!(is_ready, case.ready, "{}: when the burst comes again", case.name);
    }
}
