//! Tests of renewals between one or two leaders and a few instances.

mod support;

use redwinglatch_control::{
    ControlCommand, ControlState, LeaderState, LeaseHolder, LeaseSettings, LeaseVerdict, Renewal,
    RenewalClient, ReplyResult, Share, ShareGrant, ShareReport, StateLimits,
};
use redwinglatch_core::prelude::*;
use support::{
    accept, apply_contract, catch_up, client, concurrent, contract, demand, exchange,
    remove_contract,
};

fn leader(term: u64, elected_at_ms: u64) -> LeaderState {
    LeaderState::new(LeaseSettings::default(), term, elected_at_ms)
}

fn renew_often(
    now_ms: u64,
    leader: &mut LeaderState,
    state: &ControlState,
    client: &mut RenewalClient,
) {
    for round in 0..20 {
        catch_up(now_ms + round, leader, state, client);
    }
}

fn state_with(customer: &str, concurrent_requests: u32) -> ControlState {
    let mut state = ControlState::new();
    accept(&mut state, 1, &apply_contract("a", 0, contract(customer, concurrent_requests)));
    state
}

/// Guards against an instance that follows a deposed leader or one whose configuration is behind.
#[test]
fn replies_of_an_older_term_or_from_a_lagging_leader_are_ignored() {
    let mut state = state_with("lakeshore", 10);
    let mut first = leader(1, 0);
    let mut second = leader(2, 0);
    let mut instance = client(1, 7);
    catch_up(10_000, &mut first, &state, &mut instance);
    // The first leader replies to a later renewal than the second one.
    let offer = second.renew(10_100, &state, &instance.next_renewal(10_100)).unwrap();
    let late = first.renew(10_101, &state, &instance.next_renewal(10_101)).unwrap();
    assert_ne!(instance.apply_reply(&offer), ReplyResult::Ignored);
    assert_eq!(instance.apply_reply(&late), ReplyResult::Ignored);

    // The first leader must not reply to a process that knows the second one.
    assert_eq!(first.renew(10_300, &state, &instance.next_renewal(10_300)), None);

    let lagging = state.clone();
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 5)));
    catch_up(10_400, &mut second, &state, &mut instance);
    let reply = second.renew(14_000, &lagging, &instance.next_renewal(14_000)).unwrap();
    assert_eq!(instance.apply_reply(&reply), ReplyResult::Ignored);
    assert!(!instance.may_serve(14_361), "a leader that lags must not renew the lease");
}

/// Guards against a sum of shares above a contract that is raised and then lowered while one
/// instance lags and the leader changes. Each instance scales its own share by the contract that it
/// has in force.
#[test]
fn a_raised_contract_counts_only_once_every_instance_has_it() {
    let mut state = state_with("lakeshore", 100);
    let mut first = leader(1, 0);
    let (mut slow, mut quick) = (client(1, 1), client(2, 2));
    demand(&mut slow, "lakeshore", 100);
    for round in 0..20 {
        catch_up(10_000 + round, &mut first, &state, &mut slow);
    }
    assert!(concurrent(&slow, 10_020, "lakeshore") > 90);
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 200)));
    demand(&mut quick, "lakeshore", 200);
    for round in 0..20 {
        catch_up(10_100 + round, &mut first, &state, &mut quick);
    }
    let held = concurrent(&quick, 10_120, "lakeshore");
    assert!(held <= 10, "the slow instance still has the lower contract, but {held} were granted");

    accept(&mut state, 3, &apply_contract("c", 2, contract("lakeshore", 50)));
    let mut second = leader(2, 10_130);
    catch_up(10_140, &mut second, &state, &mut slow);
    catch_up(10_140, &mut second, &state, &mut quick);
    let sum = concurrent(&slow, 10_140, "lakeshore") + concurrent(&quick, 10_140, "lakeshore");
    assert!(sum <= 50, "{sum} of 50 are in use");
}

/// Guards against shares that remain after a removal which the state forgot before the leader
/// observed it.
#[test]
fn a_forgotten_removal_ends_the_shares() {
    let limits = StateLimits { removed_customers: 0, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    accept(&mut state, 1, &apply_contract("a", 0, contract("lakeshore", 10)));
    accept(&mut state, 2, &apply_contract("b", 0, contract("third", 10)));
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    demand(&mut instance, "lakeshore", 10);
    for round in 0..10 {
        catch_up(10_000 + round, &mut leader, &state, &mut instance);
    }
    assert!(concurrent(&instance, 10_010, "lakeshore") > 0);
    accept(&mut state, 3, &remove_contract("c", "lakeshore", 1));
    accept(&mut state, 4, &apply_contract("d", 2, contract("third", 20)));
    for round in 0..10 {
        catch_up(10_020 + round, &mut leader, &state, &mut instance);
    }
    assert_eq!(concurrent(&instance, 10_030, "lakeshore"), 0);
    assert_eq!(leader.shares().total("lakeshore").concurrent_requests, 0);
}

/// Guards against granting a share to an instance that can't scale it, because it doesn't have the
/// contract in force yet.
#[test]
fn an_instance_gets_no_share_before_it_has_caught_up() {
    let limits = StateLimits { update_bytes: 1, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    accept(&mut state, 1, &apply_contract("a", 0, contract("lakeshore", 10)));
    accept(&mut state, 2, &apply_contract("b", 0, contract("third", 10)));
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    demand(&mut instance, "lakeshore", 10);
    assert_eq!(
        exchange(10_000, &mut leader, &state, &mut instance).verdict,
        LeaseVerdict::NeedsFullRenewal
    );
    let part = exchange(10_001, &mut leader, &state, &mut instance);
    assert!(part.configuration.unwrap().to < part.latest_revision);
    assert!(part.shares.is_empty());
    assert!(!instance.may_serve(10_002), "a part of the configuration is not enough to serve");
    catch_up(10_003, &mut leader, &state, &mut instance);
    catch_up(10_004, &mut leader, &state, &mut instance);
    assert!(instance.may_serve(10_005));
    assert!(concurrent(&instance, 10_005, "lakeshore") > 0);
}

/// Guards against a copy in many parts that restarts for ever, because removals after its start are
/// forgotten.
#[test]
fn a_full_copy_in_parts_ends_although_removals_are_forgotten() {
    let limits = StateLimits { update_bytes: 1, removed_customers: 0, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    for index in 1..=5 {
        let name = format!("customer-{index}");
        accept(&mut state, index, &apply_contract(&name, 0, contract(&name, 10)));
    }
    accept(&mut state, 6, &remove_contract("r", "customer-1", 1));
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    catch_up(10_000, &mut leader, &state, &mut instance);
    assert_eq!(instance.configuration().revision(), Revision(6));
    assert_eq!(instance.configuration().contracts().count(), 4);

    // A customer that is removed during the copy must not remain in it, even if the removal is
    // forgotten at once.
    let mut late = client(2, 2);
    for _ in 0..3 {
        exchange(10_001, &mut leader, &state, &mut late);
    }
    assert_eq!(late.configuration().staged().unwrap().reached, Revision(3));
    accept(&mut state, 7, &remove_contract("s", "customer-2", 2));
    catch_up(10_002, &mut leader, &state, &mut late);
    assert!(late.configuration().contract("customer-2").is_none());
}

/// Guards against a share that stays too small: the instance scaled it down, the leader granted it
/// again, and the instance kept the smaller share without reporting it again.
#[test]
fn a_share_below_the_granted_one_is_reported_again_after_each_grant() {
    let mut state = state_with("lakeshore", 20);
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    catch_up(10_000, &mut leader, &state, &mut instance);
    let mut receive = |now_ms: u64, state: &ControlState, share: Option<(u64, bool)>| {
        let renewal = instance.next_renewal(now_ms);
        let mut reply = leader.renew(now_ms, state, &renewal).unwrap();
        reply.shares.extend(share.map(|(concurrent_requests, exact)| ShareGrant {
            customer: "lakeshore".into(),
            share: Share { concurrent_requests, ..Share::NONE },
            exact,
        }));
        assert_ne!(instance.apply_reply(&reply), ReplyResult::Ignored);
        renewal.shares.first().map(|report| report.held.concurrent_requests)
    };
    assert_eq!(receive(10_100, &state, Some((10, true))), None);
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 10)));
    assert_eq!(receive(10_200, &state, None), None);
    assert_eq!(receive(10_300, &state, None), Some(5), "the share was scaled down to 5");
    assert_eq!(receive(10_400, &state, Some((8, false))), None, "the leader has acknowledged that");
    assert_eq!(receive(10_500, &state, None), Some(5), "the leader assumes 8 again");
}

/// Guards against a leader that records a smaller share than the instance holds, because the
/// instance reports the smaller share while an exact grant is still in flight.
#[test]
fn a_smaller_share_is_recorded_only_when_no_grant_is_in_flight() {
    let mut state = state_with("lakeshore", 100);
    let mut leader = leader(1, 0);
    let (mut one, mut two) = (client(1, 1), client(2, 2));
    demand(&mut one, "lakeshore", 50);
    demand(&mut two, "lakeshore", 50);
    for now_ms in [10_000, 10_100] {
        renew_often(now_ms, &mut leader, &state, &mut one);
        renew_often(now_ms, &mut leader, &state, &mut two);
    }
    demand(&mut two, "lakeshore", 28);
    let _lost_reply = leader.renew(10_200, &state, &two.next_renewal(10_200));
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 60)));
    let (earlier, later) = (two.next_renewal(10_201), two.next_renewal(10_202));
    let inexact = leader.renew(10_203, &state, &earlier).unwrap();
    assert!(!inexact.shares[0].exact);
    demand(&mut one, "lakeshore", 1);
    renew_often(10_210, &mut leader, &state, &mut one);
    let exact = leader.renew(10_300, &state, &later).unwrap();
    assert!(exact.shares[0].exact);
    let _applied = two.apply_reply(&inexact);
    let scaled = concurrent(&two, 10_300, "lakeshore");
    let _reply = leader.renew(10_301, &state, &two.next_renewal(10_301)).unwrap();
    let _applied = two.apply_reply(&exact);
    let held = [&one, &two].map(|client| concurrent(client, 10_302, "lakeshore"));
    assert!(held[1] > scaled, "the late grant raised the share again");
    let reserved = leader.shares().reserved("lakeshore").concurrent_requests;
    assert!(held.iter().sum::<u64>() <= reserved, "{held:?} of {reserved}");
}

/// Guards against a leader that records a larger share than the instance holds for ever: it can't
/// use a report while a grant is in flight, and the instance doesn't repeat the report.
#[test]
fn a_report_while_a_grant_is_in_flight_leads_to_another_grant() {
    let state = state_with("lakeshore", 100);
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    demand(&mut instance, "lakeshore", 8);
    renew_often(10_000, &mut leader, &state, &mut instance);
    // The new target is reached in one step, so only the report can lead to another grant.
    demand(&mut instance, "lakeshore", 10);
    let first = instance.next_renewal(10_100);
    let granted = leader.renew(10_100, &state, &first).unwrap().shares[0].share;
    let second = Renewal { sequence: first.sequence + 1, shares: Vec::new(), ..first.clone() };
    assert_eq!(
        leader.renew(10_101, &state, &second).unwrap().shares.len(),
        1,
        "the grant is sent again"
    );
    // The instance applied the first reply, but holds less; the second reply may be in flight.
    let held = granted.scaled(Share::whole(&contract("", 100)), Share::whole(&contract("", 50)));
    let report = ShareReport { held, ..first.shares[0].clone() };
    let mut next = Renewal {
        sequence: first.sequence + 2,
        applied_sequence: first.sequence,
        shares: vec![report],
        ..first.clone()
    };
    assert_eq!(leader.renew(10_102, &state, &next).unwrap().shares.len(), 1);
    assert!(granted.fits(&leader.shares().reserved("lakeshore")));
    next.applied_sequence = next.sequence;
    next.sequence += 1;
    let reply = leader.renew(10_103, &state, &next).unwrap();
    assert!(!reply.shares[0].share.fits(&held), "the leader grants the missing units again");
}

/// Guards against granting the units of requests in flight above a reduced share to others while
/// the requests run, and against reserving them after the requests ended.
#[test]
fn requests_in_flight_above_a_share_stay_reserved_until_they_end() {
    let mut state = state_with("lakeshore", 40);
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    demand(&mut instance, "lakeshore", 40);
    renew_often(10_000, &mut leader, &state, &mut instance);
    instance.shares_mut().set_in_use("lakeshore", 30);
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 10)));
    renew_often(10_100, &mut leader, &state, &mut instance);
    assert!(concurrent(&instance, 10_120, "lakeshore") <= 10);
    assert_eq!(leader.shares().reserved("lakeshore").concurrent_requests, 30);
    // The end is reported while a grant of a smaller share is in flight, and later reports contain
    // nothing new.
    demand(&mut instance, "lakeshore", 2);
    accept(&mut state, 3, &apply_contract("c", 2, contract("lakeshore", 4)));
    let smaller = leader.renew(10_200, &state, &instance.next_renewal(10_200)).unwrap();
    instance.shares_mut().set_in_use("lakeshore", 0);
    demand(&mut instance, "lakeshore", 1);
    let _lost_reply = leader.renew(10_201, &state, &instance.next_renewal(10_201)).unwrap();
    assert_ne!(instance.apply_reply(&smaller), ReplyResult::Ignored);
    renew_often(10_300, &mut leader, &state, &mut instance);
    let reserved = leader.shares().reserved("lakeshore").concurrent_requests;
    assert_eq!(reserved, concurrent(&instance, 10_320, "lakeshore"));
}

/// Guards against a sum of shares above the contract when a new leader doesn't know the contract
/// under which an instance holds its share, because the instance has received only a part of the
/// configuration.
#[test]
fn no_share_is_raised_while_a_holder_has_an_unknown_contract() {
    let limits = StateLimits { update_bytes: 1, ..StateLimits::default() };
    let mut state = ControlState::with_limits(limits);
    accept(&mut state, 1, &apply_contract("a", 0, contract("lakeshore", 50)));
    let mut first = leader(1, 0);
    let mut slow = [client(1, 1), client(3, 3)];
    let mut quick = client(2, 2);
    for now_ms in [10_000, 10_030] {
        for client in &mut slow {
            demand(client, "lakeshore", 25);
            renew_often(now_ms, &mut first, &state, client);
        }
    }
    accept(&mut state, 2, &apply_contract("b", 0, contract("third", 80)));
    accept(&mut state, 3, &apply_contract("c", 1, contract("lakeshore", 80)));
    let mut second = leader(2, 10_100);
    for client in &mut slow {
        exchange(10_200, &mut second, &state, client);
        // One part arrives; later replies are lost, so the first contract stays in force.
        exchange(10_201, &mut second, &state, client);
        assert_eq!(client.configuration().revision(), Revision(1));
        let _lost_reply = second.renew(12_000, &state, &client.next_renewal(12_000));
    }
    // The waiting period has just ended, and the slow instances may still hold their shares.
    demand(&mut quick, "lakeshore", 50);
    renew_often(14_150, &mut second, &state, &mut quick);
    accept(&mut state, 4, &apply_contract("d", 3, contract("lakeshore", 40)));
    exchange(14_200, &mut second, &state, &mut quick);
    for client in &mut slow {
        exchange(14_200, &mut second, &state, client);
        exchange(14_201, &mut second, &state, client);
        assert_eq!(client.configuration().revision(), Revision(4));
    }
    let held = [&slow[0], &slow[1], &quick].map(|client| concurrent(client, 14_202, "lakeshore"));
    assert!(held[0] > 0 && held.iter().sum::<u64>() <= 40, "{held:?} of 40");
}

/// Guards against shares that don't follow a contract that is lowered and raised again.
#[test]
fn shares_converge_to_a_changed_contract() {
    let mut state = state_with("lakeshore", 40);
    let mut leader = leader(1, 0);
    let (mut one, mut two) = (client(1, 1), client(2, 2));
    for client in [&mut one, &mut two] {
        demand(client, "lakeshore", 40);
    }
    for (index, size) in [(2, 2), (3, 40), (4, 3), (5, 80)] {
        let change = apply_contract(&format!("c{index}"), index - 1, contract("lakeshore", size));
        accept(&mut state, index, &change);
        let start_ms = 10_000 + index * 100;
        for round in 0..30 {
            catch_up(start_ms + round, &mut leader, &state, &mut one);
            catch_up(start_ms + round, &mut leader, &state, &mut two);
        }
        let held = [&one, &two].map(|client| concurrent(client, start_ms + 30, "lakeshore"));
        assert_eq!(held.iter().sum::<u64>(), u64::from(size), "{held:?}");
        let reserved = leader.shares().reserved("lakeshore").concurrent_requests;
        assert_eq!(reserved, u64::from(size));
    }
}

/// Guards against changes that are never reported and shares that are never freed, because the
/// renewals of an instance arrive but the replies to it are lost.
#[test]
fn an_instance_that_receives_no_replies_loses_its_lease() {
    let mut state = state_with("lakeshore", 10);
    let mut leader = leader(1, 0);
    let (mut isolated, mut other) = (client(1, 1), client(2, 2));
    demand(&mut isolated, "lakeshore", 10);
    renew_often(10_000, &mut leader, &state, &mut isolated);
    accept(&mut state, 2, &apply_contract("b", 1, contract("lakeshore", 20)));
    leader.pending_mut().add(Revision(2), 7);
    let mut reported_ms = None;
    for now_ms in (10_100..30_000).step_by(100) {
        if now_ms % 1_000 == 0 {
            let _lost_reply = leader.renew(now_ms, &state, &isolated.next_renewal(now_ms));
            catch_up(now_ms, &mut leader, &state, &mut other);
        }
        if !leader.take_reportable(now_ms).is_empty() {
            reported_ms = Some(now_ms);
            assert!(!isolated.may_serve(now_ms), "the instance still serves the older contract");
        }
    }
    assert!(reported_ms.is_some_and(|at_ms| at_ms <= 20_000), "reported at {reported_ms:?}");
    assert_eq!(leader.shares().reserved("lakeshore").concurrent_requests, 0);
    // The instance serves again as soon as replies arrive.
    catch_up(30_000, &mut leader, &state, &mut isolated);
    assert!(isolated.may_serve(30_001));
}

/// Guards against a delayed renewal that registers a process again after its lease ended, with
/// shares that it no longer holds, while it still holds other ones from before.
#[test]
fn a_delayed_renewal_does_not_register_a_process_again() {
    let state = state_with("lakeshore", 40);
    let mut leader = leader(1, 0);
    let (mut one, mut two) = (client(1, 1), client(2, 2));
    exchange(10_000, &mut leader, &state, &mut one);
    let delayed = one.next_renewal(10_001);
    assert!(delayed.is_full);
    demand(&mut one, "lakeshore", 40);
    renew_often(10_002, &mut leader, &state, &mut one);
    assert!(concurrent(&one, 10_022, "lakeshore") > 30);
    // The lease ends, the shares go to another instance, and the delayed renewal arrives.
    demand(&mut two, "lakeshore", 40);
    renew_often(15_000, &mut leader, &state, &mut two);
    assert!(concurrent(&two, 15_020, "lakeshore") > 30);
    let reply = leader.renew(15_100, &state, &delayed).unwrap();
    assert_eq!(reply.verdict, LeaseVerdict::NeedsFullRenewal);
    exchange(15_200, &mut leader, &state, &mut one);
    exchange(15_201, &mut leader, &state, &mut one);
    let held = [&one, &two].map(|client| concurrent(client, 15_202, "lakeshore"));
    assert!(one.may_serve(15_202) && held.iter().sum::<u64>() <= 40, "{held:?} of 40");
}

/// Guards against a delayed reply of a former session that contains shares which the leader has
/// granted to others since.
#[test]
fn a_delayed_reply_of_a_former_session_is_ignored() {
    let state = state_with("lakeshore", 40);
    let mut leader = leader(1, 0);
    let mut instance = client(1, 1);
    renew_often(10_000, &mut leader, &state, &mut instance);
    demand(&mut instance, "lakeshore", 40);
    let earlier = instance.next_renewal(10_100);
    let delayed = leader.renew(10_102, &state, &instance.next_renewal(10_101)).unwrap();
    assert!(!delayed.shares.is_empty());
    // The lease ends; the earlier renewal arrives only now and opens a new session.
    leader.advance(15_000);
    let offer = leader.renew(15_000, &state, &earlier).unwrap();
    assert_eq!(offer.verdict, LeaseVerdict::NeedsFullRenewal);
    let _applied = instance.apply_reply(&offer);
    let is_full = instance.next_renewal(15_001);
    assert_eq!(instance.apply_reply(&delayed), ReplyResult::Ignored);
    let reply = leader.renew(15_002, &state, &is_full).unwrap();
    assert_ne!(instance.apply_reply(&reply), ReplyResult::Ignored);
    let reserved = leader.shares().reserved("lakeshore").concurrent_requests;
    assert!(concurrent(&instance, 15_003, "lakeshore") <= reserved);
}

/// Guards against treating the former process of a restarted instance as expired while it still
/// serves, and against two processes with one id that replace each other in turn.
#[test]
fn an_older_process_of_the_same_id_expires_only_when_its_lease_has_ended() {
    let state = state_with("lakeshore", 10);
    let mut leader = leader(1, 0);
    let (mut older, mut newer) = (client(1, 1), client(1, 2));
    let older_holder = LeaseHolder { instance: InstanceId(1), incarnation: Incarnation(1) };
    catch_up(10_000, &mut leader, &state, &mut older);
    catch_up(11_000, &mut leader, &state, &mut newer);
    assert!(older.may_serve(13_959) && !older.may_serve(13_960));
    for now_ms in [11_001, 13_960, 14_040] {
        assert!(!leader.leases().has_expired(now_ms, older_holder), "at {now_ms}");
    }
    assert!(!leader.leases().is_current(11_001, older_holder));
    let reply = leader.renew(11_500, &state, &older.next_renewal(11_500)).unwrap();
    assert_eq!(reply.verdict, LeaseVerdict::Superseded);
    assert_eq!(older.apply_reply(&reply), ReplyResult::Superseded);
    assert!(leader.leases().has_expired(14_041, older_holder));
}

/// Guards against two coordinators at the same time when the log names a new one while the former
/// one is alive, and against a former one that is never replaced.
#[test]
fn a_moved_cell_waits_for_the_former_coordinator_and_the_settle_time() {
    let mut state = ControlState::new();
    let mut leader = leader(1, 0);
    let (mut from, mut to) = (client(1, 1), client(2, 2));
    let cell = CellId(0);
    let assign = |instance, incarnation, epoch| ControlCommand::AssignCoordinator {
        cell,
        instance: InstanceId(instance),
        incarnation: Incarnation(incarnation),
        expected_epoch: Epoch(epoch),
    };
    let _ = state.apply(1, &assign(1, 1, 0));
    catch_up(10_000, &mut leader, &state, &mut from);
    catch_up(10_000, &mut leader, &state, &mut to);
    assert_eq!(from.ordering_epoch(10_001, cell), Some(Epoch(1)));
    let _ = state.apply(2, &assign(2, 2, 1));
    catch_up(10_100, &mut leader, &state, &mut to);
    assert_eq!(
        to.ordering_epoch(10_101, cell),
        None,
        "the former coordinator may still send orders"
    );
    catch_up(10_200, &mut leader, &state, &mut from);
    assert_eq!(from.ordering_epoch(10_201, cell), None);
    // The next renewal acknowledges the withdrawn grant; then the settle time starts.
    catch_up(10_300, &mut leader, &state, &mut from);
    catch_up(12_299, &mut leader, &state, &mut to);
    assert_eq!(to.ordering_epoch(12_299, cell), None);
    catch_up(12_300, &mut leader, &state, &mut to);
    assert_eq!(to.ordering_epoch(12_300, cell), Some(Epoch(2)));
}

/// Guards against control traffic above the stated 3 KB/s for each instance at 380 instances: an
/// idle renewal and its reply, once a second, with 300 contracts.
#[test]
fn an_idle_renewal_stays_below_the_stated_traffic() {
    let mut state = ControlState::new();
    for index in 1..=300 {
        let name = format!("customer-{index}");
        accept(&mut state, index, &apply_contract(&name, 0, contract(&name, 10)));
    }
    let mut leader = leader(1, 0);
    let mut clients: Vec<_> = (0..380).map(|id| client(id, u64::from(id) << 32)).collect();
    for now_ms in [10_000, 11_000, 12_000] {
        for client in &mut clients {
            catch_up(now_ms, &mut leader, &state, client);
        }
    }
    let renewal = clients[0].next_renewal(13_000);
    let reply = leader.renew(13_000, &state, &renewal).unwrap();
    let bytes = postcard::to_allocvec(&renewal).unwrap().len()
        + postcard::to_allocvec(&reply).unwrap().len();
    assert!(bytes <= 3_000, "{bytes} bytes");
    let decoded = postcard::from_bytes(&postcard::to_allocvec(&reply).unwrap()).unwrap();
    assert_eq!(reply, decoded, "the reply survives its encoding");
}
