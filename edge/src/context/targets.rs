//! What requests and calls show of their targets, and what targets say of themselves.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use entity::Name;
use node::event::{self, Event};
use platform::response::ReportedLoad;
use policy::direct::slots::PlainResult;
use policy::direct::target_limit::{LimitChange, StatedLimit};
use policy::direct::target_notice::{CallNotice, TargetNotice};
use policy::direct::target_table::TargetEntryId;
use tokio::time::sleep;

use super::Context;
use crate::attempt::AttemptTimes;
use crate::request::CallerRequest;
use crate::target::BodyFraming;

/// The time from a broken attempt to the look at its target, in which the other connections
/// to a target that died are closed as well.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// The time between two lines on requests that full targets turned away.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl Context {
    /// Records how the body of a response ended; `partial` is the size in bytes of an
    /// incomplete event at its end.
    pub(crate) fn record_body_end(
        &self,
        request_id: &str,
        target_id: TargetEntryId,
        framing: BodyFraming,
        partial: usize,
    ) {
        self.metrics.record_body_end(framing, partial > 0);
        if framing == BodyFraming::Framed && partial == 0 {
            return;
        }
        let target_table = self.target_table.borrow();
        let fields: [event::Field<'_>; 4] = [
            ("request", &request_id),
            ("target", &target_table.target(target_id).name),
            ("framing", &framing),
            ("partial", &partial),
        ];
        event::log(Event::BodyEnded, &fields);
    }

    /// Records an attempt that broke while its target was processing it, and finds out
    /// whether the target is still there.
    pub(crate) fn record_broken_attempt(
        self: &Rc<Self>,
        target_id: TargetEntryId,
        request: &CallerRequest,
        times: AttemptTimes,
        now: Instant,
    ) {
        let target_table = self.target_table.borrow();
        let (target, address) = {
            let target = target_table.target(target_id);
            (target.tag, target.address)
        };
        drop(target_table);
        self.crashes.record_broken(target, request, times, now);
        if !self.crashes.begin_probe(target, now) {
            return;
        }
        let context = self.clone();
        actix_rt::spawn(async move {
            sleep(PROBE_DELAY).await;
            if context.connection_pool.probe(address).await.is_err() {
                context.record_unreachable(target_id, Instant::now());
            }
        });
    }

    /// Records that a target is unreachable, which recently broken attempts on it may
    /// have caused.
    pub(crate) fn record_unreachable(&self, target_id: TargetEntryId, now: Instant) {
        let mut target_table = self.target_table.borrow_mut();
        target_table
            .outlier_detector(target_id)
            .record_connect_failure(now);
        let target = target_table.target(target_id).tag;
        drop(target_table);
        self.crashes
            .record_unreachable(target, "self", &self.shared, now);
    }

    /// Records the connections to targets that ended unannounced.
    pub(super) fn apply_connection_ends(&self) {
        for end in self.connection_pool.take_ends() {
            let mut target_table = self.target_table.borrow_mut();
            for target_id in target_table.record_connection_end(end) {
                self.metrics
                    .record_incarnation("doubted", &end.cause.to_string());
                let gap = end.at.saturating_duration_since(end.since).as_millis();
                let fields: [event::Field<'_>; 3] = [
                    ("target", &target_table.target(target_id).name),
                    ("cause", &end.cause),
                    ("since_ms", &gap),
                ];
                event::log(Event::IncarnationDoubted, &fields);
            }
        }
    }

    /// Records a response, on a connection opened at `opened_at`, to a request sent at `sent_at`.
    pub(crate) fn record_response(
        &self,
        target_id: TargetEntryId,
        opened_at: Instant,
        sent_at: Instant,
    ) {
        let mut target_table = self.target_table.borrow_mut();
        let incarnation = target_table.incarnation(target_id);
        if let Some(doubted_at) = incarnation.record_response(opened_at, sent_at) {
            drop(target_table);
            self.log_confirmed(target_id, "response", doubted_at);
        }
    }

    /// Logs that a target has not started again, which became doubtful at `doubted_at`.
    pub(super) fn log_confirmed(
        &self,
        target_id: TargetEntryId,
        by: &'static str,
        doubted_at: Instant,
    ) {
        self.metrics.record_incarnation("confirmed", by);
        let age = doubted_at.elapsed().as_millis();
        let target_table = self.target_table.borrow();
        let fields: [event::Field<'_>; 3] = [
            ("target", &target_table.target(target_id).name),
            ("by", &by),
            ("age_ms", &age),
        ];
        event::log(Event::IncarnationConfirmed, &fields);
    }

    /// Records that a request ran to the marked end of its response.
    pub(crate) fn record_completed(&self, request: &CallerRequest, status: StatusCode) {
        let now = Instant::now();
        self.crashes
            .record_completed(request, status.is_success(), &self.shared, now);
    }

    /// Records what a target says of itself; `sent_at` is when the request was sent to which
    /// it responds, if that is known.
    pub(crate) fn record_notice(
        &self,
        target_id: TargetEntryId,
        notice: TargetNotice,
        sent_at: Option<Instant>,
        now: Instant,
    ) {
        if notice.is_leaving {
            self.record_leaving(target_id);
        }
        if let Some(pause) = notice.pause {
            self.record_pause(target_id, pause, now);
        }
        self.record_limit(target_id, notice.limit, sent_at, now);
    }

    /// Records that a target told this router that it is leaving.
    fn record_leaving(&self, target_id: TargetEntryId) {
        if self.target_table.borrow_mut().record_leaving(target_id) {
            let tag = self.target_table.borrow().target(target_id).tag;
            self.shared.add_local_leaving(tag);
            self.log_leaving(target_id, "self");
        }
    }

    /// Records that a target wants no requests for a while.
    fn record_pause(&self, target_id: TargetEntryId, pause: Duration, now: Instant) {
        self.metrics.record_pause();
        let mut target_table = self.target_table.borrow_mut();
        target_table.record_pause(target_id, pause, now);
        let millis = pause.as_millis();
        let fields: [event::Field<'_>; 2] = [
            ("target", &target_table.target(target_id).name),
            ("pause_ms", &millis),
        ];
        event::log(Event::TargetPaused, &fields);
    }

    fn record_limit(
        &self,
        target_id: TargetEntryId,
        stated: StatedLimit,
        sent_at: Option<Instant>,
        now: Instant,
    ) {
        let mut target_table = self.target_table.borrow_mut();
        if let Some(change) = target_table.record_limit(target_id, stated, sent_at, now) {
            self.log_limit(&target_table.target(target_id).name, change, "self");
        }
    }

    /// Applies what targets said in responses to calls of the control thread.
    pub(super) fn apply_call_notices(&self) {
        for CallNotice { target, notice, at } in self.shared.take_call_notices() {
            let target_id = self.target_table.borrow().target_of_tag(target);
            if let Some(target_id) = target_id {
                self.record_notice(target_id, notice, None, at);
            }
        }
    }

    /// Publishes the targets that are not called beside requests.
    pub(super) fn publish_withheld(&self, now: Instant) {
        let withheld = self.target_table.borrow().withheld(now);
        if withheld != **self.shared.withheld.load() {
            self.shared.withheld.store(Arc::new(withheld));
        }
    }

    /// Applies what peers report of limits of targets.
    pub(super) fn apply_peer_limits(&self, now: Instant) {
        let Some(reports) = self.peer_limits.take_if_new(&self.shared.peer_limits) else {
            return;
        };
        let mut target_table = self.target_table.borrow_mut();
        for (target_id, change) in target_table.set_peer_limits(&reports, now) {
            self.log_limit(&target_table.target(target_id).name, change, "peer");
        }
    }

    fn log_limit(&self, target: &Name, change: LimitChange, from: &'static str) {
        match change {
            LimitChange::Named(rate) => {
                self.metrics.record_limit("named", from);
                let rate = format!("{rate:.2}");
                let fields: [event::Field<'_>; 3] =
                    [("target", target), ("per_second", &rate), ("from", &from)];
                event::log(Event::TargetLimited, &fields);
            }
            LimitChange::Ended => {
                self.metrics.record_limit("ended", from);
                let fields: [event::Field<'_>; 2] = [("target", target), ("from", &from)];
                event::log(Event::TargetUnlimited, &fields);
            }
        }
    }

    pub(super) fn log_leaving(&self, target_id: TargetEntryId, from: &'static str) {
        self.metrics.record_leaving(from);
        let target_table = self.target_table.borrow();
        let fields: [event::Field<'_>; 2] = [
            ("target", &target_table.target(target_id).name),
            ("from", &from),
        ];
        event::log(Event::TargetSaidLeaving, &fields);
    }

    /// Records a complete response. With `routing.slot_counts`, a failure that a target
    /// without an engine states counts against it only if other targets fail less.
    pub(crate) fn record_answer(
        &self,
        target_id: TargetEntryId,
        succeeded: bool,
        is_plain: bool,
        now: Instant,
    ) {
        if !(is_plain && self.placement.get().uses_slots) {
            return self.record_result(target_id, succeeded, now);
        }
        let result = match succeeded {
            true => PlainResult::Answered,
            false => PlainResult::Failed,
        };
        let mut target_table = self.target_table.borrow_mut();
        target_table.record_plain_result(target_id, result, now);
    }

    /// Records what a response says of the slots of a target without an engine: the reported
    /// load, and the time since the request was sent if the target ran it. `met` holds that
    /// moment and the number of requests that routers had at the target.
    pub(crate) fn record_slots(
        &self,
        target_id: TargetEntryId,
        load: Option<ReportedLoad>,
        met: Option<(Instant, u32)>,
        now: Instant,
    ) {
        if !self.placement.get().uses_slots {
            return;
        }
        let mut target_table = self.target_table.borrow_mut();
        if let Some((sent_at, known)) = met {
            let slots = target_table.target(target_id).slots;
            let elapsed = now.saturating_duration_since(sent_at);
            let state = target_table.slot_state(target_id);
            state.record_time(elapsed, known, slots);
        }
        if let Some(load) = load {
            let reported = load.running.saturating_add(load.waiting);
            target_table.record_slot_report(target_id, reported, now);
        }
    }

    /// Records a request that a target turned away.
    pub(crate) fn record_turned_away(
        &self,
        target_id: TargetEntryId,
        is_plain: bool,
        load: Option<ReportedLoad>,
        now: Instant,
    ) {
        let uses_slots = is_plain && self.placement.get().uses_slots;
        let Some(load) = load.filter(|load| uses_slots && load.running >= load.slots) else {
            return self.record_result(target_id, false, now);
        };
        self.metrics.record_full_target();
        let mut target_table = self.target_table.borrow_mut();
        let reported = load.running.saturating_add(load.waiting);
        target_table.record_plain_result(target_id, PlainResult::Full { reported }, now);
        let turned_away = self.turned_away.get() + 1;
        let is_recent = |at| now.saturating_duration_since(at) < FULL_LOG_INTERVAL;
        if self.full_logged_at.get().is_some_and(is_recent) {
            self.turned_away.set(turned_away);
            return;
        }
        self.full_logged_at.set(Some(now));
        self.turned_away.set(0);
        let fields: [event::Field<'_>; 5] = [
            ("target", &target_table.target(target_id).name),
            ("count", &turned_away),
            ("running", &load.running),
            ("waiting", &load.waiting),
            ("slots", &load.slots),
        ];
        event::log(Event::TargetFull, &fields);
    }

    /// Records the result of an attempt for outlier detection.
    pub(crate) fn record_result(&self, target_id: TargetEntryId, good: bool, now: Instant) {
        let mut target_table = self.target_table.borrow_mut();
        if good {
            target_table.outlier_detector(target_id).record_success(now);
            return;
        }
        target_table.outlier_detector(target_id).record_failure(now);
    }
}
