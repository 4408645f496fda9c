//! Short soak runs with fixed seeds.

use std::time::Duration;

use ferry_soak::checker::crashes::CauseCounts;
use ferry_soak::config::Route;
use ferry_soak::crash::Cause;
use ferry_soak::repeats::{Repeats, start_repeats};
use ferry_soak::soak::{N_CALLERS, start_callers};
use ferry_soak::{Only, Release, SoakOptions};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use crate::harness::{directory, gateway, net, with_engines};

/// A seed, and the reason for testing it.
struct Case {
    seed: u64,
    /// Seconds in which faults come.
    seconds: u64,
    reason: &'static str,
}

const CASES: [Case; 6] = [
    Case { seed: 1, seconds: 6, reason: "random seed" },
    Case { seed: 2, seconds: 6, reason: "random seed" },
    Case { seed: 9004, seconds: 6, reason: "streams that ended inside an event looked complete" },
    Case { seed: 9104, seconds: 6, reason: "streams went on at another build" },
    Case { seed: 9900, seconds: 8, reason: "a limit was forgotten when an entry came" },
    Case { seed: 9906, seconds: 8, reason: "a limit was forgotten when an entry came" },
];

/// Seeds with which streams ended because their endpoint was silent for a moment.
const CALM_SEEDS: [u64; 2] = [40, 42];

/// Seeds, and numbers of gateways, with entries that cannot be read.
const ENTRY_SEEDS: [(u64, usize); 2] = [(1, 1), (21, 3)];

/// Seed with which zones are evacuated beside kills and an outage.
const EVACUATION_SEED: u64 = 9_001;
/// Seed with which all gateways are killed several times.
const HERD_SEED: u64 = 1;

#[test]
fn guarantees_hold_under_random_faults() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let mut n_limited = 0;
    for case in CASES {
        let options = options(case.seed, case.seconds, None);
        let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
        let report = report.expect("the soak runs");
        assert!(report.is_ok(), "seed {} ({}): {report:#?}", case.seed, case.reason);
        assert!(100 <= report.under_faults.served, "seed {}: {report:#?}", case.seed);
        n_limited += report.n_limited;
    }
    assert!(0 < n_limited, "no endpoint with a rate limit got a request");
}

#[test]
fn no_answer_is_lost_while_endpoints_are_silent_for_a_moment() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let [first, second] = CALM_SEEDS.map(|seed| options(seed, 4, Some(Only::Pauses)));
    let runs = async { tokio::join!(ferry_soak::run(&first), ferry_soak::run(&second)) };
    let (first, second) = LocalSet::new().block_on(&runtime, runs);
    for (seed, report) in CALM_SEEDS.into_iter().zip([first, second]) {
        let report = report.expect("the soak runs");
        assert!(report.is_ok(), "seed {seed}: {report:#?}");
        assert!(100 <= report.under_faults.served, "seed {seed}: {report:#?}");
    }
}

#[test]
fn endpoints_get_what_they_ask_for_beside_entries_that_cannot_be_read() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    for (seed, n_nodes) in ENTRY_SEEDS {
        let options = SoakOptions { n_nodes, ..options(seed, 10, Some(Only::Entries)) };
        let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
        let report = report.expect("the soak runs");
        assert!(report.is_ok(), "seed {seed}: {report:#?}");
        let is_played = 0 < report.pauses.asked && 0 < report.n_closed;
        assert!(is_played, "seed {seed}: {report:#?}");
    }
}

#[test]
fn evacuated_zones_get_nothing_beside_outages_and_kills() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let options = options(EVACUATION_SEED, 20, Some(Only::Evacuations));
    let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
    let report = report.expect("the soak runs");
    assert!(report.is_ok(), "seed {EVACUATION_SEED}: {report:#?}");
    assert!(100 <= report.under_faults.served, "seed {EVACUATION_SEED}: {report:#?}");
}

#[test]
fn streams_go_on_after_all_gateways_were_killed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let options = options(HERD_SEED, 10, Some(Only::Herds));
    let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
    let report = report.expect("the soak runs");
    assert!(report.is_ok(), "seed {HERD_SEED}: {report:#?}");
    assert!(0 < report.take_ups.0, "seed {HERD_SEED}: {report:#?}");
}

/// A release that speaks the format of messages before the current one.
#[test]
fn guarantees_hold_while_gateways_are_replaced_by_another_release() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    let own = directory("soak-upgrade").with_extension("ini");
    std::fs::write(&own, "[peers]\nformat = 2\n").expect("the settings are written");
    let other = Some(Release { gateway: gateway(), own: Some(own) });
    let options = SoakOptions { other, ..options(1, 24, Some(Only::Upgrades)) };
    let report = LocalSet::new().block_on(&runtime, ferry_soak::run(&options));
    let report = report.expect("the soak runs");
    assert!(report.is_ok(), "{report:#?}");
    assert!(100 <= report.under_faults.served, "{report:#?}");
}

fn options(seed: u64, seconds: u64, only: Option<Only>) -> SoakOptions {
    let kind = only.map_or("all".to_owned(), |it| format!("{it:?}"));
    SoakOptions {
        seed,
        duration: Duration::from_secs(seconds),
        n_nodes: 3,
        gateway: gateway(),
        directory: directory(&format!("soak-{kind}-{seed}")),
        net: net(),
        only,
        other: None,
        has_crashes: false,
    }
}

/// Time for which no prompt crashes engines, so that the usual share is known.
const SOUND_TIME: Duration = Duration::from_millis(1_500);
/// Time for which some prompts do; long enough for the limits that follow the fifth crash.
const CRASH_TIME: Duration = Duration::from_millis(8_800);
/// Time to receive the last responses.
const END_TIME: Duration = Duration::from_millis(800);
/// Number of engines; with a few only, none would be up for long enough.
const N_ENGINES: usize = 6;

#[test]
fn part_that_crashes_engines_stops_reaching_them() {
    with_engines("soak-crashes", 3, N_ENGINES, async |cluster| {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let is_over = start_callers(&cluster, &mut rng, N_CALLERS);
        sleep(SOUND_TIME).await;
        cluster.start_crashes(1);
        sleep(CRASH_TIME).await;
        let until = Instant::now();
        sleep(END_TIME).await;
        is_over.replace(true);
        let counts = cluster.checker.count_crashes(until);
        assert!(counts.causes.iter().any(|it| 0 < it.n_crashes), "{counts:?}");
        assert_eq!(counts.violations(), Vec::<String>::new(), "{counts:?}");
        assert!(counts.streams.are_served(), "{counts:?}");
        assert_eq!(cluster.checker.violations(), Vec::<String>::new());
    });
}

/// Time for which requests that crash endpoints come again; the pool of the plain ones has three, which
/// may all be down after the third crash.
const REPEAT_TIME: Duration = Duration::from_millis(12_500);

#[test]
fn request_that_crashes_endpoints_stops_reaching_them() {
    struct Case {
        seed: u64,
        crashing: [Route; 2],
    }
    let cases = [
        Case { seed: 1, crashing: [Route::Get, Route::Once] },
        Case { seed: 2, crashing: [Route::Post, Route::Stream] },
    ];
    for Case { seed, crashing } in cases {
        with_engines(&format!("soak-repeats-{seed}"), 3, N_ENGINES, async |cluster| {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let is_over = start_callers(&cluster, &mut rng, N_CALLERS);
            sleep(SOUND_TIME).await;
            cluster.seed_crashes(seed);
            let repeats = Repeats { crashing: crashing.to_vec(), ..Repeats::draw(seed) };
            start_repeats(&cluster, &repeats, seed, &is_over);
            sleep(REPEAT_TIME).await;
            let until = Instant::now();
            sleep(END_TIME).await;
            is_over.replace(true);
            let counts = cluster.checker.count_crashes(until);
            assert_eq!(counts.violations(), Vec::<String>::new(), "seed {seed}: {counts:#?}");
            for route in crashing {
                let cause = Cause::Request(route);
                let has_crashed = |it: &CauseCounts| it.cause == cause && 3 <= it.n_crashes;
                assert!(counts.causes.iter().any(has_crashed), "seed {seed}: {counts:#?}");
            }
            assert!(counts.streams.are_served(), "seed {seed}: {counts:#?}");
            assert!(counts.plain.are_served(), "seed {seed}: {counts:#?}");
            let since = until - SOUND_TIME;
            for body in repeats.sound_bodies() {
                let served = cluster.checker.count_body(&body, since, until).served;
                assert!(0 < served, "seed {seed}, {body}");
            }
            assert_eq!(cluster.checker.violations(), Vec::<String>::new(), "seed {seed}");
        });
    }
}
