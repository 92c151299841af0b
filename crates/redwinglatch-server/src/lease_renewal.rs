//! The task that renews this instance's serving lease.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_metrics::Counter;
use tokio::time::sleep;

use crate::control_client::ControlClient;
use crate::entry::{ApplyRenewalReply, BuildRenewal, RenewalStep};
use crate::instance_context::InstanceContext;

/// Delay after a failed renewal; shorter than the renewal interval, since the lease is expiring.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Renews the lease at every interval, and immediately when another task requests it.
pub(crate) async fn renew_lease_forever(context: Arc<InstanceContext>, control: ControlClient) {
    let interval = Duration::from_millis(context.settings.control.renew_interval_ms);
    loop {
        // Orders and report reads are also retried outside of requests.
        context.count_retries();
        let Ok(renewal) = context.entry.send(BuildRenewal).await else { return };
        let delay = match control.renew(renewal).await {
            Some(reply) => {
                context.metrics.increment(Counter::LeaseRenewals);
                match context.entry.send(ApplyRenewalReply(reply)).await {
                    Ok(RenewalStep::Wait) => interval,
                    Ok(RenewalStep::RenewNow) => Duration::ZERO,
                    Ok(RenewalStep::Superseded) => {
                        log::error!(
                            "control: another process uses instance id {}; this one takes no work. \
                             Give one of them another id in [instance]",
                            context.instance()
                        );
                        interval
                    }
                    Err(_) => return,
                }
            }
            None => RETRY_DELAY.min(interval),
        };
        tokio::select! {
            () = sleep(delay) => {}
            () = context.renew_now.notified() => {}
        }
    }
}
