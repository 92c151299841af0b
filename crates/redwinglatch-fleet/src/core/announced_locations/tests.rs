use super::AnnouncedLocations;
use crate::{
    ids::BackendKey,
    message::{ModelLocation, ModelLocationChange},
};

const ENGINE: BackendKey = BackendKey(7);
const OTHER_ENGINE: BackendKey = BackendKey(8);

fn added(engine: BackendKey, model: &str, version: u64) -> ModelLocationChange {
    ModelLocationChange::Added(ModelLocation { engine, model: model.into(), version })
}

fn removed(engine: BackendKey, model: &str) -> ModelLocationChange {
    ModelLocationChange::Removed { engine, model: model.into() }
}

/// Guards against a new coordinator that tells hundreds of entry processes again where all models are.
#[test]
fn a_new_coordinator_announces_only_what_differs() {
    let mut locations = AnnouncedLocations::default();
    locations.heard(&[added(ENGINE, "m", 1), added(ENGINE, "m/a1", 1), added(ENGINE, "m/a2", 1)]);
    for change in [added(ENGINE, "m", 1), added(ENGINE, "m/a2", 2), added(ENGINE, "m/a3", 1)] {
        locations.add(change);
    }
    locations.confirm(ENGINE, |model| **model != *"m/a1");
    let changes = locations.take_changes(10);
    assert_eq!(
        changes,
        [added(ENGINE, "m/a2", 2), added(ENGINE, "m/a3", 1), removed(ENGINE, "m/a1")]
    );
    assert_eq!(locations.take_changes(10), []);
    let mut all: Vec<_> =
        locations.all().into_iter().map(|location| (location.model, location.version)).collect();
    all.sort_unstable();
    assert_eq!(all, [("m".into(), 1), ("m/a2".into(), 2), ("m/a3".into(), 1)]);
}

/// Rare adapters come and go between two messages.
#[test]
fn changes_that_cancel_each_other_are_not_announced() {
    let mut locations = AnnouncedLocations::default();
    locations.heard(&[added(ENGINE, "m/a1", 1)]);
    for change in [
        added(ENGINE, "m/a2", 1),
        removed(ENGINE, "m/a1"),
        removed(ENGINE, "m/a2"),
        added(ENGINE, "m/a1", 1),
        added(OTHER_ENGINE, "m/a2", 1),
    ] {
        locations.add(change);
    }
    assert_eq!(locations.take_changes(10), [added(OTHER_ENGINE, "m/a2", 1)]);
}

#[test]
fn the_oldest_changes_are_announced_first() {
    let mut locations = AnnouncedLocations::default();
    for number in 1..=5 {
        locations.add(added(ENGINE, &format!("m/a{number}"), 1));
    }
    assert_eq!(locations.take_changes(2), [added(ENGINE, "m/a1", 1), added(ENGINE, "m/a2", 1)]);
    locations.retain(|engine| *engine != ENGINE);
    assert_eq!((locations.take_changes(10), locations.all()), (vec![], vec![]));
}
