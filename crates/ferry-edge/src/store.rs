//! Client of the platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_model::{ObjectKey, StoreError, StoreOp, StoreReply, StoredObject, Version};
use http::{Method, StatusCode};

use crate::http::HttpAnswer;
use crate::wire::{ObjectBody, ObjectList, ObjectMeta, kind_path, object_path};
use crate::{HttpClient, HttpError};

/// Longest wait for a watch to report something.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl StoreClient {
    pub fn new(address: SocketAddr, timeout: Duration) -> StoreClient {
        StoreClient { http: HttpClient::new(), address, timeout }
    }

    /// Makes one call; it is never repeated here.
    pub async fn run(&self, op: StoreOp) -> Result<StoreReply, StoreError> {
        match op {
            StoreOp::Get { key } => self.get(&key).await,
            StoreOp::List { kind } => {
                let answer = self.read(&kind_path(kind), self.timeout).await?;
                let list: ObjectList = parse(&answer)?;
                let version = parse_version(&list.metadata.resource_version)?;
                let objects = list.items.into_iter().map(stored).collect::<Result<_, _>>()?;
                Ok(StoreReply::List { objects, version })
            }
            StoreOp::Put { key, expect, value } => self.put(&key, expect, &value).await,
            StoreOp::Delete { key, expect } => {
                let path = format!("{}?resourceVersion={expect}", object_path(&key));
                self.write::<()>(Method::DELETE, &path, None).await?;
                Ok(StoreReply::Deleted)
            }
            StoreOp::Watch { kind, since } => {
                let path = format!("{}?watch=true&resourceVersion={since}", kind_path(kind));
                let answer = self.read(&path, WATCH_TIMEOUT).await?;
                let mut version = since;
                let mut objects = Vec::new();
                for line in answer.body.split(|it| *it == b'\n').filter(|it| !it.is_empty()) {
                    let body: ObjectBody = serde_json::from_slice(line).map_err(unreadable)?;
                    let object = stored(body)?;
                    version = version.max(object.version);
                    objects.push(object);
                }
                Ok(StoreReply::Changed { objects, version })
            }
        }
    }

    async fn get(&self, key: &ObjectKey) -> Result<StoreReply, StoreError> {
        match self.read(&object_path(key), self.timeout).await {
            Ok(answer) if answer.status == StatusCode::NOT_FOUND => Ok(StoreReply::Object(None)),
            Ok(answer) => {
                let body: ObjectBody = parse(&answer)?;
                Ok(StoreReply::Object(Some(stored(body)?)))
            }
            Err(error) => Err(error),
        }
    }

    async fn put(
        &self,
        key: &ObjectKey,
        expect: Version,
        value: &str,
    ) -> Result<StoreReply, StoreError> {
        let spec = serde_json::from_str(value)
            .map_err(|it| StoreError::Refused(format!("the value is not JSON: {it}")))?;
        let metadata = ObjectMeta { name: key.name.clone(), resource_version: expect.to_string() };
        let body = ObjectBody { metadata, spec };
        let answer = self.write(Method::PUT, &object_path(key), Some(&body)).await?;
        let written: ObjectBody =
            answer.json().map_err(|it| StoreError::Unknown(it.to_string()))?;
        Ok(StoreReply::Written(parse_version(&written.metadata.resource_version)?))
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<HttpAnswer, StoreError> {
        let answer = self
            .http
            .call::<()>(Method::GET, self.address, path, None, timeout)
            .await
            .map_err(|it| StoreError::Unavailable(it.to_string()))?;
        match answer.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(answer),
            StatusCode::GONE => Err(StoreError::Gone),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }

    async fn write<T: serde::Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<HttpAnswer, StoreError> {
        let answer = self.http.call(method, self.address, path, body, self.timeout).await;
        let answer = answer.map_err(|it| match it {
            HttpError::Connect { .. } | HttpError::Build { .. } => {
                StoreError::Unavailable(it.to_string())
            }
            HttpError::Broken { .. } | HttpError::Timeout { .. } => {
                StoreError::Unknown(it.to_string())
            }
        })?;
        match answer.status {
            status if status.is_success() => Ok(answer),
            StatusCode::CONFLICT => Err(StoreError::Conflict(0)),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable(format!("status {}", answer.status)))
            }
            status if status.is_server_error() => {
                Err(StoreError::Unknown(format!("status {status}")))
            }
            status => Err(StoreError::Refused(format!("status {status}"))),
        }
    }
}

fn stored(body: ObjectBody) -> Result<StoredObject, StoreError> {
    Ok(StoredObject {
        version: parse_version(&body.metadata.resource_version)?,
        name: body.metadata.name,
        value: body.spec.to_string(),
    })
}

fn parse<T: serde::de::DeserializeOwned>(answer: &HttpAnswer) -> Result<T, StoreError> {
    answer.json().map_err(unreadable)
}

fn parse_version(text: &str) -> Result<Version, StoreError> {
    text.parse().map_err(|_| StoreError::Refused(format!("{text:?} is not a version")))
}

fn unreadable(error: serde_json::Error) -> StoreError {
    StoreError::Unavailable(format!("could not read the answer: {error}"))
}
