//! The control state machine of redwinglatch and the leases that depend on it.
//!
//! [`ControlState`] is the deterministic state behind the replicated log: contracts, coordinators
//! and idempotency records. [`LeaderState`] is the unreplicated state of the control leader:
//! serving leases, limit shares, coordination grants and the changes that wait until they are in
//! force. [`RenewalClient`] is the counterpart on every instance. This crate opens no sockets and
//! reads no clocks: callers pass monotonic time as `now_ms`, and commands carry wall-clock time.
//!
//! ```
//! use redwinglatch_control::{
//!     CommandOutcome, ControlCommand, ControlState, InstanceProfile, LeaderState, LeaseSettings,
//!     RenewalClient, ReplyResult,
//! };
//! use redwinglatch_core::prelude::*;
//!
//! let contract = Contract {
//!     customer: "lakeshore".into(),
//!     adapters: Vec::new(),
//!     services: vec!["dispatch-desk".into()],
//!     request_rate_per_s: 100,
//!     concurrent_requests: 20,
//!     token_rate_per_s: 10_000,
//!     load_share_permille: 500,
//!     default_priority: 4,
//!     max_priority: 9,
//!     default_deadline_ms: 10_000,
//!     max_deadline_ms: 60_000,
//! };
//! let mut state = ControlState::new();
//! let outcome = state.apply(
//!     1,
//!     &ControlCommand::ApplyContract {
//!         change_id: "change-1".into(),
//!         customer: "lakeshore".into(),
//!         expected_revision: Revision(0),
//!         contract,
//!         now_wall_s: 1_000,
//!     },
//! );
//! assert_eq!(outcome, CommandOutcome::Accepted { revision: Revision(1) });
//!
//! // The leader of term 1 was elected at 0 ms; an instance renews its lease.
//! let settings = LeaseSettings::default();
//! let mut leader = LeaderState::new(settings, 1, 0);
//! let profile = InstanceProfile { addresses: vec!["10.0.0.1:80".into()], data_centre: "a".into() };
//! let mut instance = RenewalClient::new(InstanceId(1), Incarnation(77), settings, profile);
//! let renewal = instance.next_renewal(5_000);
//! let reply = leader.renew(5_001, &state, &renewal).unwrap();
//! // The process has no session with the leader yet, so the leader requests a full renewal.
//! let result = instance.apply_reply(&reply);
//! assert_eq!(result, ReplyResult::Applied { renew_now: true, changed_customers: Vec::new() });
//! let renewal = instance.next_renewal(5_001);
//! let reply = leader.renew(5_002, &state, &renewal).unwrap();
//! let _applied = instance.apply_reply(&reply);
//! assert!(instance.may_serve(5_002));
//! assert_eq!(instance.configuration().revision(), Revision(1));
//!
//! // The change is reported only once every lease holder has acknowledged it.
//! leader.pending_mut().add(Revision(1), 42);
//! assert!(leader.take_reportable(5_003).is_empty());
//! let renewal = instance.next_renewal(6_000);
//! let _reply = leader.renew(6_001, &state, &renewal);
//! assert_eq!(leader.take_reportable(6_001), [(Revision(1), 42)]);
//! ```

mod cell_grants;
mod change_ids;
mod command_outcome;
mod configuration_view;
mod contract_check;
mod contracts;
mod control_command;
mod control_state;
mod coordinators;
mod held_shares;
pub mod history;
mod instance_list;
mod leader_state;
mod leases;
mod limit_split;
mod once_records;
mod pending_changes;
mod renewal;
mod renewal_client;
mod serving_lease;
mod settings;
mod share;
mod shares;

pub use cell_grants::CellGrants;
pub use command_outcome::CommandOutcome;
pub use configuration_view::{
    ConfigurationError, ConfigurationView, ContractInForce, ReplacedContract,
};
pub use contract_check::{ContractError, validate_contract};
pub use contracts::{ContractChange, ContractHistoryEntry};
pub use control_command::{ControlCommand, OnceOutcome};
pub use control_state::{ControlState, RestoreError};
pub use coordinators::Coordinator;
pub use held_shares::HeldShares;
pub use leader_state::LeaderState;
pub use leases::{LeaseHolder, Leases};
pub use once_records::OnceUsage;
pub use pending_changes::PendingChanges;
pub use renewal::{
    CellGrant, ConfigurationCursor, ConfigurationUpdate, CoordinatorUpdate, InstanceListUpdate,
    InstanceProfile, InstanceRecord, LeaseVerdict, Renewal, RenewalReply, ShareGrant, ShareReport,
};
pub use renewal_client::{RenewalClient, ReplyResult};
pub use serving_lease::ServingLease;
pub use settings::{LeaseSettings, StateLimits};
pub use share::Share;
pub use shares::Shares;
