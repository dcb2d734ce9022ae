//! The log buffer is bounded, and logging never blocks the caller.

use std::io::{self, Write};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use knapweed_node::sink::BufferedLogger;
use log::{Level, LevelFilter};

/// More lines than fit into the buffer.
const LINES: usize = 10_000;

#[test]
fn info_lines_leave_room_for_warnings_and_dropped_lines_are_counted() {
    let logger = BufferedLogger::default();
    for number in 0..LINES {
        logger.add(Level::Info, &format!("line {number}"));
    }
    logger.add(Level::Warn, "a warning");
    let text = logger.take();
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    assert!(kept < LINES && text.len() < 48 * 1024);
    assert!(text.contains("a warning\n"));
    let last = text.lines().last().expect("a line");
    assert_eq!(last, format!("KW1013 lines-dropped count={}", LINES - kept));
    assert_eq!(logger.take(), "");
}

/// An output whose reader never reads, so that writes block.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Blocks until the test has ended.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn logging_does_not_block_on_a_stalled_output() {
    let (end, blocked) = mpsc::channel();
    BufferedLogger::install(BlockedOutput(blocked), LevelFilter::Info)
        .expect("no other logger is installed");
    log::info!(target: "knapweed", "first");
    thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    for number in 0..LINES {
        log::info!(target: "knapweed", "line {number}");
    }
    // The writer stays blocked; a call that waited for it would never return.
    assert!(began.elapsed() < Duration::from_secs(5));
    drop(end);
}
