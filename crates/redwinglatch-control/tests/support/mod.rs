//! Contracts and renewals shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]

use redwinglatch_control::{
    CommandOutcome, ControlCommand, ControlState, InstanceProfile, LeaderState, LeaseSettings,
    RenewalClient, RenewalReply, ReplyResult, Share,
};
use redwinglatch_core::prelude::*;

pub(crate) fn contract(customer: &str, concurrent_requests: u32) -> Contract {
    Contract {
        customer: customer.into(),
        adapters: Vec::new(),
        services: vec!["portal-app".into()],
        request_rate_per_s: concurrent_requests * 2,
        concurrent_requests,
        token_rate_per_s: concurrent_requests * 100,
        load_share_permille: 100,
        default_priority: 4,
        max_priority: 9,
        default_deadline_ms: 10_000,
        max_deadline_ms: 60_000,
    }
}

pub(crate) fn apply_contract(id: &str, expected: u64, contract: Contract) -> ControlCommand {
    ControlCommand::ApplyContract {
        change_id: id.into(),
        customer: contract.customer.clone(),
        expected_revision: Revision(expected),
        contract,
        now_wall_s: 100,
    }
}

pub(crate) fn remove_contract(id: &str, customer: &str, expected: u64) -> ControlCommand {
    ControlCommand::RemoveContract {
        change_id: id.into(),
        customer: customer.into(),
        expected_revision: Revision(expected),
        now_wall_s: 100,
    }
}

/// Applies a change that must be accepted as revision `index`.
pub(crate) fn accept(state: &mut ControlState, index: u64, command: &ControlCommand) {
    assert_eq!(state.apply(index, command), CommandOutcome::Accepted { revision: Revision(index) });
}

pub(crate) fn client(instance: u32, incarnation: u64) -> RenewalClient {
    let profile =
        InstanceProfile { addresses: vec!["10.0.0.1:80".into()], data_centre: "hall-a".into() };
    let settings = LeaseSettings::default();
    RenewalClient::new(InstanceId(instance), Incarnation(incarnation), settings, profile)
}

pub(crate) fn demand(client: &mut RenewalClient, customer: &str, concurrent_requests: u64) {
    let share = Share {
        request_rate_milli: concurrent_requests * 2_000,
        concurrent_requests,
        token_rate_per_s: concurrent_requests * 100,
    };
    client.shares_mut().set_demand(customer, share);
}

/// Sends one renewal and applies its reply without delay.
pub(crate) fn exchange(
    now_ms: u64,
    leader: &mut LeaderState,
    state: &ControlState,
    client: &mut RenewalClient,
) -> RenewalReply {
    let renewal = client.next_renewal(now_ms);
    let reply = leader.renew(now_ms, state, &renewal).expect("a new renewal gets a reply");
    assert_ne!(client.apply_reply(&reply), ReplyResult::Ignored);
    reply
}

/// Renews until the client doesn't request another renewal at once.
pub(crate) fn catch_up(
    now_ms: u64,
    leader: &mut LeaderState,
    state: &ControlState,
    client: &mut RenewalClient,
) {
    for _ in 0..50 {
        let renewal = client.next_renewal(now_ms);
        let reply = leader.renew(now_ms, state, &renewal).expect("a new renewal gets a reply");
        match client.apply_reply(&reply) {
            ReplyResult::Applied { renew_now: true, .. } => {}
            ReplyResult::Applied { .. } => return,
            other => panic!("the reply was not applied: {other:?}"),
        }
    }
    panic!("the instance never caught up");
}

pub(crate) fn concurrent(client: &RenewalClient, now_ms: u64, customer: &str) -> u64 {
    client.usable_share(now_ms, customer).concurrent_requests
}
