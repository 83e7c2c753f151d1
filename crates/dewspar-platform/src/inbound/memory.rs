/*!
The memory that this process takes.
*/

use std::fs;

/// Returns the resident memory of this process, in bytes; `None` where the
/// system doesn't tell.
pub(super) fn resident_bytes() -> Option<usize> {
    resident_in(&fs::read_to_string("/proc/self/status").ok()?)
}

/// Reads it from the kernel's account of a process, which gives it in kilobytes
/// whatever the size of a page.
fn resident_in(status: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1_024)
}
