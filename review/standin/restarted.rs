//! Case: a runner starts again under its id, and asks for a pause before its entry says so.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Net, Record, SERVER, start_gateways};
use crate::http::{self, Answer, Message};
use crate::plain::{Clients, config};
use crate::store::Store;

const N_GATEWAYS: u8 = 4;
const N_RUNNERS: u8 = 4;
const WORK: Duration = Duration::from_millis(100);
/// Pause between the requests of all clients together.
const GAP: Duration = Duration::from_millis(50);
/// How long the runner is down.
const DOWN: Duration = Duration::from_millis(100);
/// Time after its start in which it turns requests away.
const WARM: Duration = Duration::from_millis(1_000);
/// Time after its start at which it writes its entry: HeartbeatMs.
const ENTRY: Duration = Duration::from_millis(1_200);
/// `Retry-After` of its refusals.
const PAUSE: Duration = Duration::from_millis(5_000);
/// Time after a refusal in which requests that are on their way may still arrive.
const GRACE: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    is_down: bool,
    turns_away: bool,
    /// When each machine was last told to pause, and what reached the runner from it since then.
    told: BTreeMap<String, Duration>,
    arrivals: Vec<(String, Duration, String)>,
    pauses: Vec<(String, Duration)>,
}

struct Runner {
    id: String,
    address: SocketAddr,
    record: Record,
    state: Mutex<State>,
}

impl Runner {
    fn spec(&self, born: u64) -> String {
        let address = self.address;
        format!(
            "{{\"Service\":\"filing-desk\",\"Address\":\"{address}\",\"Zone\":\"a\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\
             \"Sequence\":1,\"born\":{born}}}"
        )
    }

    fn answer(&self, request: &Message, machine: impl Fn(&str) -> String) -> Answer {
        if request.header("tarragonferry-expect-instance").is_some_and(|it| it != self.id) {
            return Answer::new(421, "");
        }
        let Some(attempt) = request.header("tarragonferry-attempt-id") else {
            return Answer::new(200, "");
        };
        let (at, machine) = (self.record.now(), machine(attempt));
        let mut state = self.state.lock().unwrap();
        state.arrivals.push((machine.clone(), at, attempt.to_owned()));
        if state.turns_away {
            self.record.add(format!("{} turns {attempt} of {machine} away for {PAUSE:?}", self.id));
            state.told.insert(machine.clone(), at);
            state.pauses.push((machine, at));
            return Answer::new(503, "")
                .with("Tarragonferry-Not-Executed", "1")
                .with("Tarragonferry-Attempt-Id", attempt)
                .with("Retry-After", PAUSE.as_secs().to_string());
        }
        drop(state);
        self.record.add(format!("{} runs {attempt} of {machine}", self.id));
        thread::sleep(WORK);
        Answer::new(200, format!("{attempt} {}", self.id))
            .with("Tarragonferry-Attempt-Id", attempt)
            .with("Tarragonferry-Response-Seal", "seal")
            .with("Tarragonferry-Instance-Load", "1,0,6")
    }
}

/// Returns the exit code.
pub fn run(root: &Path, folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Record::new(folder);
    let net = Net::free();
    let store = Store::start(net.store());
    let clients: Arc<Mutex<Option<Arc<Clients>>>> = Arc::default();
    let mut runners = Vec::new();
    const FIRST_BORN: u64 = 1_700_000_000_000;
    for number in 0..N_RUNNERS {
        let last = 100 + number;
        let address = SocketAddr::from((net.ip(last), SERVER));
        let id = format!("i-desk{number}");
        let runner =
            Arc::new(Runner { id, address, record: record.clone(), state: Mutex::default() });
        store.put("servers", &runner.id, &runner.spec(FIRST_BORN));
        let (up, server, clients) = (runner.clone(), runner.clone(), clients.clone());
        let machine = move |attempt: &str| {
            let clients = clients.lock().unwrap().clone();
            clients.and_then(|it| it.front(attempt)).unwrap_or_default()
        };
        http::serve_when(
            net.server(last),
            Arc::new(move || !up.state.lock().unwrap().is_down),
            Arc::new(move |it| server.answer(it, &machine)),
        );
        runners.push(runner);
    }
    store.put("config", "main", &config(1));
    let Some(mut gateways) = start_gateways(net, N_GATEWAYS, root, temporary) else {
        record.finish(&["a gateway is not ready".to_owned()]);
        return 2;
    };
    let fronts = gateways.iter().map(|it| it.front()).collect();
    let sender = Clients::start(fronts, GAP, &record);
    *clients.lock().unwrap() = Some(sender.clone());
    thread::sleep(Duration::from_secs(4));

    let runner = &runners[0];
    if has_trouble {
        record.add(format!("{} crashes", runner.id));
        runner.state.lock().unwrap().is_down = true;
        thread::sleep(DOWN);
    }
    {
        let mut state = runner.state.lock().unwrap();
        state.is_down = false;
        state.turns_away = true;
    }
    record.add(format!("{} serves, and turns requests away at first", runner.id));
    thread::sleep(WARM);
    runner.state.lock().unwrap().turns_away = false;
    thread::sleep(ENTRY - WARM);
    if has_trouble {
        let revision = store.put("servers", &runner.id, &runner.spec(FIRST_BORN + 60_000));
        record.add(format!("{} writes its entry, at revision {revision}", runner.id));
    }
    thread::sleep(PAUSE + Duration::from_secs(2));
    sender.end();

    let state = runner.state.lock().unwrap();
    let mut most = 0;
    let mut first = None;
    for (machine, told) in &state.pauses {
        let (from, until) = (*told + GRACE, *told + PAUSE);
        let reached =
            |it: &&(String, Duration, String)| it.0 == *machine && from < it.1 && it.1 < until;
        let n = state.arrivals.iter().filter(reached).count();
        if most < n {
            (most, first) = (n, Some((machine.clone(), *told)));
        }
    }
    let ended = sender.ended.lock().unwrap().clone();
    let n_unserved = ended.iter().filter(|it| it.1 != 200).count();
    let has_crashed = gateways.iter_mut().any(|it| !it.is_running());
    let mut summary = vec![
        format!("machines told to pause: {}", state.told.len()),
        format!("BUDGET: {most} requests from one machine in a pause, two are allowed"),
        format!("requests of {} not served: {n_unserved}", ended.len()),
    ];
    summary.extend(first.map(|it| format!("  machine {}, told at {:?}", it.0, it.1)));
    let has_told = !state.told.is_empty();
    drop(state);
    record.finish(&summary);
    drop(gateways);
    if !has_told {
        return 2;
    }
    i32::from(2 < most || has_crashed)
}
