//! Non-blocking logger: a bounded buffer and a thread that writes it out.
//!
//! Invariants:
//! - Logging a line never blocks on output: a line that does not fit is dropped and
//!   counted.
//! - Lines below level warn may use only part of the buffer in each flush interval;
//!   the rest is reserved for lines of level warn and above.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::event::{self, Event};

/// Interval between two writes of the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Buffer limit for lines below level warn, in bytes per flush interval.
const INFO_BUFFER_BYTES: usize = 24 * 1024;

/// Buffer limit for all lines, in bytes per flush interval.
const TOTAL_BUFFER_BYTES: usize = 48 * 1024;

/// Approximate size of a line in bytes; a line is formatted only if this much is free.
const TYPICAL_LINE_BYTES: usize = 256;

/// Maximum number of bytes that a pipe accepts in one write without interleaving them
/// with the writes of other processes (`PIPE_BUF` on Linux).
const PIPE_WRITE_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    dropped: u64,
}

/// A logger that never blocks.
#[derive(Clone, Debug, Default)]
pub struct BufferedLogger {
    buffer: Arc<Mutex<Buffer>>,
}

impl BufferedLogger {
    /// Installs a logger that writes to `output` from its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed or the thread cannot be started.
    pub fn install(output: impl Write + Send + 'static, level: LevelFilter) -> eyre::Result<Self> {
        let logger = Self::default();
        log::set_boxed_logger(Box::new(logger.clone()))?;
        log::set_max_level(level);
        let writer = logger.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.write_loop(output))?;
        Ok(logger)
    }

    /// Takes the buffered text, followed by a line with the number of dropped lines, if any.
    pub fn take(&self) -> String {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let Buffer { mut text, dropped } = std::mem::take(&mut *buffer);
        if dropped > 0 {
            text.push_str(&event::format_line(
                Event::LinesDropped,
                &[("count", &dropped)],
            ));
            text.push('\n');
        }
        text
    }

    /// Appends a line to the buffer, or counts it as dropped.
    pub fn add(&self, level: Level, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.text.len() + line.len() >= buffer_limit(level) {
            buffer.dropped += 1;
            return;
        }
        buffer.text.push_str(line);
        buffer.text.push('\n');
    }

    /// Whether the buffer has room for a line of this level; counts it as dropped if not.
    ///
    /// The check precedes formatting because under load most lines are dropped.
    fn has_room(&self, level: Level) -> bool {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = buffer.text.len() + TYPICAL_LINE_BYTES < buffer_limit(level);
        buffer.dropped += u64::from(!has_room);
        has_room
    }

    fn write_loop(&self, mut output: impl Write) {
        loop {
            thread::sleep(FLUSH_INTERVAL);
            let text = self.take();
            if !text.is_empty() && write_lines(&mut output, &text).is_err() {
                // The output is closed, and there is nowhere else to report it.
                return;
            }
        }
    }
}

/// Writes complete lines in chunks of at most `PIPE_WRITE_BYTES`, so that output of other
/// processes on the same pipe is not interleaved within a line.
fn write_lines(output: &mut impl Write, text: &str) -> io::Result<()> {
    let mut remaining = text;
    while !remaining.is_empty() {
        let end = match remaining.len() > PIPE_WRITE_BYTES {
            true => remaining.as_bytes()[..PIPE_WRITE_BYTES]
                .iter()
                .rposition(|&byte| byte == b'\n'),
            false => Some(remaining.len() - 1),
        };
        // A single line over the limit is written as is.
        let end = end
            .or_else(|| remaining.find('\n'))
            .map_or(remaining.len(), |end| end + 1);
        output.write_all(&remaining.as_bytes()[..end])?;
        output.flush()?;
        remaining = &remaining[end..];
    }
    Ok(())
}

/// Buffer limit for lines of a level, in bytes.
fn buffer_limit(level: Level) -> usize {
    match level <= Level::Warn {
        true => TOTAL_BUFFER_BYTES,
        false => INFO_BUFFER_BYTES,
    }
}

fn is_enabled(metadata: &Metadata<'_>) -> bool {
    metadata.target() == event::TARGET || metadata.level() <= Level::Warn
}

impl Log for BufferedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        is_enabled(metadata) && self.has_room(metadata.level())
    }

    fn log(&self, record: &Record<'_>) {
        if is_enabled(record.metadata()) {
            // Lines are buffered for up to `FLUSH_INTERVAL`, so each carries its own timestamp.
            let at = rules::format_instant(SystemTime::now());
            self.add(record.level(), &format!("{at} {}", record.args()));
        }
    }

    fn flush(&self) {}
}
