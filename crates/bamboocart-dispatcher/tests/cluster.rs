//! A complete system starts, serves requests and repeats its answers.

mod support;

use serde_json::{Value, json};
use support::{Cluster, ClusterSettings, call};

/// Guards against a fixture that does not start the system it describes: each instance
/// serves a request, and every instance repeats the answer.
#[test]
fn every_instance_serves() {
    let cluster = Cluster::start(ClusterSettings::default());
    for instance in &cluster.instances {
        let body = json!({
            "customer": "float-storage", "kind": "bay-check", "payload": "{\"run_ms\":5}",
        });
        let (status, answer) = call("POST", instance.address, "/v1/requests", &body);
        assert_eq!((status, &answer["code"]), (200, &json!("complete")), "{answer}");
        let path = format!("/v1/submissions/{}", answer["submission"].as_str().unwrap());
        for other in &cluster.instances {
            let (_, repeated) = call("GET", other.address, &path, &Value::Null);
            assert_eq!(repeated["results"], answer["results"], "{repeated}");
        }
    }
}
