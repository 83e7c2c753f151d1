//! Log lines are written in batches, in their order, and none is lost unless
//! nobody reads them any more.

use {
    dewspard::logs::BatchedWriter,
    std::{
        io::{self, Write},
        sync::{Arc, Mutex},
    },
};

/// What was written, in pieces.
#[derive(Clone, Default)]
struct Pieces(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Pieces {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_come_whole_and_in_order_in_fewer_pieces() {
    let pieces = Pieces::default();
    let mut writer = BatchedWriter::new(pieces.clone());
    let mut expected = Vec::new();
    for line in 0..5_000 {
        let line = format!("line {line}\n");
        writer.write_all(line.as_bytes()).unwrap();
        expected.extend(line.into_bytes());
    }
    drop(writer);
    let pieces = pieces.0.lock().unwrap();
    assert_eq!(pieces.concat(), expected);
    assert!(pieces.len() < 1_000, "{}", pieces.len());
    assert!(pieces.iter().all(|piece| piece.ends_with(b"\n")));
}

#[test]
fn more_than_may_wait_is_written_all_the_same() {
    let pieces = Pieces::default();
    let mut writer = BatchedWriter::new(pieces.clone());
    let line = [b'x'; 64 * 1024];
    for _ in 0..100 {
        writer.write_all(&line).unwrap();
    }
    drop(writer);
    let written = pieces.0.lock().unwrap().concat().len();
    assert_eq!(written, 100 * line.len());
}

struct Broken;

impl Write for Broken {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn nobody_waits_for_a_reader_that_is_gone() {
    let mut writer = BatchedWriter::new(Broken);
    let refused = (0..10_000).any(|_| {
        std::thread::yield_now();
        writer.write_all(&[b'x'; 4096]).is_err()
    });
    assert!(refused);
}
