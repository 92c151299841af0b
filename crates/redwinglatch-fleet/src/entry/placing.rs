//! Asks the coordinator where a request goes.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::timeout};

use crate::{
    ids::BackendKey,
    message::{FleetMessage, PlaceReply, PlaceRequest},
};

use super::App;

/// How long the coordinator may take to answer at all before this process decides alone.
const FIRST_REPLY_LIMIT: Duration = Duration::from_millis(80);
/// How long a queued request waits; the coordinator refuses it before.
const QUEUED_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a coordinator that didn't answer is left alone.
const SUSPECT_MS: u64 = 400;
/// A request gets at most two replies.
const REPLIES: usize = 2;

/// What the coordinator decided.
pub(crate) enum Placement {
    /// The request goes to this engine; the place is held until the guard is dropped.
    Placed { engine: BackendKey, version: Option<u64>, place: PlaceGuard },
    /// The request is refused.
    Refused { retry_after_ms: u64 },
    /// No coordinator answers.
    NoCoordinator,
}

/// Tells the coordinator when a request has ended.
pub(crate) struct PlaceGuard {
    app: Arc<App>,
    id: u64,
    epoch: u64,
}

impl PlaceGuard {
    /// Tells the coordinator that the engine has read the prompt.
    pub(crate) fn first_event(&self) {
        self.app.view().send_coordinator(FleetMessage::FirstEvent { id: self.id });
    }

    /// The coordinator's epoch.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let mut view = self.app.view();
        view.end_placing(self.id);
        view.send_coordinator(FleetMessage::Release { id: self.id });
    }
}

/// Asks the coordinator for an engine.
pub(crate) async fn place(app: &Arc<App>, request: PlaceRequest) -> Placement {
    let (sender, mut replies) = mpsc::channel(REPLIES);
    let started = app.view().start_placing(app.now_ms(), sender, request);
    let Some((id, epoch)) = started else { return Placement::NoCoordinator };
    let place = PlaceGuard { app: Arc::clone(app), id, epoch };
    let mut limit = FIRST_REPLY_LIMIT;
    loop {
        match timeout(limit, replies.recv()).await {
            Ok(Some(PlaceReply::Queued)) => limit = QUEUED_LIMIT,
            Ok(Some(PlaceReply::Placed { engine, version })) => {
                return Placement::Placed { engine, version, place };
            }
            Ok(Some(PlaceReply::Refused { retry_after_ms })) => {
                return Placement::Refused { retry_after_ms };
            }
            Ok(None) => return Placement::NoCoordinator,
            Err(_) => {
                let now_ms = app.now_ms();
                log::info!("entry: the coordinator doesn't answer; requests are placed locally");
                app.view().suspect_coordinator(now_ms + SUSPECT_MS);
                return Placement::NoCoordinator;
            }
        }
    }
}
