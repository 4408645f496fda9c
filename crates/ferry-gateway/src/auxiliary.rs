//! Interfaces other than that for callers' requests: directory, readiness check, state for peers,
//! metrics, and the operator's.

use std::convert::Infallible;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_platform::directory;
use ferry_serve::Endpoints;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use strum::IntoEnumIterator;

use crate::driver::{Driver, Phase};
use crate::explain;
use crate::peers::SNAPSHOT_PATH;
use crate::quarantine;
use crate::server::Interface;
use crate::wire::WireFormat;

pub const METRICS_PATH: &str = "/metrics";
/// Maximum TTL of addresses in directory responses. Some callers keep addresses for three times the
/// TTL, and a leaving instance accepts connections for that time.
const MAX_ADDRESS_TTL: Duration = Duration::from_millis(900);

pub async fn serve(
    driver: Rc<Driver>,
    interface: Interface,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let response = match request.uri().path() {
        directory::READY_PATH => ready(&driver),
        directory::RESOLVE_PATH => resolve(&driver, request.uri().query().unwrap_or_default()),
        SNAPSHOT_PATH => snapshot(&driver, request.uri().query().unwrap_or_default()),
        METRICS_PATH => metrics(&driver),
        explain::PATH if interface == Interface::Operator => explain(&driver, &request),
        path if interface == Interface::Operator && quarantine::has_path(path) => {
            quarantine(&driver, request.method(), path)
        }
        _ => status(StatusCode::NOT_FOUND),
    };
    Ok(response)
}

fn metrics(driver: &Rc<Driver>) -> Response<Full<Bytes>> {
    let mut text = driver.metrics.text();
    let formats = driver.formats.borrow();
    for format in WireFormat::iter() {
        let _ = writeln!(text, "ferry_peers{{format=\"{format}\"}} {}", formats.count(format));
    }
    Response::new(Full::new(Bytes::from(text)))
}

fn ready(driver: &Rc<Driver>) -> Response<Full<Bytes>> {
    match driver.query(ferry_serve::Gateway::is_ready) && *driver.phase.borrow() == Phase::Serving {
        true => status(StatusCode::OK),
        false => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn resolve(driver: &Rc<Driver>, query: &str) -> Response<Full<Bytes>> {
    let now = driver.now();
    let addresses = driver.query(|it| it.directory(now, directory::query_zone(query)));
    let ttl = MAX_ADDRESS_TTL.min(driver.settings.address_ttl);
    json(directory::resolve_body(&addresses, ttl))
}

/// Returns the state that a peer lacks; a query without parameters returns the full state.
fn snapshot(driver: &Rc<Driver>, query: &str) -> Response<Full<Bytes>> {
    let number = |name: &str| {
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.filter(|it| it.0 == name).find_map(|it| it.1.parse().ok()).unwrap_or(0)
    };
    let (version, since) = (number("version"), number("since"));
    // Releases before the parameter compare revisions, unless a peer has told them of positions.
    let own = driver.query(|it| it.context().endpoints.revision());
    let follows = since != Endpoints::NO_ENDPOINTS && driver.formats.borrow().follows(since, own);
    let knows_eras = WireFormat::Eras as u64 <= number("format") || follows;
    let state = driver.query(|it| it.snapshot(version, since));
    let state = if knows_eras { state } else { state.without_eras() };
    match serde_json::to_vec(&state) {
        Ok(body) => json(Bytes::from(body)),
        Err(error) => {
            driver.warn("could not serialize the state for a peer", &error);
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Tells an operator where a request would go now, or says what is wrong with the question.
fn explain(driver: &Rc<Driver>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    match explain::serve(driver, request.method(), query, request.headers()) {
        Ok(body) => json(Bytes::from(body)),
        Err(error) => refused(driver, error.status(), &error),
    }
}

fn refused(
    driver: &Rc<Driver>,
    code: StatusCode,
    error: &dyn std::fmt::Display,
) -> Response<Full<Bytes>> {
    driver.warn("refused a request of an operator", error);
    let mut response = status(code);
    *response.body_mut() = Full::new(Bytes::from(format!("{error}\n")));
    response
}

/// Does what an operator asks for, or says what is wrong with it.
fn quarantine(driver: &Rc<Driver>, method: &Method, path: &str) -> Response<Full<Bytes>> {
    match quarantine::serve(driver, method, path) {
        Ok(body) => json(Bytes::from(body)),
        Err(error) => refused(driver, error.status(), &error),
    }
}

fn json(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
