//! Asks targets which prompt parts they keep.
//!
//! `policy::direct::kept_watch` decides whom this router asks and when. The calls run on
//! the control thread with connections of their own, so that no request waits for one.
//!
//! Invariants:
//! - An answer that is too long, too late or cannot be read changes nothing but the time of
//!   the next call, and is counted.
//! - A target that said that it leaves, wants a pause or names a limit is not asked, and what
//!   it says of itself in the head of an answer counts as in the response to a request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use awc::http::StatusCode;
use entity::Name;
use node::event::{self, Event};
use platform::kept;
use platform::response::parse_notice;
use policy::direct::config::Config;
use policy::direct::kept::KeptRow;
use policy::direct::kept_watch::{
    Answer, CALL_TIMEOUT, CALL_WAIT, Call, KeptWatch, KnownParts, is_watcher,
};
use policy::direct::target::{TargetRegistry, TargetState, VersionTag};
use policy::direct::target_limit::StatedLimit;
use policy::direct::target_notice::{CallNotice, TargetNotice};
use policy::direct::target_table::incarnation_tag;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::time::timeout;

use crate::metrics::KeptMetrics;
use crate::shared::Shared;

/// The maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The answers that arrived since the last period.
type Answers = Rc<RefCell<Vec<Arrived>>>;

struct Arrived {
    target: u64,
    call: Call,
    /// What arrived, and how it is counted.
    answer: Answer,
    result: &'static str,
}

/// A target that this router may ask.
#[derive(Clone)]
struct Askable {
    name: Name,
    address: SocketAddr,
    version: VersionTag,
    is_leaving: bool,
}

/// The calls to the targets.
pub(crate) struct KeptEvents {
    client: awc::Client,
    watch: KeptWatch,
    answers: Answers,
    askable: FxHashMap<u64, Askable>,
    metrics: KeptMetrics,
    shared: Arc<Shared>,
}

impl KeptEvents {
    pub(crate) fn new(metrics: KeptMetrics, shared: Arc<Shared>) -> Self {
        let client = awc::Client::builder().disable_redirects().disable_timeout();
        Self {
            client: client.finish(),
            watch: KeptWatch::default(),
            answers: Answers::default(),
            askable: FxHashMap::default(),
            metrics,
            shared,
        }
    }

    /// The number of targets asked, of calls under way, and of parts believed held.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        self.watch.counts()
    }

    pub(crate) fn metrics(&self) -> &KeptMetrics {
        &self.metrics
    }

    /// Takes over the targets with engines that accept requests or are leaving.
    pub(crate) fn set_registry(
        &mut self,
        registry: &TargetRegistry,
        config: Option<&Arc<Config>>,
        now: Instant,
    ) {
        let has_engine = |service: &Name| {
            let service = config.and_then(|config| config.services.get(service));
            service.is_some_and(|service| service.engine.is_some())
        };
        let targets = registry.targets.values().filter(|(target, reported_at)| {
            let is_cold = reported_at.is_some_and(|at| now < target.cold_until(at));
            // Nothing may be sent to a drained data centre, and little to a cold target.
            matches!(target.state, TargetState::Ready | TargetState::Leaving)
                && !is_cold
                && !registry.drained.contains(&target.centre)
                && has_engine(&target.service)
        });
        let askable = targets.map(|(target, _)| {
            let askable = Askable {
                name: target.name.clone(),
                address: target.address,
                version: target.version.tag(),
                is_leaving: target.state == TargetState::Leaving,
            };
            (incarnation_tag(&target.name, target.born), askable)
        });
        let previous = std::mem::replace(&mut self.askable, askable.collect());
        let version = |target| match self.askable.contains_key(&target) {
            true => None,
            false => previous.get(&target).map(|it| it.version),
        };
        self.watch.retire(version, now);
        let leaving = self.askable.iter().filter(|(_, it)| it.is_leaving);
        self.watch
            .set_leaving(leaving.map(|(&target, _)| target).collect());
    }

    /// Sets this router and the others among which the targets are divided, if this router
    /// is one of those that ask.
    pub(crate) fn set_watchers(&mut self, watchers: Option<(u64, &[u64])>) {
        let is_own =
            |target: u64| watchers.is_some_and(|(own, others)| is_watcher(target, own, others));
        let targets = self.askable.keys().copied();
        let targets: FxHashSet<u64> = targets.filter(|&target| is_own(target)).collect();
        self.watch.set_targets(&targets);
    }

    /// Starts the calls that are due.
    pub(crate) fn start_calls(&mut self, now: Instant) {
        let withheld = self.shared.withheld.load();
        let may_call = |target| !withheld.contains(&target);
        for (target, call) in self.watch.due(may_call, now) {
            let Some(askable) = self.askable.get(&target) else {
                continue;
            };
            let url = format!("http://{}{}", askable.address, kept::path(call));
            let mut request = self.client.get(url);
            if let Some(wait) = kept::wait(call, CALL_WAIT) {
                request = request.insert_header((kept::WAIT, wait));
            }
            let answers = self.answers.clone();
            let shared = self.shared.clone();
            let on_notice = move |notice| {
                shared.add_call_notice(CallNotice {
                    target,
                    notice,
                    at: Instant::now(),
                });
            };
            actix_rt::spawn(async move {
                let asked = timeout(CALL_TIMEOUT, ask(request, call, on_notice));
                let (answer, result) = match asked.await {
                    Ok(Ok(answer)) => (answer, "answered"),
                    Ok(Err(failure)) => failure,
                    Err(_) => (Answer::Failed, "late"),
                };
                answers.borrow_mut().push(Arrived {
                    target,
                    call,
                    answer,
                    result,
                });
            });
        }
    }

    /// Applies the answers that arrived; returns rows for the other routers.
    pub(crate) fn take_rows(
        &mut self,
        known: impl Fn(u64) -> KnownParts,
        now: Instant,
    ) -> Vec<KeptRow> {
        let arrived = std::mem::take(&mut *self.answers.borrow_mut());
        let mut rows = Vec::new();
        for Arrived {
            target,
            call,
            answer,
            result,
        } in arrived
        {
            self.metrics.record_call(call, result);
            let parts = match &answer {
                Answer::List { held, .. } => Some(held.len()),
                _ => None,
            };
            let new = self.watch.record(target, answer, &known(target), now);
            let name = self.askable.get(&target).map(|it| it.name.as_str());
            let name = name.unwrap_or_default();
            match parts {
                Some(parts) => {
                    let fields: [event::Field<'_>; 3] =
                        [("target", &name), ("parts", &parts), ("rows", &new.len())];
                    event::log(Event::KeptListed, &fields);
                }
                None if result != "answered" => {
                    let fields: [event::Field<'_>; 3] =
                        [("target", &name), ("call", &call), ("why", &result)];
                    event::log(Event::KeptUnknown, &fields);
                }
                None => {}
            }
            rows.extend(new);
        }
        rows
    }

    /// The software versions of the targets that said that they hold a part.
    pub(crate) fn versions_of_holders(&self, part: u64) -> impl Iterator<Item = VersionTag> {
        let holders = self.watch.holders(part);
        let holders = holders.filter_map(|target| Some(self.askable.get(&target)?.version));
        holders.chain(self.watch.departed_versions(part))
    }

    /// Returns rows of targets that hold parts which another router has begun to use.
    pub(crate) fn rows_of_used(&mut self, rows: &[KeptRow]) -> Vec<KeptRow> {
        let used = rows.iter().filter(|row| row.tokens > 0);
        self.watch.rows_of_used(used.map(|row| row.part))
    }
}

/// Makes a call; a failure comes with how it is counted. `on_notice` is called with what the
/// head of the answer says of the target, if that is something.
async fn ask(
    request: awc::ClientRequest,
    call: Call,
    on_notice: impl FnOnce(TargetNotice),
) -> Result<Answer, (Answer, &'static str)> {
    let sent = request.send().await;
    let mut response = sent.map_err(|_| (Answer::Failed, "unreachable"))?;
    let notice = parse_notice(response.status().as_u16(), response.headers());
    if notice.is_leaving || notice.pause.is_some() || notice.limit != StatedLimit::Absent {
        on_notice(notice);
    }
    match response.status() {
        StatusCode::OK => {}
        _ if notice.pause.is_some() => return Err((Answer::Paused, "paused")),
        status if status.as_u16() == kept::TOO_MANY_CALLS => {
            return Err((Answer::Refused, "refused"));
        }
        _ => return Err((Answer::Failed, "status")),
    }
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|_| (Answer::Failed, "too-long"))?;
    kept::parse(call, &body).map_err(|_| (Answer::Failed, "malformed"))
}
