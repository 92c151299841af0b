use std::{
    fs,
    sync::atomic::{AtomicBool, Ordering},
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::timeout,
};

use super::*;

const LINK_PORT: u16 = 7_000;

fn link(last: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, last], LINK_PORT))
}

/// Guards against a file that is read all the time, and against seeds that are missed because the file was being
/// written when it was read.
#[tokio::test(start_paused = true)]
async fn the_file_is_read_while_the_process_is_isolated_and_again_after_a_failed_read() {
    let folder = std::env::temp_dir().join(format!("redwinglatch-seeds-{}", fastrand::u64(..)));
    fs::create_dir(&folder).expect("a folder");
    let path = folder.join("settings.ini");
    let file = SeedFile { path: path.clone(), link_port: LINK_PORT, seeds: Ok(Vec::new()) };
    let (added, mut links) = mpsc::unbounded_channel();
    let is_isolated = AtomicBool::new(false);
    let hangup = signal(SignalKind::hangup()).expect("a signal handler");
    let add = async |links| added.send(links).expect("the test receives");
    let follow = file.follow(hangup, || is_isolated.load(Ordering::Relaxed), add);
    let check = async {
        let mut next = async || timeout(READ_INTERVAL * 2, links.recv()).await.ok().flatten();
        fs::write(&path, "[fleet]\nseeds = 192.0.2.1:80").expect("the file is written");
        assert_eq!(next().await, None, "read without need");
        is_isolated.store(true, Ordering::Relaxed);
        assert_eq!(next().await, Some(vec![link(1)]));
        fs::write(&path, "[fleet]\nseeds = 192.0.2.1:80, 192").expect("the file is written");
        assert_eq!(next().await, None, "a file that was being written");
        is_isolated.store(false, Ordering::Relaxed);
        let text = "[fleet]\nseeds = 192.0.2.1:80, 192.0.2.2:80\n[bounds]\ngrace_s = x";
        fs::write(&path, text).expect("the file is written");
        assert_eq!(next().await, Some(vec![link(1), link(2)]));
        assert_eq!(next().await, None, "read without need");
    };
    tokio::select! {
        () = follow => unreachable!("the file is followed as long as the process runs"),
        () = check => {}
    }
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

/// Guards against seeds that are missed because the file was read after it had been truncated and before it was written
/// again: such a file has no seeds, and isn't malformed.
#[tokio::test(start_paused = true)]
async fn a_file_without_seeds_is_read_again() {
    let folder = std::env::temp_dir().join(format!("redwinglatch-seeds-{}", fastrand::u64(..)));
    fs::create_dir(&folder).expect("a folder");
    let path = folder.join("settings.ini");
    fs::write(&path, "").expect("the file is written");
    let mut file = SeedFile { path: path.clone(), link_port: LINK_PORT, seeds: Ok(Vec::new()) };
    assert!(file.read_again().await.is_empty());
    assert!(file.seeds.is_err(), "the read isn't repeated");
    fs::write(&path, "[fleet]\nseeds = 192.0.2.1:80").expect("the file is written");
    assert_eq!(file.read_again().await, [link(1)]);
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}
