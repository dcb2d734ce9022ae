//! The deduplication store, the homes of keys and the check before the send.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use entity::{AttemptId, Fingerprint, IdempotencyKey, Incarnation, Now, RequestId, Revision, Tag};
use knapweed_policy::home::{Bounds, Roster, RosterEntry, RosterLease, TicketIssuer};
use knapweed_policy::once::{
    DedupDecision, DedupSettings, DedupStore, MAX_SEND_DELAY, is_send_late,
};

const BOUNDS: Bounds = Bounds {
    skew: Duration::from_secs(2),
    lead: Duration::from_secs(300),
    lifetime: Duration::from_secs(3600),
};

/// One incarnation of agent 1, and a log of its decisions.
struct Harness {
    base: Now,
    store: DedupStore,
    lease: RosterLease,
    log: Vec<String>,
}

impl Harness {
    /// Creates an incarnation that starts at second 0, with a confirmed roster of `entries`.
    fn new(entries: Vec<RosterEntry>) -> Self {
        let wall = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mono = Instant::now();
        let base = Now { mono, wall };
        let mut harness = Self {
            base,
            store: new_store(wall, 7),
            lease: RosterLease::new(BOUNDS),
            log: vec![],
        };
        harness.configure(0, 1, entries);
        harness.confirm(0, 1);
        harness
    }

    /// The time `millis` after the start; a negative value moves only the wall clock back.
    fn at(&self, millis: i64) -> Now {
        let size = Duration::from_millis(millis.unsigned_abs());
        match millis < 0 {
            true => Now {
                wall: self.base.wall - size,
                ..self.base
            },
            false => self.base.after(size),
        }
    }

    /// A caller's key that was issued `millis` after the start.
    fn key(&self, millis: i64, serial: u64) -> IdempotencyKey {
        let since = self
            .at(millis)
            .wall
            .duration_since(UNIX_EPOCH)
            .expect("after the epoch");
        let stamp = since.as_millis() as u64;
        let (high, low) = (stamp >> 16, stamp & 0xffff);
        let text = format!("{high:08x}-{low:04x}-7000-8000-{serial:012x}");
        text.parse().expect("a UUID of version 7")
    }

    fn configure(&mut self, millis: i64, revision: u64, entries: Vec<RosterEntry>) {
        self.lease
            .configure(self.at(millis), Roster::new(Revision(revision), entries));
    }

    fn confirm(&mut self, millis: i64, revision: u64) {
        self.lease
            .confirm(Revision(revision), self.at(millis), Duration::ZERO);
    }

    fn offer(&mut self, label: &str, millis: i64, n: u128, key: IdempotencyKey, body: u128) {
        let now = self.at(millis);
        let decision = self
            .store
            .decide(now, &self.lease, attempt(n), key, Fingerprint(body));
        self.log.push(format!("{label}: {}", text(&decision)));
    }

    fn send(&mut self, label: &str, millis: i64, n: u128) {
        let now = self.at(millis);
        let result = self.store.begin_send(now, &self.lease, attempt(n));
        let result = result.map_or_else(|decision| text(&decision), |()| "ok".to_owned());
        self.log.push(format!("{label}: {result}"));
    }

    fn finish(&mut self, label: &str, n: u128, bytes: u64) {
        let dropped = self.store.record_answer(attempt(n), bytes);
        let dropped: Vec<_> = dropped.iter().map(|it| it.request.0).collect();
        self.log.push(format!("{label}: drops {dropped:?}"));
    }

    /// Offers a key, sends it and records its answer.
    fn run(&mut self, millis: i64, n: u128, key: IdempotencyKey, bytes: u64) {
        self.offer("offer", millis, n, key, n);
        self.send("send", millis, n);
        self.finish("end", n, bytes);
    }

    fn text(&self) -> String {
        self.log.join("\n")
    }
}

fn new_store(started: SystemTime, incarnation: u64) -> DedupStore {
    DedupStore::new(DedupSettings {
        agent: Tag(1),
        incarnation: Incarnation(incarnation),
        started,
        bounds: BOUNDS,
        max_keys: 3,
        max_bytes: 100,
        max_send_delay: Duration::from_millis(500),
    })
}

fn attempt(n: u128) -> AttemptId {
    AttemptId {
        request: RequestId(n),
        number: 0,
    }
}

fn entry(agent: u64) -> RosterEntry {
    RosterEntry {
        agent: Tag(agent),
        from: None,
        until: None,
    }
}

fn text(decision: &DedupDecision) -> String {
    match decision {
        DedupDecision::Start => "start".to_owned(),
        DedupDecision::Follow(it) => format!("follow {}", it.request.0),
        DedupDecision::Replay(it) => format!("replay {}", it.request.0),
        DedupDecision::Refuse { refusal, .. } => {
            format!("not run, {}, {:?}", refusal.reason, refusal.retry)
        }
        DedupDecision::Unknown(refusal) => {
            format!("unknown, {}, {:?}", refusal.reason, refusal.retry)
        }
    }
}

#[test]
fn repeated_offers_share_one_run() {
    let mut harness = Harness::new(vec![entry(1)]);
    let key = harness.key(10_000, 1);
    harness.offer("first", 10_000, 1, key, 1);
    harness.offer("same instant, other router", 10_000, 2, key, 1);
    harness.send("send", 10_001, 1);
    harness.send("send twice", 10_001, 1);
    harness.offer("while it runs", 10_500, 3, key, 1);
    harness.offer("other body", 10_500, 4, key, 2);
    harness.finish("end", 1, 40);
    harness.offer("answer was lost", 11_000, 5, key, 1);
    harness.offer("last moment", 3_609_999, 6, key, 1);
    harness.offer("expired", 3_610_000, 7, key, 1);
    let dropped = harness.store.expire(harness.at(3_610_000)).len();
    harness.log.push(format!(
        "expiry drops {dropped}, keeps {}",
        harness.store.len()
    ));
    harness.offer("reused after expiry", 3_620_000, 8, key, 1);
    harness.offer("clock stepped back", 20_000, 9, key, 1);
    insta::assert_snapshot!(harness.text());
}

#[test]
fn keys_with_lost_or_evicted_answers_never_run_again() {
    let mut harness = Harness::new(vec![entry(1)]);
    let keys = [1, 2, 3].map(|n| harness.key(10_000, n));
    harness.run(10_000, 1, keys[0], 60);
    harness.run(10_000, 2, keys[1], 60);
    harness.offer("answer evicted", 10_000, 11, keys[0], 1);
    harness.offer("answer stored", 10_000, 12, keys[1], 2);
    harness.offer("third", 10_000, 3, keys[2], 3);
    harness.send("send", 10_000, 3);
    harness.store.record_loss(attempt(3));
    harness.finish("end after loss", 3, 10);
    harness.offer("lost", 10_000, 13, keys[2], 3);
    harness.offer("memory full", 10_000, 4, harness.key(10_000, 4), 4);
    insta::assert_snapshot!(harness.text());
}

#[test]
fn a_pause_before_the_send_frees_the_key() {
    let mut harness = Harness::new(vec![entry(1)]);
    let key = harness.key(10_000, 1);
    harness.offer("first", 10_000, 1, key, 1);
    harness.send("after a pause", 10_501, 1);
    harness.offer("again", 10_600, 2, key, 1);
    let suspended = Now {
        wall: harness.at(11_200).wall,
        ..harness.at(10_600)
    };
    let result = harness
        .store
        .begin_send(suspended, &harness.lease, attempt(2));
    let suspended = text(&result.expect_err("the wall clock shows the pause"));
    harness
        .log
        .push(format!("monotonic clock stood still: {suspended}"));
    harness.offer("without a slot", 11_200, 4, key, 1);
    harness.store.release(attempt(4));
    harness.offer("after release", 11_200, 3, key, 1);
    harness.configure(11_300, 2, vec![entry(1), entry(2)]);
    harness.confirm(11_300, 2);
    harness.send("home not confirmed", 11_400, 3);
    insta::assert_snapshot!(harness.text());
}

#[test]
fn a_new_incarnation_starts_only_the_keys_that_it_covers() {
    let mut harness = Harness::new(vec![entry(1)]);
    let mut issuer = TicketIssuer::new(BOUNDS.lifetime, 5);
    let mut ticket = |harness: &Harness, millis, agent, incarnation| {
        IdempotencyKey::Ticket(issuer.issue(
            harness.at(millis),
            Tag(agent),
            Incarnation(incarnation),
        ))
    };
    harness.offer("caller, before start", 5_000, 1, harness.key(-1, 1), 1);
    harness.offer(
        "caller, two skews after start",
        5_000,
        2,
        harness.key(4_000, 1),
        1,
    );
    harness.offer("caller, later", 5_000, 3, harness.key(4_001, 1), 1);
    harness.offer(
        "ticket of the earlier incarnation",
        5_000,
        4,
        ticket(&harness, 1_000, 1, 6),
        1,
    );
    harness.offer(
        "ticket of this incarnation",
        5_000,
        5,
        ticket(&harness, 1_000, 1, 7),
        1,
    );
    harness.offer(
        "ticket of another agent",
        5_000,
        6,
        ticket(&harness, 1_000, 2, 7),
        1,
    );
    harness.offer("skew at its bound", 5_000, 7, harness.key(7_000, 2), 1);
    harness.offer("skew past its bound", 5_000, 8, harness.key(7_001, 3), 1);
    harness.offer(
        "skew far past its bound",
        5_000,
        9,
        harness.key(99_000, 4),
        1,
    );
    insta::assert_snapshot!(harness.text());
}

#[test]
fn an_unreachable_configuration_service_stops_caller_keys_but_not_tickets() {
    let mut harness = Harness::new(vec![entry(1)]);
    let mut issuer = TicketIssuer::new(BOUNDS.lifetime, 5);
    harness.offer("last confirmed", 297_999, 1, harness.key(297_999, 1), 1);
    harness.offer("first unconfirmed", 298_000, 2, harness.key(298_000, 2), 1);
    let ticket = issuer.issue(harness.at(400_000), Tag(1), Incarnation(7));
    harness.offer("ticket", 400_000, 3, IdempotencyKey::Ticket(ticket), 1);
    harness
        .lease
        .confirm(Revision(1), harness.at(400_000), Duration::from_secs(60));
    harness.offer(
        "relayed confirmation",
        400_000,
        4,
        harness.key(400_000, 3),
        1,
    );
    insta::assert_snapshot!(harness.text());
}

#[test]
fn a_roster_change_with_lead_needs_no_hold() {
    let mut harness = Harness::new(vec![entry(1), entry(2)]);
    let change_time = harness.at(400_000).wall;
    let leaving = RosterEntry {
        until: Some(change_time),
        ..entry(1)
    };
    let joining = RosterEntry {
        from: Some(change_time),
        ..entry(3)
    };
    harness.configure(50_000, 2, vec![leaving, entry(2), joining]);
    harness
        .log
        .push(format!("hold with lead: {:?}", harness.lease.hold()));
    let moved = (1..=1000).filter(|&n| {
        let key = harness.key(399_999, n);
        let before = Roster::new(Revision(1), vec![entry(1), entry(2)]).home(&key);
        harness.lease.roster().home(&key) != before
    });
    harness
        .log
        .push(format!("issued keys that move: {}", moved.count()));
    let mut counts = [0; 4];
    for n in 1..=1000 {
        let home = harness
            .lease
            .roster()
            .home(&harness.key(400_000, n))
            .expect("a home");
        counts[home.0 as usize] += 1;
    }
    harness
        .log
        .push(format!("homes of 1000 later keys: {counts:?}"));
    harness.configure(60_000, 3, vec![entry(2), joining]);
    let after_removal = hold_text(&harness);
    harness
        .log
        .push(format!("hold after removal: {after_removal}"));
    let closing = RosterEntry {
        until: Some(harness.at(650_000).wall),
        ..entry(2)
    };
    harness.configure(600_000, 4, vec![closing, joining]);
    let after_second_change = hold_text(&harness);
    harness
        .log
        .push(format!("hold after a second change: {after_second_change}"));
    insta::assert_snapshot!(harness.text());
}

fn hold_text(harness: &Harness) -> String {
    let hold = harness.lease.hold().expect("the change has no lead");
    let from = hold
        .from
        .duration_since(UNIX_EPOCH)
        .expect("after the epoch");
    let until = hold
        .until
        .duration_since(harness.base.wall)
        .expect("later than the start");
    format!("from epoch + {from:?}, until start + {until:?}")
}

#[test]
fn an_attempt_is_late_by_whichever_clock_moved_further() {
    let wall = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let decided = Now {
        mono: Instant::now(),
        wall,
    };
    let limit = MAX_SEND_DELAY.as_secs();
    let moved = [(0, 0), (limit, limit), (limit + 1, 0), (0, limit + 1)];
    let late = moved.map(|(mono, wall)| {
        let now = Now {
            mono: decided.mono + Duration::from_secs(mono),
            wall: decided.wall + Duration::from_secs(wall),
        };
        is_send_late(decided, now)
    });
    assert_eq!(late, [false, false, true, true]);
    // A wall clock that was set back leaves the elapsed time at 0.
    let back = Now {
        mono: decided.mono,
        wall: decided.wall - Duration::from_secs(60),
    };
    assert!(!is_send_late(decided, back));
}
