use std::{net::Ipv4Addr, time::Duration};

use tokio::{net::TcpListener, time::sleep};

use super::{
    ConnectionCheck::{Accepted, Refused, Unknown},
    check_failed_server, is_end,
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

/// Guards against an end that is no evidence because the server closes its connections first.
#[tokio::test]
async fn server_that_closes_its_listening_socket_last_has_ended() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        sleep(Duration::from_millis(20)).await;
        drop(listener);
    });
    assert_eq!(check_failed_server(address).await, Refused);
}

#[tokio::test]
async fn server_that_goes_on_accepting_connections_has_not_ended() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    assert_eq!(check_failed_server(address).await, Accepted);
}
