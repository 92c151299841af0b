//! Parsing of HTTP requests to [`OperatorRequest`], and rendering of [`OperatorReply`].

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use redwinglatch_core::{Contract, InstanceId, Refusal, RefusalReason, Revision};

use crate::{
    CHANGE_ID_HEADER, EXPECTED_REVISION_HEADER, OperatorReply, OperatorRequest, error_document,
    path,
};

const MAX_CHANGE_ID_BYTES: usize = 128;

/// The target of a method and a path.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Metrics,
    Call(OperatorRequest),
    /// A contract of this customer; the contract itself is in the body.
    ApplyContract {
        customer: Box<str>,
        change: ChangeHeaders,
    },
}

/// The values of the headers of a change.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ChangeHeaders {
    change_id: Box<str>,
    expected_revision: Revision,
}

pub(crate) fn route(method: &Method, path: &str, headers: &HeaderMap) -> Result<Route, Refusal> {
    let mut segments = path.split('/');
    let _before_first_slash = segments.next();
    let segments: Vec<&str> = segments.collect();
    let request = match (method, &*segments) {
        (&Method::GET, ["metrics"]) => return Ok(Route::Metrics),
        (&Method::GET, ["v1", "contracts"]) => OperatorRequest::ListContracts,
        (&Method::GET, ["v1", "contracts", customer]) => {
            OperatorRequest::GetContract { customer: customer_name(customer)? }
        }
        (&Method::GET, ["v1", "contracts", customer, "history"]) => {
            OperatorRequest::ContractHistory { customer: customer_name(customer)? }
        }
        (&Method::PUT, ["v1", "contracts", customer]) => {
            let customer = customer_name(customer)?;
            return Ok(Route::ApplyContract { customer, change: change_headers(headers)? });
        }
        (&Method::DELETE, ["v1", "contracts", customer]) => {
            let customer = customer_name(customer)?;
            let ChangeHeaders { change_id, expected_revision } = change_headers(headers)?;
            OperatorRequest::RemoveContract { change_id, expected_revision, customer }
        }
        (&Method::GET, ["v1", "status"]) => OperatorRequest::Status,
        (&Method::GET, ["v1", "instances"]) => OperatorRequest::ListInstances,
        (&Method::POST, ["v1", "instances", id, "stop"]) => {
            let id = id
                .parse()
                .map_err(|_| malformed(format!("{id:?} in the path is not an instance number")))?;
            OperatorRequest::StopInstance { instance: InstanceId(id) }
        }
        _ => {
            let detail = format!("no such path or method: {method} {path}");
            return Err(Refusal::not_run(RefusalReason::NotFound, detail));
        }
    };
    Ok(Route::Call(request))
}

/// Parses the body of a `PUT` and combines it with the headers of the change.
pub(crate) fn apply_contract(
    customer: &str,
    change: ChangeHeaders,
    body: &[u8],
) -> Result<OperatorRequest, Refusal> {
    let contract: Contract = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is not a contract: {error}")))?;
    if *contract.customer != *customer {
        return Err(malformed(format!(
            "the path names the customer {customer:?}, the contract {:?}",
            contract.customer
        )));
    }
    let ChangeHeaders { change_id, expected_revision } = change;
    Ok(OperatorRequest::ApplyContract { change_id, expected_revision, contract })
}

/// Returns the status and the JSON body for a reply.
pub(crate) fn render_reply(reply: &OperatorReply) -> (StatusCode, Vec<u8>) {
    let (status, json) = match reply {
        OperatorReply::Contract(document) => (StatusCode::OK, serde_json::to_vec(document)),
        OperatorReply::Contracts(document) => (StatusCode::OK, serde_json::to_vec(document)),
        OperatorReply::History(document) => (StatusCode::OK, serde_json::to_vec(document)),
        OperatorReply::Change(document) if document.is_in_force => {
            (StatusCode::OK, serde_json::to_vec(document))
        }
        OperatorReply::Change(document) => (StatusCode::ACCEPTED, serde_json::to_vec(document)),
        OperatorReply::Conflict(document) => (StatusCode::CONFLICT, serde_json::to_vec(document)),
        OperatorReply::Status(document) => (StatusCode::OK, serde_json::to_vec(document)),
        OperatorReply::Instances(document) => (StatusCode::OK, serde_json::to_vec(document)),
        OperatorReply::Stopping(document) => (StatusCode::ACCEPTED, serde_json::to_vec(document)),
        OperatorReply::Refused(refusal) => {
            let document = error_document::ErrorDocument::new(refusal);
            (error_document::status(refusal.reason), serde_json::to_vec(&document))
        }
    };
    (status, json.expect("the documents have string keys only"))
}

fn customer_name(segment: &str) -> Result<Box<str>, Refusal> {
    path::decode(segment)
        .ok_or_else(|| malformed(format!("{segment:?} in the path is not a customer's name")))
}

fn change_headers(headers: &HeaderMap) -> Result<ChangeHeaders, Refusal> {
    let change_id = headers
        .get(CHANGE_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| (1..=MAX_CHANGE_ID_BYTES).contains(&id.len()))
        .ok_or_else(|| {
            malformed(format!(
                "the header {CHANGE_ID_HEADER} is missing or not 1 to {MAX_CHANGE_ID_BYTES} \
                 visible ASCII characters"
            ))
        })?;
    let expected_revision = headers
        .get(EXPECTED_REVISION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| {
            malformed(format!(
                "the header {EXPECTED_REVISION_HEADER} is missing or not a whole number"
            ))
        })?;
    Ok(ChangeHeaders {
        change_id: change_id.into(),
        expected_revision: Revision(expected_revision),
    })
}

fn malformed(detail: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalReason::MalformedRequest, detail)
}
