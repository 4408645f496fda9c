//! Asks a gateway where a request would go now.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use ferry_edge::HttpClient;
use ferry_edge::http::read_response;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde_json::Value;

use super::CommandError;
use crate::output::{Format, cell, print_json, print_table};

const PATH: &str = "/v1/explain";
/// Longest wait for the answer, which the gateway has at once.
const TIMEOUT: Duration = Duration::from_secs(5);

/// tell where a gateway would send a request now, and why, without sending it
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "ferryctl explain --gateway 10.0.0.7:8621 --host desk.example --path /draft/ \
               --header 'Api-Key: k1'"
)]
pub struct ExplainArgs {
    /// address of a gateway's readiness check
    #[argh(option)]
    gateway: SocketAddr,
    /// host that the request names
    #[argh(option)]
    host: String,
    /// its path, with the query if it has one
    #[argh(option)]
    path: String,
    /// a header of it, as `Name: value`; may be given several times
    #[argh(option, long = "header")]
    headers: Vec<String>,
}

impl ExplainArgs {
    pub async fn run(self, format: Format) -> Result<(), CommandError> {
        let answer = self.ask().await?;
        match format {
            Format::Json => Ok(print_json(&answer)?),
            Format::Table => {
                print(&answer);
                Ok(())
            }
        }
    }

    async fn ask(&self) -> Result<Value, CommandError> {
        let gateway = self.gateway;
        let failed = |error: String| CommandError::Gateway { gateway, error };
        let (host, path) = (encode(&self.host), encode(&self.path));
        let uri = format!("{PATH}?host={host}&path={path}");
        let mut request = Request::builder().method(Method::GET).uri(uri);
        request = request.header(header::HOST, gateway.to_string());
        for text in &self.headers {
            let Some((name, value)) = text.split_once(':') else {
                return Err(CommandError::Header { text: text.clone() });
            };
            request = request.header(name.trim(), value.trim());
        }
        let request =
            request.body(Full::new(Bytes::new())).map_err(|error| failed(error.to_string()))?;
        let exchange = async {
            let response = HttpClient::new().send_fresh(gateway, request).await?;
            read_response(gateway, response).await
        };
        let response = match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(response) => response.map_err(|error| failed(error.to_string()))?,
            Err(_) => return Err(failed("no answer has arrived in time".to_owned())),
        };
        match response.status {
            StatusCode::OK => Ok(response.json()?),
            status => {
                let text = String::from_utf8_lossy(&response.body);
                Err(failed(format!("{status}: {}", text.trim())))
            }
        }
    }
}

/// Encodes a text for a query.
fn encode(text: &str) -> String {
    let is_plain = |it: u8| it.is_ascii_alphanumeric() || b"-._~/".contains(&it);
    let encode = |it: u8| match is_plain(it) {
        true => char::from(it).to_string(),
        false => format!("%{it:02X}"),
    };
    text.bytes().map(encode).collect()
}

fn print(answer: &Value) {
    let field = |it: &Value, key: &str| it.get(key).map_or_else(|| "-".to_owned(), cell);
    match answer.get("refusal").filter(|it| !it.is_null()) {
        Some(it) => println!(
            "refused: {}; retry after {} ms",
            field(it, "reason"),
            field(it, "retry_after_ms")
        ),
        None => println!("accepted, as far as this instance decides"),
    }
    if let Some(asked) = answer.get("asked").and_then(Value::as_str) {
        println!("the admission controller at {asked} decides");
    }
    let list =
        |it: &Value, key: &str| it.get(key).and_then(Value::as_array).cloned().unwrap_or_default();
    let step = |it: &Value| {
        ["decision", "reason", "pool", "endpoint", "cost_ms"].map(|key| field(it, key)).to_vec()
    };
    let steps: Vec<Vec<String>> = list(answer, "steps").iter().map(step).collect();
    print_table(&["DECISION", "REASON", "POOL", "ENDPOINT", "COST MS"], &steps);
    for pool in list(answer, "pools") {
        println!("\npool {}", field(&pool, "pool"));
        let row = |it: &Value| {
            let mut row = ["endpoint", "zone", "standing", "wait_ms", "rate", "running", "slots"]
                .map(|key| field(it, key))
                .to_vec();
            let cost = it.get("cost").cloned().unwrap_or_default();
            row.extend(["total_ms", "wait_ms", "read_ms", "stall_ms"].map(|key| field(&cost, key)));
            row
        };
        let rows: Vec<Vec<String>> = list(&pool, "endpoints").iter().map(row).collect();
        let titles = [
            "ENDPOINT", "ZONE", "STANDING", "WAIT MS", "RATE", "RUNNING", "SLOTS", "COST MS",
            "QUEUE MS", "READ MS", "STALL MS",
        ];
        print_table(&titles, &rows);
    }
}
