//! The log's buffer is bounded and never holds up the one who logs.

use std::io::{self, Write};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use knapweed_node::sink::Sink;
use log::{Level, LevelFilter};

/// More than fits the buffer.
const LINES: usize = 10_000;

#[test]
fn ordinary_lines_leave_room_for_warnings_and_are_counted() {
    let sink = Sink::default();
    for number in 0..LINES {
        sink.add(Level::Info, &format!("line {number}"));
    }
    sink.add(Level::Warn, "a warning");
    let text = sink.take();
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    assert!(kept < LINES && text.len() < 48 * 1024);
    assert!(text.contains("a warning\n"));
    let last = text.lines().last().expect("a line");
    assert_eq!(last, format!("KW1013 lines-dropped count={}", LINES - kept));
    assert_eq!(sink.take(), "");
}

/// A reader that never reads.
struct Blocked(mpsc::Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns only when the test has ended.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_holds_up_nobody() {
    let (end, blocked) = mpsc::channel();
    Sink::install(Blocked(blocked), LevelFilter::Info).expect("no other logger is installed");
    log::info!(target: "knapweed", "first");
    thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    for number in 0..LINES {
        log::info!(target: "knapweed", "line {number}");
    }
    // The writer is blocked for good; a line that waited for it would never return.
    assert!(began.elapsed() < Duration::from_secs(5));
    drop(end);
}
