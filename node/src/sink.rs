//! Where log lines go: a bounded buffer and a thread that writes it out.
//!
//! Invariants:
//! - Writing a line never blocks: a line that does not fit is dropped and counted.
//! - The number of lines per period is bounded for ordinary lines; the rest of the
//!   buffer is kept for lines of level warn and above.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::event::{self, Event};

/// The time between two writes.
const PERIOD: Duration = Duration::from_millis(200);

/// Bytes of ordinary lines per period.
const ORDINARY_BYTES: usize = 24 * 1024;

/// Bytes of all lines per period.
const ALL_BYTES: usize = 48 * 1024;

/// Bytes of a line, about; a line is not begun without room for as much.
const LINE_BYTES: usize = 256;

/// Bytes that a pipe takes without mixing them with those of others.
const ATOMIC_BYTES: usize = 4096;

#[derive(Debug, Default)]
struct Buffer {
    text: String,
    dropped: u64,
}

/// A logger that never blocks.
#[derive(Clone, Debug, Default)]
pub struct Sink {
    buffer: Arc<Mutex<Buffer>>,
}

impl Sink {
    /// Installs a sink that writes to `output` from a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is installed already or no thread can be started.
    pub fn install(output: impl Write + Send + 'static, level: LevelFilter) -> eyre::Result<Self> {
        let sink = Self::default();
        log::set_boxed_logger(Box::new(sink.clone()))?;
        log::set_max_level(level);
        let writer = sink.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.drain(output))?;
        Ok(sink)
    }

    /// Takes what is buffered, with a line that tells how many are missing.
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

    /// Adds a line, or counts it as dropped.
    pub fn add(&self, level: Level, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.text.len() + line.len() >= limit(level) {
            buffer.dropped += 1;
            return;
        }
        buffer.text.push_str(line);
        buffer.text.push('\n');
    }

    /// Whether a line of this level would still be kept; counts it as dropped if not.
    ///
    /// Under load most lines are dropped, and those need not be written first.
    fn has_room(&self, level: Level) -> bool {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = buffer.text.len() + LINE_BYTES < limit(level);
        buffer.dropped += u64::from(!has_room);
        has_room
    }

    fn drain(&self, mut output: impl Write) {
        loop {
            thread::sleep(PERIOD);
            let text = self.take();
            if !text.is_empty() && write(&mut output, &text).is_err() {
                // Nobody reads; there is no other place to say so.
                return;
            }
        }
    }
}

/// Writes whole lines at a time, so that a reader never sees two halves of a
/// line with another process's output between them.
fn write(output: &mut impl Write, text: &str) -> io::Result<()> {
    let mut rest = text;
    while !rest.is_empty() {
        let end = match rest.len() > ATOMIC_BYTES {
            true => rest.as_bytes()[..ATOMIC_BYTES]
                .iter()
                .rposition(|&byte| byte == b'\n'),
            false => Some(rest.len() - 1),
        };
        // A single line over the limit is written as it is.
        let end = end
            .or_else(|| rest.find('\n'))
            .map_or(rest.len(), |end| end + 1);
        output.write_all(&rest.as_bytes()[..end])?;
        output.flush()?;
        rest = &rest[end..];
    }
    Ok(())
}

/// Bytes that are kept per period for lines of a level.
fn limit(level: Level) -> usize {
    match level <= Level::Warn {
        true => ALL_BYTES,
        false => ORDINARY_BYTES,
    }
}

fn is_wanted(metadata: &Metadata<'_>) -> bool {
    metadata.target() == event::TARGET || metadata.level() <= Level::Warn
}

impl Log for Sink {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        is_wanted(metadata) && self.has_room(metadata.level())
    }

    fn log(&self, record: &Record<'_>) {
        if is_wanted(record.metadata()) {
            // Lines wait up to a period, so the time at which they are read is not theirs.
            let at = rules::format_instant(SystemTime::now());
            self.add(record.level(), &format!("{at} {}", record.args()));
        }
    }

    fn flush(&self) {}
}
