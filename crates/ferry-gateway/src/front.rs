//! Takes callers' requests and gives them their answers.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use ferry_model::Ticket;
use ferry_platform::headers;
use ferry_serve::{Arrival, Event, Metric, Refusal, Status};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::body::ResponseBody;
use crate::calls::status_code;
use crate::client::WholeResponse;
use crate::driver::{CallerRequest, Driver, PendingCaller, Phase, Reply};
use crate::inspector::Inspector;
use crate::memory::MemoryReservation;

/// Largest body that is read while no configuration tells a limit.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Tells the reducer when a caller leaves before its answer is whole.
#[derive(Debug)]
pub struct CallerGuard {
    driver: Rc<Driver>,
    ticket: Ticket,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let waiter = self.driver.callers.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            self.driver.dispatch(Event::CallerGone { ticket: self.ticket });
        }
    }
}

/// Serves one request of a caller.
pub async fn serve(
    driver: Rc<Driver>,
    inspector: Inspector,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    // A body in chunks ends its connection: what might stand behind it is never read as a request.
    let is_last = request.headers().contains_key(TRANSFER_ENCODING);
    let is_ambiguous = is_last && inspector.is_ambiguous();
    inspector.request_started();
    let mut response = match is_ambiguous {
        true => last(StatusCode::BAD_REQUEST, "the body has a length and an encoding"),
        false => answer(&driver, request).await,
    };
    if is_last || *driver.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn answer(driver: &Rc<Driver>, request: Request<Incoming>) -> Response<ResponseBody> {
    let since = Instant::now();
    let Some(config) = driver.query(|it| it.config().cloned()) else {
        return refusal(&Refusal {
            status: Status::NotRun,
            retry_after: Some(driver.query(|it| it.context().tuning.retry_after)),
            reason: "no configuration is known yet",
        });
    };
    let (parts, body) = request.into_parts();
    let (body, reservation) = match read(driver, body, config.limits.body.min(BODY_LIMIT)).await {
        Ok(read) => read,
        Err(answer) => return *answer,
    };
    let host = parts
        .uri
        .authority()
        .map(|it| it.as_str().to_owned())
        .or_else(|| parts.headers.get(HOST).and_then(|it| it.to_str().ok()).map(str::to_owned));
    let Some(host) = host else { return last(StatusCode::BAD_REQUEST, "the host is missing") };
    let host = host.split(':').next().unwrap_or_default();
    let head = match headers::read_head(host, parts.uri.path(), &parts.headers) {
        Ok(head) => head,
        Err(problem) => return last(StatusCode::BAD_REQUEST, problem),
    };
    let ticket = driver.next_ticket();
    let (reply, replied) = oneshot::channel();
    let request = Rc::new(CallerRequest { parts, body, _reservation: reservation });
    let waiter = PendingCaller { request, reply: Some(reply), stream: None, since };
    driver.callers.borrow_mut().insert(ticket, waiter);
    let guard = CallerGuard { driver: driver.clone(), ticket };
    driver.dispatch(Event::Arrive(Box::new(Arrival { ticket, head })));
    match replied.await {
        Ok(Reply::Refusal(it)) => refusal(&it),
        Ok(Reply::Whole(answer)) => {
            driver.metrics.answered(since.elapsed());
            whole(driver, answer)
        }
        Ok(Reply::Stream(head, parts)) => {
            let body = ResponseBody::Stream { parts, is_over: false, _guard: guard };
            let mut response = from_endpoint(&head, body);
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        Err(_) => {
            driver.warn("a request was dropped without an answer", &ticket);
            last(StatusCode::BAD_GATEWAY, "the request was dropped")
        }
    }
}

/// Reads a body as long as there is memory for it; the error is the answer.
async fn read(
    driver: &Driver,
    body: Incoming,
    limit: usize,
) -> Result<(Bytes, MemoryReservation), Box<Response<ResponseBody>>> {
    let mut body = Limited::new(body, limit);
    let mut reservation = driver.memory.reserve();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) if error.is::<LengthLimitError>() => {
                let reason = "the body is larger than allowed";
                return Err(Box::new(last(StatusCode::PAYLOAD_TOO_LARGE, reason)));
            }
            Err(_) => {
                return Err(Box::new(last(StatusCode::BAD_REQUEST, "could not read the body")));
            }
        };
        let Some(data) = frame.data_ref() else { continue };
        if !reservation.try_grow(data.len()) {
            return Err(Box::new(full(driver)));
        }
        all.extend_from_slice(data);
    }
    Ok((all.freeze(), reservation))
}

/// Refuses a request for whose body there is no memory; what is left of it is not read.
fn full(driver: &Driver) -> Response<ResponseBody> {
    driver.metrics.count(Metric::BodiesRefused);
    let mut response = refusal(&Refusal {
        status: Status::NotRun,
        retry_after: Some(driver.query(|it| it.context().tuning.retry_after)),
        reason: "there is no memory for the body",
    });
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn whole(driver: &Driver, mut answer: WholeResponse) -> Response<ResponseBody> {
    let mut reservation = driver.memory.reserve();
    reservation.grow(answer.body.len());
    let body = ResponseBody::Whole(std::mem::take(&mut answer.body), Some(reservation));
    from_endpoint(&answer, body)
}

fn from_endpoint(answer: &WholeResponse, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers::to_caller(&answer.headers);
    response
}

fn refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = plain(status_code(refusal.status), refusal.reason);
    if let Some(pause) = refusal.retry_after {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Answers a request that is not proper, and ends its connection.
fn last(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = plain(status, reason);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response =
        Response::new(ResponseBody::Whole(Bytes::from_static(reason.as_bytes()), None));
    *response.status_mut() = status;
    response
}
