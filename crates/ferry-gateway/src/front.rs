//! Receives callers' requests and sends the responses.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use ferry_model::Ticket;
use ferry_platform::headers;
use ferry_serve::{Arrival, Event, Gateway, Metric, Refusal, RequestHead, Status};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::body::ResponseBody;
use crate::calls::status_code;
use crate::client::BufferedResponse;
use crate::digest::request_digest;
use crate::driver::{CallerRequest, Driver, PendingCaller, Phase, Reply};
use crate::inspector::Inspector;
use crate::memory::MemoryReservation;
use crate::progress::TrackedBody;
use crate::receiving::ReceivingGuard;
use crate::relay;
use crate::server::Interface;

/// Maximum size of a request body in bytes; a configuration can only lower it.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Reports to the reducer if a caller disconnects before its response is complete.
#[derive(Debug)]
pub struct CallerGuard {
    driver: Rc<Driver>,
    ticket: Ticket,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let caller = self.driver.callers.borrow_mut().remove(&self.ticket);
        if caller.is_some() {
            self.driver.dispatch(Event::CallerGone { ticket: self.ticket });
        }
    }
}

/// Serves a caller's request.
pub async fn serve(
    driver: Rc<Driver>,
    inspector: Inspector,
    interface: Interface,
    request: Request<TrackedBody>,
) -> Result<Response<ResponseBody>, Infallible> {
    // The connection is closed after a chunked body, so that bytes behind it are never parsed as
    // another request.
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match inspector.start_request() {
        true if inspector.is_too_large() => final_response(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is larger than allowed",
        ),
        true => final_response(StatusCode::BAD_REQUEST, "the body has a length and an encoding"),
        false => respond(&driver, interface, request).await,
    };
    if interface != Interface::Relay {
        relay::strip(response.headers_mut());
    }
    if is_chunked || *driver.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn respond(
    driver: &Rc<Driver>,
    interface: Interface,
    request: Request<TrackedBody>,
) -> Response<ResponseBody> {
    let since = Instant::now();
    let Some(config) = driver.query(|it| it.config().cloned()) else {
        return refusal_response(&Refusal {
            status: Status::NotRun,
            retry_after: Some(driver.query(|it| it.context().tuning.retry_after)),
            reason: "no configuration is known yet",
        });
    };
    let (mut parts, body) = request.into_parts();
    let relayed = relay::take(driver, &mut parts.headers).filter(|_| interface == Interface::Relay);
    let receiving = ReceivingGuard::new(driver);
    let mut phase = driver.phase.subscribe();
    let limit = config.limits.body.min(MAX_BODY);
    // A body that is complete comes first, so that the reducer decides on its request.
    let read = tokio::select! {
        biased;
        read = read_body(driver, body, limit) => read,
        // The rest of the body is not read.
        _ = phase.wait_for(|it| *it == Phase::Stopped) => {
            Err(Box::new(refusal_response(&driver.query(Gateway::exit_refusal))))
        }
    };
    let (body, reservation) = match read {
        Ok(read) => read,
        Err(response) => return *response,
    };
    let host = parts
        .uri
        .authority()
        .map(|it| it.as_str().to_owned())
        .or_else(|| parts.headers.get(HOST).and_then(|it| it.to_str().ok()).map(str::to_owned));
    let Some(host) = host else {
        return final_response(StatusCode::BAD_REQUEST, "the host is missing");
    };
    let host = host.split(':').next().unwrap_or_default();
    let head = match headers::read_head(host, parts.uri.path(), &parts.headers) {
        Ok(head) => RequestHead { relayed, ..head },
        Err(problem) => return final_response(StatusCode::BAD_REQUEST, problem),
    };
    driver.note_parts(head.n_unreadable);
    let path = parts.uri.path_and_query().map_or(parts.uri.path(), |it| it.as_str());
    let digest = request_digest(&parts.method, host, path, &body);
    let ticket = driver.next_ticket();
    let (reply, replied) = oneshot::channel();
    let request = Rc::new(CallerRequest { parts, body, _reservation: reservation });
    let caller = PendingCaller { request, reply: Some(reply), stream: None, since };
    driver.callers.borrow_mut().insert(ticket, caller);
    let guard = CallerGuard { driver: driver.clone(), ticket };
    driver.dispatch(Event::Arrive(Box::new(Arrival { ticket, digest, head })));
    drop(receiving);
    match replied.await {
        Ok(Reply::Refusal(it)) => refusal_response(&it),
        Ok(Reply::Buffered(response)) => {
            driver.metrics.record_response(since.elapsed());
            buffered_response(driver, response)
        }
        Ok(Reply::Stream(head, chunks)) => {
            let body = ResponseBody::Stream { chunks, is_over: false, _guard: guard };
            let mut response = from_endpoint(&head, body);
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        Err(_) => {
            driver.warn("a request was dropped without a response", &ticket);
            final_response(StatusCode::BAD_GATEWAY, "the request was dropped")
        }
    }
}

/// Reads a body while memory is available; the error is the response to send.
async fn read_body(
    driver: &Driver,
    body: TrackedBody,
    limit: usize,
) -> Result<(Bytes, MemoryReservation), Box<Response<ResponseBody>>> {
    let mut body = Limited::new(body, limit);
    let mut reservation = driver.memory.reserve();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) if error.is::<LengthLimitError>() => {
                let reason = "the body is larger than allowed";
                return Err(Box::new(final_response(StatusCode::PAYLOAD_TOO_LARGE, reason)));
            }
            Err(_) => {
                return Err(Box::new(final_response(
                    StatusCode::BAD_REQUEST,
                    "could not read the body",
                )));
            }
        };
        let Some(data) = frame.data_ref() else { continue };
        if !reservation.try_grow(data.len()) {
            return Err(Box::new(out_of_memory(driver)));
        }
        bytes.extend_from_slice(data);
    }
    Ok((bytes.freeze(), reservation))
}

/// Refuses a request because there is no memory for its body; the rest of the body is not read.
fn out_of_memory(driver: &Driver) -> Response<ResponseBody> {
    driver.metrics.count(Metric::BodiesRefused);
    let mut response = refusal_response(&Refusal {
        status: Status::NotRun,
        retry_after: Some(driver.query(|it| it.context().tuning.retry_after)),
        reason: "there is no memory for the body",
    });
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn buffered_response(driver: &Driver, mut response: BufferedResponse) -> Response<ResponseBody> {
    let mut reservation = driver.memory.reserve();
    reservation.grow(response.body.len());
    let body = ResponseBody::Buffered(std::mem::take(&mut response.body), Some(reservation));
    from_endpoint(&response, body)
}

fn from_endpoint(head: &BufferedResponse, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers::to_caller(&head.headers);
    response
}

fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = text_response(status_code(refusal.status), refusal.reason);
    if let Some(pause) = refusal.retry_after {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns an error response that closes the connection.
fn final_response(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = text_response(status, reason);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn text_response(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response =
        Response::new(ResponseBody::Buffered(Bytes::from_static(reason.as_bytes()), None));
    *response.status_mut() = status;
    response
}
