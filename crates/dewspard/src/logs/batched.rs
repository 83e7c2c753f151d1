/*!
Lines written in batches.

A busy node logs thousands of lines a second. Each written by itself is a
system call and a wake-up of whoever reads them. A [`BatchedWriter`] gathers
what is written for some milliseconds and hands it on in one piece, from a
thread of its own; while nothing is written, it does nothing.

# Example

```
use {dewspard::logs::BatchedWriter, std::io::Write};

let path = std::env::temp_dir().join(format!("lines-{}", std::process::id()));
let mut writer = BatchedWriter::new(std::fs::File::create(&path)?);
writer.write_all(b"node: started\n")?;
// Whatever is left goes out with it.
drop(writer);
assert_eq!(std::fs::read(&path)?, b"node: started\n");
# std::fs::remove_file(&path)?;
# Ok::<(), std::io::Error>(())
```
*/

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

/// How long lines are gathered: a process that is killed loses as much, and
/// 50 writes a second are few.
const GATHER: Duration = Duration::from_millis(20);

/// How much may wait, in bytes: what the busiest node logs in a second. A
/// reader that stalls holds the writing thread up then, and lines are dropped
/// and counted where they queue for it.
const MOST_WAITING: usize = 2 * 1024 * 1024;

/// How much is written at once, in bytes: what a pipe takes whole, so that a
/// reader never gets the lines of two writers mixed, nor a part of one.
const PIECE: usize = 4_096;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // OK after a panic: each change is one call that can't fail halfway.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(
        &self,
        waiting: MutexGuard<'a, Waiting>,
        until: impl Fn(&Waiting) -> bool,
    ) -> MutexGuard<'a, Waiting> {
        let waited =
            self.changed.wait_while(waiting, |waiting| !until(waiting));
        // OK after a panic, as above.
        waited.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A writer that hands on in batches what is written to it.
#[derive(Debug)]
pub struct BatchedWriter {
    shared: Arc<Shared>,
    writing: Option<JoinHandle<()>>,
}

impl BatchedWriter {
    /// Makes a writer over another one.
    pub fn new(inner: impl Write + Send + 'static) -> BatchedWriter {
        let shared = Arc::new(Shared::default());
        let read = shared.clone();
        let writing = thread::spawn(move || write_batches(&read, inner));
        BatchedWriter { shared, writing: Some(writing) }
    }
}

impl Write for BatchedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let has_room = |w: &Waiting| w.closed || w.bytes.len() < MOST_WAITING;
        let mut waiting = self.shared.wait(self.shared.lock(), has_room);
        if waiting.closed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(bytes);
        drop(waiting);
        if was_empty {
            self.shared.changed.notify_all();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        // Within the time that lines are gathered.
        Ok(())
    }
}

impl Drop for BatchedWriter {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_all();
        if let Some(writing) = self.writing.take() {
            // A panic there has lost lines, and there is nobody to tell.
            let _ = writing.join();
        }
    }
}

/// Writes what is waiting until the writer is gone or can't write any more.
fn write_batches(shared: &Shared, mut inner: impl Write) {
    loop {
        let there = |w: &Waiting| w.closed || !w.bytes.is_empty();
        let closed = shared.wait(shared.lock(), there).closed;
        if !closed {
            thread::sleep(GATHER);
        }
        let mut waiting = shared.lock();
        let bytes = mem::take(&mut waiting.bytes);
        let closed = waiting.closed;
        drop(waiting);
        shared.changed.notify_all();
        if write_pieces(&mut inner, &bytes).is_err() {
            // Nobody reads any more; what is written from now on is refused.
            shared.lock().closed = true;
            shared.changed.notify_all();
            return;
        }
        if closed {
            return;
        }
    }
}

/// Writes bytes in pieces that end with a line.
fn write_pieces(inner: &mut impl Write, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let (piece, rest) = bytes.split_at(piece_len(bytes));
        inner.write_all(piece)?;
        bytes = rest;
    }
    inner.flush()
}

/// Returns how long the first piece is: as many whole lines as fit, or the one
/// line that is longer.
fn piece_len(bytes: &[u8]) -> usize {
    if bytes.len() <= PIECE {
        return bytes.len();
    }
    let is_end = |byte: &u8| *byte == b'\n';
    let last = bytes[..PIECE].iter().rposition(is_end);
    let end = last.or_else(|| bytes.iter().position(is_end));
    end.map_or(bytes.len(), |end| end + 1)
}
