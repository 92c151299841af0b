//! CPU time and memory of this process, and the load of the machine.

use std::io;

/// Linux reports CPU times in `/proc` in hundredths of a second on every machine.
const TICKS_PER_S: f64 = 100.0;

/// Returns the CPU seconds of this process since its start, in user and system mode.
pub(crate) fn cpu_s() -> io::Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    // The name of the command may contain spaces; the fields after it do not.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|it| it.parse().ok()).collect();
    match ticks[..] {
        [user, system] => Ok((user + system) / TICKS_PER_S),
        _ => Err(io::Error::other("/proc/self/stat has no CPU times")),
    }
}

/// Returns the resident memory of this process.
pub(crate) fn resident_bytes() -> io::Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let kibibytes = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse::<f64>().ok()
    });
    kibibytes
        .map(|it| it * 1024.0)
        .ok_or_else(|| io::Error::other("/proc/self/status has no VmRSS"))
}

/// Returns the load average of the last minute, as context for the reader of the report.
pub(crate) fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}
