//! Values that rise and fall.

use crate::counter::define_series;

define_series! {
    /// Identifies a gauge.
    Gauge {
        RequestsInFlight => "redwinglatch_requests_in_flight",
            "Requests accepted by this instance and not yet answered.";
        CallerConnections => "redwinglatch_caller_connections",
            "Open connections of callers.";
        LeaseValid => "redwinglatch_lease_valid",
            "1 while the serving lease of this instance is valid.";
        Draining => "redwinglatch_draining",
            "1 while this instance drains.";
        AppliedRevision => "redwinglatch_applied_revision",
            "The revision of configuration that this instance applies.";
        ControlLeader => "redwinglatch_control_leader",
            "1 while this instance is the control leader.";
        LogTerm => "redwinglatch_log_term",
            "The term of the log replica on this instance.";
        CommitIndex => "redwinglatch_commit_index",
            "The commit index of the log replica on this instance.";
        CellsCoordinated => "redwinglatch_cells_coordinated",
            "Cells whose coordinator is this instance.";
        LiveInstances => "redwinglatch_live_instances",
            "Instances with a lease, as the last renewal listed them.";
        Pins => "redwinglatch_pins",
            "Pins held at the coordinator on this instance.";
        LoadQueueLength => "redwinglatch_load_queue_length",
            "Loads that wait for the weight store.";
        LoadsInFlight => "redwinglatch_loads_in_flight",
            "Loads that the weight store serves.";
        BatchEfficiencyPermille => "redwinglatch_batch_efficiency_permille",
            "Mean share of an engine step in use over the last reports, in thousandths.";
        BackendsLive => "redwinglatch_backends_live",
            "Backend servers that take new work.";
        BackendsLeaving => "redwinglatch_backends_leaving",
            "Backend servers that are leaving.";
        IdempotencyRecords => "redwinglatch_idempotency_records",
            "Records of idempotency keys.";
        IdempotencyBytes => "redwinglatch_idempotency_bytes",
            "Bytes of the records of idempotency keys.";
    }
}
