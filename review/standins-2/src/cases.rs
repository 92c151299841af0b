//! The cases.

mod cut;
mod gone;
mod route;
mod successors;
mod twice;

use serde_json::{Value, json};

use crate::{
    Verdict,
    engine::{Engine, MODEL},
    fleet::Fleet,
    platform::List,
    record::Record,
};

pub async fn run(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "cut" => cut::run(record, has_trouble).await,
        "gone" => gone::run(record, has_trouble).await,
        "route" => route::run(record, has_trouble).await,
        "successors" => successors::run(record, has_trouble).await,
        "twice" => twice::run(record, has_trouble).await,
        _ => Verdict::CannotRun(format!("there is no case {case:?}")),
    }
}

/// Returns a manifest with a resumable stream on the model replicas, as `standard-scope` of the deployment has it.
fn manifest() -> Value {
    json!({
        "version": 3,
        "routes": [
            { "name": "scope", "hostname": "review.example", "path-prefix": "/scope/", "kind": "stream",
              "timeout-ms": 25000, "slo-ms": 1000, "priority": 2, "service": "writer", "max-attempts": 2,
              "sticky": true, "resumable": true, "gap-slo-ms": 250 },
        ],
        "services": [
            { "name": "writer", "health-path": "/health", "max-conns": 390, "protocol": "h1", "tls": false,
              "engine": { "slots": 64, "kv-capacity": 141097, "kv-token-bytes": 327680, "link-mbps": 740000.0,
                "moves": true, "backups": true, "stride": 3, "max-count": 12, "host-mb": 130000.0,
                "disk-mb": 390000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0,
                "models": [{ "name": MODEL, "weights-mb": 65500.0, "load-s": 3.9, "adapters": 3000,
                  "adapter-mb": 40.0, "warm-s": 0.57, "disk-s": 1.6 }],
                "weights-mb": 68000.0, "adapter-slots": 20, "loads-per-s": 3.0 } },
        ],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000 },
    })
}

/// Starts three core and three entry processes in front of these replicas, and waits until they are ready.
async fn start(record: &Record, engines: &[&Engine]) -> Result<Fleet, Verdict> {
    let list = List::default();
    list.set(engines.iter().map(|engine| engine.entry()).collect());
    let fleet = Fleet::start(record, 3, 3, list.serve().await);
    let is_acknowledged = fleet.operate("PUT", "/api/config", &manifest().to_string()).await;
    if !is_acknowledged || !fleet.wait_until_ready().await {
        return Err(Verdict::CannotRun("the processes aren't ready".into()));
    }
    // The coordinator reads the reports of all replicas.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    Ok(fleet)
}
