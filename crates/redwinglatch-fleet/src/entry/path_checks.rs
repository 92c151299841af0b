//! Checks whether servers accept connections of this process, and answer on them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};

use crate::http::CallLimits;

use super::{EntryContext, fleet_view::ServerCheck};

/// Interval between looks at the paths that are in doubt.
const TICK: Duration = Duration::from_millis(50);
/// Servers of a service that are tried at a time.
const SERVERS_PER_CHECK: usize = 3;
/// Limits of a health check; any answer shows that there is a path.
const HEALTH_CHECK_LIMITS: CallLimits =
    CallLimits { time: Duration::from_millis(400), response_bytes: 16 << 10 };

/// Checks the paths that are in doubt or lost until the process ends.
pub(super) async fn run(context: Arc<EntryContext>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now_ms = context.now_ms();
        let checks = context.fleet_view().take_server_checks(now_ms, SERVERS_PER_CHECK);
        for check in checks {
            tokio::spawn(check_server(Arc::clone(&context), check));
        }
    }
}

async fn check_server(context: Arc<EntryContext>, check: ServerCheck) {
    if let Err(failure) = context.client.open(check.address).await {
        context.metrics.record_backend_failure(failure.label());
        let now_ms = context.now_ms();
        return context.fleet_view().record_connect_failure(now_ms, check.server);
    }
    let Some(path) = check.health_path else {
        let now_ms = context.now_ms();
        return context.fleet_view().record_connected(now_ms, check.server);
    };
    // A connection that is accepted may be reset at once, or hang.
    match request_health(&context, check.address, &path).await {
        Ok(()) => {
            let now_ms = context.now_ms();
            let mut view = context.fleet_view();
            view.record_heard(now_ms, check.server);
            view.record_connected(now_ms, check.server);
        }
        Err(error) => log::debug!("entry: a health check failed: {error}"),
    }
}

/// Requests the health of a server; any answer is good.
async fn request_health(
    context: &EntryContext,
    address: SocketAddr,
    path: &str,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let request = Request::get(path).header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new()))?;
    context.client.call(address, request, HEALTH_CHECK_LIMITS).await?;
    Ok(())
}
