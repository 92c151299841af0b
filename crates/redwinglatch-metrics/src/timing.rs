//! Distributions of times.

use crate::counter::define_series;

define_series! {
    /// Identifies a distribution of times.
    Timing {
        TimeToFirstToken => "redwinglatch_time_to_first_token_seconds",
            "Time from the arrival of a request to its first token.";
        TokenGap => "redwinglatch_token_gap_seconds",
            "Time between two tokens of a stream.";
        LoadStall => "redwinglatch_load_stall_seconds",
            "Time that a request waited for its adapter to load.";
        Decision => "redwinglatch_decision_seconds",
            "Time that the coordinator took to decide on a placement.";
        ControlRoundTrip => "redwinglatch_control_round_trip_seconds",
            "Time between a message to another instance and its reply.";
    }
}
