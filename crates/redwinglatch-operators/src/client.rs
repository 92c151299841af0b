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
    CHANGE_ID_HEADER, ChangeDocument, ClientError, ConflictDocument, ContractDocument,
    ContractListDocument, EXPECTED_REVISION_HEADER, ErrorDocument, ErrorKind, FailedAttempt,
    HistoryDocument, InstanceListDocument, StatusDocument, StopDocument, path,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Above the time in which the server gives its own answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_secs(1);
/// Bounds the time of a request when the list of addresses is long and nobody answers.
const MAX_ATTEMPTS: usize = 12;
/// The list of 380 instances or of some thousand contracts is well below this.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests to one of several operator addresses.
///
/// A request whose answer is lost, or that an instance can't serve at the moment, goes to the
/// next address. This is safe for every request: reads change nothing, a change is made once per
/// change id, and stopping an instance that stops changes nothing.
#[derive(Clone)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    rounds: u32,
}

/// The parts of a request that stay the same at every address.
struct Parts<'a> {
    method: Method,
    path: &'a str,
    change: Option<(HeaderValue, Revision)>,
    body: Bytes,
}

/// An answer that came from an instance.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// Sends requests with `secret` to `addresses`, the first one first.
    #[must_use]
    pub fn new(addresses: impl Into<Vec<SocketAddr>>, secret: &str) -> OperatorClient {
        let authorization = HeaderValue::from_str(&format!("Bearer {}", secret.trim()));
        let authorization = authorization.ok().map(|mut value| {
            value.set_sensitive(true);
            value
        });
        OperatorClient { addresses: addresses.into(), authorization, rounds: 3 }
    }

    /// How often all addresses are tried before the client gives up; 3 unless set.
    #[must_use]
    pub fn rounds(mut self, rounds: u32) -> OperatorClient {
        self.rounds = rounds;
        self
    }

    /// Writes a contract. `expected_revision` is that of the contract it replaces, 0 if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if the revision is not the current one, or as every request.
    pub async fn apply_contract(
        &self,
        change_id: &str,
        expected_revision: Revision,
        contract: &Contract,
    ) -> Result<ChangeDocument, ClientError> {
        let body = serde_json::to_vec(contract).map_err(|error| invalid(error.to_string()))?;
        let path = contract_path(&contract.customer);
        self.change(Method::PUT, &path, change_id, expected_revision, body.into()).await
    }

    /// Removes a customer's contract.
    ///
    /// # Errors
    ///
    /// Fails if the revision is not the current one, or as every request.
    pub async fn remove_contract(
        &self,
        change_id: &str,
        expected_revision: Revision,
        customer: &str,
    ) -> Result<ChangeDocument, ClientError> {
        let path = contract_path(customer);
        self.change(Method::DELETE, &path, change_id, expected_revision, Bytes::new()).await
    }

    /// Reads a customer's contract; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn contract(&self, customer: &str) -> Result<Option<ContractDocument>, ClientError> {
        none_if_not_found(self.get(&contract_path(customer)).await)
    }

    /// Reads all contracts.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn contracts(&self) -> Result<ContractListDocument, ClientError> {
        self.get("/v1/contracts").await
    }

    /// Reads the past changes of a customer's contract; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn history(&self, customer: &str) -> Result<Option<HistoryDocument>, ClientError> {
        let path = format!("{}/history", contract_path(customer));
        none_if_not_found(self.get(&path).await)
    }

    /// Reads the state of the first instance that answers.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn status(&self) -> Result<StatusDocument, ClientError> {
        self.get("/v1/status").await
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn instances(&self) -> Result<InstanceListDocument, ClientError> {
        self.get("/v1/instances").await
    }

    /// Begins the planned stop of an instance.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn stop_instance(&self, instance: InstanceId) -> Result<StopDocument, ClientError> {
        let path = format!("/v1/instances/{instance}/stop");
        let parts = Parts { method: Method::POST, path: &path, change: None, body: Bytes::new() };
        self.request(&parts).await
    }

    /// Reads the metrics page of the first instance that answers.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the request is refused.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let parts =
            Parts { method: Method::GET, path: "/metrics", change: None, body: Bytes::new() };
        let answer = self.answer(&parts).await?;
        if answer.status != StatusCode::OK {
            return Err(refused(&answer));
        }
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let parts = Parts { method: Method::GET, path, change: None, body: Bytes::new() };
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
        let change_id = HeaderValue::from_str(change_id)
            .map_err(|_| invalid(format!("{change_id:?} is not a change id")))?;
        let change = Some((change_id, expected_revision));
        self.request(&Parts { method, path, change, body }).await
    }

    async fn request<T: DeserializeOwned>(&self, parts: &Parts<'_>) -> Result<T, ClientError> {
        let answer = self.answer(parts).await?;
        if answer.status == StatusCode::CONFLICT
            && let Ok(conflict) = serde_json::from_slice::<ConflictDocument>(&answer.body)
        {
            return Err(ErrorKind::Conflict(conflict).into());
        }
        if !answer.status.is_success() {
            return Err(refused(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|error| {
            let detail = format!("status {}: {error}", answer.status.as_u16()).into();
            ErrorKind::UnknownAnswer { detail }.into()
        })
    }

    /// Tries the addresses in turn until one gives an answer other than 503.
    async fn answer(&self, parts: &Parts<'_>) -> Result<Answer, ClientError> {
        if self.authorization.is_none() {
            return Err(invalid("the secret has a character that a header can't carry"));
        }
        let mut attempts = Vec::new();
        let mut unavailable = None;
        for round in 0..self.rounds {
            if round > 0 {
                sleep(PAUSE_BETWEEN_ROUNDS).await;
            }
            for address in &self.addresses {
                if attempts.len() >= MAX_ATTEMPTS {
                    break;
                }
                match self.send(*address, parts).await {
                    Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                        debug!("operators: {address} can't serve the request at the moment");
                        attempts.push(unavailable_attempt(*address, &answer));
                        unavailable = Some(answer);
                    }
                    Ok(answer) => return Ok(answer),
                    Err(attempt) => {
                        debug!("operators: {address} gave no answer: {}", attempt.detail);
                        attempts.push(attempt);
                    }
                }
            }
        }
        // A refusal says more than a lost answer, unless the lost request may have run.
        match unavailable {
            Some(answer) if attempts.iter().all(|attempt| attempt.ran == RunStatus::NotRun) => {
                Ok(answer)
            }
            _ => Err(ErrorKind::NoAnswer { attempts }.into()),
        }
    }

    async fn send(&self, address: SocketAddr, parts: &Parts<'_>) -> Result<Answer, FailedAttempt> {
        let not_run = |detail: String| FailedAttempt {
            address,
            detail: detail.into(),
            ran: RunStatus::NotRun,
        };
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_run(error.to_string())),
            Err(_) => return Err(not_run(format!("no connection within {CONNECT_TIMEOUT:?}"))),
        };
        let request =
            self.http_request(address, parts).map_err(|error| not_run(error.to_string()))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_run(error.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>(Answer { status, body })
        };
        // The connection ends with this future, whatever happens to the exchange.
        let exchange = async {
            tokio::pin!(exchange);
            tokio::select! {
                answer = &mut exchange => answer,
                _ = connection => exchange.await,
            }
        };
        let unknown = |detail: String| FailedAttempt {
            address,
            detail: detail.into(),
            ran: RunStatus::Unknown,
        };
        match timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(answer) => answer.map_err(unknown),
            Err(_) => Err(unknown(format!("no answer within {ANSWER_TIMEOUT:?}"))),
        }
    }

    fn http_request(
        &self,
        address: SocketAddr,
        parts: &Parts<'_>,
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

fn invalid(detail: impl Into<Box<str>>) -> ClientError {
    ErrorKind::InvalidRequest { detail: detail.into() }.into()
}

fn refused(answer: &Answer) -> ClientError {
    let status = answer.status.as_u16();
    match serde_json::from_slice::<ErrorDocument>(&answer.body) {
        Ok(document) => ErrorKind::Refused { status, error: document.error }.into(),
        Err(error) => {
            let detail = format!("status {status}: {error}").into();
            ErrorKind::UnknownAnswer { detail }.into()
        }
    }
}

fn unavailable_attempt(address: SocketAddr, answer: &Answer) -> FailedAttempt {
    match serde_json::from_slice::<ErrorDocument>(&answer.body) {
        Ok(ErrorDocument { error }) => FailedAttempt {
            address,
            detail: format!("{}: {}", error.code, error.message).into(),
            ran: error.ran,
        },
        // A connection over the limit is closed with a 503 without a body, before any request is
        // read.
        Err(_) => FailedAttempt { address, detail: "status 503".into(), ran: RunStatus::NotRun },
    }
}

fn none_if_not_found<T>(result: Result<T, ClientError>) -> Result<Option<T>, ClientError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(ClientError { kind: ErrorKind::Refused { status: 404, error } })
            if *error.code == *"unknown_customer" =>
        {
            Ok(None)
        }
        Err(error) => Err(error),
    }
}
