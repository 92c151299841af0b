use super::ExpiringMap;

#[test]
fn value_that_was_set_again_is_kept_by_its_newest_time() {
    let mut map = ExpiringMap::new(10);
    map.set(100, 0, 'a', 1);
    map.set(200, 0, 'b', 2);
    map.set(300, 0, 'a', 3);
    map.forget_before(250);
    assert_eq!((map.get('a'), map.get('b')), (Some(3), None));
    map.forget_before(301);
    assert_eq!(map.iter().count(), 0);
}

#[test]
fn map_is_bounded() {
    let mut map = ExpiringMap::new(3);
    for key in 0..100 {
        map.set(key, 0, key, ());
        map.set(key, 0, 1_000, ());
    }
    assert_eq!(map.get(1_000), Some(()));
    assert!(map.iter().count() <= 3 && map.order.len() <= 6, "{map:?}");
}
