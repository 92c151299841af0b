//! Tasks without which a process doesn't do its work.

use std::{
    future::Future,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, task::JoinHandle};

use crate::FleetError;

/// Delay after the panic of a task that is started anew.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// The first essential task that has ended by a panic.
static FAILED: Mutex<Option<&'static str>> = Mutex::new(None);
static HAS_FAILED: Notify = Notify::const_new();

/// Starts a task that runs as long as the process; the process ends with an error if it panics.
///
/// A panic in the task of one connection or request ends that task alone: the connection is closed, and guards take
/// back what it counted. After a panic of a task that accepts connections, sends orders or watches others, the process
/// would go on without a part of its work, and nothing would restart it.
///
/// The returned handle ends with the task.
pub(crate) fn spawn_essential<Task>(name: &'static str, task: Task) -> JoinHandle<()>
where
    Task: Future<Output = ()> + Send + 'static,
{
    let task = tokio::spawn(task);
    tokio::spawn(async move {
        if task.await.is_err_and(|error| error.is_panic()) {
            fail(name);
        }
    })
}

/// Starts a task that runs as long as the process; after a panic it is started anew.
///
/// Suits a link to one other process: a message that makes its reader panic costs the link, and not the process.
pub(crate) fn spawn_restarting<Start, Task>(name: &'static str, start: Start)
where
    Start: Fn() -> Task + Send + 'static,
    Task: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while tokio::spawn(start()).await.is_err_and(|error| error.is_panic()) {
            log::error!("process: the task {name:?} has panicked and is started anew");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

fn fail(name: &'static str) {
    FAILED.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(name);
    HAS_FAILED.notify_one();
}

/// Waits until an essential task has panicked.
pub(crate) async fn failure() -> FleetError {
    loop {
        let failed = *FAILED.lock().unwrap_or_else(PoisonError::into_inner);
        match failed {
            Some(task) => return FleetError::TaskPanicked { task },
            None => HAS_FAILED.notified().await,
        }
    }
}

/// Writes the place and the message of every panic to the log.
pub(crate) fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        log::error!("process: {panic}");
        // The logger drops lines that it has no room for; this line must not get lost.
        eprintln!("redwinglatch: {panic}");
    }));
}

#[cfg(test)]
mod tests;
