//! The platform's list has an entry of another writer: one of its fields is of another type, and it names a replica of
//! one service under another one.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{Verdict, fleet::Fleet, http, plain::Plain, platform::List, record::Record};

const REQUESTS: usize = 40;
/// Time for which the list may lag, and in which it is fetched again.
const LIST_WAIT: Duration = Duration::from_secs(4);

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let desk = Plain::start(record, "i-desk", "desk", |_| None).await;
    let portal = Plain::start(record, "i-portal", "portal", |_| None).await;
    let list = List::default();
    list.set(vec![desk.entry(), portal.entry()]);
    let fleet = Fleet::start(record, 3, 3, list.serve().await);
    let is_acknowledged = fleet.operate("PUT", "/api/config", &manifest().to_string()).await;
    if !is_acknowledged || !fleet.wait_until_ready().await {
        return Verdict::CannotRun("the processes aren't ready".into());
    }
    if has_trouble {
        let entry = other_writers_entry(&desk);
        record.line(format!("the list has this entry as well: {entry}"));
        list.set(vec![entry, desk.entry(), portal.entry()]);
    }
    sleep(LIST_WAIT).await;
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c44_0000 + number);
        let request = format!(
            "POST /portal/sign HTTP/1.1\r\nHost: review.example\r\nX-Redwinglatch-Request-Id: {id}\r\n\
             X-Redwinglatch-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nsign"
        );
        let front = fleet.front(number as u8 % fleet.entries + 1);
        match http::call(front, &request, b"", Duration::from_secs(3)).await {
            Ok(answer) => {
                answered += usize::from(answer.status() == 200);
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(format!("caller of {id} gets {}: {text}", answer.status()));
            }
            Err(error) => record.line(format!("caller of {id}: {error}")),
        }
    }
    let foreign = desk.runs().iter().filter(|run| run.path().starts_with("/portal/")).count();
    record.say(format!("{answered} of {REQUESTS} were answered with 200; i-desk has run {foreign} requests for portal"));
    if foreign > 0 {
        return Verdict::Broken(format!(
            "ROUTE: a replica of desk has run {foreign} requests of a route to portal"
        ));
    }
    if answered < REQUESTS / 2 {
        return Verdict::CannotRun("too few requests were answered".into());
    }
    Verdict::Held
}

/// Returns an entry in which `stage` is a number, and the service is another one.
fn other_writers_entry(replica: &Plain) -> String {
    let mut entry: Value = serde_json::from_str(&replica.entry()).expect("the entry is an object");
    entry["service"] = "portal".into();
    entry["stage"] = 7.into();
    entry.to_string()
}

fn manifest() -> Value {
    let service = |name: &str| json!({ "name": name, "health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false });
    let route = |name: &str| {
        json!({ "name": name, "hostname": "review.example", "path-prefix": format!("/{name}/"),
          "kind": "non_idempotent", "timeout-ms": 2500, "slo-ms": 150, "priority": 2, "service": name,
          "max-attempts": 1, "sticky": false, "resumable": false })
    };
    json!({
        "version": 3,
        "routes": [route("desk"), route("portal")],
        "services": [service("desk"), service("portal")],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000 },
    })
}
