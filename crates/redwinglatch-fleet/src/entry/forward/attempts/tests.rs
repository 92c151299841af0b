use smallvec::smallvec;

use super::RequestAttempts;
use crate::ids::BackendKey;

/// The other process may reach the servers that this one doesn't.
#[test]
fn attempts_that_reached_a_server_are_passed_on() {
    let (reached, unreached) = (BackendKey(0xab), BackendKey(u64::MAX));
    let attempts = RequestAttempts {
        sent: 3,
        maybe_executed: 1,
        unreached: smallvec![unreached, BackendKey(7)],
        is_counted: true,
        excluded: smallvec![unreached, reached, BackendKey(7)],
    };
    let expected = RequestAttempts {
        sent: 1,
        maybe_executed: 1,
        unreached: smallvec![],
        is_counted: true,
        excluded: smallvec![reached],
    };
    assert_eq!(RequestAttempts::of_other_process(&attempts.to_string()), expected);
}

#[test]
fn unreadable_attempts_count_as_none() {
    for text in ["", "sent=x ran", "servers=zz,", "= ="] {
        assert_eq!(RequestAttempts::of_other_process(text), RequestAttempts::default(), "{text}");
    }
}
