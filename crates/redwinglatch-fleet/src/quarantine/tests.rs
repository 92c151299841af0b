use super::{Quarantine, QuarantinedKey};

#[test]
fn quarantine_ends() {
    let mut quarantine = Quarantine::default();
    quarantine.add(1_000, QuarantinedKey { key: 7, remaining_ms: 500 });
    quarantine.add(1_200, QuarantinedKey { key: 7, remaining_ms: 100 });
    assert_eq!(quarantine.remaining_ms(1_200, [3, 7]), Some(300));
    assert_eq!(quarantine.remaining_ms(1_200, [3]), None);
    assert_eq!(quarantine.ended(1_499), []);
    assert_eq!(quarantine.remaining_ms(1_500, [7]), None);
    assert_eq!(quarantine.ended(1_500), [7]);
}
