use super::{
    ConnectionCheck::{Accepted, Refused, Unknown},
    is_end,
};

/// Guards against sound requests that are quarantined everywhere, because a process that is cut off by refusals
/// takes all servers for ended.
#[test]
fn server_that_accepts_connections_of_another_process_has_not_ended() {
    assert!(!is_end(Refused, Some(Accepted), false));
    assert!(!is_end(Refused, Some(Accepted), true));
}

#[test]
fn server_that_refuses_several_processes_has_ended() {
    assert!(is_end(Refused, Some(Refused), false));
    assert!(is_end(Refused, Some(Refused), true), "all servers of the service have ended");
    assert!(!is_end(Accepted, Some(Refused), false));
}

/// Without another process that can tell, one that is cut off doesn't know.
#[test]
fn process_that_is_cut_off_can_not_tell_by_itself() {
    for other in [None, Some(Unknown)] {
        assert!(is_end(Refused, other, false));
        assert!(!is_end(Refused, other, true));
        assert!(!is_end(Unknown, other, false));
    }
}
