//! Generates the OpenAPI document, including the parts that dropshot cannot derive.
//!
//! The handler of requests reads the body itself, to limit the time that this takes, and responds
//! with one of two media types; both are described here from the types that the handler uses.

use schemars::r#gen::{SchemaGenerator, SchemaSettings};
use serde_json::{Value, json};

use super::{AnswerBody, EndBody, Problem, ReadyBody, RequestBody, TokenBody, api_description};

const TITLE: &str = "tarragonferry caller interface";
const REQUESTS_PATH: &str = "/v1/pipelines/{pipeline}/requests";
const READY_PATH: &str = "/v1/ready";

/// Returns the OpenAPI document of the interface.
pub fn openapi() -> Result<Value, String> {
    let version = semver::Version::new(1, 0, 0);
    let mut document =
        api_description()?.openapi(TITLE, version).json().map_err(|it| it.to_string())?;
    let mut schemas = SchemaSettings::openapi3().into_generator();
    let request = schemas.subschema_for::<RequestBody>();
    let post = &mut document["paths"][REQUESTS_PATH]["post"];
    post["requestBody"] = json!({
        "content": { "application/json": { "schema": request } },
        "required": true,
    });
    if let Some(parameters) = post["parameters"].as_array_mut() {
        parameters.extend(request_headers());
    }
    post["responses"] = request_responses(&mut schemas);
    document["paths"][READY_PATH]["get"]["responses"] = ready_responses(&mut schemas);
    schemas.subschema_for::<TokenBody>();
    schemas.subschema_for::<EndBody>();
    for (name, schema) in schemas.take_definitions() {
        document["components"]["schemas"][name] = json!(schema);
    }
    Ok(document)
}

fn request_headers() -> [Value; 2] {
    let header = |name: &str, required: bool, description: &str| {
        json!({
            "in": "header",
            "name": name,
            "required": required,
            "description": description,
            "schema": { "type": "string" },
        })
    };
    [
        header("Authorization", true, "Bearer token of a workspace."),
        header("Idempotency-Key", false, "1 to 256 visible ASCII characters."),
    ]
}

fn request_responses(schemas: &mut SchemaGenerator) -> Value {
    let answer = json!(schemas.subschema_for::<AnswerBody>());
    let problem = json!(schemas.subschema_for::<Problem>());
    let either = json!({ "anyOf": [answer.clone(), problem.clone()] });
    json!({
        "200": {
            "description": "complete, or a stream of token events that one end event terminates.",
            "content": {
                "application/json": { "schema": answer },
                "text/event-stream": { "schema": { "type": "string" } },
            },
        },
        "400": response("A field is invalid, or the deadline is too short.", &either),
        "401": response("The token belongs to no workspace.", &problem),
        "404": response("not_run: the pipeline does not exist.", &answer),
        "408": response("The body was not received in time.", &problem),
        "409": response("not_run: the idempotency key was used with another body.", &answer),
        "413": response("The body is too large.", &problem),
        "415": response("The body is not JSON.", &problem),
        "429": response("not_run: a limit is reached.", &either),
        "431": response("The headers are too large.", &problem),
        "502": response("failed: the request ran and failed.", &answer),
        "503": response("not_run: retry after Retry-After.", &either),
        "504": response("in_doubt: the request may have run and will not be retried.", &answer),
    })
}

fn ready_responses(schemas: &mut SchemaGenerator) -> Value {
    let ready = json!(schemas.subschema_for::<ReadyBody>());
    json!({
        "200": response("The instance accepts requests.", &ready),
        "503": response("The instance accepts no requests.", &ready),
    })
}

fn response(description: &str, schema: &Value) -> Value {
    json!({
        "description": description,
        "content": { "application/json": { "schema": schema } },
    })
}
