//! Placement that weighs the prompt parts that engines hold.

mod replay;

use super::*;

/// Limits of the engines of the deployments with customers.
pub(super) const LIMITS: EngineLimits =
    EngineLimits { adapter_slots: 10, slots: 16, cache_tokens: 70_894 };

/// Returns a planner whose engines all have the base model loaded.
pub(super) fn planner_with_model(engines: u16, reuses_prompts: bool) -> Planner {
    let mut planner = Planner::new(0);
    planner.set_prompt_reuse(reuses_prompts);
    let service = EngineService { limits: LIMITS, ..EngineService::default() };
    planner.set_services(HashMap::from([(SERVICE.into(), service)]));
    let backends: Vec<Backend> = (0..engines).map(backend).collect();
    planner.set_backends(0, &backends);
    planner.take_due_reports(0);
    for backend in &backends {
        planner.engine_report(0, backend.key, Some(report()));
    }
    planner.plan(0, false);
    planner
}

fn report() -> EngineReport {
    EngineReport {
        models: vec![LoadedModel { name: "m".into(), version: 1, adapters: Vec::new() }],
        ..EngineReport::default()
    }
}

/// A request of 1,000 tokens, of which the first `shared_tokens` belong to `part`.
fn request_with_part(id: u64, part: u64, shared_tokens: u32) -> PlaceRequest {
    let own = (1_000_000 + id, 1_000_u32.saturating_sub(shared_tokens));
    PlaceRequest { prompt_parts: vec![(part, shared_tokens), own], ..request("m") }
}

fn place(planner: &mut Planner, now_ms: u64, id: u64, request: PlaceRequest) -> Option<BackendKey> {
    planner.place(now_ms, 1, id, request, None);
    planner.take_replies().into_iter().find_map(|reply| match reply.reply {
        PlaceReply::Placed { engine, .. } if reply.id == id => Some(engine),
        _ => None,
    })
}

/// Places a request and ends it after its first event.
fn serve(planner: &mut Planner, now_ms: u64, id: u64, request: PlaceRequest) -> BackendKey {
    let engine = place(planner, now_ms, id, request).expect("placed");
    planner.first_event(now_ms, 1, id);
    planner.release(now_ms, 1, id);
    engine
}

#[test]
fn an_idle_holder_gets_the_request() {
    let mut planner = planner_with_model(6, true);
    // The first of the idle engines takes these, one after the other.
    place(&mut planner, 0, 1, request("m"));
    let holder = serve(&mut planner, 0, 2, request_with_part(2, 7, 400));
    planner.first_event(0, 1, 1);
    planner.release(0, 1, 1);
    for id in 3..9 {
        assert_eq!(serve(&mut planner, id, id, request_with_part(id, 7, 400)), holder);
    }
}

#[test]
fn a_full_holder_does_not_get_the_request() {
    let mut planner = planner_with_model(3, true);
    let holder = serve(&mut planner, 0, 1, request_with_part(1, 7, 400));
    // The other engines run nothing, because they are excluded.
    let others: Vec<BackendKey> =
        planner.engines.keys().copied().filter(|key| *key != holder).collect();
    for id in 10..20 {
        let request = PlaceRequest { excluded_engines: others.clone(), ..request("m") };
        assert_eq!(place(&mut planner, 0, id, request), Some(holder));
        planner.first_event(0, 1, id);
    }
    let engine = place(&mut planner, 1, 30, request_with_part(30, 7, 400));
    assert!(engine.is_some_and(|engine| engine != holder));
}

/// A holder that lost its parts without the coordinator's knowledge reads them once and holds them again.
#[test]
fn a_holder_that_has_just_lost_the_parts_costs_one_miss() {
    let mut planner = planner_with_model(4, true);
    let holder = serve(&mut planner, 0, 1, request_with_part(1, 7, 400));
    // The parts that the engines really hold; the holder has lost its own.
    let mut held: HashSet<BackendKey> = HashSet::new();
    let mut misses = 0;
    for id in 2..50 {
        let engine = serve(&mut planner, id * 100, id, request_with_part(id, 7, 400));
        misses += u32::from(held.insert(engine));
        assert!(id > 2 || engine == holder);
    }
    assert_eq!(misses, 1);
}

/// A part that saves more than a full batch costs would draw all requests to its first holder. Counts the
/// requests on each engine while 1,000 arrive, and in total.
fn crowd(engines: u16, shared_tokens: u32, running: usize) {
    let mut planner = planner_with_model(engines, true);
    let mut totals: HashMap<BackendKey, u32> = HashMap::new();
    let mut active: std::collections::VecDeque<u64> = std::collections::VecDeque::new();
    for id in 0..1_000 {
        let prompt = PlaceRequest {
            prompt_tokens: shared_tokens + 300,
            prompt_parts: vec![(7, shared_tokens), (1_000 + id, 300)],
            ..request("m")
        };
        let engine = place(&mut planner, id, id, prompt).expect("placed");
        planner.first_event(id, 1, id);
        *totals.entry(engine).or_default() += 1;
        active.push_back(id);
        let most = planner.engines.values().map(|engine| engine.placed_requests).max();
        let mean = active.len() as f64 / f64::from(engines);
        let bound = (mean * 1.2).ceil();
        assert!(
            most.is_some_and(|most| f64::from(most) <= bound),
            "{shared_tokens} shared tokens: {most:?} requests on an engine at a mean of {mean}"
        );
        if active.len() > running {
            let ended = active.pop_front().expect("active requests");
            planner.release(id, 1, ended);
        }
    }
    let most = totals.values().max().copied().unwrap_or_default();
    let mean = 1_000.0 / f64::from(engines);
    assert!(f64::from(most) <= mean * 1.2, "{shared_tokens} shared tokens: {totals:?}");
}

#[test]
fn a_crowd_with_one_shared_part_does_not_pile_up() {
    for shared_tokens in [100, 350, 3_000] {
        for running in [50, 100, 140] {
            crowd(10, shared_tokens, running);
        }
    }
}

/// In random states the estimate for the chosen engine is never above that for the engine that would be chosen
/// without regard to parts, and a request is placed whenever it would be placed without.
#[test]
fn the_choice_is_never_worse_in_expectation() {
    let mut differing = 0;
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut planner = planner_with_model(rng.u16(2..12), true);
        let mut running: Vec<u64> = Vec::new();
        for id in 0..200 {
            let now_ms = id * rng.u64(1..40);
            let next = random_request(&mut rng, id);
            let with_reuse = planner.best_engine(now_ms, &next, None);
            planner.reuses_prompts = false;
            let without = planner.best_engine(now_ms, &next, None);
            planner.reuses_prompts = true;
            assert_eq!(with_reuse.is_some(), without.is_some());
            if let (Some((with_reuse, _)), Some((without, _))) = (with_reuse, without) {
                let shared = super::super::held_parts::SharedParts::of(&next);
                let engine = |key| &planner.engines[&key];
                let estimate_ms =
                    |key| engine(key).first_event_estimate(now_ms, &next, &shared).total_ms();
                assert!(estimate_ms(with_reuse) <= estimate_ms(without), "seed {seed}");
                let can_prefill = |key| engine(key).can_prefill(now_ms, &next, 1.0);
                assert!(can_prefill(with_reuse) || !can_prefill(without), "seed {seed}");
                differing += u32::from(with_reuse != without);
            }
            if place(&mut planner, now_ms, id, next).is_some() {
                running.push(id);
            } else {
                planner.release(now_ms, 1, id);
            }
            while !running.is_empty() && rng.u32(0..3) > 0 {
                let ended = running.swap_remove(rng.usize(0..running.len()));
                planner.first_event(now_ms, 1, ended);
                planner.release(now_ms, 1, ended);
            }
        }
    }
    assert!(differing > 1_000, "only {differing} choices differ");
}

pub(super) fn random_request(rng: &mut fastrand::Rng, id: u64) -> PlaceRequest {
    let first = rng.u32(50..1_000);
    let second = rng.u32(50..500);
    let own = rng.u32(50..2_000);
    PlaceRequest {
        prompt_tokens: first + second + own,
        output_tokens: rng.u32(1..800),
        prompt_parts: vec![
            (rng.u64(0..4), first),
            (10 + rng.u64(0..10), second),
            (1_000 + id, own),
        ],
        ..request("m")
    }
}

/// Without the setting, no belief is kept, and the choice follows queued prompts and batches alone.
#[test]
fn without_the_setting_parts_do_not_draw_requests() {
    let mut planner = planner_with_model(3, false);
    let first = place(&mut planner, 0, 1, request_with_part(1, 7, 900)).expect("placed");
    planner.first_event(0, 1, 1);
    let second = place(&mut planner, 0, 2, request_with_part(2, 7, 900)).expect("placed");
    assert!(first != second, "an engine with a running request was preferred to an idle one");
    assert!(planner.engines.values().all(|engine| engine.held_parts.is_none()));
}
