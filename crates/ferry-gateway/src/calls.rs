//! Sends callers' requests to endpoints and forwards the responses.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ferry_platform::headers::{self, AddedHeaders, ResponseKind};
use ferry_serve::{
    Call, CallEvent, CallId, Event, Framing, LeavingReport, LimitReport, LoadReport, NotRunReason,
    StreamEnd,
};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::spawn_local;

use crate::body::StreamChunk;
use crate::client::{BufferedResponse, Connection, read_buffered};
use crate::driver::{ActiveCall, CallerRequest, Driver, Pending};
use crate::events::EventSplitter;
use crate::progress::TrackedBody;
use crate::relay;

/// Maximum size of an event in bytes; a stream with a larger one is treated as invalid.
const MAX_EVENT: usize = 1024 * 1024;
/// Time after the deadline for which the response of a failed call is still awaited.
const DEADLINE_MARGIN: Duration = Duration::from_millis(200);

/// Starts a call and reports its events to the reducer.
pub fn start(driver: &Rc<Driver>, call: Call) {
    let request = driver.callers.borrow().get(&call.ticket).map(|it| it.request.clone());
    let Some(request) = request else {
        return driver.warn("the caller of a call no longer exists", &call.ticket);
    };
    let id = call.call;
    let task = {
        let driver = driver.clone();
        spawn_local(async move {
            let limit = call.time_left + DEADLINE_MARGIN;
            let event = match tokio::time::timeout(limit, run(&driver, &request, &call)).await {
                Ok(event) => event,
                Err(_) => CallEvent::Broken { error: "no answer in time".to_owned() },
            };
            finish(&driver, id, event).await;
        })
    };
    let active =
        ActiveCall { task: task.abort_handle(), pending: None, relay: None, is_held: false };
    driver.calls.borrow_mut().insert(id, active);
}

/// Reports the end of a call, and completes the caller's stream if the call's stream is complete.
async fn finish(driver: &Rc<Driver>, call: CallId, event: CallEvent) {
    let relay = driver.calls.borrow().get(&call).and_then(|it| it.relay.clone());
    let is_complete = matches!(&event, CallEvent::Ended(end) if end.is_complete());
    driver.dispatch(Event::Call { call, event });
    let is_held = driver.calls.borrow().get(&call).is_some_and(|it| it.is_held);
    if !is_held {
        driver.calls.borrow_mut().remove(&call);
    }
    if let Some(relay) = relay.filter(|_| is_complete) {
        // Fails if the caller has disconnected.
        let _ = relay.send(StreamChunk::End).await;
    }
}

/// Executes a call up to the event that ends it.
async fn run(driver: &Rc<Driver>, request: &CallerRequest, call: &Call) -> CallEvent {
    let mut connection = match Connection::open(call.address).await {
        Ok(connection) => connection,
        Err(error) => return CallEvent::Unsent { error: error.to_string() },
    };
    let outgoing = match outgoing(driver, request, call) {
        Ok(outgoing) => outgoing,
        Err(error) => return CallEvent::Unsent { error: error.to_string() },
    };
    let mut response = match connection.send(outgoing).await {
        Ok(response) => response,
        Err(error) => return CallEvent::Broken { error: error.to_string() },
    };
    let load = headers::load(response.headers());
    let attempt = attempt(request);
    let kind = match &call.relayed {
        Some(_) => headers::peer_response_kind(response.status(), response.headers(), attempt),
        None => headers::response_kind(response.status(), response.headers(), attempt),
    };
    if call.relayed.is_none() {
        report_limit(driver, call, &kind, response.headers());
        report_state(driver, call, &mut response, attempt);
    } else if let Some((endpoint, started)) = relay::take_leaving(response.headers_mut()) {
        let report = LeavingReport::Leaving;
        driver.dispatch(Event::Leaving { endpoint, started, report });
    }
    match kind {
        ResponseKind::NotRun(reason) => CallEvent::NotRun { reason, load },
        ResponseKind::Mismatched => broken("the response belongs to another request"),
        ResponseKind::Matching { is_sealed } => {
            let is_success = response.status().is_success();
            if is_success && (!is_sealed || is_encoded(&response)) {
                return broken("the response is not sealed, or is encoded");
            }
            match call.is_stream && is_success {
                true => forward_stream(driver, call, response, load).await,
                false => read_response(driver, call, response, load).await,
            }
        }
    }
}

/// Reports the rate limit in a response of the endpoint. Only a run tells that there is none any longer.
fn report_limit(driver: &Rc<Driver>, call: &Call, kind: &ResponseKind, headers: &HeaderMap) {
    match (kind, headers::rate_limit(headers)) {
        (ResponseKind::Mismatched | ResponseKind::NotRun(NotRunReason::Moved), _) => (),
        (ResponseKind::NotRun(_), LimitReport::Unlimited) => (),
        (ResponseKind::NotRun(_) | ResponseKind::Matching { .. }, limit) => {
            driver.report_limit(&call.endpoint, call.started, limit);
        }
    }
}

/// Reports what the endpoint says of itself. A response that names another attempt may be an older
/// one.
fn report_state(
    driver: &Rc<Driver>,
    call: &Call,
    response: &mut Response<TrackedBody>,
    attempt: &str,
) {
    relay::strip(response.headers_mut());
    let named = response.headers().get(headers::ATTEMPT_ID);
    if named.is_some_and(|it| it.as_bytes() != attempt.as_bytes()) {
        return;
    }
    driver.report_state(&call.endpoint, call.started, response.status(), response.headers());
    if headers::leaving(response.headers()) != Some(LeavingReport::Leaving) {
        return;
    }
    let named = relay::name_leaving(response.headers_mut(), &call.endpoint, call.started);
    if let Err(error) = named {
        driver.warn_seldom("could not tell a peer of endpoints", &error);
    }
}

fn outgoing(
    driver: &Driver,
    request: &CallerRequest,
    call: &Call,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let added = AddedHeaders {
        endpoint: &call.endpoint,
        workspace: call.workspace.as_ref(),
        time_left: call.time_left,
        urgency: call.urgency,
        inputs: call.inputs.as_deref(),
        last_event: call.resume,
        is_engine: call.is_stream,
    };
    let parts = &request.parts;
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let mut outgoing = Request::builder()
        .method(parts.method.clone())
        .uri(target)
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = match &call.relayed {
        Some(relayed) => relay::outgoing_headers(driver, &parts.headers, call, relayed),
        None => headers::to_endpoint(&parts.headers, &added),
    };
    Ok(outgoing)
}

fn attempt(request: &CallerRequest) -> &str {
    let header = request.parts.headers.get(headers::ATTEMPT_ID);
    header.and_then(|it| it.to_str().ok()).map_or("", str::trim)
}

fn is_encoded(response: &Response<TrackedBody>) -> bool {
    response.headers().contains_key(http::header::CONTENT_ENCODING)
}

fn broken(error: &str) -> CallEvent {
    CallEvent::Broken { error: error.to_owned() }
}

/// Reads a complete response, which then waits for the reducer to relay it.
async fn read_response(
    driver: &Rc<Driver>,
    call: &Call,
    response: Response<TrackedBody>,
    load: Option<LoadReport>,
) -> CallEvent {
    match read_buffered(response).await {
        Ok(response) => {
            let kind = headers::answer_kind(response.status);
            if let Some(active) = driver.calls.borrow_mut().get_mut(&call.call) {
                active.pending = Some(Pending::Answer(response));
            }
            CallEvent::Answer { kind, load }
        }
        Err(error) => CallEvent::Broken { error: error.to_string() },
    }
}

/// Forwards a stream to the caller, if the reducer relays it.
async fn forward_stream(
    driver: &Rc<Driver>,
    call: &Call,
    response: Response<TrackedBody>,
    load: Option<LoadReport>,
) -> CallEvent {
    let (parts, mut body) = response.into_parts();
    let framing = framing(&parts.headers);
    let head =
        BufferedResponse { status: parts.status, headers: parts.headers, body: Bytes::new() };
    if let Some(active) = driver.calls.borrow_mut().get_mut(&call.call) {
        active.pending = Some(Pending::StreamHead(head));
    }
    driver.dispatch(Event::Call { call: call.call, event: CallEvent::Began { load } });
    let mut splitter = EventSplitter::new(call.resume);
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return CallEvent::Broken { error: error.to_string() },
        };
        let Some(data) = frame.data_ref() else { continue };
        let events = splitter.push(data);
        if MAX_EVENT < splitter.n_buffered() {
            return broken("an event is too large");
        }
        if !events.is_empty() && !forward(driver, call, events, splitter.last_id()).await {
            return broken("the caller has disconnected");
        }
    }
    let rest = splitter.finish();
    let (n_events, partial) = (splitter.n_events(), splitter.n_buffered());
    let end = StreamEnd { framing, n_events, partial };
    if !end.is_complete() {
        return CallEvent::Ended(end);
    }
    let is_received = match rest.is_empty() {
        true => receiver(driver, call).is_some(),
        false => forward(driver, call, rest, splitter.last_id()).await,
    };
    match is_received {
        true => CallEvent::Ended(end),
        false => broken("the caller has disconnected"),
    }
}

/// Returns what marks the end of the body behind these headers.
fn framing(headers: &HeaderMap) -> Framing {
    if headers.contains_key(TRANSFER_ENCODING) {
        Framing::Chunked
    } else if headers.contains_key(CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Returns what forwards a stream to the caller. The reducer holds back its head for as long as
/// another call may be the first with an event.
fn receiver(driver: &Rc<Driver>, call: &Call) -> Option<mpsc::Sender<StreamChunk>> {
    let relay = || driver.calls.borrow().get(&call.call).and_then(|it| it.relay.clone());
    relay().or_else(|| {
        let event = CallEvent::Progress { last_event: call.resume };
        driver.dispatch(Event::Call { call: call.call, event });
        relay()
    })
}

/// Forwards events; returns whether the caller is still connected.
async fn forward(driver: &Rc<Driver>, call: &Call, events: Bytes, last_event: Option<u64>) -> bool {
    let Some(relay) = receiver(driver, call) else { return false };
    match relay.try_send(StreamChunk::Data(events)) {
        Ok(()) => (),
        Err(TrySendError::Closed(_)) => return false,
        Err(TrySendError::Full(chunk)) => {
            driver.dispatch(Event::Call { call: call.call, event: CallEvent::Blocked });
            if relay.send(chunk).await.is_err() {
                return false;
            }
        }
    }
    let event = CallEvent::Progress { last_event };
    driver.dispatch(Event::Call { call: call.call, event });
    true
}

/// Returns the HTTP status of a refusal.
pub fn status_code(status: ferry_serve::Status) -> StatusCode {
    match status {
        ferry_serve::Status::Malformed => StatusCode::BAD_REQUEST,
        ferry_serve::Status::UnknownKey => StatusCode::UNAUTHORIZED,
        ferry_serve::Status::NoRoute => StatusCode::NOT_FOUND,
        ferry_serve::Status::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        ferry_serve::Status::InDoubt => StatusCode::BAD_GATEWAY,
        ferry_serve::Status::Expired => StatusCode::GATEWAY_TIMEOUT,
    }
}
