//! Seeds that change in the settings file while a process runs.
//!
//! Answers a process that knows only core processes which are gone: all seeds of its start, or all core processes that
//! were replaced while it was suspended.

use std::{
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use tokio::{signal::unix::Signal, task, time::sleep};

use crate::{ProcessSettings, SettingsError, settings};

/// Interval between reads of the settings file while the process is isolated, or its last read has failed.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The seeds in the settings file of a process.
#[derive(Debug)]
pub(crate) struct SeedFile {
    path: PathBuf,
    /// Port at which core processes accept links.
    link_port: u16,
    /// The result of the last read.
    seeds: Result<Vec<SocketAddr>, SettingsError>,
}

impl SeedFile {
    /// Returns the seeds with which the process starts; `None` if the settings came from no file.
    pub(crate) fn of(settings: &ProcessSettings) -> Option<SeedFile> {
        Some(SeedFile {
            path: settings.file.clone()?,
            link_port: settings.link_port,
            seeds: Ok(settings.seeds.clone()),
        })
    }

    /// Reads the seeds again at SIGHUP, and periodically while the process is isolated, and passes their link addresses
    /// to `add`.
    ///
    /// A read that fails is repeated: the file may be being written.
    pub(crate) async fn follow<Added: Future<Output = ()>>(
        mut self,
        mut hangup: Signal,
        is_isolated: impl Fn() -> bool,
        add: impl Fn(Vec<SocketAddr>) -> Added,
    ) {
        loop {
            let is_signalled = tokio::select! {
                Some(()) = hangup.recv() => true,
                () = sleep(READ_INTERVAL) => false,
            };
            if is_signalled {
                log::info!("seeds: SIGHUP; other settings apply at the next start");
            } else if self.seeds.is_ok() && !is_isolated() {
                continue;
            }
            let links = self.read_again().await;
            if !links.is_empty() {
                add(links).await;
            }
        }
    }

    /// Reads the file and returns the link addresses of its seeds, none if it can't be read.
    async fn read_again(&mut self) -> Vec<SocketAddr> {
        let path = self.path.clone();
        let seeds = task::spawn_blocking(move || settings::read_seeds(&path)).await;
        let seeds = seeds.unwrap_or_else(|error| {
            Err(SettingsError::Unreadable { reason: error.to_string().into() })
        });
        if seeds != self.seeds {
            log_change(&self.path, &seeds);
            self.seeds = seeds;
        }
        let seeds = self.seeds.iter().flatten();
        seeds.map(|seed| SocketAddr::new(seed.ip(), self.link_port)).collect()
    }
}

fn log_change(path: &Path, seeds: &Result<Vec<SocketAddr>, SettingsError>) {
    let path = path.display();
    match seeds {
        Ok(seeds) => log::info!("seeds: {path} has the seeds {seeds:?}"),
        Err(error) => log::warn!("seeds: {path}: {error}; the known core processes stay"),
    }
}

#[cfg(test)]
mod tests;
