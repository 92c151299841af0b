//! Property tests with random inputs.

mod support;

use std::collections::HashSet;

use quickcheck::{Gen, QuickCheck, Testable};
use redwinglatch_core::{Incarnation, InstanceId, RequestId};
use redwinglatch_placement::{
    PlaceRequest, PrefixCacheEvent, PrefixCacheEventKind, PrefixCacheEvents, Release, RequestKey,
};
use support::{address, cell, request, settings, take_effects};

/// Checks a property with a fixed seed, so that each run has the same result.
fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).tests(300).quickcheck(property);
}

/// Guards against requests in engine snapshots that can't be matched to pins.
#[test]
fn a_request_key_round_trips_through_its_text_form() {
    fn property(instance: u32, incarnation: u64, request: u64) -> bool {
        let key = RequestKey {
            instance: InstanceId(instance),
            incarnation: Incarnation(incarnation),
            request: RequestId(request),
        };
        key.to_string().parse() == Ok(key)
    }
    check(property as fn(u32, u64, u64) -> bool);
}

/// Guards against a panic on request ids of other systems, and against parsing them as keys.
#[test]
fn only_the_text_form_of_a_key_parses() {
    fn property(text: String) -> bool {
        text.parse::<RequestKey>().map_or(true, |it| it.to_string() == text)
    }
    check(property as fn(String) -> bool);
}

/// Guards against a prefix index that differs from the engine's cache: a request goes to the engine
/// that has its prefix cached, wherever the events are split into reads.
#[test]
fn the_prefix_index_follows_the_events() {
    fn property(changes: Vec<(bool, u8)>, wanted: u8) -> bool {
        let (mut coordinator, ids) = cell(settings(), &[&[1], &[1]]);
        let mut cached = HashSet::new();
        let mut events = Vec::new();
        for (at, (stored, hash)) in changes.iter().enumerate() {
            let hash = u64::from(hash % 8);
            if *stored {
                cached.insert(hash)
            } else {
                cached.remove(&hash)
            };
            let kind = if *stored {
                PrefixCacheEventKind::PrefixStored
            } else {
                PrefixCacheEventKind::PrefixEvicted
            };
            events.push(PrefixCacheEvent { sequence: at as u64 + 1, kind, prefix_hash: hash });
        }
        // The second read repeats the end of the first one.
        let half = events.len() / 2;
        for (after, part) in
            [(0, &events[..half]), (half.saturating_sub(1), &events[half.saturating_sub(1)..])]
        {
            coordinator.cache_events(
                1,
                ids[1],
                PrefixCacheEvents {
                    after: after as u64,
                    boot_id: "boot-1".into(),
                    next: part.last().map_or(after as u64, |it| it.sequence),
                    events: part.to_vec(),
                },
            );
        }
        let wanted = u64::from(wanted % 8);
        coordinator
            .place(2, PlaceRequest { prefix_hashes: vec![wanted].into(), ..request(1, 1, 1_000) });
        (take_effects(&mut coordinator).placed[0].1.engine == address(1))
            == cached.contains(&wanted)
    }
    check(property as fn(Vec<(bool, u8)>, u8) -> bool);
}

/// Guards against leaked pins in any order of releases.
#[test]
fn pins_are_balanced() {
    fn property(adapters: Vec<u8>, order: Vec<u8>) -> bool {
        let (mut coordinator, _) = cell(settings(), &[&[0, 1], &[2, 3]]);
        let mut pins = Vec::new();
        for (number, adapter) in adapters.iter().enumerate() {
            coordinator.place(10, request(number as u64, usize::from(adapter % 4), 1_000));
            pins.extend(take_effects(&mut coordinator).placed);
        }
        let mut order = order.into_iter().cycle();
        while !pins.is_empty() {
            let at = usize::from(order.next().unwrap_or(0)) % pins.len();
            let (_, placed) = pins.swap_remove(at);
            coordinator.release(20, placed.pin, Release::Finished);
            coordinator.release(20, placed.pin, Release::Finished);
            pins.extend(take_effects(&mut coordinator).placed);
        }
        coordinator.pins() == 0 && coordinator.waiting_requests() == 0
    }
    check(property as fn(Vec<u8>, Vec<u8>) -> bool);
}
