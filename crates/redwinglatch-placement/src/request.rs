//! Placement requests, their results, and pin reports.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use redwinglatch_core::{AdapterVersion, Epoch, Incarnation, InstanceId, PinId, RequestId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identifies a request over all instances of a cell.
///
/// Its text form `instance-incarnation-request` is the `request_id` sent to engines, so that the
/// requests in an engine's snapshot can be matched to pins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The instance that accepted the request.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The request within the incarnation.
    pub request: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}", self.instance, self.incarnation.0, self.request)
    }
}

/// A text that is not the text form of a [`RequestKey`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRequestKeyError;

impl fmt::Display for ParseRequestKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("request key does not have the form `instance-incarnation-request`")
    }
}

impl std::error::Error for ParseRequestKeyError {}

impl From<ParseIntError> for ParseRequestKeyError {
    fn from(_: ParseIntError) -> ParseRequestKeyError {
        ParseRequestKeyError
    }
}

impl FromStr for RequestKey {
    type Err = ParseRequestKeyError;

    fn from_str(text: &str) -> Result<RequestKey, ParseRequestKeyError> {
        let (instance, rest) = text.split_once('-').ok_or(ParseRequestKeyError)?;
        let (incarnation, request) = rest.split_once('-').ok_or(ParseRequestKeyError)?;
        Ok(RequestKey {
            instance: InstanceId(instance.parse()?),
            incarnation: Incarnation(u64::from_str_radix(incarnation, 16)?),
            request: RequestId(request.parse()?),
        })
    }
}

/// Request for an engine on which an adapter is loaded; sent by an entry instance to the
/// coordinator.
///
/// The deadline is given as the remaining time, since instances don't share a clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The requesting instance.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The request to place.
    pub request: RequestId,
    /// The base model.
    pub model: Box<str>,
    /// The adapter and version to run on.
    pub adapter: AdapterVersion,
    /// The customer's name.
    pub customer: Box<str>,
    /// The customer's share of the weight store's loads under contention, in thousandths.
    pub load_share_permille: u16,
    /// The time remaining until the request's deadline.
    pub budget_ms: u64,
    /// The priority; 9 is the highest.
    pub priority: u8,
    /// The most tokens that the request may generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, the shortest prefix first.
    pub prefix_hashes: SmallVec<[u64; 4]>,
    /// The data centre of the entry instance.
    pub data_centre: Box<str>,
    /// Engines that must not be chosen, for example because they just failed to run this request.
    pub excluded_engines: SmallVec<[SocketAddr; 2]>,
}

impl PlaceRequest {
    /// Returns the key of the request.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        RequestKey { instance: self.instance, incarnation: self.incarnation, request: self.request }
    }
}

/// The engine on which a request is to run; the adapter is loaded there and stays loaded until the
/// pin ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The engine's address.
    pub engine: SocketAddr,
    /// The pin to release when the request ends.
    pub pin: PinId,
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// How long the request waited at the coordinator.
    pub stall_ms: u64,
}

/// A pin of a running request, reported by its instance to a new coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPin {
    /// The id assigned by the former coordinator; it stays valid under the new one.
    pub pin: PinId,
    /// The pinned request.
    pub request: RequestId,
    /// The engine's address.
    pub engine: SocketAddr,
    /// The base model.
    pub model: Box<str>,
    /// The pinned adapter and version.
    pub adapter: AdapterVersion,
    /// The time remaining until the request's deadline.
    pub budget_ms: u64,
}

/// Reason for the release of a pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Release {
    /// The request ran to its end.
    Finished,
    /// The request was cancelled, or its caller disconnected.
    Cancelled,
    /// The request was never sent to the engine.
    NotSent,
    /// The engine refused the request because the adapter is not loaded on it.
    AdapterMissing,
    /// The engine refused the request, for example because its queue was full.
    EngineRefused,
    /// The engine refused the request because it is leaving.
    EngineLeaving,
    /// The engine refused the connection.
    ConnectRefused,
    /// The engine failed after the request was sent.
    EngineFailed,
}
