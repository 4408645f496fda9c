//! The list of prompt parts that a simulated engine has cached.

use http::{Response, StatusCode};
use serde_json::{Value, json};

use super::{Behaviour, Endpoint, PLAIN_TIME};
use crate::server::{Body, full_response};

impl Endpoint {
    /// Lists the cached prompt parts; a faulty engine does not, or responds with something else.
    pub(super) async fn list_cache(&self) -> Option<Response<Body>> {
        tokio::time::sleep(self.time(PLAIN_TIME)).await;
        self.apply_fault().await?;
        let behaviour = self.behaviour.get();
        let response = match behaviour.error_status() {
            Some(status) => full_response(status, ""),
            None if behaviour == Behaviour::WrongAttempt => {
                full_response(StatusCode::OK, "no list")
            }
            None => {
                let part = |it: &String| json!(["", it, 100, "m"]);
                let held: Vec<Value> = self.parts.borrow().iter().map(part).collect();
                let body = json!({ "epoch": 1, "Next": 1, "held": held });
                full_response(StatusCode::OK, body.to_string())
            }
        };
        Some(response)
    }
}
