//! A small deployment: a store, gateways, and runners of one service.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::caller::{API_KEY, HOST, TENANT};
use crate::gateway::{self, Gateway};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{HEALTH_PATH, Plan, Run, Runner};
use crate::store::Store;

const STORE_PORT: u16 = 8_624;
const RUNNER_PORT: u16 = 8_743;
/// Version of the desired state.
const VERSION: u64 = 7;
/// Time from the start of the machines to that of the traffic, as on the installation's sheet.
const LEAD: Duration = Duration::from_secs(10);

/// The route of a case.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub kind: &'static str,
    pub prefix: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
}

/// Everything that a case starts.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    pub runners: Vec<Arc<Runner>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// When runners crashed.
    pub crashes: Arc<Mutex<Vec<Instant>>>,
    directory: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        gateway::kill_all();
        // What is left is in a temporary folder.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl World {
    /// Starts a deployment, and returns when its traffic may start.
    pub fn start(
        folder: &Path,
        n_gateways: usize,
        (plan, n_runners): (Plan, usize),
        route: Route,
    ) -> io::Result<World> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let name = folder.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let directory = gateway::work_directory(&name)?;
        let id = std::process::id();
        let (high, low) = (20 + (id % 200) as u8, (id / 200 % 250) as u8);
        let ip = |last: usize| Ipv4Addr::new(127, high, low, last as u8);
        let store_at = |number: usize| SocketAddr::from((ip(1 + number), STORE_PORT));
        let addresses: Vec<SocketAddr> = (0..n_gateways).map(store_at).collect();
        let store = Store::start(&addresses)?;
        store.put("config", "main", desired_state(&plan, route));
        let (runs, crashes) = (Arc::default(), Arc::default());
        let mut runners = Vec::new();
        for number in 0..n_runners {
            let address = SocketAddr::from((ip(100 + number), RUNNER_PORT));
            let id = format!("i-{number:08x}");
            let zone = gateway::zone(number);
            let parts = (&store, &record);
            runners.push(Runner::start(
                &id,
                plan.clone(),
                address,
                zone,
                parts,
                (&runs, &crashes),
            )?);
        }
        let mut gateways = Vec::new();
        for number in 0..n_gateways {
            let at = ip(20 + number);
            gateways.push(Gateway::start(number, at, addresses[number], &directory)?);
        }
        std::thread::sleep(LEAD);
        Ok(World { record, store, gateways, runners, runs, crashes, directory })
    }

    /// Stops the gateways in turn with SIGTERM, one each interval, and starts each again. Returns when
    /// all are ready.
    pub fn roll_gateways(&self, interval: Duration) -> io::Result<Instant> {
        let roll = &|number: usize, gateway: &Gateway| {
            std::thread::sleep(interval * u32::try_from(number).unwrap_or_default());
            self.record.note(&format!("gateway {number} is told to stop"));
            gateway.stop()?;
            gateway.restart()?;
            let started_at = Instant::now();
            gateway.wait_ready()?;
            self.record.note(&format!("gateway {number} is ready again"));
            Ok(started_at)
        };
        std::thread::scope(|scope| {
            let gateways = self.gateways.iter().enumerate();
            let rolls: Vec<_> =
                gateways.map(|(number, it)| scope.spawn(move || roll(number, it))).collect();
            let results = rolls
                .into_iter()
                .map(|it| it.join().unwrap_or_else(|_| Err(io::Error::other("a roll has failed"))));
            results.collect::<io::Result<Vec<Instant>>>()
        })
        .map(|all| all.into_iter().max().unwrap_or_else(Instant::now))
    }

    /// Returns the moments of the crashes so far.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn desired_state(plan: &Plan, route: Route) -> Json {
    let is_stream = route.kind == "streaming";
    let mut fields = vec![
        ("Name", Json::text("route")),
        ("Host", Json::text(HOST)),
        ("PathPrefix", Json::text(route.prefix)),
        ("Kind", Json::text(route.kind)),
        ("TimeoutMs", Json::number(route.timeout_ms)),
        ("TargetLatencyMs", Json::number(route.target_ms)),
        ("Priority", Json::number(1)),
        ("Service", Json::text(plan.service)),
        ("MaxAttempts", Json::number(1)),
    ];
    if is_stream {
        fields.push(("Resumable", Json::Bool(false)));
        fields.push(("GapAimMs", Json::number(250)));
    }
    let services = vec![service_fields(plan, is_stream)];
    let keys = Json::List(vec![Json::text(API_KEY)]);
    let tenant = Json::object(&[("Name", Json::text(TENANT)), ("ApiKeys", keys)]);
    let limits = Json::object(&[
        ("MaxHeaderBytes", Json::number(16_384)),
        ("MaxBodyBytes", Json::number(4_194_304)),
        ("HeaderTimeoutMs", Json::number(3_000)),
        ("IdleTimeoutMs", Json::number(15_000)),
    ]);
    Json::object(&[
        ("Version", Json::number(VERSION)),
        ("Routes", Json::List(vec![Json::object(&fields)])),
        ("Services", Json::List(services)),
        ("Limits", limits),
        ("Tenants", Json::List(vec![tenant])),
    ])
}

fn service_fields(plan: &Plan, is_engine: bool) -> Json {
    let mut fields = vec![
        ("Name", Json::text(plan.service)),
        ("MaxConnections", Json::number(360)),
        ("HealthPath", Json::text(HEALTH_PATH)),
    ];
    if is_engine {
        fields.push(("Engine", Json::object(&[("Slots", Json::number(plan.slots))])));
    }
    Json::object(&fields)
}
