//! The server for callers.

use std::{sync::Arc, time::Duration};

use hyper::header::{CONNECTION, HeaderValue};
use tokio::{net::TcpListener, sync::watch};

use crate::http::{self, ServerLimits};

use super::{App, forward};

/// Idle connections are kept longer than callers reuse them, so that no request crosses the close.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// Serves callers until `stop` is true.
pub(crate) async fn run(listener: TcpListener, app: Arc<App>, stop: watch::Receiver<bool>) {
    let limits_app = Arc::clone(&app);
    let limits = move || {
        let limits = limits_app.view().table().map(|table| table.configuration().limits);
        limits.map_or_else(ServerLimits::default, |limits| ServerLimits {
            header_bytes: limits.header_bytes,
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN,
        })
    };
    let handler = move |request| {
        let app = Arc::clone(&app);
        async move {
            let mut response = forward::serve(&app, request).await;
            if app.view().draining_since_ms().is_some() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    };
    http::serve(listener, limits, stop, handler).await;
}
