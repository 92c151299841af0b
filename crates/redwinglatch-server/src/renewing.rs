//! The task that renews this instance's serving lease.

use std::sync::Arc;
use std::time::Duration;

use redwinglatch_metrics::Counter;
use tokio::time::sleep;

use crate::control_client::ControlClient;
use crate::entry::{ApplyReply, MakeRenewal, RenewalStep};
use crate::shared::Shared;

/// Pause after a renewal that failed; shorter than the interval, since the lease runs out.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Renews the lease each interval, and at once when something needs it.
pub(crate) async fn renew_forever(shared: Arc<Shared>, control: ControlClient) {
    let interval = Duration::from_millis(shared.settings.control.renew_interval_ms);
    loop {
        // Orders and reports are sent again outside of any request.
        shared.count_retries();
        let Ok(renewal) = shared.entry.send(MakeRenewal).await else { return };
        let pause = match control.renew(renewal).await {
            Some(reply) => {
                shared.metrics.increment(Counter::LeaseRenewals);
                match shared.entry.send(ApplyReply(reply)).await {
                    Ok(RenewalStep::Wait) => interval,
                    Ok(RenewalStep::RenewNow) => Duration::ZERO,
                    Ok(RenewalStep::Superseded) => {
                        log::error!(
                            "control: another process uses instance id {}; this one takes no work. \
                             Give one of them another id in [instance]",
                            shared.instance()
                        );
                        interval
                    }
                    Err(_) => return,
                }
            }
            None => RETRY_PAUSE.min(interval),
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.renew_now.notified() => {}
        }
    }
}
