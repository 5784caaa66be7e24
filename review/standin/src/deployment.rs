//! Settings of the serving processes as `deploy/entry.json` gives them on a small deployment.

use serde_json::{json, Value};

/// All settings but names and addresses, which differ between processes.
pub fn settings() -> Value {
    json!({
        "core_share": 0.25,
        "drain_ms": 3000,
        "stop_limit_ms": 8000,
        "routing": "two-choices",
        "waiting_overage": 0.1,
        "quota_overage": 0.1,
        "overload": { "shared_evidence": true, "capacity_admission": true, "vms_min": 64 },
        "results_kept_s": 120,
        "log": { "format": "json", "level": "info" },
    })
}
