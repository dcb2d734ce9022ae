//! Stand-ins of the cases 6 to 10: `stand CASE FOLDER`. A run ends with 0 if the rule was kept,
//! 1 if it was broken, and 2 if the case could not run. Without trouble (`TROUBLE=0`) the
//! disruption is left out.

mod fleet;
mod http;
mod keys;
mod others;
mod reborn;
mod seeds;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use fleet::Record;

/// The longest time of a run.
const MAX_RUN: Duration = Duration::from_secs(110);

/// How a run ended.
pub enum Verdict {
    Kept,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        return ExitCode::from(2);
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    let files = temporary.clone();
    // The routers are killed when the case returns or panics.
    thread::spawn(move || {
        let play = || match case.as_str() {
            "keys" => keys::play(&files, &record, trouble),
            "others" => others::play(&files, &record, trouble),
            "reborn" => reborn::play(&files, &record, trouble),
            "seeds" => seeds::play(&files, &record, trouble),
            _ => Err(std::io::Error::other("no such case")),
        };
        let verdict = match play() {
            Ok(verdict) => verdict,
            Err(error) => Verdict::NotRun(error.to_string()),
        };
        let code = match verdict {
            Verdict::Kept => {
                record.tell("the rule was kept");
                0
            }
            Verdict::Broken => {
                record.tell("the rule was broken");
                1
            }
            Verdict::NotRun(why) => {
                record.tell(&format!("the case could not run: {why}"));
                2
            }
        };
        let _ = sender.send(code);
    });
    let code = receiver.recv_timeout(MAX_RUN).unwrap_or(2);
    if std::env::var_os("KEEP").is_none() { let _ = std::fs::remove_dir_all(&temporary); }
    ExitCode::from(code)
}
