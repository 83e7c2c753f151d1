/*!
The most memory and descriptors that a process uses, with what the kernel holds
for it.
*/

use {
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// The pause between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// How many looks in a row must show the same before a process counts as
/// settled.
const SETTLED_LOOKS: u32 = 25;

/// The memory of the machine that a process runs on in tests, in megabytes: that
/// of the smallest entry VMs.
pub const MEMORY_MB: u64 = 160;

/// The descriptors that a process may open in tests.
pub const DESCRIPTORS: usize = 1_024;

/// How many of these may be open at most: the others stay free for calls to the
/// platform, workers and other nodes.
const MAX_OPEN_DESCRIPTORS: usize = DESCRIPTORS / 4 * 3;

/// How long a process may take to settle once a crowd has sent all.
const SETTLING: Duration = Duration::from_secs(20);

/// The most that was seen of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory as the kernel keeps its maximum, in kilobytes.
    pub resident_kb: u64,
    /// Resident memory and bytes that have arrived and aren't read, at one time,
    /// in kilobytes.
    pub held_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Peak {
    /// Returns the most memory that was held for the process, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        self.resident_kb.max(self.held_kb).div_ceil(1_000)
    }

    /// Checks that the process stayed within its machine.
    ///
    /// # Panics
    ///
    /// Panics if it took more memory or descriptors than it may.
    pub fn assert_within_machine(&self) {
        assert!(self.memory_mb() <= MEMORY_MB, "{self:?}");
        assert!(self.descriptors <= MAX_OPEN_DESCRIPTORS, "{self:?}");
    }
}

/// What one look shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Look {
    resident_kb: u64,
    unread_bytes: u64,
    descriptors: usize,
}

/// What the looks so far show.
#[derive(Debug, Default)]
struct Seen {
    peak: Peak,
    last: Look,
    /// How many looks in a row have shown the same as the last.
    same_looks: u32,
}

impl Seen {
    fn note(&mut self, look: Look, max_resident_kb: u64) {
        let held_kb = look.resident_kb + look.unread_bytes / 1_024;
        let peak = &mut self.peak;
        peak.resident_kb = peak.resident_kb.max(max_resident_kb);
        peak.held_kb = peak.held_kb.max(held_kb);
        peak.descriptors = peak.descriptors.max(look.descriptors);
        self.same_looks =
            if look == self.last { self.same_looks + 1 } else { 0 };
        self.last = look;
    }
}

/// Watches a process until it is stopped.
pub struct Watch {
    stopped: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
    looking: JoinHandle<()>,
}

impl Watch {
    /// Watches a process that listens at these addresses of `127.0.0.1`.
    pub fn start<const N: usize>(
        process: u32,
        addresses: [SocketAddr; N],
    ) -> Watch {
        let stopped = Arc::new(AtomicBool::new(false));
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let ports = addresses.map(|address| address.port());
        let (is_stopped, noted) = (Arc::clone(&stopped), Arc::clone(&seen));
        let looking = thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                look(process, &ports, &noted);
                thread::sleep(INTERVAL);
            }
        });
        Watch { stopped, seen, looking }
    }

    /// Waits until the process has taken in what was sent to it, as far as it
    /// does: nothing changes any more. Whatever else goes on in the process may
    /// keep it from that, so the wait is bounded.
    pub async fn settled(&self) {
        let _ = timeout(SETTLING, self.unchanged()).await;
    }

    async fn unchanged(&self) {
        self.seen.lock().unwrap().same_looks = 0;
        while self.seen.lock().unwrap().same_looks < SETTLED_LOOKS {
            sleep(INTERVAL).await;
        }
    }

    /// Stops, and returns the most that was seen.
    pub fn stop(self) -> Peak {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.looking.join();
        self.seen.lock().unwrap().peak
    }
}

fn look(process: u32, ports: &[u16], seen: &Mutex<Seen>) {
    let status = format!("/proc/{process}/status");
    // It may have ended, which the test checks by itself.
    let Ok(status) = fs::read_to_string(status) else { return };
    let descriptors = fs::read_dir(format!("/proc/{process}/fd"));
    let look = Look {
        resident_kb: number_after(&status, "VmRSS:"),
        unread_bytes: unread_bytes(ports),
        descriptors: descriptors.map_or(0, Iterator::count),
    };
    seen.lock().unwrap().note(look, number_after(&status, "VmHWM:"));
}

fn number_after(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns how many bytes have arrived at these ports and aren't read.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(|line| unread_in(line, ports)).sum()
}

/// Returns the unread bytes of one row of the kernel's table of connections.
fn unread_in(line: &str, ports: &[u16]) -> Option<u64> {
    const LISTENING: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let state = fields.nth(1)?;
    let (_, unread) = fields.next()?.split_once(':')?;
    // A listening socket has the number of waiting connections there.
    if !ports.contains(&port) || state == LISTENING {
        return None;
    }
    u64::from_str_radix(unread, 16).ok()
}
