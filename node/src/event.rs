//! Numbered log events.
//!
//! Every log line of a daemon is one event: `KW1203 config-adopted revision=7`.
//! `docs/events.md` lists all events; a test checks that it matches this module.
//! Fields never contain a key or the content of a request.

use std::fmt::{self, Display, Write as _};

use log::Level;

/// The log target of all events.
pub const TARGET: &str = "knapweed";

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident $number:literal $level:ident $name:literal;)*) => {
        /// A log event; its number never changes.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub enum Event {
            $($(#[$doc])* $variant,)*
        }

        impl Event {
            /// All events, in order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// The number.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$variant => $number,)*
                }
            }

            /// The level.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$variant => Level::$level,)*
                }
            }

            /// The name, in kebab case.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

events! {
    /// The process started.
    ProcessStarted 1001 Info "process-started";
    /// A listener is bound.
    ListenerBound 1002 Info "listener-bound";
    /// A listener could not be bound.
    ListenerFailed 1003 Error "listener-failed";
    /// The process is ready for work.
    ProcessReady 1004 Info "process-ready";
    /// The process is not ready for work.
    ProcessUnready 1005 Warn "process-unready";
    /// A planned stop began.
    StopBegan 1006 Info "stop-began";
    /// The planned stop ended; every request had ended.
    StopEnded 1007 Info "stop-ended";
    /// A second signal or the stop limit ended the process while requests were in flight.
    StopCut 1008 Error "stop-cut";
    /// A controller or thread terminated unexpectedly.
    ThreadLost 1009 Error "thread-lost";
    /// A queue between threads was full and an event was dropped.
    ChannelFull 1010 Warn "channel-full";

    /// The settings file changed and was reloaded.
    SettingsReloaded 1011 Info "settings-reloaded";
    /// The settings file changed but is invalid; the previous settings remain in force.
    SettingsRefused 1012 Error "settings-refused";
    /// Log lines were dropped to stay within the size limit.
    LinesDropped 1013 Warn "lines-dropped";
    /// Connections or requests were turned away unread or before their team was known.
    LoadRejected 1014 Warn "load-rejected";
    /// The process is overloaded and stays ready, for the data centre.
    RotationHeld 1015 Warn "rotation-held";
    /// A request or a turn of a loop panicked.
    TaskPanicked 1016 Error "task-panicked";

    /// The configuration service responded again.
    ServiceReachable 1201 Info "service-reachable";
    /// The configuration service did not respond.
    ServiceUnreachable 1202 Warn "service-unreachable";
    /// A configuration came into force.
    ConfigAdopted 1203 Info "config-adopted";
    /// A document was rejected; the previous configuration remains in force.
    ConfigRefused 1204 Error "config-refused";
    /// A document was ignored because its revision is not higher.
    ConfigStale 1205 Warn "config-stale";
    /// Two documents with the same revision differ.
    ConfigConflict 1206 Error "config-conflict";
    /// A part of the document is missing or has another hash.
    PartUnavailable 1207 Warn "part-unavailable";
    /// The VM list was rejected.
    VmListRefused 1208 Warn "vm-list-refused";
    /// The configuration service returned something other than a value.
    ServiceGarbage 1209 Error "service-garbage";

    /// Keys are rejected because the configuration was not confirmed in time.
    KeysUnconfirmed 1210 Warn "keys-unconfirmed";
    /// Keys are accepted again.
    KeysConfirmed 1211 Info "keys-confirmed";
    /// The configuration service no longer had the change history; all values were read again.
    HistoryLost 1212 Info "history-lost";
    /// A registry entry could not be parsed and adds no target.
    EntryRefused 1213 Warn "entry-refused";
    /// A data centre was taken out of service or put back.
    CentreDrained 1214 Info "centre-drained";
    /// The store came back from an older copy of itself; everything is read again.
    StoreEraRisen 1215 Warn "store-era-risen";
    /// A peer that knows other operators' entries was asked for them.
    EntriesAsked 1216 Info "entries-asked";

    /// A peer was reached for the first time or again.
    PeerReachable 1301 Info "peer-reachable";
    /// A peer is suspected of having failed.
    PeerSuspected 1302 Warn "peer-suspected";
    /// A peer is considered failed.
    PeerFailed 1303 Warn "peer-failed";
    /// A control message could not be decoded.
    MessageRefused 1304 Warn "message-refused";
    /// A peer uses an unsupported protocol version.
    VersionRefused 1305 Error "version-refused";
    /// Peers suspected this process; it refuted that.
    SelfSuspected 1306 Warn "self-suspected";
    /// A later incarnation of this process exists.
    SelfSuperseded 1307 Error "self-superseded";
    /// This process was not scheduled for a while.
    SelfPaused 1308 Warn "self-paused";
    /// This router reports to another relay, or is a relay itself.
    RelayChosen 1309 Info "relay-chosen";

    /// The target accepts connections.
    TargetUp 1401 Info "target-up";
    /// The target terminated or restarted.
    TargetDown 1402 Error "target-down";
    /// The target is cold; its window was reduced.
    TargetCold 1403 Warn "target-cold";
    /// A rule drains the target or its data centre.
    TargetDrained 1404 Info "target-drained";
    /// A drain was lifted.
    TargetRestored 1405 Info "target-restored";
    /// The rules in force do not name the target of this agent.
    TargetUnknown 1406 Error "target-unknown";
    /// The load report of the target could not be read.
    ReportUnavailable 1407 Warn "report-unavailable";
    /// An order to the target was carried out.
    OrderDone 1408 Info "order-done";
    /// An order to the target failed or was refused.
    OrderFailed 1409 Warn "order-failed";
    /// The agent lost its exclusive hold on the target and sends it no orders.
    HoldLost 1410 Error "hold-lost";

    /// A target registered, or re-registered with a new incarnation.
    TargetAppeared 1411 Info "target-appeared";
    /// A target announced that it is leaving.
    TargetLeaving 1412 Info "target-leaving";
    /// The registry entry of a target was removed.
    TargetGone 1413 Info "target-gone";
    /// A target receives no requests for a while after failures.
    TargetResting 1414 Warn "target-resting";
    /// A target that was excluded receives requests again.
    TargetTrusted 1415 Info "target-trusted";
    /// The estimate of how fast engines process prompts changed.
    SpeedLearned 1416 Info "speed-learned";
    /// Requests of a team were refused; the line states its rates and share.
    TeamRefused 1417 Warn "team-refused";
    /// A target said in a response that it is leaving, to this router or to a peer.
    TargetSaidLeaving 1418 Info "target-said-leaving";
    /// A target turned a request away and wants no others for a while.
    TargetPaused 1419 Info "target-paused";
    /// Teams are held to a multiple of what a team gets that is left behind.
    RatesBounded 1420 Warn "rates-bounded";
    /// The learned rate of a target reached another level.
    TargetRateLearned 1421 Info "target-rate-learned";
    /// Targets had evicted prompt parts that they were expected to keep.
    PartsEvicted 1422 Info "parts-evicted";
    /// This router read the list of prompt parts that a target keeps.
    KeptListed 1423 Info "kept-listed";
    /// A target did not say what it keeps.
    KeptUnknown 1424 Warn "kept-unknown";
    /// Teams beyond their share may use idle targets, or no longer.
    SpareCapacity 1425 Info "spare-capacity";
    /// A target named a limit on the requests that it takes from all routers together.
    TargetLimited 1426 Warn "target-limited";
    /// A target names no limit on its requests any more.
    TargetUnlimited 1427 Info "target-unlimited";
    /// A connection to a target ended unannounced, so it may have started again.
    IncarnationDoubted 1428 Info "incarnation-doubted";
    /// A target that may have started again has not.
    IncarnationConfirmed 1429 Info "incarnation-confirmed";

    /// A request is quarantined because targets crashed while running it.
    RequestQuarantined 1501 Error "request-quarantined";
    /// A quarantine ended.
    QuarantineEnded 1502 Info "quarantine-ended";
    /// A request ended with an unknown outcome.
    OutcomeUnknown 1503 Warn "outcome-unknown";
    /// A response that belongs to no attempt was dropped.
    AnswerMismatched 1504 Error "answer-mismatched";
    /// Requests of a team are rejected because of its limits.
    TeamLimited 1505 Warn "team-limited";
    /// Connections or requests were rejected because of a limit in the settings.
    LimitReached 1506 Warn "limit-reached";
    /// A request was sent to a target.
    RequestSent 1507 Info "request-sent";
    /// An attempt ended without a response for the caller.
    AttemptFailed 1508 Info "attempt-failed";
    /// A request was rejected and has not run.
    RequestRefused 1509 Info "request-refused";
    /// A request ended.
    RequestEnded 1510 Info "request-ended";
    /// A stream continues on another target.
    StreamResumed 1511 Info "stream-resumed";
    /// The caller disconnected before the end of the response.
    CallerLeft 1512 Info "caller-left";
    /// A stream could not be continued on another target.
    ResumeFailed 1513 Warn "resume-failed";
    /// A body ended without framing, or inside an event.
    BodyEnded 1514 Info "body-ended";
    /// The software version at which a stream that is taken up began was looked up.
    StreamOrigin 1515 Info "stream-origin";
    /// A peer asked for the versions at which streams began.
    OriginsAsked 1516 Info "origins-asked";
    /// A target turned a request away since all its slots were in use.
    TargetFull 1517 Info "target-full";
    /// A target died; requests that were waiting or had just begun there are suspects.
    TargetCrashed 1518 Warn "target-crashed";
    /// Requests with these prompt parts are rejected, since targets crash under them.
    PartRejected 1519 Error "part-rejected";
    /// Requests with these prompt parts are accepted again.
    PartCleared 1520 Info "part-cleared";
    /// Requests completed, so crashes of targets that ran them do not count.
    CrashesCleared 1521 Info "crashes-cleared";
}

impl Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KW{:04} {}", self.number(), self.name())
    }
}

/// Key and value of a field of a log line.
pub type Field<'a> = (&'a str, &'a dyn Display);

/// Logs an event with its fields.
pub fn log(event: Event, fields: &[Field<'_>]) {
    let level = event.level();
    if log::log_enabled!(target: TARGET, level) {
        log::log!(target: TARGET, level, "{}", format_line(event, fields));
    }
}

/// Formats a log line.
///
/// Empty values and values that contain whitespace, quotes, `=` or control characters
/// are quoted and escaped.
pub fn format_line(event: Event, fields: &[Field<'_>]) -> String {
    let mut line = event.to_string();
    for (key, value) in fields {
        let value = value.to_string();
        let is_unquoted =
            |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
        let written = match !value.is_empty() && value.chars().all(is_unquoted) {
            true => write!(line, " {key}={value}"),
            false => write!(line, " {key}=\"{}\"", value.escape_debug()),
        };
        written.expect("writing to a string succeeds");
    }
    line
}

/// A parsed log line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LogEntry {
    /// The event.
    pub event: Event,
    /// The fields, in order.
    pub fields: Vec<(String, String)>,
}

impl LogEntry {
    /// Parses the output of [`format_line()`]; returns `None` if the text is not an event.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.splitn(3, ' ');
        let number: u16 = words.next()?.strip_prefix("KW")?.parse().ok()?;
        let event = Event::ALL.iter().find(|event| event.number() == number)?;
        let _name = words.next()?;
        let mut rest = words.next().unwrap_or_default();
        let mut fields = Vec::new();
        while let Some((key, after)) = rest.split_once('=') {
            let (value, after) = match after.strip_prefix('"') {
                Some(quoted) => unquote(quoted)?,
                None => {
                    let end = after.find(' ').unwrap_or(after.len());
                    (after[..end].to_owned(), &after[end..])
                }
            };
            fields.push((key.to_owned(), value));
            rest = after.strip_prefix(' ').unwrap_or(after);
        }
        Some(Self {
            event: *event,
            fields,
        })
    }

    /// The value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other == key)?;
        Some(&found.1)
    }
}

/// Parses a value up to its closing quote and returns it with the remaining text.
fn unquote(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => {
                let (_, escaped) = chars.next()?;
                value.push(match escaped {
                    'n' => '\n',
                    'r' => '\r',
                    't' => '\t',
                    '0' => '\0',
                    'u' => {
                        let code: String = chars
                            .by_ref()
                            .map(|(_, c)| c)
                            .take_while(|&c| c != '}')
                            .collect();
                        let code = u32::from_str_radix(code.strip_prefix('{')?, 16).ok()?;
                        char::from_u32(code)?
                    }
                    other => other,
                });
            }
            other => value.push(other),
        }
    }
    None
}
