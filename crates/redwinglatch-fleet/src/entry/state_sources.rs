//! Selects the core process from which an entry process requests the shared state.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use crate::{
    ids::{mix_bits, name_hash},
    message::LogProgress,
};

/// Time after a notice for which the preferred core process may still announce the same version.
const PREFERRED_NOTICE_DELAY_MS: u64 = 150;
/// Time after which an unanswered request for the configuration is sent to another core process.
const CONFIGURATION_RESPONSE_MS: u64 = 700;
/// Shortest interval between requests for the configuration. It bounds the requests of hundreds of entry
/// processes while the configuration changes all the time.
const CONFIGURATION_INTERVAL_MS: u64 = 250;
/// Time without a notice of the preferred core process after which the backend lists of others are
/// requested; core processes announce theirs every 700 ms.
const PREFERRED_LIST_SILENCE_MS: u64 = 1_600;
/// Time after which an unanswered request for a first backend list is sent again.
const FIRST_LIST_RESPONSE_MS: u64 = 400;

#[derive(Debug, Default)]
struct Source {
    data_centre: Option<Box<str>>,
    /// The newest configuration that the core process has announced.
    version: u64,
    /// The last progress in the replicated log that the core process reported, and the time of the report.
    progress: Option<(LogProgress, u64)>,
}

/// The last request for the configuration.
#[derive(Debug)]
struct ConfigurationRequest {
    core: SocketAddr,
    sent_ms: u64,
    is_answered: bool,
}

/// The connected core processes and what they have announced.
///
/// Each entry process requests state from one core process, in its own data centre if possible. When
/// hundreds of entry processes learn of the same change, the core processes share the answers.
#[derive(Debug)]
pub(crate) struct StateSources {
    front: SocketAddr,
    data_centre: Box<str>,
    sources: BTreeMap<SocketAddr, Source>,
    /// Time since which a newer configuration than the own one has been announced. Further notices don't
    /// change it, so that a storm of changes doesn't put off the requests.
    outdated_since_ms: Option<u64>,
    /// The configuration that this process had at the last look.
    own_version: u64,
    requested: Option<ConfigurationRequest>,
    preferred_list_notice_ms: Option<u64>,
    list_requested_ms: Option<u64>,
}

impl StateSources {
    pub(crate) fn new(front: SocketAddr, data_centre: Box<str>) -> StateSources {
        StateSources {
            front,
            data_centre,
            sources: BTreeMap::new(),
            outdated_since_ms: None,
            own_version: 0,
            requested: None,
            preferred_list_notice_ms: None,
            list_requested_ms: None,
        }
    }

    pub(crate) fn connected(&mut self, core: SocketAddr) {
        self.sources.insert(core, Source::default());
    }

    pub(crate) fn disconnected(&mut self, core: SocketAddr) {
        self.sources.remove(&core);
        if self.requested.as_ref().is_some_and(|request| request.core == core) {
            self.requested = None;
        }
    }

    pub(crate) fn set_data_centre(&mut self, core: SocketAddr, data_centre: Box<str>) {
        if let Some(source) = self.sources.get_mut(&core) {
            source.data_centre = Some(data_centre);
        }
    }

    /// Returns the core process that is asked first: one in the own data centre, otherwise one that
    /// differs between entry processes.
    fn preferred(&self) -> Option<SocketAddr> {
        let own = name_hash(&self.front.to_string());
        let rank = |(core, source): &(&SocketAddr, &Source)| {
            let is_remote = source.data_centre.as_deref() != Some(&*self.data_centre);
            (is_remote, Reverse(mix_bits(own ^ name_hash(&core.to_string()))))
        };
        self.sources.iter().min_by_key(rank).map(|(core, _)| *core)
    }

    /// Records how far a core process has come in the log.
    pub(crate) fn set_progress(&mut self, now_ms: u64, core: SocketAddr, progress: LogProgress) {
        if let Some(source) = self.sources.get_mut(&core) {
            source.progress = Some((progress, now_ms));
        }
    }

    /// Returns how far a core process has come in the log, if it has said so.
    pub(crate) fn progress(&self, now_ms: u64, core: SocketAddr) -> Option<LogProgress> {
        let (progress, said_ms) = self.sources.get(&core)?.progress?;
        let age_ms = progress.leader_age_ms.map(|age_ms| age_ms + now_ms.saturating_sub(said_ms));
        Some(LogProgress { leader_age_ms: age_ms, ..progress })
    }

    /// Returns the time since a connected core process has heard a leader, as far as it is known.
    pub(crate) fn leader_age_ms(&self, now_ms: u64) -> Option<u64> {
        let progress = self.sources.keys().filter_map(|core| self.progress(now_ms, *core));
        progress.filter_map(|progress| progress.leader_age_ms).min()
    }

    /// Records the version of a core process's configuration.
    pub(crate) fn configuration_announced(&mut self, now_ms: u64, core: SocketAddr, version: u64) {
        if let Some(source) = self.sources.get_mut(&core) {
            source.version = source.version.max(version);
        }
        if version > self.own_version {
            self.outdated_since_ms.get_or_insert(now_ms);
        }
    }

    /// Records that `core` has sent its configuration.
    pub(crate) fn configuration_received(&mut self, core: SocketAddr) {
        if let Some(request) = self.requested.as_mut().filter(|request| request.core == core) {
            request.is_answered = true;
        }
    }

    /// Returns the core process from which a configuration newer than `own_version` is to be
    /// requested now, and records the request.
    pub(crate) fn take_configuration_request(
        &mut self,
        now_ms: u64,
        own_version: u64,
    ) -> Option<SocketAddr> {
        self.own_version = own_version;
        let newest = self.sources.values().map(|source| source.version).max()?;
        if newest <= own_version {
            self.outdated_since_ms = None;
            return None;
        }
        let outdated_since_ms = *self.outdated_since_ms.get_or_insert(now_ms);
        let mut unanswered = None;
        if let Some(request) = &self.requested {
            let interval_ms = if request.is_answered {
                CONFIGURATION_INTERVAL_MS
            } else {
                unanswered = Some(request.core);
                CONFIGURATION_RESPONSE_MS
            };
            if now_ms < request.sent_ms + interval_ms {
                return None;
            }
        }
        let preferred = self
            .preferred()
            .filter(|core| self.is_usable(*core, newest) && Some(*core) != unanswered);
        if preferred.is_none() && now_ms < outdated_since_ms + PREFERRED_NOTICE_DELAY_MS {
            return None;
        }
        let core = preferred.or_else(|| self.other_holder(newest, unanswered))?;
        self.requested = Some(ConfigurationRequest { core, sent_ms: now_ms, is_answered: false });
        Some(core)
    }

    /// Returns whether a core process may be asked, when `newest` is the newest version that is announced. In a storm of
    /// changes any newer version will do, so that not all ask the leader; the first one must be the newest, because the
    /// core process that has another may be far behind.
    fn is_usable(&self, core: SocketAddr, newest: u64) -> bool {
        let version = self.sources[&core].version;
        version == newest || (self.own_version > 0 && version > self.own_version)
    }

    /// Draws a core process that may be asked, but `unanswered` only if there is no other.
    fn other_holder(&self, newest: u64, unanswered: Option<SocketAddr>) -> Option<SocketAddr> {
        let cores = self.sources.keys().copied();
        let holders: Vec<SocketAddr> = cores.filter(|core| self.is_usable(*core, newest)).collect();
        let others: Vec<SocketAddr> =
            holders.iter().copied().filter(|core| Some(*core) != unanswered).collect();
        fastrand::choice(others).or_else(|| fastrand::choice(holders))
    }

    /// Returns whether to request the backend list of `core`, which has announced one that differs
    /// from the list of this process.
    ///
    /// Lists of several core processes differ in age, so one that is older than the current list
    /// would otherwise replace it for a moment.
    pub(crate) fn should_request_list(
        &mut self,
        now_ms: u64,
        core: SocketAddr,
        has_list: bool,
    ) -> bool {
        let is_preferred = self.preferred() == Some(core);
        if is_preferred {
            self.preferred_list_notice_ms = Some(now_ms);
        }
        let is_preferred_silent = self
            .preferred_list_notice_ms
            .is_none_or(|notice_ms| notice_ms + PREFERRED_LIST_SILENCE_MS <= now_ms);
        let is_awaited =
            self.list_requested_ms.is_some_and(|sent_ms| now_ms < sent_ms + FIRST_LIST_RESPONSE_MS);
        let is_due = if has_list {
            is_preferred || is_preferred_silent
        } else {
            is_preferred || !is_awaited
        };
        if is_due {
            self.list_requested_ms = Some(now_ms);
        }
        is_due
    }

    /// Records that `core` has announced the backend list that this process has.
    pub(crate) fn list_confirmed(&mut self, now_ms: u64, core: SocketAddr) {
        if self.preferred() == Some(core) {
            self.preferred_list_notice_ms = Some(now_ms);
        }
    }
}

#[cfg(test)]
mod tests;
