//! Log lines on standard output, without ever blocking the process.
//!
//! A thread of its own writes the lines. When its reader is slow, lines are dropped and counted; the
//! lines of placed requests are limited to a rate before that, so that those of failures remain.

use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
};

use env_logger::{Builder, Env, Logger, Target};
use log::{Log, Metadata, Record};
use tokio::time::Instant;

/// The target of the line that each placed request gets.
pub(crate) const REQUEST_PLACED: &str = "redwinglatch::placed";

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 4_096;
/// Lines of placed requests per second.
const PLACED_PER_S: u32 = 50;

/// Lines that were not written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends log lines to a writer thread; `RUST_LOG` sets the level.
///
/// # Errors
///
/// Fails when a logger is installed already or the thread can't be started.
pub fn init_logging() -> io::Result<()> {
    let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut out = io::stdout();
        while let Ok(line) = queue.recv() {
            // Nobody can be told that standard output is closed.
            let _ = out.write_all(&line);
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = writeln!(out, "log: {dropped} lines were dropped");
            }
        }
    })?;
    let logger = Builder::from_env(Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(LineQueue { lines })))
        .build();
    log::set_max_level(logger.filter());
    let logger = Bounded { logger, placed: Mutex::new(Rate::default()) };
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)
}

struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Counts lines of one second.
#[derive(Debug, Default)]
struct Rate {
    since: Option<Instant>,
    lines: u32,
}

impl Rate {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        if self.since.is_none_or(|since| now.duration_since(since).as_secs() >= 1) {
            *self = Rate { since: Some(now), lines: 0 };
        }
        self.lines += 1;
        self.lines <= PLACED_PER_S
    }
}

struct Bounded {
    logger: Logger,
    placed: Mutex<Rate>,
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if record.target() == REQUEST_PLACED {
            let mut placed = self.placed.lock().unwrap_or_else(PoisonError::into_inner);
            if !placed.take() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        self.logger.log(record);
    }

    fn flush(&self) {}
}
