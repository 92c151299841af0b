//! Two core machines are replaced as planned, one after the other; both successors come before the old ones go. Later a
//! disk is lost.

use std::time::Duration;

use tokio::time::sleep;

use crate::{Verdict, fleet::Fleet, plain::Plain, platform::List, record::Record};

use super::manifest;

/// More than `catch-up-s` (4 s), after which a machine that came or went no longer counts as lost.
const CATCH_UP: Duration = Duration::from_secs(6);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator asks for the manifest then.
const READ_TIME: Duration = Duration::from_secs(15);

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let replica = Plain::start(record, "i-desk", "desk", |_| None).await;
    let list = List::default();
    list.set(vec![replica.entry()]);
    let mut fleet = Fleet::start(record, 3, 2, list.serve().await);
    let mut manifest = manifest();
    let is_acknowledged = fleet.operate("PUT", "/api/config", &manifest.to_string()).await;
    if !is_acknowledged {
        return Verdict::CannotRun("the processes aren't ready".into());
    }
    sleep(CATCH_UP).await;
    if has_trouble {
        for successor in [4, 5] {
            fleet.spawn("core", successor, false);
            sleep(CATCH_UP).await;
        }
        for (old, seeds) in [("core-3", [1, 2, 4]), ("core-2", [1, 4, 5])] {
            fleet.terminate(old).await;
            fleet.seeds = seeds.into();
            sleep(CATCH_UP).await;
        }
    }
    manifest["version"] = 7.into();
    if !fleet.operate("PUT", "/api/config", &manifest.to_string()).await {
        return Verdict::CannotRun("version 7 wasn't acknowledged".into());
    }
    sleep(Duration::from_secs(1)).await;
    fleet.lose_disk(1).await;
    sleep(RECOVERY).await;
    match fleet.read_manifest(READ_TIME).await {
        Some(7) => Verdict::Held,
        Some(version) => {
            Verdict::Broken(format!("CONFIG: version {version} is read back, 7 was acknowledged"))
        }
        None => Verdict::Broken(format!(
            "CONFIG: no core process returns the manifest {} to {} s after the machine is back; version 7 was acknowledged",
            RECOVERY.as_secs(),
            (RECOVERY + READ_TIME).as_secs()
        )),
    }
}
