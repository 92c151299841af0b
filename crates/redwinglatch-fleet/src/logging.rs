//! Non-blocking logger that writes to standard output.
//!
//! A dedicated thread writes the lines. If the reader of standard output is slow, lines are dropped
//! and counted. The lines of placed requests are rate-limited before they are queued, so that they
//! do not displace the lines of failures.

use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    time::Duration,
};

use env_logger::{Builder, Env, Logger, Target, fmt::Formatter};
use log::{Log, Metadata, Record};
use tokio::time::Instant;

/// Log target of the line that is logged for each placed request.
pub(crate) const REQUEST_PLACED_TARGET: &str = "redwinglatch::placed";

/// Capacity of the queue to the writer thread.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of lines of placed requests per second.
const MAX_PLACED_LINES_PER_S: u32 = 50;

/// Maximum time for which an exiting process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of lines dropped since the writer last reported them.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Installs a logger that sends lines to a writer thread; `RUST_LOG` sets the level.
///
/// # Errors
///
/// Fails if a logger is already installed or the thread cannot be started.
pub fn init_logging() -> io::Result<()> {
    let (queue, queued) = mpsc::sync_channel::<LogOutput>(QUEUE_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        let mut out = io::stdout();
        while let Ok(output) = queued.recv() {
            // If standard output is closed, there is no place to report the error.
            let _ = match output {
                LogOutput::Line(line) => out.write_all(&line),
                LogOutput::Flush(flushed) => {
                    let result = out.flush();
                    // The process may have stopped waiting.
                    let _ = flushed.send(());
                    result
                }
            };
            let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let _ = writeln!(out, "log: {dropped} lines were dropped");
            }
        }
    })?;
    let started_at = Instant::now();
    let logger = Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |line, record| write_line(line, record, started_at.elapsed()))
        .target(Target::Pipe(Box::new(LineQueue { queue: queue.clone() })))
        .build();
    log::set_max_level(logger.filter());
    let placed_limit = Mutex::new(LineRateLimit::default());
    let logger = QueueingLogger { logger, queue, placed_limit };
    log::set_boxed_logger(Box::new(logger)).map_err(io::Error::other)
}

/// Writes a line with the time of day, for a comparison with other machines, and the uptime, which
/// orders the lines of a process also while the time of day jumps.
fn write_line(line: &mut Formatter, record: &Record<'_>, uptime: Duration) -> io::Result<()> {
    let time = line.timestamp_millis();
    writeln!(
        line,
        "[{time} {:<5} {} up_s={:.3}] {}",
        record.level(),
        record.target(),
        uptime.as_secs_f64(),
        record.args()
    )
}

/// An item of the queue to the writer thread.
enum LogOutput {
    Line(Vec<u8>),
    /// All lines before it are to be written and then acknowledged.
    Flush(SyncSender<()>),
}

/// Queues each line for the writer thread, or drops it if the queue is full.
struct LineQueue {
    queue: SyncSender<LogOutput>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let output = LogOutput::Line(line.to_vec());
        if let Err(TrySendError::Full(_)) = self.queue.try_send(output) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Limits the number of lines per second.
#[derive(Debug, Default)]
struct LineRateLimit {
    window_start: Option<Instant>,
    lines: u32,
}

impl LineRateLimit {
    /// Counts a line and returns whether it is within the limit.
    fn allow_line(&mut self) -> bool {
        let now = Instant::now();
        if self
            .window_start
            .is_none_or(|window_start| now.duration_since(window_start).as_secs() >= 1)
        {
            *self = LineRateLimit { window_start: Some(now), lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_PLACED_LINES_PER_S
    }
}

/// Logger that drops lines of placed requests above [`MAX_PLACED_LINES_PER_S`] and queues the others.
struct QueueingLogger {
    logger: Logger,
    queue: SyncSender<LogOutput>,
    placed_limit: Mutex<LineRateLimit>,
}

impl Log for QueueingLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if record.target() == REQUEST_PLACED_TARGET {
            let mut placed_limit = self.placed_limit.lock().unwrap_or_else(PoisonError::into_inner);
            if !placed_limit.allow_line() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        self.logger.log(record);
    }

    /// Waits until the lines before this call are written, for at most [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let (flushed, is_flushed) = mpsc::sync_channel(1);
        // A full queue belongs to a reader that doesn't read, for which the exit isn't delayed.
        if self.queue.try_send(LogOutput::Flush(flushed)).is_ok() {
            let _ = is_flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}
