//! `redwinglatch where`: shows where a request would go now and why, without sending it.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::args::PlacementArgs;
use crate::command_error::CommandError;
use crate::output::{Output, table};

/// Longer than the time limit of the core process for its answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// An answer names at most 256 engines, each in about 400 bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The parts of a prompt, as requests state them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PromptParts(String);

impl FromStr for PromptParts {
    type Err = String;

    fn from_str(text: &str) -> Result<PromptParts, String> {
        let is_part = |part: &str| {
            part.split_once(':').is_some_and(|(id, tokens)| {
                u64::from_str_radix(id, 16).is_ok() && tokens.parse::<u32>().is_ok()
            })
        };
        match text.split(',').find(|part| !is_part(part)) {
            None => Ok(PromptParts(text.to_owned())),
            Some(part) => Err(format!(
                "{part:?} is not a prompt part; write ID:TOKENS with a hexadecimal ID, separated by \
                 commas"
            )),
        }
    }
}

/// The answer of a core process.
#[derive(Debug, Deserialize)]
struct Placement {
    route: String,
    priority: u8,
    prompt_tokens: u32,
    output_tokens: u32,
    objective_ms: u64,
    decision: Decision,
    prompt_reuse: bool,
    waiting: usize,
    waiting_before: usize,
    loads_in_flight: usize,
    load_limit: u32,
    engines: Vec<Engine>,
    engines_omitted: usize,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
enum Decision {
    Placed { engine: String, version: Option<u64> },
    Waits { reason: WaitReason, refused_after_ms: u64, cause: String },
    Refused { cause: String, retry_after_ms: (u64, u64) },
    LeftToEntryProcesses,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum WaitReason {
    RequestsAhead { requests: usize },
    PromptsQueued,
    EnginesBusy,
    Loading,
    LoadNeeded { loaded_in_ms: u64 },
}

#[derive(Debug, Deserialize)]
struct Engine {
    engine: String,
    adapter: String,
    obstacle: Option<String>,
    can_prefill: bool,
    placed_requests: u32,
    slots: u32,
    queued_prompt_tokens: u32,
    report_age_ms: Option<u64>,
    held_prompt_tokens: f64,
    counts_parts: bool,
    wait_ms: f64,
    estimate: Estimate,
}

#[derive(Debug, Deserialize)]
struct Estimate {
    queue_ms: f64,
    prompt_ms: f64,
    batch_ms: f64,
    memory_ms: f64,
    total_ms: f64,
}

#[derive(Debug, Deserialize)]
struct ErrorAnswer {
    error: String,
    leader: Option<SocketAddr>,
}

pub(crate) async fn explain(args: &PlacementArgs) -> miette::Result<Output> {
    let address = args.address;
    let (status, body) = match timeout(TIMEOUT, get(address, &path(args))).await {
        Ok(answer) => answer.map_err(|detail| no_answer(address, &detail))?,
        Err(_) => return Err(no_answer(address, &format!("nothing within {TIMEOUT:?}")).into()),
    };
    if status != StatusCode::OK {
        return Err(refusal(address, status, &body).into());
    }
    let placement = serde_json::from_slice::<Placement>(&body).map_err(|error| {
        CommandError::new(
            format!("the answer of {address} can't be read: {error}"),
            "use the command line of the same version as the core process",
        )
    })?;
    let json: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(Output::new(render(args, &placement), json))
}

/// Returns the path and query of the question.
fn path(args: &PlacementArgs) -> String {
    let mut path =
        format!("/where?service={}&model={}", encode(&args.service), encode(&args.model));
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            let _ = write!(path, "&{name}={}", encode(&value));
        }
    };
    add("tokens", args.tokens.map(|tokens| tokens.to_string()));
    add("output", args.output.map(|tokens| tokens.to_string()));
    add("priority", args.priority.map(|priority| priority.to_string()));
    add("parts", args.parts.as_ref().map(|PromptParts(parts)| parts.clone()));
    path
}

fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/:,".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02x}");
        }
    }
    encoded
}

async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| error.to_string())?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
    };
    tokio::pin!(exchange);
    // The connection is driven, and dropped, together with the exchange.
    tokio::select! {
        answer = &mut exchange => answer,
        _ = connection => exchange.await,
    }
}

fn no_answer(address: SocketAddr, detail: &str) -> CommandError {
    CommandError::new(
        format!("no answer from {address}: {detail}"),
        "pass the metrics address of a running core process; its port is 9465 by default",
    )
}

fn refusal(address: SocketAddr, status: StatusCode, body: &[u8]) -> CommandError {
    let Ok(ErrorAnswer { error, leader }) = serde_json::from_slice(body) else {
        return CommandError::new(
            format!("{address} does not tell where requests go (status {status})"),
            "pass the metrics address of a core process of this version, not of an entry process",
        );
    };
    let remedy = match (status, leader) {
        (_, Some(leader)) => {
            format!(
                "ask the metrics address of the leader, the core process with the link address {leader}"
            )
        }
        (StatusCode::BAD_REQUEST, None) => {
            "correct the options; see `redwinglatch where --help`".into()
        }
        (StatusCode::NOT_FOUND, None) => {
            "use a service and a model or adapter of the configuration".into()
        }
        _ => "ask again in a second, or ask another core process".into(),
    };
    CommandError::new(format!("{address}: {error}"), remedy)
}

fn render(args: &PlacementArgs, placement: &Placement) -> String {
    let mut text = format!(
        "{}\nrequest: {} at {}, {} prompt tokens, {} output tokens, priority {}, objective {} ms, by \
         route {}\nwaiting: {} requests, {} of them before this one\nloads: {} in flight, limit {}\n",
        decision(&placement.decision),
        args.model,
        args.service,
        placement.prompt_tokens,
        placement.output_tokens,
        placement.priority,
        placement.objective_ms,
        placement.route,
        placement.waiting,
        placement.waiting_before,
        placement.loads_in_flight,
        placement.load_limit,
    );
    let _ = writeln!(
        text,
        "order: by {}\n",
        if placement.prompt_reuse {
            "the estimate of the first event, with the prompt parts that engines hold"
        } else {
            "the wait; prompt parts don't count (prompt_reuse is off)"
        }
    );
    let heading = [
        "ENGINE", "ADAPTER", "PLACED", "QUEUED", "REPORT", "HELD", "WAIT", "QUEUE", "PROMPT",
        "BATCH", "MEMORY", "ESTIMATE", "OBSTACLE",
    ];
    let rows: Vec<_> = placement.engines.iter().map(row).collect();
    text.push_str(&table(heading, &rows));
    if placement.engines_omitted > 0 {
        let _ = writeln!(text, "and {} more engines", placement.engines_omitted);
    }
    text.push_str(
        "QUEUED and HELD are prompt tokens; REPORT is the age of the last report, WAIT to ESTIMATE \
         are milliseconds.\n",
    );
    text
}

fn decision(decision: &Decision) -> String {
    match decision {
        Decision::Placed { engine, version: None } => format!("would be placed on engine {engine}"),
        Decision::Placed { engine, version: Some(version) } => {
            format!("would be placed on engine {engine}, which has version {version}")
        }
        Decision::Waits { reason, refused_after_ms, cause } => format!(
            "would wait: {}; refused after {refused_after_ms} ms if nothing changes ({cause})",
            wait_reason(reason)
        ),
        Decision::Refused { cause, retry_after_ms: (from_ms, to_ms) } if from_ms == to_ms => {
            format!("would be refused: {cause}; retry after {from_ms} ms")
        }
        Decision::Refused { cause, retry_after_ms: (from_ms, to_ms) } => {
            format!("would be refused: {cause}; retry after {from_ms} to {to_ms} ms")
        }
        Decision::LeftToEntryProcesses => {
            "the coordinator would not reply, because it reaches no engine of the service; entry \
             processes choose"
                .to_owned()
        }
    }
}

fn wait_reason(reason: &WaitReason) -> String {
    match reason {
        WaitReason::RequestsAhead { requests } => {
            format!("{requests} requests for the same model or adapter come before it")
        }
        WaitReason::PromptsQueued => {
            "the engines with the model or adapter have to read other prompts first".to_owned()
        }
        WaitReason::EnginesBusy => {
            "no engine with the model or adapter can take a request".to_owned()
        }
        WaitReason::Loading => "the model or adapter is being loaded".to_owned(),
        WaitReason::LoadNeeded { loaded_in_ms } => {
            format!("the model or adapter must be loaded, by estimate in {loaded_in_ms} ms")
        }
    }
}

fn row(engine: &Engine) -> [String; 13] {
    let estimate = &engine.estimate;
    let whole = |value: f64| format!("{value:.0}");
    let held = whole(engine.held_prompt_tokens);
    let is_ignored = engine.held_prompt_tokens > 0.0 && !engine.counts_parts;
    [
        engine.engine.clone(),
        engine.adapter.clone(),
        format!("{}/{}", engine.placed_requests, engine.slots),
        engine.queued_prompt_tokens.to_string(),
        engine.report_age_ms.map_or("none".to_owned(), |age_ms| format!("{age_ms} ms")),
        if is_ignored { format!("{held} (ignored)") } else { held },
        whole(engine.wait_ms),
        whole(estimate.queue_ms),
        whole(estimate.prompt_ms),
        whole(estimate.batch_ms),
        whole(estimate.memory_ms),
        whole(estimate.total_ms),
        match &engine.obstacle {
            Some(obstacle) => obstacle.replace('_', " "),
            None if !engine.can_prefill => "prompts queued".to_owned(),
            None => "-".to_owned(),
        },
    ]
}
