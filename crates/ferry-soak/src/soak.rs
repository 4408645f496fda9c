//! A single run: injects faults while callers send requests, then restores everything and checks
//! that requests are served again.

use std::cell::RefCell;
use std::ops::Range;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::IntoEnumIterator;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::callers::Caller;
use crate::checker::crashes::CrashCounts;
use crate::checker::{OutcomeCounts, PauseCounts, WorstWindow};
use crate::cluster::{Cluster, N_ENDPOINTS, Release};
use crate::config::Route;
use crate::crash::Prompts;
use crate::endpoint::Pool;
use crate::losses::Cuts;
use crate::plan::{
    Plan, apply, generate, generate_copies, generate_evacuations, generate_herds, generate_leaving,
    generate_limits, generate_malformed_entries, generate_pause_requests, generate_pauses,
    generate_upgrades, restore,
};
use crate::repeats::{Repeats, start_repeats};

pub const N_CALLERS: usize = 12;
/// The same if nothing else fails, so that moments of silence meet more streams that have begun.
const N_CALM_CALLERS: usize = 40;
/// Pause of a caller between requests, in milliseconds.
const PAUSE_MS: Range<u64> = 5..60;
/// The same where idle times decide about connections.
const LONG_PAUSE_MS: Range<u64> = 500..5_000;
/// Time for the gateways to start.
const START_TIME: Duration = Duration::from_millis(1_500);
/// Time for the system to recover; covers the detection of silent peers, the shutdown of a process
/// and the ejection of endpoints.
const RECOVERY_TIME: Duration = Duration::from_millis(12_000);
/// The same if no process and no endpoint has failed.
const CALM_RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after the recovery over which the share of served requests is checked, and added time for
/// the last responses.
const CHECK_TIME: Duration = Duration::from_millis(2_000);
/// Minimum share of the requests that must be served after the recovery.
const MIN_SERVED: f64 = 0.98;
/// Minimum share of the streams taken up that must go on if all engines are sound.
const MIN_CONTINUED: f64 = 0.9;

/// A part of the faults, by which no process and no endpoint fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Only {
    /// Silent moments of sound endpoints, configurations and SIGHUP.
    Pauses,
    /// The same, with series of configurations apart from each other and callers that pause.
    Configurations,
    /// All gateways are killed at once, again and again.
    Herds,
    /// The gateways are replaced by another release.
    Upgrades,
    /// Entries that cannot be read, and endpoints that leave, return and ask for pauses.
    Entries,
    /// The store comes back from older copies, beside leaving endpoints and restarts of gateways.
    Copies,
    /// Zones are evacuated, beside outages of the store and killed gateways.
    Evacuations,
}

impl Only {
    /// Whether no process fails.
    fn is_calm(self) -> bool {
        match self {
            Only::Pauses | Only::Configurations | Only::Entries => true,
            Only::Herds | Only::Upgrades | Only::Copies | Only::Evacuations => false,
        }
    }
}

#[derive(Debug, Clone)]
pub struct SoakOptions {
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of gateways.
    pub n_nodes: usize,
    /// Path of the gateway binary.
    pub gateway: PathBuf,
    /// Directory for settings and logs of the gateways.
    pub directory: PathBuf,
    /// Second and third octet of the loopback addresses, so that concurrent runs do not collide.
    pub net: (u8, u8),
    /// All faults if none.
    pub only: Option<Only>,
    /// Another release, by which the gateways are replaced one after the other, and back again.
    pub other: Option<Release>,
    /// Whether some prompts crash engines, and some requests all endpoints.
    pub has_crashes: bool,
}

#[derive(Debug, Clone)]
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<String>,
    pub under_faults: OutcomeCounts,
    pub after_recovery: OutcomeCounts,
    /// Streams that callers took up, and those of them that came to their end.
    pub take_ups: (usize, usize),
    /// Requests to endpoints whose rate limit held.
    pub n_limited: usize,
    /// Requests that ended without an answer and without an excuse.
    pub n_lost: usize,
    pub cuts: Cuts,
    pub crashes: CrashCounts,
    /// Announcements of leaving endpoints that gateways passed on, and the times until later
    /// requests from the same gateway.
    pub leaving: (usize, Vec<Duration>),
    /// Pauses that endpoints asked for, and the most requests in one.
    pub pauses: PauseCounts,
    /// Entries of endpoints that were closed.
    pub n_closed: usize,
    /// The window of each pool in which fewest more repeats were allowed.
    pub worst_windows: Vec<(String, WorstWindow)>,
}

impl Report {
    /// Returns whether all guarantees held and the system recovered.
    pub fn is_ok(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Runs the soak; must be called within a local task set.
pub async fn run(options: &SoakOptions) -> std::io::Result<Report> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let SoakOptions { gateway, directory, net, n_nodes, .. } = options;
    let mut cluster = Cluster::start(gateway, directory, *net, *n_nodes, N_ENDPOINTS).await?;
    cluster.mix_builds();
    cluster.other = options.other.clone();
    sleep(START_TIME).await;
    let is_calm = options.only.is_some_and(Only::is_calm);
    let n_callers = if options.only.is_some() { N_CALM_CALLERS } else { N_CALLERS };
    if options.has_crashes {
        cluster.start_crashes(options.seed);
    }
    if options.only == Some(Only::Entries) {
        cluster.checker.check_entries();
    }
    let is_over = start_callers(&cluster, &mut rng, n_callers);
    let repeats = options.has_crashes.then(|| Repeats::draw(options.seed));
    if let Some(repeats) = &repeats {
        start_repeats(&cluster, repeats, options.seed, &is_over);
    }
    if options.only == Some(Only::Configurations) {
        start_pausing_callers(&cluster, &mut rng, n_callers, is_over.clone());
    }
    let start = Instant::now();
    for (at, step) in plan(options, &mut rng, cluster.endpoints.len()) {
        sleep_until(start + at).await;
        apply(&mut cluster, step)?;
    }
    cluster.has_crashes.set(false);
    restore(&mut cluster)?;
    let recovery = if is_calm { CALM_RECOVERY_TIME } else { RECOVERY_TIME };
    let recovered = Instant::now() + recovery;
    while Instant::now() < recovered {
        sleep(Duration::from_millis(200)).await;
        for node in &mut cluster.nodes {
            node.start()?;
        }
    }
    let (from, until) = (Instant::now(), Instant::now() + CHECK_TIME);
    sleep_until(until).await;
    is_over.replace(true);
    sleep(Duration::from_millis(crate::config::DEADLINE_MS) + CHECK_TIME).await;
    let under_faults = cluster.checker.count_outcomes(start, from);
    let after_recovery = cluster.checker.count_outcomes(from, until);
    let mut violations = cluster.checker.violations();
    let lost = cluster.checker.lost(is_calm);
    let n_lost = lost.len();
    violations.extend(lost);
    let cuts = cluster.checker.cuts(start, from);
    if options.only == Some(Only::Configurations) && cuts.is_uneven() {
        violations.push(format!("answers are cut beside configurations: {cuts:?}"));
    }
    let worst_windows = cluster.checker.worst_windows();
    for (pool, worst) in &worst_windows {
        if worst.allowed < worst.n_repeats as f64 {
            violations.push(format!("repeats at {pool} exceed their budget: {worst:?}"));
        }
    }
    let share = after_recovery.served as f64 / after_recovery.sent.max(1) as f64;
    if share < MIN_SERVED {
        violations.push(format!(
            "only a share of {share:.3} was served after the recovery: {after_recovery:?}"
        ));
    }
    let take_ups = cluster.checker.take_ups();
    let (n_taken_up, n_continued) = take_ups;
    if options.only == Some(Only::Herds) && (n_continued as f64) < n_taken_up as f64 * MIN_CONTINUED
    {
        violations.push(format!("only {n_continued} of {n_taken_up} streams taken up went on"));
    }
    let n_limited = cluster.checker.n_limited();
    let crashes = cluster.checker.count_crashes(from);
    violations.extend(crashes.violations());
    for body in repeats.iter().flat_map(Repeats::sound_bodies) {
        let counts = cluster.checker.count_body(&body, from, until);
        if counts.served == 0 {
            violations.push(format!("{body:?} is not served after the recovery: {counts:?}"));
        }
    }
    Ok(Report {
        violations,
        under_faults,
        after_recovery,
        take_ups,
        n_limited,
        n_lost,
        cuts,
        crashes,
        leaving: cluster.checker.leaving(),
        pauses: cluster.checker.pause_counts(),
        n_closed: cluster.checker.n_closed(),
        worst_windows,
    })
}

/// Generates the faults of a run.
fn plan(options: &SoakOptions, rng: &mut Pcg64Mcg, n_endpoints: usize) -> Plan {
    let SoakOptions { seed, duration, n_nodes, only, .. } = *options;
    // Generators of their own, so that seeds draw the other faults as before.
    let mut limits_rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut pauses_rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(32));
    let mut leaving_rng = Pcg64Mcg::seed_from_u64(!seed.rotate_left(32));
    let mut asked_rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(16));
    let mut entries_rng = Pcg64Mcg::seed_from_u64(!seed.rotate_left(16));
    if only == Some(Only::Herds) {
        return generate_herds(rng, duration, n_nodes);
    }
    if only == Some(Only::Entries) {
        let mut plan = generate_malformed_entries(&mut entries_rng, duration, n_endpoints);
        plan.extend(generate_pause_requests(&mut asked_rng, duration, Pool::iter().count()));
        plan.sort_by_key(|it| it.0);
        return plan;
    }
    if only == Some(Only::Copies) {
        let mut plan = generate_copies(&mut entries_rng, duration, n_nodes);
        plan.extend(generate_leaving(&mut leaving_rng, duration, Pool::iter().count()));
        plan.sort_by_key(|it| it.0);
        return plan;
    }
    if only == Some(Only::Evacuations) {
        return generate_evacuations(&mut entries_rng, duration, n_nodes);
    }
    if only == Some(Only::Upgrades) {
        return generate_upgrades(duration, n_nodes);
    }
    let mut plan = generate_pauses(&mut pauses_rng, duration, n_nodes, n_endpoints, only);
    if only.is_none() {
        plan.extend(generate(rng, duration, n_nodes, n_endpoints));
        plan.extend(generate_limits(&mut limits_rng, duration, Pool::iter().count()));
        plan.extend(generate_leaving(&mut leaving_rng, duration, Pool::iter().count()));
        plan.extend(generate_pause_requests(&mut asked_rng, duration, Pool::iter().count()));
        plan.extend(generate_malformed_entries(&mut entries_rng, duration, n_endpoints));
        if options.other.is_some() {
            plan.extend(generate_upgrades(duration, n_nodes));
        }
    }
    plan.retain(|(at, _)| *at <= duration);
    plan.sort_by_key(|it| it.0);
    plan
}

/// Starts callers that send requests until the returned flag is set.
pub fn start_callers(cluster: &Cluster, rng: &mut Pcg64Mcg, n_callers: usize) -> Rc<RefCell<bool>> {
    let is_over = Rc::new(RefCell::new(false));
    for number in 0..n_callers {
        start_caller(cluster, rng, format!("caller{number}"), PAUSE_MS, is_over.clone());
    }
    is_over
}

/// Starts callers whose connections are idle between their requests.
fn start_pausing_callers(
    cluster: &Cluster,
    rng: &mut Pcg64Mcg,
    n_callers: usize,
    is_over: Rc<RefCell<bool>>,
) {
    for number in 0..n_callers {
        start_caller(cluster, rng, format!("pausing{number}"), LONG_PAUSE_MS, is_over.clone());
    }
}

fn start_caller(
    cluster: &Cluster,
    rng: &mut Pcg64Mcg,
    name: String,
    pause_ms: Range<u64>,
    is_over: Rc<RefCell<bool>>,
) {
    let routes: Vec<Route> = Route::iter().filter(|it| *it != Route::Extra).collect();
    let seed = rng.random_range(0..u64::MAX);
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let prompts = Prompts::new(seed ^ 2, &cluster.has_crashes);
    let mut caller =
        Caller::new(name, cluster.directories(), cluster.checker.clone(), rng, prompts);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 1);
    spawn_local(async move {
        while !*is_over.borrow() {
            caller.send(routes[rng.random_range(0..routes.len())]).await;
            sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
        }
    });
}
