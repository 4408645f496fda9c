//! The operator's interface to requests and prompt parts that crash endpoints; docs/OPERATIONS.md has
//! examples.

use std::rc::Rc;
use std::time::SystemTime;

use ferry_model::PoolId;
use ferry_serve::{
    CrashCandidate, Event, LongId, PartId, Quarantine, QuarantineAction, QuarantineRecord,
    RequestDigest, read_part_id,
};
use http::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::driver::Driver;

const PATH: &str = "/v1/quarantine";
/// Start of an id that names a part, whatever its length.
const PART: &str = "part:";
/// Largest number of digits of a part's id without that start; that of a request has exactly twice as many.
const PART_DIGITS: usize = 2 * size_of::<PartId>();
const REQUEST_DIGITS: usize = 2 * size_of::<RequestDigest>();

/// What an operator's request is about.
#[derive(Debug)]
struct Target {
    pool: PoolId,
    candidate: CrashCandidate,
    long_id: Option<LongId>,
}

/// A record as operators see it.
#[derive(Debug, Serialize)]
struct Entry<'a> {
    pool: &'a str,
    #[serde(flatten)]
    id: EntryId,
    /// A part as callers have written it, if that is longer.
    #[serde(skip_serializing_if = "Option::is_none")]
    written: Option<&'a str>,
    state: &'static str,
    since: String,
    reason: &'static str,
}

/// The name of a candidate, in hexadecimal.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum EntryId {
    /// As callers name it, or the key of a longer id.
    Part(String),
    /// As `admit` lines of the log have it.
    Request(String),
}

impl From<CrashCandidate> for EntryId {
    fn from(candidate: CrashCandidate) -> EntryId {
        match candidate {
            CrashCandidate::Part(id) => EntryId::Part(format!("{id:x}")),
            CrashCandidate::Request(digest) => EntryId::Request(format!("{digest:032x}")),
        }
    }
}

/// Why a request of an operator has no effect.
#[derive(Debug, Error)]
pub enum OperatorError {
    #[error("GET takes {PATH}, PUT and DELETE take {PATH}/POOL/ID")]
    Path,
    #[error("the pool is not valid percent-encoded UTF-8")]
    PoolEncoding,
    #[error("there is no pool {0:?}")]
    Pool(PoolId),
    #[error(
        "the id {0:?} is not a hexadecimal number of up to {PART_DIGITS} digits, for a part, or of \
         {REQUEST_DIGITS}, for a request; that of a part may have any length behind {PART:?}"
    )]
    Id(String),
    #[error("{candidate} of pool {pool:?} is not in quarantine")]
    NotQuarantined { pool: PoolId, candidate: CrashCandidate },
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
            | OperatorError::Id(_)
            | OperatorError::NotQuarantined { .. } => StatusCode::BAD_REQUEST,
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

/// Lists what is in quarantine, and what was lifted.
fn list(driver: &Driver) -> Result<Vec<u8>, OperatorError> {
    driver.query(|it| {
        let all = it.quarantine();
        let records = all.iter();
        let entries = records.map(|(pool, id, it)| entry(driver, all, (pool.as_str(), id), it));
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
    let Target { pool, candidate, long_id } = read_path(path)?;
    driver.query(|it| {
        let catalog = &it.context().catalog;
        catalog.config().ok_or(OperatorError::Unconfigured)?;
        if !catalog.has_pool(&pool) {
            return Err(OperatorError::Pool(pool.clone()));
        }
        let is_quarantined = it.quarantine().is_quarantined(&pool, candidate);
        match action {
            QuarantineAction::Lift if !is_quarantined => {
                Err(OperatorError::NotQuarantined { pool: pool.clone(), candidate })
            }
            QuarantineAction::Set | QuarantineAction::Lift => Ok(()),
        }
    })?;
    driver.dispatch(Event::Quarantine { pool: pool.clone(), candidate, long_id, action });
    driver.query(|it| {
        let quarantine = it.quarantine();
        let record = quarantine.get(&pool, candidate);
        let entry = record.map(|it| entry(driver, quarantine, (&pool, candidate), it));
        let entry = entry.transpose()?;
        Ok(serde_json::to_vec(&entry)?)
    })
}

/// Reads the pool and the candidate of a path.
fn read_path(path: &str) -> Result<Target, OperatorError> {
    let (pool, id) = path.rsplit_once('/').ok_or(OperatorError::Path)?;
    let pool = pool.strip_prefix('/').filter(|it| !it.is_empty()).ok_or(OperatorError::Path)?;
    let pool = percent_decode_str(pool).decode_utf8().map_err(|_| OperatorError::PoolEncoding)?;
    let (candidate, long_id) = read_id(id).ok_or_else(|| OperatorError::Id(id.to_owned()))?;
    Ok(Target { pool: pool.into_owned(), candidate, long_id })
}

/// Reads an id, whose start or length tells what it names.
fn read_id(text: &str) -> Option<(CrashCandidate, Option<LongId>)> {
    if let Some(id) = text.strip_prefix(PART) {
        return read_part(id);
    }
    match text.len() {
        1..=PART_DIGITS => read_part(text),
        // The number may not have a sign.
        REQUEST_DIGITS if text.bytes().all(|it| it.is_ascii_hexdigit()) => {
            let digest = RequestDigest::from_str_radix(text, 16).ok()?;
            Some((CrashCandidate::Request(digest), None))
        }
        _ => None,
    }
}

fn read_part(id: &str) -> Option<(CrashCandidate, Option<LongId>)> {
    let (part, long_id) = read_part_id(id)?;
    Some((CrashCandidate::Part(part), long_id))
}

fn entry<'a>(
    driver: &Driver,
    quarantine: &'a Quarantine,
    (pool, candidate): (&'a str, CrashCandidate),
    record: &QuarantineRecord,
) -> Result<Entry<'a>, time::error::Format> {
    let age = driver.now().saturating_sub(record.since);
    let since = OffsetDateTime::from(SystemTime::now() - age);
    Ok(Entry {
        pool,
        id: candidate.into(),
        written: quarantine.long_id(candidate),
        state: record.state.into(),
        since: since.format(&Rfc3339)?,
        reason: record.reason.into(),
    })
}
