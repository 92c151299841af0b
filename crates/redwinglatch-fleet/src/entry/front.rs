//! HTTP server for callers.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::watch};

use crate::http::{self, ServerLimits};

use super::{
    EntryContext,
    forward::{self, RequestAttempts},
    relay::RequestOrigin,
};

/// Time by which idle connections outlast the time in which callers reuse them, so that no request
/// arrives on a connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Largest head that a connection reads, whatever the configuration permits; memory is set aside for it.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Serves callers until `stop` is true.
pub(crate) async fn run(
    listener: TcpListener,
    context: Arc<EntryContext>,
    stop: watch::Receiver<bool>,
) {
    let memory = context.server_memory("front", context.memory.front.clone());
    let limits_context = Arc::clone(&context);
    let limits = move || {
        let limits = limits_context.fleet_view().table().map(|table| table.configuration().limits);
        limits.map_or_else(ServerLimits::default, |limits| ServerLimits {
            header_bytes: limits.header_bytes.min(MAX_HEAD_BYTES),
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN,
            ..ServerLimits::default()
        })
    };
    let handler = move |request| {
        let context = Arc::clone(&context);
        async move {
            let mut response = forward::serve(
                &context,
                request,
                RequestOrigin::Caller,
                RequestAttempts::default(),
            )
            .await;
            context.close_while_draining(&mut response);
            response
        }
    };
    http::serve(listener, limits, memory, stop, handler).await;
}
