//! Request bodies and the operators' configuration.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::harness::HOST;
use crate::harness::KEY;
use crate::harness::SiteOptions;

/// A job of one step with the fields of `step`, and default values for the others.
pub fn single_step_job(spec: &str, count: u32, step: &Value) -> Value {
    let mut phase = json!({ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1 });
    if let (Some(phase), Some(step)) = (phase.as_object_mut(), step.as_object()) {
        phase.extend(step.clone());
    }
    json!({ "spec": spec, "phases": [phase] })
}

pub fn job(work_ms: u64, count: u32) -> Value {
    json!({
        "spec": format!("work_ms={work_ms}"),
        "phases": [{ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimate_ms": work_ms }],
    })
}

/// The operators' configuration.
pub fn config(options: SiteOptions) -> Value {
    let mut config = json!({
        "version": 1,
        "routes": [{
            "name": "checks", "host": HOST, "prefix": "/checks/", "kind": "unsafe",
            "timeout_ms": 3000, "priority": 1, "service": "design", "max_attempts": 3,
        }],
        "services": [{ "name": "design", "enforces_capacity": options.enforces_capacity }],
        "tenants": [
            { "name": "letrafa", "api_keys": [KEY], "guaranteed": { "gpu": 4 } },
            { "name": "gait", "api_keys": ["key-of-gait"] },
        ],
    });
    if let Some(times) = options.advisor {
        let millis = |time: Duration| u64::try_from(time.as_millis()).expect("a short time");
        config["routes"][0]["advisor"] = json!({
            "decide_ms": millis(times.base), "period_ms": millis(times.per_executor),
            "validity_ms": millis(times.validity),
        });
    }
    config
}
