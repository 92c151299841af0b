//! The question of an operator where a request would be placed, beside the metrics page.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use crate::{
    Dialect,
    http::Body,
    ids::ModelName,
    metrics::{self, Metrics},
};

use super::{driver::DriverEvent, planner::PlacementExplanation};

/// Path of the question.
const PATH: &str = "/where";
/// Questions that the driver has to answer at the same time.
const MAX_QUESTIONS: usize = 1;
/// Time limit for an answer. The driver's events wait for less than this on a coordinator that keeps up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most prompt parts in a question, and most tokens of each number.
const MAX_PARTS: usize = 64;
const MAX_TOKENS: u32 = 10_000_000;
/// Output tokens of a request that states none, as at entry processes.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// A request whose placement is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlacementQuery {
    pub(super) service: Box<str>,
    pub(super) model: ModelName,
    /// The priority; that of the route by default.
    pub(super) priority: Option<u8>,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) prompt_parts: Vec<(u64, u32)>,
}

/// A question to the driver. The permit is held until the driver has handled it, so that questions whose time
/// limit has passed don't pile up.
#[derive(Debug)]
pub(super) struct PlacementQuestion {
    pub(super) query: PlacementQuery,
    pub(super) reply: oneshot::Sender<Result<AnsweredPlacement, PlacementError>>,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Where a request would be placed, with what the route adds to the question.
#[derive(Debug, Serialize)]
pub(super) struct AnsweredPlacement {
    pub(super) route: Box<str>,
    pub(super) priority: u8,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) objective_ms: u64,
    #[serde(flatten)]
    pub(super) explanation: PlacementExplanation,
}

/// Why a question has no answer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum PlacementError {
    #[error("{0}")]
    Malformed(String),
    #[error("this core process is not the coordinator")]
    NotCoordinator {
        /// Link address of the leader, if it is known.
        leader: Option<SocketAddr>,
    },
    #[error("there is no configuration yet")]
    NoConfiguration,
    #[error("no service of that name has engines; those that have: {}", services.join(", "))]
    UnknownService { services: Vec<Box<str>> },
    #[error("the service has no such model or adapter; its models: {}", models.join(", "))]
    UnknownModel { models: Vec<Box<str>> },
    #[error("the adapter and its base model are larger than the memory of an engine")]
    DoesNotFit,
    #[error("no route leads to the service")]
    NoRoute,
    #[error("another question is being answered")]
    Busy,
    #[error("the process did not answer within {} ms", ANSWER_TIMEOUT.as_millis())]
    Timeout,
}

impl PlacementError {
    fn status(&self) -> StatusCode {
        match self {
            PlacementError::Malformed(_) => StatusCode::BAD_REQUEST,
            PlacementError::UnknownService { .. }
            | PlacementError::UnknownModel { .. }
            | PlacementError::DoesNotFit
            | PlacementError::NoRoute => StatusCode::NOT_FOUND,
            PlacementError::NotCoordinator { .. }
            | PlacementError::NoConfiguration
            | PlacementError::Busy
            | PlacementError::Timeout => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The answer to the question where a request would be placed.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct PlacementAnswer(AnswerDocument);

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum AnswerDocument {
    Placement(Box<AnsweredPlacement>),
    Error { error: String, leader: Option<SocketAddr> },
}

/// What the server needs to answer questions.
#[derive(Clone)]
pub(super) struct PlacementQueries {
    events: mpsc::Sender<DriverEvent>,
    metrics: Arc<Metrics>,
    permits: Arc<Semaphore>,
    dialect: &'static Dialect,
}

impl PlacementQueries {
    pub(super) fn new(
        events: mpsc::Sender<DriverEvent>,
        metrics: Arc<Metrics>,
        dialect: &'static Dialect,
    ) -> PlacementQueries {
        PlacementQueries {
            events,
            metrics,
            permits: Arc::new(Semaphore::new(MAX_QUESTIONS)),
            dialect,
        }
    }

    /// Lets the driver answer a question.
    async fn answer(&self, query: PlacementQuery) -> Result<AnsweredPlacement, PlacementError> {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let _permit = permit.map_err(|_| PlacementError::Busy)?;
        let (reply, answer) = oneshot::channel();
        let question = PlacementQuestion { query, reply, _permit };
        // A full queue shows that the process has more important things to do.
        let sent = self.events.try_send(DriverEvent::PlacementQuestion(question));
        sent.map_err(|_| PlacementError::Busy)?;
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(PlacementError::Timeout),
        }
    }
}

/// Serves the metrics page, and answers where a request would be placed.
pub(super) async fn serve(queries: PlacementQueries, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return metrics::serve_page(queries.metrics, request).await;
    }
    let query = if request.method() == Method::GET {
        parse(request.uri().query().unwrap_or_default())
    } else {
        Err(PlacementError::Malformed(format!("{PATH} answers only GET")))
    };
    let answer = match query {
        Ok(query) => queries.answer(query).await,
        Err(error) => Err(error),
    };
    let (status, document) = match answer {
        Ok(placement) => (StatusCode::OK, AnswerDocument::Placement(Box::new(placement))),
        Err(error) => {
            let leader = match error {
                PlacementError::NotCoordinator { leader } => leader,
                _ => None,
            };
            (error.status(), AnswerDocument::Error { error: error.to_string(), leader })
        }
    };
    let bytes = (queries.dialect.encode_placement)(&PlacementAnswer(document));
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Parses the query of the question's URI.
fn parse(text: &str) -> Result<PlacementQuery, PlacementError> {
    let malformed = |message: String| PlacementError::Malformed(message);
    let (mut service, mut model) = (None, None);
    let (mut priority, mut prompt_tokens) = (None, None);
    let mut output_tokens = DEFAULT_OUTPUT_TOKENS;
    let mut prompt_parts = Vec::new();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value = decode_percent(value)
            .ok_or_else(|| malformed(format!("the value of {name:?} is not encoded text")))?;
        match name {
            "service" => service = Some(value),
            "model" => model = Some(value),
            "tokens" => prompt_tokens = Some(tokens(name, &value)?),
            "output" => output_tokens = tokens(name, &value)?,
            "parts" => prompt_parts = parts(&value)?,
            "priority" => {
                let number = value.parse();
                let number = number
                    .map_err(|_| malformed(format!("{value:?} is not a priority of 0 to 255")))?;
                priority = Some(number);
            }
            _ => return Err(malformed(format!("unknown parameter {name:?}"))),
        }
    }
    let service = service.ok_or_else(|| malformed("the parameter service is missing".into()))?;
    let model = model.ok_or_else(|| malformed("the parameter model is missing".into()))?;
    // Without a total, the prompt is its parts.
    let of_parts = prompt_parts.iter().map(|(_, tokens)| *tokens).sum();
    Ok(PlacementQuery {
        service: service.into(),
        model: model.into(),
        priority,
        prompt_tokens: prompt_tokens.unwrap_or(of_parts),
        output_tokens,
        prompt_parts,
    })
}

fn tokens(name: &str, text: &str) -> Result<u32, PlacementError> {
    let number = text.parse().ok().filter(|tokens| *tokens <= MAX_TOKENS);
    number.ok_or_else(|| {
        PlacementError::Malformed(format!(
            "{text:?} for {name:?} is not a number of tokens up to {MAX_TOKENS}"
        ))
    })
}

/// Parses prompt parts in the form that requests state them: hexadecimal ids with token counts.
fn parts(text: &str) -> Result<Vec<(u64, u32)>, PlacementError> {
    let parts = text.split(',').filter(|part| !part.is_empty()).map(|part| {
        let parsed = part
            .split_once(':')
            .and_then(|(id, count)| Some((u64::from_str_radix(id.trim(), 16).ok()?, count.trim())));
        let (id, count) = parsed.ok_or_else(|| {
            PlacementError::Malformed(format!("{part:?} is not ID:TOKENS with a hexadecimal ID"))
        })?;
        Ok((id, tokens("parts", count)?))
    });
    let parts = parts.collect::<Result<Vec<_>, PlacementError>>()?;
    if parts.len() > MAX_PARTS {
        return Err(PlacementError::Malformed(format!("more than {MAX_PARTS} prompt parts")));
    }
    Ok(parts)
}

fn decode_percent(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || char::from(bytes.next()?).to_digit(16);
        decoded.push(u8::try_from(digit()? * 16 + digit()?).ok()?);
    }
    String::from_utf8(decoded).ok()
}

#[cfg(test)]
mod tests;
