/*!
What a run costs: processor time by thread, memory, and lines through points.
*/

use std::{fs, time::Duration};

/// Returns the processor time that threads with this prefix have used.
///
/// The kernel's scheduler counts it in nanoseconds.
pub(super) fn threads_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let times = tasks.flatten().filter_map(|task| {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).ok()?;
        if !name.starts_with(prefix) {
            return None;
        }
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        stat.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(times.sum())
}

/// Returns the memory that the process has resident, in bytes.
pub(super) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// A straight line through measured points, by least squares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    pub(super) base: f64,
    pub(super) slope: f64,
}

impl Line {
    /// Fits a line to points of (size, figure).
    pub(super) fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let above: f64 =
            points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let below: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = if below > 0.0 { above / below } else { 0.0 };
        Line { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the line's figure at a size.
    pub(super) fn at(self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
