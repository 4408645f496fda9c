//! Reads and writes the records of builds and streams in the platform's store.

use std::rc::Rc;
use std::time::SystemTime;

use bytes::Bytes;
use ferry_model::{StorePosition, store_era, store_revision};
use ferry_platform::store::{self, Kind};
use ferry_platform::{crashes, quarantine, records};
use ferry_serve::{
    Event, Metric, PoolBuilds, QuarantineCall, QuarantineReply, RecordCall, RecordReply,
    StoredQuarantine, StoredRecords, StreamSlot, WriteFailure,
};
use http::{Method, StatusCode};
use serde_json::Value;
use tokio::task::spawn_local;

use crate::client::InternalCall;
use crate::driver::Driver;
use crate::store::{Answer, Client, RESPONSE_TIMEOUT, StoreError};

/// Makes a call, and reports its result to the reducer.
pub fn start(driver: &Rc<Driver>, call: RecordCall) {
    let driver = driver.clone();
    spawn_local(async move {
        let client = Client::with_connections(&driver, driver.record_connections.clone());
        let reply = match call {
            RecordCall::Read { id, with_streams } => {
                let records = read(&client, with_streams).await;
                RecordReply::Read { id, records: logged(&driver, "read", records).ok() }
            }
            RecordCall::WriteBuilds(builds) => {
                let name = builds.pool.clone();
                let result = write(&client, Kind::Builds, &name, builds.revision, |revision| {
                    records::builds_body(&PoolBuilds { revision, ..builds.clone() })
                });
                let result = logged(&driver, "write the builds of a pool to", result.await);
                RecordReply::Builds { pool: builds.pool, result: result.map_err(failure) }
            }
            RecordCall::WriteStreams(slot) => {
                let name = records::slot_name(&slot);
                let result = write(&client, Kind::Streams, &name, slot.revision, |revision| {
                    records::streams_body(&StreamSlot { revision, ..slot.clone() })
                });
                let result = logged(&driver, "write records of streams to", result.await);
                RecordReply::Streams { slot: slot.number, result: result.map_err(failure) }
            }
            RecordCall::Quarantine(call) => {
                RecordReply::Quarantine(quarantine(&driver, &client, call).await)
            }
            RecordCall::DeleteStreams(slot) => {
                if slot.revision.is_some_and(|it| store_era(it) != client.era()) {
                    // The next read tells which revision it has now.
                    return;
                }
                let revision = slot.revision.map(store_revision);
                let path = records::delete_path(&StreamSlot { revision, ..slot });
                let deleted = client.call(&InternalCall::delete(path), RESPONSE_TIMEOUT).await;
                // One that is still there is found by the next read.
                let _ = logged(&driver, "delete records of streams from", deleted);
                return;
            }
        };
        driver.dispatch(Event::Record(reply));
    });
}

async fn quarantine(driver: &Rc<Driver>, client: &Client, call: QuarantineCall) -> QuarantineReply {
    match call {
        QuarantineCall::Read => {
            let stored = read_quarantine(driver, client).await;
            QuarantineReply::Read(logged(driver, "read the quarantine in", stored).ok())
        }
        QuarantineCall::Write { key, record, revision } => {
            let body = |it| quarantine::body(&key, record, it, SystemTime::now());
            let name = quarantine::name(&key);
            let written = write(client, Kind::Quarantine, &name, revision, body).await;
            let written = logged(driver, "write the quarantine to", written);
            QuarantineReply::Written(written.map(Some).map_err(failure))
        }
        QuarantineCall::Delete { key, revision } => {
            if revision.is_some_and(|it| store_era(it) != client.era()) {
                return QuarantineReply::Written(Err(WriteFailure::Conflict));
            }
            let path = quarantine::delete_path(&key, revision.map(store_revision));
            let deleted = client.call(&InternalCall::delete(path), RESPONSE_TIMEOUT).await;
            let deleted = logged(driver, "delete the quarantine from", deleted);
            QuarantineReply::Written(deleted.map(|_| None).map_err(failure))
        }
        QuarantineCall::WriteCrashes { pool, open, revision } => {
            let body = |it| crashes::body(&pool, &open, it, SystemTime::now());
            let name = crashes::name(&pool);
            let written = write(client, Kind::Quarantine, &name, revision, body).await;
            let written = logged(driver, "write open crashes to", written);
            QuarantineReply::Written(written.map(Some).map_err(failure))
        }
        QuarantineCall::DeleteCrashes { pool, revision } => {
            if store_era(revision) != client.era() {
                return QuarantineReply::Written(Err(WriteFailure::Conflict));
            }
            let path = crashes::delete_path(&pool, store_revision(revision));
            let deleted = client.call(&InternalCall::delete(path), RESPONSE_TIMEOUT).await;
            let deleted = logged(driver, "delete open crashes from", deleted);
            QuarantineReply::Written(deleted.map(|_| None).map_err(failure))
        }
    }
}

/// Reads what the store has of the quarantine. An object that cannot be read costs only itself.
async fn read_quarantine(
    driver: &Rc<Driver>,
    client: &Client,
) -> Result<StoredQuarantine, StoreError> {
    let (objects, _) = client.list(Kind::Quarantine).await?;
    let now = SystemTime::now();
    let mut stored = StoredQuarantine::default();
    for object in &objects {
        if let Some(read) = crashes::read(object, now) {
            if 0 < read.n_unreadable {
                driver.metrics.count(Metric::ObjectsUnreadable);
                driver.warn_seldom("could not read all open crashes of a pool", &object.name);
            }
            stored.crashes.push(read.stored);
            continue;
        }
        let entry = quarantine::read(object, now);
        if entry.as_ref().is_none_or(|it| it.record.is_none()) {
            driver.metrics.count(Metric::ObjectsUnreadable);
            driver.warn_seldom("ignored a record of the quarantine", &object.name);
        }
        stored.entries.extend(entry);
    }
    Ok(stored)
}

async fn read(client: &Client, with_streams: bool) -> Result<StoredRecords, StoreError> {
    let (objects, _) = client.list(Kind::Builds).await?;
    let pools = objects.iter().filter_map(records::read_builds).collect();
    let streams = match with_streams {
        true => {
            let (objects, _) = client.list(Kind::Streams).await?;
            Some(objects.iter().filter_map(records::read_streams).collect())
        }
        false => None,
    };
    Ok(StoredRecords { pools, streams })
}

/// Creates an object, or replaces the one at a position, and returns its new position. `body` writes
/// it with the revision to replace.
async fn write(
    client: &Client,
    kind: Kind,
    name: &str,
    position: Option<StorePosition>,
    body: impl Fn(Option<u64>) -> Value,
) -> Result<StorePosition, StoreError> {
    let known = client.era();
    if position.is_some_and(|it| store_era(it) != known) {
        return Err(StoreError::NewEra);
    }
    let body = Bytes::from(body(position.map(store_revision)).to_string());
    let call = match position {
        Some(_) => InternalCall::json(Method::PUT, &store::object_path(kind, name), body),
        None => InternalCall::json(Method::POST, &store::create_path(kind), body),
    };
    let Answer { body, era } = client.call(&call, RESPONSE_TIMEOUT).await?;
    Ok(store::read_object(&body)?.with_era(era).revision)
}

/// An object that does not exist any longer counts as changed.
fn failure(error: StoreError) -> WriteFailure {
    match error {
        StoreError::Status(StatusCode::CONFLICT | StatusCode::NOT_FOUND) | StoreError::NewEra => {
            WriteFailure::Conflict
        }
        _ => WriteFailure::Failed,
    }
}

fn logged<T>(
    driver: &Rc<Driver>,
    what: &str,
    result: Result<T, StoreError>,
) -> Result<T, StoreError> {
    if let Err(error) = &result {
        slog::debug!(driver.log, "could not {} the store", what; "error" => error.to_string());
    }
    result
}
