/*!
The figures of each role, their lines over a size, and the target's.
*/

use super::super::{Aims, cost::Line};

/// The size that decides the design; see `docs/CAPACITY.md`.
pub(super) mod target {
    /// Workers, each on a VM of its own.
    pub(in super::super) const WORKERS: f64 = 580.0;
    /// Pools.
    pub(in super::super) const POOLS: f64 = 391.0;
    /// Entry VMs, in today's proportion of 6 to 50 workers.
    pub(in super::super) const NODES: f64 = 70.0;
    /// Changes of configuration, each second.
    pub(in super::super) const CHANGES: f64 = 430.0 / 86_400.0;
    /// Filings, each second: ten for each runner.
    pub(in super::super) const FILINGS: f64 = 5_800.0;
    /// Processor time for control, in hundredths of a core.
    pub(in super::super) const CPU_PERCENT: f64 = 1.7;
    /// Memory for control, in megabytes.
    pub(in super::super) const MEMORY_MB: f64 = 32.0;
    /// Bytes for control, each second.
    pub(in super::super) const BYTES: f64 = 8.0 * 1024.0;
    /// The platform's writes each second ("a few hundred").
    pub(in super::super) const WRITES: f64 = 300.0;
    /// The platform's reads each second.
    pub(in super::super) const READS: f64 = 2_000.0;
}

/// What a second cost one node, on the average of all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    pub(super) cpu_percent: f64,
    pub(super) peer_bytes: f64,
    pub(super) platform_bytes: f64,
    pub(super) reads: f64,
    pub(super) writes: f64,
}

impl Cost {
    pub(super) fn bytes(&self) -> f64 {
        self.peer_bytes + self.platform_bytes
    }
}

/// The lines of each cost over a size.
pub(super) struct Lines {
    pub(super) cpu_percent: Line,
    pub(super) bytes: Line,
    pub(super) reads: Line,
    pub(super) writes: Line,
}

impl Lines {
    pub(super) fn through(points: &[(f64, Cost)]) -> Lines {
        let line = |figure: fn(&Cost) -> f64| {
            let points: Vec<(f64, f64)> =
                points.iter().map(|(x, c)| (*x, figure(c))).collect();
            Line::through(&points)
        };
        Lines {
            cpu_percent: line(|c| c.cpu_percent),
            bytes: line(Cost::bytes),
            reads: line(|c| c.reads),
            writes: line(|c| c.writes),
        }
    }
}

/// What control costs a node at the target's size, all roles together.
#[derive(Debug, Default)]
pub(super) struct Total {
    pub(super) cpu_percent: f64,
    pub(super) bytes: f64,
    pub(super) memory_bytes: f64,
    pub(super) reads: f64,
    pub(super) writes: f64,
}

impl Total {
    pub(super) fn hold(&self, aims: &mut Aims) {
        let memory_mb = self.memory_bytes / 1e6;
        aims.hold(
            "control takes at most 1.7 % of a core a node",
            self.cpu_percent <= target::CPU_PERCENT,
            &format!("{:.2} %", self.cpu_percent),
        );
        aims.hold(
            "control takes at most 32 MB a node",
            memory_mb <= target::MEMORY_MB,
            &format!("{memory_mb:.1} MB"),
        );
        aims.hold(
            "control takes at most 8 KB/s a node",
            self.bytes <= target::BYTES,
            &format!("{:.0} B/s", self.bytes),
        );
        aims.hold(
            "the platform's reads stay under 2,000/s",
            self.reads <= target::READS,
            &format!("{:.0}/s", self.reads),
        );
        aims.hold(
            "the platform's writes stay under a few hundred/s",
            self.writes <= target::WRITES,
            &format!("{:.0}/s, filings apart", self.writes),
        );
    }
}

pub(super) fn head(size: &str) {
    println!(
        "  {size:>9} {:>10} {:>12} {:>14} {:>9} {:>9}",
        "% of core", "peer B/s", "platform B/s", "reads/s", "writes/s",
    );
}

pub(super) fn row(size: f64, cost: &Cost) {
    println!(
        "  {size:>9} {:>10.3} {:>12.0} {:>14.0} {:>9.2} {:>9.2}",
        cost.cpu_percent,
        cost.peer_bytes,
        cost.platform_bytes,
        cost.reads,
        cost.writes,
    );
}

pub(super) fn print_lines(unit: &str, lines: &Lines, size: f64) {
    println!(
        "  slope for each {unit}: {:.4} % of a core, {:.2} B/s",
        lines.cpu_percent.slope, lines.bytes.slope,
    );
    println!(
        "  at {size}: {:.3} % of a core, {:.0} B/s, {:.2} reads/s and {:.2} \
         writes/s a node",
        lines.cpu_percent.at(size),
        lines.bytes.at(size),
        lines.reads.at(size),
        lines.writes.at(size),
    );
}
