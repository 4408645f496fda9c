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

use crate::body::CallerBody;
use crate::calls::status_code;
use crate::connect::Answer;
use crate::inspect::Inspector;
use crate::memory::Held;
use crate::shell::{CallerRequest, Reply, Shell, Stage, Waiter};

/// Largest body that is read while no configuration tells a limit.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Tells the reducer when a caller leaves before its answer is whole.
#[derive(Debug)]
pub struct CallerGuard {
    shell: Rc<Shell>,
    ticket: Ticket,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let waiter = self.shell.callers.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            self.shell.dispatch(Event::CallerGone { ticket: self.ticket });
        }
    }
}

/// Serves one request of a caller.
pub async fn serve(
    shell: Rc<Shell>,
    inspector: Inspector,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    // A body in chunks ends its connection: what might stand behind it is never read as a request.
    let is_last = request.headers().contains_key(TRANSFER_ENCODING);
    let is_ambiguous = is_last && inspector.is_ambiguous();
    inspector.served();
    let mut response = match is_ambiguous {
        true => last(StatusCode::BAD_REQUEST, "the body has a length and an encoding"),
        false => answer(&shell, request).await,
    };
    if is_last || *shell.stage.borrow() != Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn answer(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<CallerBody> {
    let since = Instant::now();
    let Some(config) = shell.ask(|it| it.config().cloned()) else {
        return refusal(&Refusal {
            status: Status::NotRun,
            retry_after: Some(shell.ask(|it| it.context().tuning.retry_after)),
            reason: "no configuration is known yet",
        });
    };
    let (parts, body) = request.into_parts();
    let (body, held) = match read(shell, body, config.limits.body.min(BODY_LIMIT)).await {
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
    let ticket = shell.next_ticket();
    let (reply, replied) = oneshot::channel();
    let request = Rc::new(CallerRequest { parts, body, _held: held });
    let waiter = Waiter { request, reply: Some(reply), stream: None, since };
    shell.callers.borrow_mut().insert(ticket, waiter);
    let guard = CallerGuard { shell: shell.clone(), ticket };
    shell.dispatch(Event::Arrive(Box::new(Arrival { ticket, head })));
    match replied.await {
        Ok(Reply::Refusal(it)) => refusal(&it),
        Ok(Reply::Whole(answer)) => {
            shell.metrics.answered(since.elapsed());
            whole(shell, answer)
        }
        Ok(Reply::Stream(head, parts)) => {
            let body = CallerBody::Stream { parts, is_over: false, _guard: guard };
            let mut response = from_endpoint(&head, body);
            response.headers_mut().remove(CONTENT_LENGTH);
            response
        }
        Err(_) => {
            shell.warn("a request was dropped without an answer", &ticket);
            last(StatusCode::BAD_GATEWAY, "the request was dropped")
        }
    }
}

/// Reads a body as long as there is memory for it; the error is the answer.
async fn read(
    shell: &Shell,
    body: Incoming,
    limit: usize,
) -> Result<(Bytes, Held), Box<Response<CallerBody>>> {
    let mut body = Limited::new(body, limit);
    let mut held = shell.memory.hold();
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
        if !held.grow(data.len()) {
            return Err(Box::new(full(shell)));
        }
        all.extend_from_slice(data);
    }
    Ok((all.freeze(), held))
}

/// Refuses a request for whose body there is no memory; what is left of it is not read.
fn full(shell: &Shell) -> Response<CallerBody> {
    shell.metrics.count(Metric::BodiesRefused);
    let mut response = refusal(&Refusal {
        status: Status::NotRun,
        retry_after: Some(shell.ask(|it| it.context().tuning.retry_after)),
        reason: "there is no memory for the body",
    });
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn whole(shell: &Shell, mut answer: Answer) -> Response<CallerBody> {
    let mut held = shell.memory.hold();
    held.count(answer.body.len());
    let body = CallerBody::Whole(std::mem::take(&mut answer.body), Some(held));
    from_endpoint(&answer, body)
}

fn from_endpoint(answer: &Answer, body: CallerBody) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers::to_caller(&answer.headers);
    response
}

fn refusal(refusal: &Refusal) -> Response<CallerBody> {
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
fn last(status: StatusCode, reason: &'static str) -> Response<CallerBody> {
    let mut response = plain(status, reason);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, reason: &'static str) -> Response<CallerBody> {
    let mut response =
        Response::new(CallerBody::Whole(Bytes::from_static(reason.as_bytes()), None));
    *response.status_mut() = status;
    response
}
