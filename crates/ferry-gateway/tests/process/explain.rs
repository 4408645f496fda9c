//! The operator's question where a request would go now.

use ferry_soak::config::{API_KEY, HOST, Route};
use serde_json::Value;

use crate::harness::{exchange, with_cluster};

#[test]
fn gateway_explains_a_request_without_sending_it() {
    struct Case {
        target: String,
        status: &'static str,
        is_accepted: Option<bool>,
    }
    with_cluster("explain", 1, async |cluster| {
        let path = Route::Get.path();
        let cases = [
            Case {
                target: format!("/v1/explain?host={HOST}&path={path}"),
                status: "200",
                is_accepted: Some(true),
            },
            Case {
                target: format!("/v1/explain?host=nowhere&path={path}"),
                status: "200",
                is_accepted: Some(false),
            },
            Case { target: format!("/v1/explain?host={HOST}"), status: "400", is_accepted: None },
            Case {
                target: format!("/v1/explain?host=%ff&path={path}"),
                status: "400",
                is_accepted: None,
            },
        ];
        for Case { target, status, is_accepted } in cases {
            let request = format!(
                "GET {target} HTTP/1.1\r\nHost: gateway\r\nApi-Key: {API_KEY}\r\n\
                 Connection: close\r\n\r\n"
            );
            let response = exchange(cluster.nodes[0].ready(), request.as_bytes()).await;
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{target}: {response}");
            let Some(is_accepted) = is_accepted else { continue };
            let body = response.split_once("\r\n\r\n").expect("there is a body").1;
            let answer: Value = serde_json::from_str(body).expect("the body is JSON");
            assert_eq!(answer["is_accepted"], is_accepted, "{target}: {answer}");
            if is_accepted {
                let endpoints = answer["pools"][0]["endpoints"].as_array().expect("a list");
                assert!(endpoints.iter().all(|it| it["standing"] == "open"), "{answer}");
            }
        }
        // Callers do not get an answer to it.
        let path = "/v1/explain?host=h&path=/p/";
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let response = exchange(cluster.nodes[0].directory(), request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 404"), "{response}");
        let n_runs: usize = cluster.endpoints.iter().map(|it| cluster.checker.n_runs(&it.id)).sum();
        assert_eq!(n_runs, 0, "nothing was sent");
    });
}
