//! The HTTP interface of a fake engine.

use std::sync::Arc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json as json_value;

use crate::{
    OrderKind,
    connection_control::ConnectionControl,
    engine::EngineContext,
    engine_state::{CompletionBody, EngineRefusal},
    engine_stream::stream_response,
    http_get::get_status,
    response::{ResponseBody, json, leaving, not_run, read_json, refusal},
};

#[derive(Deserialize)]
struct AdapterBody {
    adapter: Box<str>,
    version: u32,
}

/// Handles one request to the engine.
pub(crate) async fn handle_request(
    context: Arc<EngineContext>,
    connection: Arc<ConnectionControl>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let stream_id = path.strip_prefix("/v1/streams/");
    match (request.method(), path.as_str(), stream_id) {
        (&Method::GET, "/health", _) => json(StatusCode::OK, &json_value!({})),
        (&Method::GET, "/v1/report", _) => report(context).await,
        (&Method::GET, "/v1/events", _) => events(&context, &query),
        (&Method::POST, "/v1/completions", _) => complete(context, connection, request).await,
        (&Method::GET, _, Some(id)) => resume(context, connection, id, &query),
        (&Method::DELETE, _, Some(id)) => cancel(&context, id, fencing_token(&request)),
        (&Method::POST, "/v1/adapters/load", _) => load(&context, request).await,
        (&Method::POST, "/v1/adapters/unload", _) => unload(&context, request).await,
        _ => refusal(404, "not_found", &path),
    }
}

fn fencing_token(request: &Request<Incoming>) -> Option<u64> {
    request.headers().get("x-fencing-token")?.to_str().ok()?.parse().ok()
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .and_then(|number| number.parse().ok())
}

fn refusal_response((status, code, message): EngineRefusal) -> Response<ResponseBody> {
    not_run(refusal(status, code, &message))
}

async fn report(context: Arc<EngineContext>) -> Response<ResponseBody> {
    let is_lost = {
        let mut state = context.state();
        let is_lost = state.reports_to_lose > 0;
        state.reports_to_lose = state.reports_to_lose.saturating_sub(1);
        is_lost
    };
    if is_lost {
        // A lost report never reaches the client.
        std::future::pending::<()>().await;
    }
    json(StatusCode::OK, &context.state().report())
}

fn events(context: &EngineContext, query: &str) -> Response<ResponseBody> {
    let state = context.state();
    let after = query_number(query, "after").unwrap_or(0);
    let (next, events) = state.prefixes.events_after(after, state.settings.event_lag_ms);
    let response = json_value!({ "boot_id": state.boot_id, "next": next, "events": events });
    json(StatusCode::OK, &response)
}

async fn complete(
    context: Arc<EngineContext>,
    connection: Arc<ConnectionControl>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(body) = read_json::<CompletionBody>(request.into_body()).await else {
        return not_run(refusal(400, "malformed_request", "the body is not a completion request"));
    };
    let accepted = {
        let mut state = context.state();
        if state.is_leaving {
            return leaving(refusal_response((503, "leaving", "the engine is leaving".to_owned())));
        }
        if let Some((status, code, is_not_run)) = state.injected_refusals.pop_front() {
            let response = refusal(status, &code, "rejection injected by the test");
            return if is_not_run { not_run(response) } else { response };
        }
        if state.has_run(&body.request_id) {
            // The first request with this id did run, so the response has no `x-not-run` header.
            return refusal(409, "duplicate_request", &body.request_id);
        }
        state.accept(&body)
    };
    context.notify();
    match accepted {
        Ok(source) => stream_response(context, connection, source, 0),
        Err(error) => refusal_response(error),
    }
}

fn resume(
    context: Arc<EngineContext>,
    connection: Arc<ConnectionControl>,
    id: &str,
    query: &str,
) -> Response<ResponseBody> {
    let from = query_number(query, "from").and_then(|from| u32::try_from(from).ok()).unwrap_or(0);
    let source = context.state().resume(id);
    context.notify();
    match source {
        Some(source) => stream_response(context, connection, source, from),
        None => refusal(404, "unknown_stream", id),
    }
}

fn cancel(context: &EngineContext, id: &str, token: Option<u64>) -> Response<ResponseBody> {
    let cancelled = {
        let mut state = context.state();
        state.check_order(OrderKind::Cancel, id, token).map(|()| state.cancel(id))
    };
    context.notify();
    match cancelled {
        Ok(tokens) => json(StatusCode::OK, &json_value!({ "cancelled": true, "tokens": tokens })),
        Err(error) => refusal_response(error),
    }
}

async fn load(context: &EngineContext, request: Request<Incoming>) -> Response<ResponseBody> {
    let token = fencing_token(&request);
    let Some(AdapterBody { adapter, version }) = read_json(request.into_body()).await else {
        return not_run(refusal(
            400,
            "malformed_request",
            "the body must name an adapter and its version",
        ));
    };
    let (boot_id, must_load) = {
        let mut state = context.state();
        let subject = format!("{adapter}@{version}");
        let reserved = state
            .check_order(OrderKind::Load, &subject, token)
            .and_then(|()| state.reserve_slot(&adapter, version));
        match reserved {
            Ok(must_load) => (state.boot_id.clone(), must_load),
            Err(error) => return refusal_response(error),
        }
    };
    context.notify();
    if must_load {
        // As on a real engine, the load continues if the client disconnects.
        let context = context.to_arc();
        let (adapter, boot_id) = (adapter.clone(), boot_id.clone());
        let task = tokio::spawn(async move {
            let result = fetch_weights(&context, &adapter, version).await;
            let mut state = context.state();
            if state.boot_id == boot_id {
                state.finish_load(&adapter, version, result.is_ok());
            }
            drop(state);
            context.notify();
            result
        });
        if let Ok(Err(error)) = task.await {
            return refusal_response(error);
        }
    } else {
        let settled = |state: &crate::engine_state::EngineState| {
            state.boot_id != boot_id
                || state.is_ready(&adapter, version)
                || !state.is_reserved(&adapter, version)
        };
        context.wait_until(settled).await;
    }
    let state = context.state();
    if state.boot_id != boot_id || !state.is_ready(&adapter, version) {
        return refusal_response((
            502,
            "load_failed",
            format!("{adapter}@{version} was removed during its load"),
        ));
    }
    json(StatusCode::OK, &json_value!({ "adapter": adapter, "version": version }))
}

async fn fetch_weights(
    context: &EngineContext,
    adapter: &str,
    version: u32,
) -> Result<(), EngineRefusal> {
    let (store, load_ms, must_fail) = {
        let mut state = context.state();
        let must_fail = state.loads_to_fail > 0;
        state.loads_to_fail = state.loads_to_fail.saturating_sub(1);
        (state.settings.weight_store, state.settings.load_ms, must_fail)
    };
    if must_fail {
        return Err((502, "load_failed", format!("loading {adapter}@{version} failed")));
    }
    if load_ms > 0 {
        tokio::time::sleep(tokio::time::Duration::from_millis(load_ms)).await;
    }
    let Some(store) = store else { return Ok(()) };
    match get_status(store, &format!("/weights/{adapter}/{version}")).await {
        Some(200) => Ok(()),
        Some(404) => {
            Err((404, "unknown_adapter", format!("the weight store has no {adapter}@{version}")))
        }
        status => {
            Err((502, "load_failed", format!("the weight store responded with status {status:?}")))
        }
    }
}

async fn unload(context: &EngineContext, request: Request<Incoming>) -> Response<ResponseBody> {
    let token = fencing_token(&request);
    let Some(AdapterBody { adapter, version }) = read_json(request.into_body()).await else {
        return not_run(refusal(
            400,
            "malformed_request",
            "the body must name an adapter and its version",
        ));
    };
    let unloaded = {
        let mut state = context.state();
        let subject = format!("{adapter}@{version}");
        state
            .check_order(OrderKind::Unload, &subject, token)
            .and_then(|()| state.unload(&adapter, version, token))
    };
    context.notify();
    match unloaded {
        Ok(()) => json(StatusCode::OK, &json_value!({ "adapter": adapter, "version": version })),
        Err(error) => refusal_response(error),
    }
}
