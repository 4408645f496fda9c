//! Watches, which stream changes as JSON lines, with bookmarks while nothing changes.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{Body, HttpError};
use ferry_edge::wire::{ObjectBody, ObjectMeta, WatchKind, WatchLine};
use ferry_model::Version;
use futures_util::stream;
use http::{Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

use super::PlatformState;
use super::objects::status;
use super::state::{Inner, body_of};

/// Time between bookmarks.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(4);

struct Watch {
    state: PlatformState,
    kind: String,
    position: Version,
    newest: Receiver<Version>,
    /// When the next bookmark is due.
    due: Instant,
    /// Lines that are sent before any change.
    first: Option<Bytes>,
}

/// Streams the changes of a kind after version `since`; zero starts with the present objects.
pub fn respond(
    state: PlatformState,
    kind: String,
    since: Version,
) -> Result<Response<Body>, HttpError> {
    let newest = state.subscribe();
    let (first, position) = {
        let inner = state.lock();
        if since != 0 && since < inner.compacted {
            return status(StatusCode::GONE, "changes since this version are no longer kept");
        }
        match since {
            0 => (Some(object_lines(&inner, &kind)), inner.version),
            since => (None, since),
        }
    };
    let due = Instant::now() + BOOKMARK_INTERVAL;
    let watch = Watch { state, kind, position, newest, due, first };
    let frames = stream::unfold(watch, async |mut watch| {
        let lines = watch.next().await;
        Some((Ok::<_, Infallible>(Frame::data(lines)), watch))
    });
    Response::builder()
        .status(StatusCode::OK)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::wrap(StreamBody::new(frames)))
        .map_err(|it| HttpError::for_internal_error(it.to_string()))
}

impl Watch {
    async fn next(&mut self) -> Bytes {
        if let Some(first) = self.first.take().filter(|it| !it.is_empty()) {
            return first;
        }
        loop {
            self.newest.mark_unchanged();
            if let Some(lines) = self.changed_lines() {
                return lines;
            }
            let changed = tokio::time::timeout_at(self.due, self.newest.changed()).await;
            if changed.is_err() {
                self.due = Instant::now() + BOOKMARK_INTERVAL;
                if !self.state.faults().silent_watches {
                    return self.bookmark();
                }
            }
        }
    }

    /// Returns the lines for the changes since the position, or `None` if there are none to show.
    fn changed_lines(&mut self) -> Option<Bytes> {
        let inner = self.state.lock();
        if inner.faults.silent_watches {
            return None;
        }
        if self.position < inner.compacted {
            self.position = inner.version;
            return Some(line(WatchKind::Error, bookmark_object(inner.version)));
        }
        let gap = inner.gap_start + 1..=inner.gap_end;
        let mut lines = Vec::new();
        let from = inner.changes.partition_point(|it| it.object.version <= self.position);
        for change in inner.changes.range(from..) {
            if change.key.0 == self.kind && !gap.contains(&change.object.version) {
                let body = body_of(&change.key.1, &change.object);
                lines.extend_from_slice(&line(change.kind, body));
            }
        }
        self.position = inner.version;
        (!lines.is_empty()).then(|| Bytes::from(lines))
    }

    fn bookmark(&self) -> Bytes {
        line(WatchKind::Bookmark, bookmark_object(self.position))
    }
}

fn object_lines(inner: &Inner, kind: &str) -> Bytes {
    let mut found: Vec<_> = inner.objects.iter().filter(|((it, _), _)| it == kind).collect();
    found.sort_by_key(|(_, object)| object.version);
    let mut lines = Vec::new();
    for ((_, name), object) in found {
        lines.extend_from_slice(&line(WatchKind::Added, body_of(name, object)));
    }
    Bytes::from(lines)
}

fn bookmark_object(version: Version) -> ObjectBody {
    let metadata = ObjectMeta { name: String::new(), resource_version: version.to_string() };
    ObjectBody { metadata, spec: serde_json::Value::Null }
}

fn line(kind: WatchKind, object: ObjectBody) -> Bytes {
    let mut text = serde_json::to_string(&WatchLine { kind, object }).unwrap_or_default();
    text.push('\n');
    Bytes::from(text)
}
