//! Parsing of HTTP requests into calls.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::http::request::Parts;
use redwinglatch_core::{AdapterVersion, Refusal, RefusalReason};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::{CallHeaders, CallKind, CompletionCall, ServiceCall};

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
const MAX_NAME_BYTES: usize = 256;
const MAX_TOKENS: u32 = 32_768;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompletionBody {
    model: Box<str>,
    adapter: Box<str>,
    version: u32,
    prompt: Box<str>,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    256
}

/// Parses a request; the size limit of its body has been checked before.
pub(crate) fn parse_call(parts: &Parts, body: Bytes) -> Result<CallKind, Refusal> {
    let path = parts.uri.path();
    match (parts.method.as_str(), path) {
        ("GET", "/v1/entries") => return Ok(CallKind::Entries),
        ("POST", "/v1/completions") => return parse_completion(parts, &body),
        _ => {}
    }
    match path.strip_prefix("/v1/services/") {
        Some(rest) => parse_service(parts, rest, body),
        None => Err(Refusal::not_run(
            RefusalReason::NotFound,
            format!("unknown resource: {} {path}", parts.method),
        )),
    }
}

fn parse_completion(parts: &Parts, body: &Bytes) -> Result<CallKind, Refusal> {
    let headers = parse_headers(&parts.headers)?;
    let parsed: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is not a completion request: {error}")))?;
    if parsed.adapter.is_empty() || MAX_NAME_BYTES < parsed.adapter.len() {
        return Err(malformed(format!("`adapter` must have 1 to {MAX_NAME_BYTES} bytes")));
    }
    if parsed.version == 0 {
        return Err(malformed("`version` must be at least 1"));
    }
    if !(1..=MAX_TOKENS).contains(&parsed.max_tokens) {
        return Err(malformed(format!("`max_tokens` must be from 1 to {MAX_TOKENS}")));
    }
    Ok(CallKind::Completion(CompletionCall {
        headers,
        model: parsed.model,
        adapter: AdapterVersion::new(parsed.adapter, parsed.version),
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens,
        stream: parsed.stream,
        digest: digest(&[b"completion", body]),
    }))
}

fn parse_service(parts: &Parts, rest: &str, body: Bytes) -> Result<CallKind, Refusal> {
    let headers = parse_headers(&parts.headers)?;
    let (service, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    if service.is_empty() || MAX_NAME_BYTES < service.len() {
        return Err(malformed(format!("the service name must have 1 to {MAX_NAME_BYTES} bytes")));
    }
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let method = parts.method.as_str();
    let content_type = header(&parts.headers, "content-type")?.map(Into::into);
    Ok(CallKind::Service(ServiceCall {
        headers,
        service: service.into(),
        method: method.into(),
        digest: digest(&[method.as_bytes(), service.as_bytes(), path.as_bytes(), &body]),
        path: path.into(),
        content_type,
        body,
    }))
}

fn parse_headers(headers: &HeaderMap) -> Result<CallHeaders, Refusal> {
    let customer = header(headers, "x-redwinglatch-customer")?
        .filter(|customer| (1..=MAX_NAME_BYTES).contains(&customer.len()))
        .ok_or_else(|| malformed("header x-redwinglatch-customer is missing or too long"))?;
    let deadline_ms = header(headers, "x-redwinglatch-deadline-ms")?
        .map(|text| {
            text.parse::<u32>().map_err(|_| {
                malformed(format!(
                    "x-redwinglatch-deadline-ms is not a number of milliseconds: {text:?}"
                ))
            })
        })
        .transpose()?;
    let priority = header(headers, "x-redwinglatch-priority")?
        .map(|text| match text.parse::<u8>() {
            Ok(priority) if priority <= 9 => Ok(priority),
            _ => Err(malformed(format!("x-redwinglatch-priority is not from 0 to 9: {text:?}"))),
        })
        .transpose()?;
    let idempotency_key = header(headers, "idempotency-key")?;
    if idempotency_key.is_some_and(|key| !(1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())) {
        return Err(malformed(format!(
            "idempotency-key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        )));
    }
    let at_most_once = match header(headers, "x-redwinglatch-once")? {
        None | Some("false") => false,
        Some("true") => true,
        Some(other) => {
            return Err(malformed(format!("x-redwinglatch-once is not true or false: {other:?}")));
        }
    };
    let bearer = header(headers, "authorization")?.and_then(|text| text.strip_prefix("Bearer "));
    Ok(CallHeaders {
        customer: customer.into(),
        bearer: bearer.map(Into::into),
        deadline_ms,
        priority,
        idempotency_key: idempotency_key.map(Into::into),
        at_most_once,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(format!("header {name} is given more than once")));
    }
    value
        .to_str()
        .map(|text| Some(text.trim()))
        .map_err(|_| malformed(format!("header {name} is not visible ASCII")))
}

fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length separates the parts, so that different splits of the same bytes have different
        // digests.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn malformed(detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalReason::MalformedRequest, detail)
}
