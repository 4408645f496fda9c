//! Case: requests that omit a stage of a pipeline, of one that is a chain and of one that forks.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Net, Record, SERVER, send, start_gateways};
use crate::http::{self, Answer, Message};
use crate::json::{Json, quote};
use crate::store::Store;

const N_REQUESTS: usize = 12;
const TIME_LEFT: Duration = Duration::from_millis(6_000);

/// What a stage's runner holds under a handle.
#[derive(Debug, Clone)]
struct Held {
    attempt: String,
    stage: u64,
    piece: u64,
    is_freed: bool,
}

#[derive(Default)]
struct Shared {
    held: Mutex<BTreeMap<String, Held>>,
    broken: Mutex<Vec<String>>,
    n_made: Mutex<u64>,
}

/// Returns the stages that no other stage of the request follows. A stage without pieces is omitted.
fn last_stages(route: &str, pieces: &[u64]) -> Vec<u64> {
    let has = |it: usize| 0 < pieces[it];
    if route == "chain" {
        return (0..3).rev().find(|it| has(*it as usize)).into_iter().collect();
    }
    match (has(1), has(2)) {
        (false, false) => vec![0],
        (left, right) => {
            [(left, 1), (right, 2)].into_iter().filter(|it| it.0).map(|it| it.1).collect()
        }
    }
}

/// Returns the stage whose results a stage reads, the one before it that is not omitted.
fn stage_before(route: &str, pieces: &[u64], stage: u64) -> Option<u64> {
    match (route, stage) {
        (_, 0) => None,
        ("chain", stage) => (0..stage).rev().find(|it| 0 < pieces[*it as usize]),
        _ => Some(0),
    }
}

/// Reads the route and the numbers of pieces that the name of an attempt ends with.
fn shape(attempt: &str) -> (&str, Vec<u64>) {
    let (route, pieces) = attempt.split_once('-').unwrap_or(("", "0.0.0"));
    (&route[5..], pieces.split('.').map(|it| it.parse().unwrap_or(0)).collect())
}

fn route(name: &str, stages: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"review.example\",\"PathPrefix\":\"/{name}/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":6000,\"TargetLatencyMs\":2000,\"Priority\":0,\
         \"Service\":\"models\",\"MaxAttempts\":1,\"Sticky\":true,\"GapAimMs\":300,\
         \"Stages\":[{{\"Service\":\"encoders\",\"After\":[],\"Bytes\":1000}},{stages}]}}"
    )
}

fn config() -> String {
    let pieces = "\"Pieces\":{\"Slots\":1,\"Queue\":2,\"Batch\":16,\"CallMs\":40.0,\"ItemMs\":1.0,\
                  \"HeadroomMb\":50.0,\"HandleS\":4.0,\"LinkMbps\":10000}";
    let stages = |last: u32| {
        format!(
            "{{\"Service\":\"retrievers\",\"After\":[0],\"Bytes\":1000}},\
             {{\"Service\":\"rerankers\",\"After\":[{last}],\"Bytes\":1000}}"
        )
    };
    let routes = [route("chain", &stages(1)), route("fork", &stages(0))].join(",");
    format!(
        "{{\"Version\":1,\"Routes\":[{routes}],\"Services\":[\
         {{\"Name\":\"models\",\"MaxConnections\":360,\"Engine\":{{\"Slots\":64}}}},\
         {{\"Name\":\"encoders\",\"MaxConnections\":360,{pieces}}},\
         {{\"Name\":\"retrievers\",\"MaxConnections\":360,{pieces}}},\
         {{\"Name\":\"rerankers\",\"MaxConnections\":360,{pieces}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000000,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"review\",\"ApiKeys\":[\"key-of-review\"]}}]}}"
    )
}

/// Reads the handles of a call; returns what is wrong with them by the rule, and whether one is gone.
fn check(
    shared: &Shared,
    what: &str,
    attempt: &str,
    handles: &[String],
    stages: &[u64],
) -> (Vec<String>, bool) {
    let held = shared.held.lock().unwrap();
    let mut found = Vec::new();
    let mut is_gone = false;
    for (idx, handle) in handles.iter().enumerate() {
        let Some(it) = held.get(handle) else {
            is_gone = true;
            continue;
        };
        is_gone |= it.is_freed;
        if it.attempt != attempt {
            found.push(format!("{what} is given an input of {}", it.attempt));
        }
        if !stages.contains(&it.stage) {
            let stage = it.stage;
            found.push(format!(
                "{what} is given an input of stage {stage}, which another stage follows"
            ));
        }
        if handles[..idx].contains(handle) {
            let (stage, piece) = (it.stage, it.piece);
            found.push(format!("{what} is given piece {piece} of stage {stage} twice"));
        }
    }
    (found, is_gone)
}

fn note(shared: &Shared, record: &Record, found: Vec<String>) {
    for it in found {
        record.add(format!("MIXED: {it}"));
        shared.broken.lock().unwrap().push(it);
    }
}

fn answer_model(shared: &Shared, record: &Record, id: &str, request: &Message) -> Answer {
    if request.header("tarragonferry-expect-instance").is_some_and(|it| it != id) {
        return Answer::new(421, "");
    }
    let Some(attempt) = request.header("tarragonferry-attempt-id") else {
        return Answer::new(200, "{\"epoch\":1,\"Next\":1,\"held\":[]}");
    };
    let inputs = request.header("tarragonferry-inputs").unwrap_or_default();
    record.add(format!("model runner {id} gets {attempt} with inputs [{inputs}]"));
    if inputs.is_empty() {
        return Answer::new(400, "").with("Tarragonferry-Not-Executed", "1");
    }
    let handles: Vec<String> = inputs.split(',').map(|it| it.trim().to_owned()).collect();
    let (route, pieces) = shape(attempt);
    let (found, is_gone) = check(shared, attempt, attempt, &handles, &last_stages(route, &pieces));
    note(shared, record, found);
    if is_gone {
        record.add(format!("model runner {id} answers {attempt} 409: an input is gone"));
        return Answer::new(409, "").with("Tarragonferry-Not-Executed", "1");
    }
    record.add(format!("model runner {id} runs {attempt}"));
    let pause = Duration::from_millis(20);
    let event = |it: u32| (pause, format!("id: {it}\ndata: {attempt} {it}\n\n").into_bytes());
    let mut answer = Answer::new(200, "")
        .with("Content-Type", "text/event-stream")
        .with("Tarragonferry-Attempt-Id", attempt)
        .with("Tarragonferry-Response-Seal", "seal");
    answer.chunks = (1..=3).map(event).collect();
    answer
}

fn answer_stage(
    shared: &Shared,
    record: &Record,
    id: &str,
    address: &str,
    request: &Message,
) -> Answer {
    if request.header("tarragonferry-expect-instance").is_some_and(|it| it != id) {
        return Answer::new(421, "");
    }
    let Some(body) = Json::parse(&request.text()) else { return Answer::new(400, "") };
    if request.start[1] == "/v1/stage-free" {
        for handle in body.get("Handles").map_or(&[][..], Json::list).iter().filter_map(Json::text)
        {
            record.add(format!("{id} is told to free {handle}"));
            if let Some(it) = shared.held.lock().unwrap().get_mut(handle) {
                it.is_freed = true;
            }
        }
        return Answer::new(200, "{}");
    }
    let at_arrival = shared.held.lock().unwrap().clone();
    thread::sleep(Duration::from_millis(42));
    let mut results = Vec::new();
    for item in body.get("Items").map_or(&[][..], Json::list) {
        let attempt = item.get("Id").and_then(Json::text).unwrap_or_default().to_owned();
        let number = |name: &str| item.get(name).and_then(Json::number).unwrap_or(0);
        let (stage, piece) = (number("Stage"), number("Piece"));
        let what = format!("piece {piece} of stage {stage} of {attempt}");
        let inputs = item.get("Inputs").map(|it| {
            it.list().iter().filter_map(Json::text).map(str::to_owned).collect::<Vec<String>>()
        });
        record.add(format!("{id} gets {what} with inputs {inputs:?}"));
        let (route, pieces) = shape(&attempt);
        let before = stage_before(route, &pieces, stage);
        let handles = inputs.unwrap_or_default();
        if let Some(before) = before
            && handles.is_empty()
        {
            let is_before = |it: &&Held| it.attempt == attempt && it.stage == before;
            let n = at_arrival.values().filter(is_before).count();
            let wanted = pieces[before as usize];
            let text = format!(
                "{what} is given none, as {n} of {wanted} pieces of stage {before} are done"
            );
            note(shared, record, vec![text]);
        }
        let stages: Vec<u64> = before.into_iter().collect();
        let (found, is_gone) = check(shared, &what, &attempt, &handles, &stages);
        note(shared, record, found);
        if is_gone {
            results.push("{\"Reason\":\"gone\"}".to_owned());
            continue;
        }
        let mut n_made = shared.n_made.lock().unwrap();
        *n_made += 1;
        let handle = format!("{address}/{:x}", *n_made);
        let held = Held { attempt, stage, piece, is_freed: false };
        shared.held.lock().unwrap().insert(handle.clone(), held);
        results.push(format!("{{\"Handle\":{}}}", quote(&handle)));
    }
    Answer::new(200, format!("{{\"Items\":[{}]}}", results.join(",")))
}

/// Returns the exit code.
pub fn run(root: &Path, folder: &Path, temporary: &Path, has_trouble: bool) -> i32 {
    let record = Record::new(folder);
    let net = Net::free();
    let store = Store::start(net.store());
    let shared = Arc::new(Shared::default());
    store.put("config", "main", &config());
    let services = ["models", "encoders", "retrievers", "rerankers"];
    for (number, service) in (0..).zip(services.iter().flat_map(|it| [it, it, it])) {
        let last = 100 + number as u8;
        let id = format!("i-{service}-{number}");
        let address = format!("{}:{SERVER}", net.ip(last));
        let zone = ["a", "b"][number % 2];
        let slots = if *service == "models" { 64 } else { 1 };
        store.put(
            "servers",
            &id,
            &format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\
                 \"Sequence\":1,\"born\":1700000000000}}"
            ),
        );
        let (shared, record) = (shared.clone(), record.clone());
        let is_model = *service == "models";
        let handle = move |it: &Message| match is_model {
            true => answer_model(&shared, &record, &id, it),
            false => answer_stage(&shared, &record, &id, &address, it),
        };
        http::serve(net.server(last), Arc::new(|| true), Arc::new(handle));
    }
    let Some(mut gateways) = start_gateways(net, 2, root, temporary) else {
        record.finish(&["a gateway is not ready".to_owned()]);
        return 2;
    };
    thread::sleep(Duration::from_millis(500));
    // The shapes of the requests, as the number of pieces of each stage.
    let shapes: &[&str] = match has_trouble {
        true => &["chain/2.0.2", "fork/2.0.2", "fork/2.2.0", "fork/2.0.0"],
        false => &["chain/2.2.2", "fork/2.2.2"],
    };
    let mut summary = Vec::new();
    let mut n_unanswered = 0;
    for full in shapes {
        let (route, shape) = full.split_once('/').unwrap_or_default();
        let n_before = shared.broken.lock().unwrap().len();
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for number in 0..N_REQUESTS {
            let attempt = format!("c{number:04x}{route}-{shape}");
            let headers = format!(
                "Tarragonferry-Model: m\r\nTarragonferry-Token-Count: 100,12\r\n\
                 Tarragonferry-Prompt-Prefix: a1:60,{:x}:40\r\nTarragonferry-Pieces: {}\r\n\
                 Tarragonferry-Piece-Key: {number:012x}\r\n",
                0xb000 + number,
                shape.replace('.', ",")
            );
            let front = gateways[number % 2].front();
            record.add(format!("client sends {attempt}"));
            let path = format!("/{route}/x");
            let reply = send(front, "POST", &path, &attempt, TIME_LEFT, &headers, "prompt");
            record.add(format!("client gets {} for {attempt}", reply.status));
            let is_served = reply.status == 200 && reply.is_whole && reply.body.contains("id: 3");
            n_unanswered += usize::from(!is_served);
            *statuses.entry(if is_served { 200 } else { reply.status }).or_default() += 1;
        }
        let broken = shared.broken.lock().unwrap();
        let first = broken.get(n_before).map_or("", String::as_str);
        let n_broken = broken.len() - n_before;
        summary.push(format!(
            "{route} with pieces {shape}: {N_REQUESTS} requests, by status {statuses:?}, {n_broken} wrong lists of inputs"
        ));
        summary.extend((!first.is_empty()).then(|| format!("  {first}")));
    }
    let broken = shared.broken.lock().unwrap().clone();
    summary.push(format!("MIXED: {} inputs that the rule forbids", broken.len()));
    summary.push(format!("requests without a whole answer: {n_unanswered}"));
    let has_crashed = gateways.iter_mut().any(|it| !it.is_running());
    record.finish(&summary);
    drop(gateways);
    i32::from(!broken.is_empty() || has_crashed || (!has_trouble && 0 < n_unanswered))
}
