//! Reads and writes the records of builds and streams in the platform's store.

use std::rc::Rc;

use bytes::Bytes;
use ferry_platform::records;
use ferry_platform::store::{self, Kind};
use ferry_serve::{Event, RecordCall, RecordReply, StoredRecords, WriteFailure};
use http::{Method, StatusCode};
use serde_json::Value;
use tokio::task::spawn_local;

use crate::client::InternalCall;
use crate::driver::Driver;
use crate::store::{Client, RESPONSE_TIMEOUT, StoreError};

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
                let body = records::builds_body(&builds);
                let result = write(&client, Kind::Builds, &builds.pool, builds.revision, &body);
                let result = logged(&driver, "write the builds of a pool to", result.await);
                RecordReply::Builds { pool: builds.pool, result: result.map_err(failure) }
            }
            RecordCall::WriteStreams(slot) => {
                let (name, body) = (records::slot_name(&slot), records::streams_body(&slot));
                let result = write(&client, Kind::Streams, &name, slot.revision, &body).await;
                let result = logged(&driver, "write records of streams to", result);
                RecordReply::Streams { slot: slot.number, result: result.map_err(failure) }
            }
            RecordCall::DeleteStreams(slot) => {
                let path = records::delete_path(&slot);
                let deleted = client.call(&InternalCall::delete(path), RESPONSE_TIMEOUT).await;
                // One that is still there is found by the next read.
                let _ = logged(&driver, "delete records of streams from", deleted);
                return;
            }
        };
        driver.dispatch(Event::Record(reply));
    });
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

/// Creates or replaces an object, and returns its new revision.
async fn write(
    client: &Client,
    kind: Kind,
    name: &str,
    revision: Option<u64>,
    body: &Value,
) -> Result<u64, StoreError> {
    let body = Bytes::from(body.to_string());
    let call = match revision {
        Some(_) => InternalCall::json(Method::PUT, &store::object_path(kind, name), body),
        None => InternalCall::json(Method::POST, &store::create_path(kind), body),
    };
    let body = client.call(&call, RESPONSE_TIMEOUT).await?;
    Ok(store::read_object(&body)?.revision)
}

/// An object that does not exist any longer counts as changed.
fn failure(error: StoreError) -> WriteFailure {
    match error {
        StoreError::Status(StatusCode::CONFLICT | StatusCode::NOT_FOUND) => WriteFailure::Conflict,
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
