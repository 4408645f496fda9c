//! The object API client against the platform stand-in, with and without faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ferry_edge::http::{json_request, read_response};
use ferry_edge::{HttpClient, Metrics, StoreClient, StoreOptions, logs};
use ferry_model::{ObjectKey, ObjectKind, StoreError, StoreOp, StoreReply, Version};
use ferry_standin::{PlatformFaults, PlatformStandin, RunLog};
use http::{HeaderValue, Method, StatusCode};
use serde_json::json;

/// Long enough that only a call that hangs reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the client gives up an answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
const KIND: ObjectKind = ObjectKind::Claims;

struct Platform {
    standin: PlatformStandin,
    store: StoreClient,
}

impl Platform {
    fn start() -> Platform {
        let bind = SocketAddr::from(([127, 0, 0, 1], 0));
        let standin = PlatformStandin::start(bind, RunLog::new(), &logs::silent_logger()).unwrap();
        let store = StoreClient::new(options(&standin), Metrics::silent());
        Platform { standin, store }
    }

    fn with_faults(faults: PlatformFaults) -> Platform {
        let platform = Platform::start();
        platform.standin.state.set_faults(faults);
        platform
    }

    async fn run(&self, op: StoreOp) -> Result<StoreReply, StoreError> {
        tokio::time::timeout(TIMEOUT, self.store.run(op)).await.unwrap()
    }

    async fn put(&self, expect: Version, value: &str) -> Result<StoreReply, StoreError> {
        self.run(StoreOp::Put { key: key(), expect, value: value.to_owned() }).await
    }

    async fn watch(&self, since: Version) -> Result<(Vec<String>, Version), StoreError> {
        match self.run(StoreOp::Watch { kind: KIND, since }).await? {
            StoreReply::Changed { objects, version } => {
                Ok((objects.into_iter().map(|it| it.value).collect(), version))
            }
            other => panic!("expected changes from the watch, got {other:?}"),
        }
    }

    fn stored(&self) -> Option<serde_json::Value> {
        self.standin.state.value(KIND.into(), "a")
    }
}

fn options(standin: &PlatformStandin) -> StoreOptions {
    StoreOptions { timeout: STORE_TIMEOUT, ..StoreOptions::new(standin.address()) }
}

fn key() -> ObjectKey {
    ObjectKey::new(KIND, "a")
}

#[tokio::test]
async fn only_the_expected_version_is_replaced_or_deleted() {
    let platform = Platform::start();
    assert_eq!(platform.put(0, "1").await, Ok(StoreReply::Written(1)));
    assert_eq!(platform.put(0, "2").await, Err(StoreError::Conflict(1)));
    assert_eq!(platform.put(1, "3").await, Ok(StoreReply::Written(2)));
    let delete = |expect| StoreOp::Delete { key: key(), expect };
    assert_eq!(platform.run(delete(1)).await, Err(StoreError::Conflict(2)));
    assert_eq!(platform.stored(), Some(json!(3)));
    assert_eq!(platform.run(delete(2)).await, Ok(StoreReply::Deleted));
    let got = platform.run(StoreOp::Get { key: key() }).await;
    assert_eq!(got, Ok(StoreReply::Object(None)));
}

#[derive(Debug, PartialEq)]
enum WriteResult {
    Written,
    /// Nothing was written.
    Unavailable,
    /// It may have been written.
    Unknown,
}

struct WriteCase {
    name: &'static str,
    faults: PlatformFaults,
    result: WriteResult,
    is_stored: bool,
}

#[tokio::test]
async fn write_result_matches_what_is_stored_and_no_write_is_repeated() {
    let healthy = PlatformFaults::default;
    let cases = [
        WriteCase {
            name: "healthy",
            faults: healthy(),
            result: WriteResult::Written,
            is_stored: true,
        },
        WriteCase {
            name: "slow",
            faults: PlatformFaults { slow_ms: 100, ..healthy() },
            result: WriteResult::Written,
            is_stored: true,
        },
        WriteCase {
            name: "outage",
            faults: PlatformFaults { outage: true, ..healthy() },
            result: WriteResult::Unavailable,
            is_stored: false,
        },
        WriteCase {
            name: "answer lost",
            faults: PlatformFaults { lost_answers: 1, ..healthy() },
            result: WriteResult::Unknown,
            is_stored: true,
        },
        WriteCase {
            name: "answer hung",
            faults: PlatformFaults { hung_answers: 1, ..healthy() },
            result: WriteResult::Unknown,
            is_stored: true,
        },
        WriteCase {
            name: "slower than the timeout",
            faults: PlatformFaults { slow_ms: 20_000, ..healthy() },
            result: WriteResult::Unknown,
            is_stored: false,
        },
    ];
    let checks = cases.map(async |case| {
        let platform = Platform::with_faults(case.faults);
        let result = match platform.put(0, "1").await {
            Ok(StoreReply::Written(1)) => WriteResult::Written,
            Err(StoreError::Unavailable(_)) => WriteResult::Unavailable,
            Err(StoreError::Unknown(_)) => WriteResult::Unknown,
            other => panic!("{}: {other:?}", case.name),
        };
        assert_eq!(result, case.result, "{}", case.name);
        assert_eq!(platform.stored().is_some(), case.is_stored, "{}", case.name);
        assert_eq!(platform.standin.state.counts().puts, 1, "{}", case.name);
    });
    futures_util::future::join_all(checks).await;
}

#[tokio::test]
async fn write_goes_to_the_next_address_if_no_connection_opens() {
    let platform = Platform::start();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let addresses = vec![closed, platform.standin.address()];
    let options = StoreOptions { addresses, ..options(&platform.standin) };
    let store = StoreClient::new(options, Metrics::silent());
    let put = StoreOp::Put { key: key(), expect: 0, value: "1".to_owned() };
    assert_eq!(store.run(put).await, Ok(StoreReply::Written(1)));
    let get = StoreOp::Get { key: key() };
    assert!(matches!(store.run(get).await, Ok(StoreReply::Object(Some(_)))));
}

#[tokio::test]
async fn reads_are_retried_a_bounded_number_of_times() {
    let platform =
        Platform::with_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let got = platform.run(StoreOp::Get { key: key() }).await;
    assert!(matches!(got, Err(StoreError::Unavailable(_))), "{got:?}");
    assert_eq!(platform.standin.state.counts().gets, 3);

    platform.standin.state.set_faults(PlatformFaults::default());
    let got = platform.run(StoreOp::Get { key: key() }).await;
    assert_eq!(got, Ok(StoreReply::Object(None)));
}

/// Sends writes as fast as possible; returns how many were let through and how many may be.
async fn send_many_writes(store: &StoreClient) -> (u64, f64) {
    let started = Instant::now();
    let mut n_through = 0;
    for _ in 0..30 {
        let put = StoreOp::Put { key: key(), expect: 0, value: "1".to_owned() };
        match store.run(put).await {
            Err(StoreError::Unavailable(_)) => (),
            Ok(_) | Err(_) => n_through += 1,
        }
    }
    (n_through, 2.0 + started.elapsed().as_secs_f64())
}

#[tokio::test]
async fn calls_over_the_rate_limit_are_not_sent() {
    let platform = Platform::start();
    let options = StoreOptions {
        write_rate: 1,
        timeout: Duration::from_millis(50),
        ..StoreOptions::new(platform.standin.address())
    };
    let store = StoreClient::new(options, Metrics::silent());
    let (n_through, limit) = send_many_writes(&store).await;
    assert!(n_through as f64 <= limit, "{n_through} calls were let through");
    assert_eq!(platform.standin.state.counts().puts, n_through);
}

#[tokio::test]
async fn platform_refuses_writes_over_its_rate_limit_without_effect() {
    let platform =
        Platform::with_faults(PlatformFaults { write_rate: 1, ..PlatformFaults::default() });
    let (n_through, limit) = send_many_writes(&platform.store).await;
    assert!(n_through as f64 <= limit, "{n_through} calls were let through");
    let counts = platform.standin.state.counts();
    assert_eq!((counts.puts, counts.refused), (30, 30 - n_through));
    assert_eq!(counts.effects, 1);
}

#[tokio::test]
async fn watch_reports_each_change_over_one_call() {
    let platform = Platform::start();
    platform.standin.state.seed(KIND.into(), "a", json!(0));
    let (values, mut since) = platform.watch(0).await.unwrap();
    assert_eq!(values, ["0"]);
    for value in 1..=5 {
        platform.standin.state.seed(ObjectKind::Config.into(), "other", json!(value));
        platform.standin.state.seed(KIND.into(), "a", json!(value));
        let (values, version) = platform.watch(since).await.unwrap();
        assert_eq!(values, [value.to_string()]);
        since = version;
    }
    assert_eq!(platform.standin.state.counts().watches, 1);
}

#[tokio::test]
async fn watch_without_changes_advances_by_bookmarks() {
    let platform = Platform::start();
    platform.standin.state.seed(KIND.into(), "a", json!(0));
    for _ in 0..3 {
        platform.standin.state.seed(ObjectKind::Config.into(), "other", json!(1));
    }
    let (values, version) = platform.watch(1).await.unwrap();
    assert_eq!((values.len(), version), (0, 4));
}

#[tokio::test]
async fn changes_that_a_watch_skips_show_in_lists() {
    let platform = Platform::start();
    platform.standin.state.seed(KIND.into(), "a", json!(0));
    platform.standin.state.set_faults(PlatformFaults { watch_gap: 1, ..PlatformFaults::default() });
    platform.standin.state.seed(KIND.into(), "a", json!(1));
    platform.standin.state.seed(KIND.into(), "b", json!(2));
    let (values, version) = platform.watch(1).await.unwrap();
    assert_eq!((values, version), (vec!["2".to_owned()], 3));
    let list = platform.run(StoreOp::List { kind: KIND }).await.unwrap();
    let StoreReply::List { objects, version } = list else { panic!("{list:?}") };
    assert_eq!((objects.len(), version), (2, 3));
}

#[tokio::test]
async fn watch_from_a_dropped_version_is_gone() {
    let platform =
        Platform::with_faults(PlatformFaults { history: 2, ..PlatformFaults::default() });
    for value in 0..5 {
        platform.standin.state.seed(KIND.into(), "a", json!(value));
    }
    assert_eq!(platform.watch(1).await, Err(StoreError::Gone));
    assert_eq!(platform.watch(4).await.unwrap().0, ["4"]);
}

#[tokio::test]
async fn stale_lists_return_old_values_but_gets_do_not() {
    let platform = Platform::start();
    platform.standin.state.seed(KIND.into(), "a", json!(0));
    platform
        .standin
        .state
        .set_faults(PlatformFaults { stale_lists: true, ..PlatformFaults::default() });
    platform.standin.state.seed(KIND.into(), "a", json!(1));
    let list = platform.run(StoreOp::List { kind: KIND }).await.unwrap();
    let StoreReply::List { objects, .. } = list else { panic!("{list:?}") };
    assert_eq!(objects[0].value, "0");
    let got = platform.run(StoreOp::Get { key: key() }).await.unwrap();
    let StoreReply::Object(Some(object)) = got else { panic!("{got:?}") };
    assert_eq!(object.value, "1");
}

#[tokio::test]
async fn unchanged_instance_list_has_no_body() {
    let platform = Platform::start();
    let address = platform.standin.address();
    let get = async |tag: Option<HeaderValue>| {
        let http = HttpClient::new();
        let mut request = json_request::<()>(Method::GET, address, "/v1/endpoints", None).unwrap();
        if let Some(tag) = tag {
            request.headers_mut().insert("if-none-match", tag);
        }
        let response = http.send_fresh(address, request).await.unwrap();
        read_response(address, response).await.unwrap()
    };
    platform.standin.state.set_endpoints(Vec::new());
    let first = get(None).await;
    assert_eq!(first.status, StatusCode::OK);
    let tag = first.headers.get("etag").cloned();
    let again = get(tag.clone()).await;
    assert_eq!((again.status, again.body.len()), (StatusCode::NOT_MODIFIED, 0));
    platform.standin.state.set_endpoints(Vec::new());
    assert_eq!(get(tag).await.status, StatusCode::OK);
}
