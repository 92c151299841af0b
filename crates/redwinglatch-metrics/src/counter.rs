//! Counters other than those of refusals and retries.

macro_rules! define_series {
    ($(#[$doc:meta])* $name:ident { $($variant:ident => $series:literal, $help:literal;)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum $name {
            $(#[doc = $help] $variant,)*
        }

        impl $name {
            /// Every series, in the order of the metrics page.
            pub const ALL: &[$name] = &[$($name::$variant,)*];

            /// Returns the name on the metrics page.
            #[must_use]
            pub fn series(self) -> &'static str {
                match self {
                    $($name::$variant => $series,)*
                }
            }

            /// Returns the help text on the metrics page.
            #[must_use]
            pub fn help(self) -> &'static str {
                match self {
                    $($name::$variant => $help,)*
                }
            }
        }
    };
}

pub(crate) use define_series;

define_series! {
    /// Identifies a counter of events since the start of the process.
    Counter {
        RequestsAccepted => "redwinglatch_requests_accepted_total",
            "Requests that passed every check of the entry instance.";
        RequestsAnswered => "redwinglatch_requests_answered_total",
            "Requests whose complete answer was sent to the caller.";
        RequestsCancelled => "redwinglatch_requests_cancelled_total",
            "Requests whose caller went away before the answer was complete.";
        AnswersFromRecord => "redwinglatch_answers_from_record_total",
            "Answers taken from the record of an idempotency key.";
        TokensSent => "redwinglatch_tokens_sent_total",
            "Generated tokens sent to callers.";
        Placements => "redwinglatch_placements_total",
            "Placements granted by the coordinator on this instance.";
        LoadsOrdered => "redwinglatch_loads_ordered_total",
            "Adapter loads ordered by the coordinator on this instance.";
        LoadsFailed => "redwinglatch_loads_failed_total",
            "Adapter loads that failed.";
        Preloads => "redwinglatch_preloads_total",
            "Adapter loads ordered while no request waited for the adapter.";
        UnloadsOrdered => "redwinglatch_unloads_ordered_total",
            "Adapter unloads ordered by the coordinator on this instance.";
        ReportsRead => "redwinglatch_reports_read_total",
            "Reports read from backend servers.";
        ReportsMissed => "redwinglatch_reports_missed_total",
            "Reports that a backend server did not answer in time.";
        EventGaps => "redwinglatch_event_gaps_total",
            "Gaps in the cache events of engines.";
        EngineRestarts => "redwinglatch_engine_restarts_total",
            "Changes of an engine's boot id.";
        LeaseRenewals => "redwinglatch_lease_renewals_total",
            "Renewals of this instance's serving lease.";
        LeasesExpired => "redwinglatch_leases_expired_total",
            "Times that this instance's serving lease expired.";
        ChangesCommitted => "redwinglatch_changes_committed_total",
            "Contract changes applied from the control log.";
        Elections => "redwinglatch_elections_total",
            "Elections started by the log replica on this instance.";
        LogEntries => "redwinglatch_log_entries_total",
            "Entries appended to the control log on this instance.";
        LogSyncs => "redwinglatch_log_syncs_total",
            "Syncs of the control log to disk.";
        Snapshots => "redwinglatch_snapshots_total",
            "Snapshots taken of the control state.";
        ControlBytesSent => "redwinglatch_control_bytes_sent_total",
            "Bytes sent to other instances.";
        ControlBytesReceived => "redwinglatch_control_bytes_received_total",
            "Bytes received from other instances.";
        SilentConnections => "redwinglatch_silent_connections_total",
            "Connections closed because nothing arrived or nothing could be written.";
        ListReadsFailed => "redwinglatch_list_reads_failed_total",
            "Reads of the platform's list that failed.";
        SecretsReplaced => "redwinglatch_secrets_replaced_total",
            "Secret files that were read again after a change.";
    }
}
