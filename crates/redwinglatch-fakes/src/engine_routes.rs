//! The HTTP interface of a fake engine.

use std::sync::Arc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json as json_value;

use crate::{
    OrderKind,
    answer::{AnswerBody, json, leaving, not_run, read_json, refusal},
    engine::Shared,
    engine_state::{CompletionBody, EngineRefusal},
    engine_stream::stream_answer,
    fetch::fetch_status,
    link::Link,
};

#[derive(Deserialize)]
struct AdapterBody {
    adapter: Box<str>,
    version: u32,
}

/// Answers one request to the engine.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    link: Arc<Link>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let stream_id = path.strip_prefix("/v1/streams/");
    match (request.method(), path.as_str(), stream_id) {
        (&Method::GET, "/health", _) => json(StatusCode::OK, &json_value!({})),
        (&Method::GET, "/v1/report", _) => report(shared).await,
        (&Method::GET, "/v1/events", _) => events(&shared, &query),
        (&Method::POST, "/v1/completions", _) => complete(shared, link, request).await,
        (&Method::GET, _, Some(id)) => resume(shared, link, id, &query),
        (&Method::DELETE, _, Some(id)) => cancel(&shared, id, token_of(&request)),
        (&Method::POST, "/v1/adapters/load", _) => load(&shared, request).await,
        (&Method::POST, "/v1/adapters/unload", _) => unload(&shared, request).await,
        _ => refusal(404, "not_found", &path),
    }
}

fn token_of(request: &Request<Incoming>) -> Option<u64> {
    request.headers().get("x-fencing-token")?.to_str().ok()?.parse().ok()
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .and_then(|number| number.parse().ok())
}

fn refused((status, code, message): EngineRefusal) -> Response<AnswerBody> {
    not_run(refusal(status, code, &message))
}

async fn report(shared: Arc<Shared>) -> Response<AnswerBody> {
    let lost = {
        let mut state = shared.state();
        let lost = state.lost_reports > 0;
        state.lost_reports = state.lost_reports.saturating_sub(1);
        lost
    };
    if lost {
        // A lost report is one that never arrives.
        std::future::pending::<()>().await;
    }
    json(StatusCode::OK, &shared.state().report())
}

fn events(shared: &Shared, query: &str) -> Response<AnswerBody> {
    let state = shared.state();
    let after = query_number(query, "after").unwrap_or(0);
    let (next, events) = state.prefixes.events_after(after, state.settings.event_lag_ms);
    let answer = json_value!({ "boot_id": state.boot_id, "next": next, "events": events });
    json(StatusCode::OK, &answer)
}

async fn complete(
    shared: Arc<Shared>,
    link: Arc<Link>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let Some(body) = read_json::<CompletionBody>(request.into_body()).await else {
        return not_run(refusal(400, "malformed_request", "the body is not a completion request"));
    };
    let accepted = {
        let mut state = shared.state();
        if state.leaving {
            return leaving(refused((503, "leaving", "the engine is leaving".to_owned())));
        }
        if let Some((status, code, did_not_run)) = state.refusals.pop_front() {
            let answer = refusal(status, &code, "refused by the test");
            return if did_not_run { not_run(answer) } else { answer };
        }
        if state.knows(&body.request_id) {
            // The first request with this id did run, so the refusal does not say "not run".
            return refusal(409, "duplicate_request", &body.request_id);
        }
        state.accept(&body)
    };
    shared.notify();
    match accepted {
        Ok(source) => stream_answer(shared, link, source, 0),
        Err(error) => refused(error),
    }
}

fn resume(shared: Arc<Shared>, link: Arc<Link>, id: &str, query: &str) -> Response<AnswerBody> {
    let from = query_number(query, "from").and_then(|from| u32::try_from(from).ok()).unwrap_or(0);
    let source = shared.state().resume(id);
    shared.notify();
    match source {
        Some(source) => stream_answer(shared, link, source, from),
        None => refusal(404, "unknown_stream", id),
    }
}

fn cancel(shared: &Shared, id: &str, token: Option<u64>) -> Response<AnswerBody> {
    let cancelled = {
        let mut state = shared.state();
        state.check_order(OrderKind::Cancel, id, token).map(|()| state.cancel(id))
    };
    shared.notify();
    match cancelled {
        Ok(tokens) => json(StatusCode::OK, &json_value!({ "cancelled": true, "tokens": tokens })),
        Err(error) => refused(error),
    }
}

async fn load(shared: &Shared, request: Request<Incoming>) -> Response<AnswerBody> {
    let token = token_of(&request);
    let Some(AdapterBody { adapter, version }) = read_json(request.into_body()).await else {
        return not_run(refusal(400, "malformed_request", "the body names no adapter"));
    };
    let (boot_id, must_load) = {
        let mut state = shared.state();
        let subject = format!("{adapter}@{version}");
        let reserved = state
            .check_order(OrderKind::Load, &subject, token)
            .and_then(|()| state.reserve_slot(&adapter, version));
        match reserved {
            Ok(must_load) => (state.boot_id.clone(), must_load),
            Err(error) => return refused(error),
        }
    };
    shared.notify();
    if must_load {
        // The load goes on when its caller goes away, as on a real engine.
        let shared = shared.handle();
        let (adapter, boot_id) = (adapter.clone(), boot_id.clone());
        let task = tokio::spawn(async move {
            let result = pull(&shared, &adapter, version).await;
            let mut state = shared.state();
            if state.boot_id == boot_id {
                state.finish_load(&adapter, version, result.is_ok());
            }
            drop(state);
            shared.notify();
            result
        });
        if let Ok(Err(error)) = task.await {
            return refused(error);
        }
    } else {
        let settled = |state: &crate::engine_state::EngineState| {
            state.boot_id != boot_id
                || state.is_ready(&adapter, version)
                || !state.is_reserved(&adapter, version)
        };
        shared.wait_until(settled).await;
    }
    let state = shared.state();
    if state.boot_id != boot_id || !state.is_ready(&adapter, version) {
        return refused((502, "load_failed", format!("{adapter}@{version} was lost")));
    }
    json(StatusCode::OK, &json_value!({ "adapter": adapter, "version": version }))
}

async fn pull(shared: &Shared, adapter: &str, version: u32) -> Result<(), EngineRefusal> {
    let (store, load_ms, fails) = {
        let mut state = shared.state();
        let fails = state.fail_loads > 0;
        state.fail_loads = state.fail_loads.saturating_sub(1);
        (state.settings.weight_store, state.settings.load_ms, fails)
    };
    if fails {
        return Err((502, "load_failed", format!("loading {adapter}@{version} failed")));
    }
    if load_ms > 0 {
        tokio::time::sleep(tokio::time::Duration::from_millis(load_ms)).await;
    }
    let Some(store) = store else { return Ok(()) };
    match fetch_status(store, &format!("/weights/{adapter}/{version}")).await {
        Some(200) => Ok(()),
        Some(404) => Err((404, "unknown_adapter", format!("the store has no {adapter}@{version}"))),
        status => Err((502, "load_failed", format!("the store answered {status:?}"))),
    }
}

async fn unload(shared: &Shared, request: Request<Incoming>) -> Response<AnswerBody> {
    let token = token_of(&request);
    let Some(AdapterBody { adapter, version }) = read_json(request.into_body()).await else {
        return not_run(refusal(400, "malformed_request", "the body names no adapter"));
    };
    let unloaded = {
        let mut state = shared.state();
        let subject = format!("{adapter}@{version}");
        state
            .check_order(OrderKind::Unload, &subject, token)
            .and_then(|()| state.unload(&adapter, version, token))
    };
    shared.notify();
    match unloaded {
        Ok(()) => json(StatusCode::OK, &json_value!({ "adapter": adapter, "version": version })),
        Err(error) => refused(error),
    }
}
