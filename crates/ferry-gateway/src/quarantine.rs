//! The operator's interface to prompt parts that crash endpoints; docs/OPERATIONS.md has examples.

use std::rc::Rc;
use std::time::SystemTime;

use ferry_model::PoolId;
use ferry_serve::{Event, PartId, QuarantineAction, QuarantineRecord};
use http::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::driver::Driver;

const PATH: &str = "/v1/quarantine";

/// A record as operators see it.
#[derive(Debug, Serialize)]
struct Entry<'a> {
    pool: &'a str,
    /// In hexadecimal, as callers name it.
    part: String,
    state: &'static str,
    since: String,
    reason: &'static str,
}

/// Why a request of an operator has no effect.
#[derive(Debug, Error)]
pub enum OperatorError {
    #[error("GET takes {PATH}, PUT and DELETE take {PATH}/POOL/PART")]
    Path,
    #[error("the pool is not valid percent-encoded UTF-8")]
    PoolEncoding,
    #[error("there is no pool {0:?}")]
    Pool(PoolId),
    #[error("the part {0:?} is not a hexadecimal number of up to 16 digits")]
    Part(String),
    #[error("the part {part:x} of pool {pool:?} is not in quarantine")]
    Sound { pool: PoolId, part: PartId },
    #[error("GET lists, PUT sets and DELETE lifts a quarantine")]
    Method,
    #[error("no configuration is known yet")]
    Unconfigured,
    #[error("could not serialize the response: {0}")]
    Json(#[from] serde_json::Error),
    #[error("could not format a time: {0}")]
    Time(#[from] time::error::Format),
}

impl OperatorError {
    pub fn status(&self) -> StatusCode {
        match self {
            OperatorError::Path
            | OperatorError::PoolEncoding
            | OperatorError::Pool(_)
            | OperatorError::Part(_)
            | OperatorError::Sound { .. } => StatusCode::BAD_REQUEST,
            OperatorError::Method => StatusCode::METHOD_NOT_ALLOWED,
            OperatorError::Unconfigured => StatusCode::SERVICE_UNAVAILABLE,
            OperatorError::Json(_) | OperatorError::Time(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Returns whether a path belongs to this interface.
pub fn has_path(path: &str) -> bool {
    path.strip_prefix(PATH).is_some_and(|it| it.is_empty() || it.starts_with('/'))
}

/// Does what an operator asks for; returns the body of the response, in JSON.
pub fn serve(driver: &Rc<Driver>, method: &Method, path: &str) -> Result<Vec<u8>, OperatorError> {
    let path = path.strip_prefix(PATH).unwrap_or_default();
    match method.as_str() {
        "GET" if path.is_empty() => list(driver),
        "GET" => Err(OperatorError::Path),
        "PUT" => change(driver, path, QuarantineAction::Set),
        "DELETE" => change(driver, path, QuarantineAction::Lift),
        _ => Err(OperatorError::Method),
    }
}

/// Lists the parts in quarantine, and those that were lifted.
fn list(driver: &Driver) -> Result<Vec<u8>, OperatorError> {
    driver.query(|it| {
        let records = it.quarantine().iter();
        let entries = records.map(|(pool, part, it)| entry(driver, pool, part, it));
        let entries: Vec<Entry<'_>> = entries.collect::<Result<_, _>>()?;
        Ok(serde_json::to_vec(&entries)?)
    })
}

/// Sets or lifts a quarantine; returns its record.
fn change(
    driver: &Rc<Driver>,
    path: &str,
    action: QuarantineAction,
) -> Result<Vec<u8>, OperatorError> {
    let (pool, part) = read_path(path)?;
    driver.query(|it| {
        let catalog = &it.context().catalog;
        catalog.config().ok_or(OperatorError::Unconfigured)?;
        if !catalog.has_pool(&pool) {
            return Err(OperatorError::Pool(pool.clone()));
        }
        let is_sound = !it.quarantine().is_quarantined(&pool, part);
        match action {
            QuarantineAction::Lift if is_sound => {
                Err(OperatorError::Sound { pool: pool.clone(), part })
            }
            QuarantineAction::Set | QuarantineAction::Lift => Ok(()),
        }
    })?;
    driver.dispatch(Event::Quarantine { pool: pool.clone(), part, action });
    driver.query(|it| {
        let record = it.quarantine().get(&pool, part);
        let entry = record.map(|it| entry(driver, &pool, part, it)).transpose()?;
        Ok(serde_json::to_vec(&entry)?)
    })
}

/// Reads the pool and the part of a path.
fn read_path(path: &str) -> Result<(PoolId, PartId), OperatorError> {
    let (pool, part) = path.rsplit_once('/').ok_or(OperatorError::Path)?;
    let pool = pool.strip_prefix('/').filter(|it| !it.is_empty()).ok_or(OperatorError::Path)?;
    let pool = percent_decode_str(pool).decode_utf8().map_err(|_| OperatorError::PoolEncoding)?;
    // The number may not have a sign.
    let is_hex = part.bytes().all(|it| it.is_ascii_hexdigit());
    let id = PartId::from_str_radix(part, 16).ok().filter(|_| is_hex);
    Ok((pool.into_owned(), id.ok_or(OperatorError::Part(part.to_owned()))?))
}

fn entry<'a>(
    driver: &Driver,
    pool: &'a str,
    part: PartId,
    record: &QuarantineRecord,
) -> Result<Entry<'a>, time::error::Format> {
    let age = driver.now().saturating_sub(record.since);
    let since = OffsetDateTime::from(SystemTime::now() - age);
    Ok(Entry {
        pool,
        part: format!("{part:x}"),
        state: record.state.into(),
        since: since.format(&Rfc3339)?,
        reason: record.reason.into(),
    })
}
