//! The client of the operators' HTTP API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use log::debug;
use redwinglatch_core::{Contract, InstanceId, Revision, RunStatus};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::{
    CHANGE_ID_HEADER, ChangeDocument, ClientError, ClientErrorKind, ConflictDocument,
    ContractDocument, ContractListDocument, EXPECTED_REVISION_HEADER, ErrorDocument, FailedAttempt,
    HistoryDocument, InstanceListDocument, StatusDocument, StopDocument, path,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the server's own response timeout (`OperatorLimits::response_timeout_ms`).
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds the duration of a request when many addresses are configured and none responds.
const MAX_ATTEMPTS: usize = 12;
/// A list of 380 instances or of a few thousand contracts is well below this.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to one of several operator addresses.
///
/// A request whose response is lost, or that an instance rejects with status 503, is sent to the
/// next address. This is safe for every request: reads have no effect, a change is applied once
/// per change id, and a stop has no effect on an instance that is already stopping.
#[derive(Clone)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    rounds: u32,
}

/// The parts of a request that are the same for every address.
struct RequestParts<'a> {
    method: Method,
    path: &'a str,
    change: Option<(HeaderValue, Revision)>,
    body: Bytes,
}

/// A complete HTTP response.
struct ReceivedResponse {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// Creates a client that authenticates with `secret` and tries `addresses` in order.
    #[must_use]
    pub fn new(addresses: impl Into<Vec<SocketAddr>>, secret: &str) -> OperatorClient {
        let authorization = HeaderValue::from_str(&format!("Bearer {}", secret.trim()));
        let authorization = authorization.ok().map(|mut value| {
            value.set_sensitive(true);
            value
        });
        OperatorClient { addresses: addresses.into(), authorization, rounds: 3 }
    }

    /// Sets how many times the client tries all addresses before it fails; the default is 3.
    #[must_use]
    pub fn rounds(mut self, rounds: u32) -> OperatorClient {
        self.rounds = rounds;
        self
    }

    /// Creates or replaces a contract. `expected_revision` is the revision of the contract to be
    /// replaced, 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails if `expected_revision` is not the current one, no instance responds, or the request
    /// is refused.
    pub async fn apply_contract(
        &self,
        change_id: &str,
        expected_revision: Revision,
        contract: &Contract,
    ) -> Result<ChangeDocument, ClientError> {
        let body =
            serde_json::to_vec(contract).map_err(|error| invalid_request(error.to_string()))?;
        let path = contract_path(&contract.customer);
        self.change(Method::PUT, &path, change_id, expected_revision, body.into()).await
    }

    /// Removes a customer's contract.
    ///
    /// # Errors
    ///
    /// Fails if `expected_revision` is not the current one, no instance responds, or the request
    /// is refused.
    pub async fn remove_contract(
        &self,
        change_id: &str,
        expected_revision: Revision,
        customer: &str,
    ) -> Result<ChangeDocument, ClientError> {
        let path = contract_path(customer);
        self.change(Method::DELETE, &path, change_id, expected_revision, Bytes::new()).await
    }

    /// Returns a customer's contract; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn contract(&self, customer: &str) -> Result<Option<ContractDocument>, ClientError> {
        none_if_not_found(self.get(&contract_path(customer)).await)
    }

    /// Returns all contracts.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn contracts(&self) -> Result<ContractListDocument, ClientError> {
        self.get("/v1/contracts").await
    }

    /// Returns the past changes of a customer's contract; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn history(&self, customer: &str) -> Result<Option<HistoryDocument>, ClientError> {
        let path = format!("{}/history", contract_path(customer));
        none_if_not_found(self.get(&path).await)
    }

    /// Returns the status of the first instance that responds.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn status(&self) -> Result<StatusDocument, ClientError> {
        self.get("/v1/status").await
    }

    /// Returns all instances of the deployment.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn instances(&self) -> Result<InstanceListDocument, ClientError> {
        self.get("/v1/instances").await
    }

    /// Starts a planned stop: the instance drains and then ends.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn stop_instance(&self, instance: InstanceId) -> Result<StopDocument, ClientError> {
        let path = format!("/v1/instances/{instance}/stop");
        let parts =
            RequestParts { method: Method::POST, path: &path, change: None, body: Bytes::new() };
        self.request(&parts).await
    }

    /// Returns the metrics page of the first instance that responds, as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the request is refused.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let parts = RequestParts {
            method: Method::GET,
            path: "/metrics",
            change: None,
            body: Bytes::new(),
        };
        let response = self.send_with_retries(&parts).await?;
        if response.status != StatusCode::OK {
            return Err(refused_error(&response));
        }
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let parts = RequestParts { method: Method::GET, path, change: None, body: Bytes::new() };
        self.request(&parts).await
    }

    async fn change(
        &self,
        method: Method,
        path: &str,
        change_id: &str,
        expected_revision: Revision,
        body: Bytes,
    ) -> Result<ChangeDocument, ClientError> {
        let change_id = HeaderValue::from_str(change_id).map_err(|_| {
            invalid_request(format!(
                "{change_id:?} is not a valid change id: an HTTP header can't contain it"
            ))
        })?;
        let change = Some((change_id, expected_revision));
        self.request(&RequestParts { method, path, change, body }).await
    }

    async fn request<T: DeserializeOwned>(
        &self,
        parts: &RequestParts<'_>,
    ) -> Result<T, ClientError> {
        let response = self.send_with_retries(parts).await?;
        if response.status == StatusCode::CONFLICT
            && let Ok(conflict) = serde_json::from_slice::<ConflictDocument>(&response.body)
        {
            return Err(ClientErrorKind::Conflict(conflict).into());
        }
        if !response.status.is_success() {
            return Err(refused_error(&response));
        }
        serde_json::from_slice(&response.body).map_err(|error| {
            let detail = format!("status {}: {error}", response.status.as_u16()).into();
            ClientErrorKind::InvalidResponse { detail }.into()
        })
    }

    /// Tries the addresses in order until one responds with a status other than 503.
    async fn send_with_retries(
        &self,
        parts: &RequestParts<'_>,
    ) -> Result<ReceivedResponse, ClientError> {
        if self.authorization.is_none() {
            return Err(invalid_request(
                "the secret has a character that is not allowed in an HTTP header",
            ));
        }
        let mut attempts = Vec::new();
        let mut unavailable = None;
        for round in 0..self.rounds {
            if round > 0 {
                sleep(ROUND_INTERVAL).await;
            }
            for address in &self.addresses {
                if attempts.len() >= MAX_ATTEMPTS {
                    break;
                }
                match self.send(*address, parts).await {
                    Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                        debug!("operators: {address} responded with status 503");
                        attempts.push(failed_attempt(*address, &response));
                        unavailable = Some(response);
                    }
                    Ok(response) => return Ok(response),
                    Err(attempt) => {
                        debug!("operators: {address} gave no response: {}", attempt.detail);
                        attempts.push(attempt);
                    }
                }
            }
        }
        // A refusal tells the operator more than a failed connection does, unless one of the
        // attempts may have run.
        match unavailable {
            Some(response) if attempts.iter().all(|attempt| attempt.ran == RunStatus::NotRun) => {
                Ok(response)
            }
            _ => Err(ClientErrorKind::NoResponse { attempts }.into()),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        parts: &RequestParts<'_>,
    ) -> Result<ReceivedResponse, FailedAttempt> {
        let not_run_error = |detail: String| FailedAttempt {
            address,
            detail: detail.into(),
            ran: RunStatus::NotRun,
        };
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_run_error(error.to_string())),
            Err(_) => {
                return Err(not_run_error(format!(
                    "connection not established within {CONNECT_TIMEOUT:?}"
                )));
            }
        };
        let request =
            self.http_request(address, parts).map_err(|error| not_run_error(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_run_error(error.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>(ReceivedResponse { status, body })
        };
        // The connection is driven, and dropped, together with the exchange.
        let exchange = async {
            tokio::pin!(exchange);
            tokio::select! {
                response = &mut exchange => response,
                _ = connection => exchange.await,
            }
        };
        let unknown_outcome_error = |detail: String| FailedAttempt {
            address,
            detail: detail.into(),
            ran: RunStatus::Unknown,
        };
        match timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(response) => response.map_err(unknown_outcome_error),
            Err(_) => {
                Err(unknown_outcome_error(format!("no response within {RESPONSE_TIMEOUT:?}")))
            }
        }
    }

    fn http_request(
        &self,
        address: SocketAddr,
        parts: &RequestParts<'_>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut builder = Request::builder()
            .method(parts.method.clone())
            .uri(parts.path)
            .header(HOST, address.to_string());
        if let Some(authorization) = &self.authorization {
            builder = builder.header(AUTHORIZATION, authorization);
        }
        if let Some((change_id, expected_revision)) = &parts.change {
            builder = builder
                .header(CHANGE_ID_HEADER, change_id)
                .header(EXPECTED_REVISION_HEADER, expected_revision.0);
        }
        if !parts.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        builder.body(Full::new(parts.body.clone()))
    }
}

impl fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorClient").field("addresses", &self.addresses).finish_non_exhaustive()
    }
}

fn contract_path(customer: &str) -> String {
    format!("/v1/contracts/{}", path::encode(customer))
}

fn invalid_request(detail: impl Into<Box<str>>) -> ClientError {
    ClientErrorKind::InvalidRequest { detail: detail.into() }.into()
}

fn refused_error(response: &ReceivedResponse) -> ClientError {
    let status = response.status.as_u16();
    match serde_json::from_slice::<ErrorDocument>(&response.body) {
        Ok(document) => ClientErrorKind::Refused { status, error: document.error }.into(),
        Err(error) => {
            let detail = format!("status {status}: {error}").into();
            ClientErrorKind::InvalidResponse { detail }.into()
        }
    }
}

fn failed_attempt(address: SocketAddr, response: &ReceivedResponse) -> FailedAttempt {
    match serde_json::from_slice::<ErrorDocument>(&response.body) {
        Ok(ErrorDocument { error }) => FailedAttempt {
            address,
            detail: format!("{}: {}", error.code, error.message).into(),
            ran: error.ran,
        },
        // A connection above the server's limit gets a 503 without a body before its request is
        // read.
        Err(_) => FailedAttempt { address, detail: "status 503".into(), ran: RunStatus::NotRun },
    }
}

fn none_if_not_found<T>(result: Result<T, ClientError>) -> Result<Option<T>, ClientError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(ClientError { kind: ClientErrorKind::Refused { status: 404, error } })
            if *error.code == *"unknown_customer" =>
        {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}
