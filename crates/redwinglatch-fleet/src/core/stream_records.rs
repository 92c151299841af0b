//! The software versions that began streams, on the disk of a core process.
//!
//! Answers the loss of all processes while a service has several versions: callers take their streams up seconds later,
//! and what no process remembers is refused. The records are written some milliseconds after a stream has begun and
//! don't delay it, so the last ones may be lost; such streams are refused as before.

mod record_files;

use std::{path::Path, time::Duration};

use tokio::{sync::mpsc, task::spawn_blocking, time::sleep};

use crate::{
    clock::Clock,
    ids::{SoftwareVersion, StreamKey},
};

use self::record_files::RecordFiles;

/// A stream and the version that began it.
pub(super) type StreamRecord = (StreamKey, SoftwareVersion);

/// Time for which records are collected before they are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Messages with records that may wait for a slow disk.
const MAX_QUEUED: usize = 4_096;

/// Passes records to the task that writes them.
#[derive(Debug)]
pub(super) struct StreamRecords {
    sender: mpsc::Sender<Batch>,
}

#[derive(Debug)]
struct Batch {
    records: Vec<StreamRecord>,
    /// The longest time for which a stream may be in progress.
    lifetime_ms: u64,
}

impl StreamRecords {
    /// Reads the records of earlier processes in `folder` and starts to write those of this one.
    pub(super) fn open(folder: &Path, clock: Clock) -> (StreamRecords, Vec<StreamRecord>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let recorded = match RecordFiles::open(folder, clock.now_ms()) {
            Ok((files, recorded)) => {
                tokio::spawn(write_batches(files, receiver, clock));
                recorded
            }
            Err(error) => {
                log::warn!("core: versions of streams won't outlast this process: {error}");
                Vec::new()
            }
        };
        (StreamRecords { sender }, recorded)
    }

    /// Writes records some time later, unless the disk is too slow.
    pub(super) fn add(&self, records: &[StreamRecord], lifetime_ms: u64) {
        if let Err(mpsc::error::TrySendError::Full(batch)) =
            self.sender.try_send(Batch { records: records.to_vec(), lifetime_ms })
        {
            log::debug!("core: {} versions of streams aren't written", batch.records.len());
        }
    }
}

/// Writes the records that arrive in each interval together.
async fn write_batches(mut files: RecordFiles, mut batches: mpsc::Receiver<Batch>, clock: Clock) {
    let mut was_written = true;
    while let Some(Batch { mut records, mut lifetime_ms }) = batches.recv().await {
        sleep(WRITE_INTERVAL).await;
        while let Ok(batch) = batches.try_recv() {
            records.extend(batch.records);
            lifetime_ms = lifetime_ms.max(batch.lifetime_ms);
        }
        let now_ms = clock.now_ms();
        let written = spawn_blocking(move || {
            let result = files.append(now_ms, lifetime_ms, &records);
            (files, result)
        });
        let result;
        (files, result) = match written.await {
            Ok(written) => written,
            Err(error) => return log::error!("core: versions of streams aren't written: {error}"),
        };
        let is_written = result.is_ok();
        if let Err(error) = result
            && was_written
        {
            log::warn!("core: cannot write versions of streams: {error}");
        }
        was_written = is_written;
    }
}
