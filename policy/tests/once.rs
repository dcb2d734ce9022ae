//! The at-most-once memory, the homes of keys and the hand-over check.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use entity::{AttemptId, Fingerprint, IdempotencyKey, Incarnation, Now, RequestId, Revision, Tag};
use knapweed_policy::home::{Bounds, Roster, Seat, TicketMint, Vouch};
use knapweed_policy::once::{HAND_OVER, OnceMemory, OnceSettings, OnceVerdict, is_late};

const BOUNDS: Bounds = Bounds {
    skew: Duration::from_secs(2),
    lead: Duration::from_secs(300),
    lifetime: Duration::from_secs(3600),
};

/// One life of agent 1, and what it answered.
struct Rig {
    base: Now,
    memory: OnceMemory,
    vouch: Vouch,
    log: Vec<String>,
}

impl Rig {
    /// A life that starts at second 0, with a confirmed roster of `seats`.
    fn new(seats: Vec<Seat>) -> Self {
        let wall = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mono = Instant::now();
        let base = Now { mono, wall };
        let mut rig = Self {
            base,
            memory: memory(wall, 7),
            vouch: Vouch::new(BOUNDS),
            log: vec![],
        };
        rig.configure(0, 1, seats);
        rig.confirm(0, 1);
        rig
    }

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

    fn configure(&mut self, millis: i64, revision: u64, seats: Vec<Seat>) {
        self.vouch
            .configure(self.at(millis), Roster::new(Revision(revision), seats));
    }

    fn confirm(&mut self, millis: i64, revision: u64) {
        self.vouch
            .confirm(Revision(revision), self.at(millis), Duration::ZERO);
    }

    fn offer(&mut self, label: &str, millis: i64, n: u128, key: IdempotencyKey, body: u128) {
        let now = self.at(millis);
        let verdict = self
            .memory
            .offered(now, &self.vouch, attempt(n), key, Fingerprint(body));
        self.log.push(format!("{label}: {}", text(&verdict)));
    }

    fn hand_over(&mut self, label: &str, millis: i64, n: u128) {
        let now = self.at(millis);
        let result = self.memory.may_hand_over(now, &self.vouch, attempt(n));
        let result = result.map_or_else(|verdict| text(&verdict), |()| "ok".to_owned());
        self.log.push(format!("{label}: {result}"));
    }

    fn finish(&mut self, label: &str, n: u128, bytes: u64) {
        let dropped = self.memory.ended(attempt(n), bytes);
        let dropped: Vec<_> = dropped.iter().map(|it| it.request.0).collect();
        self.log.push(format!("{label}: drops {dropped:?}"));
    }

    /// Offers and runs a key to its end.
    fn run(&mut self, millis: i64, n: u128, key: IdempotencyKey, bytes: u64) {
        self.offer("offer", millis, n, key, n);
        self.hand_over("hand-over", millis, n);
        self.finish("end", n, bytes);
    }

    fn text(&self) -> String {
        self.log.join("\n")
    }
}

fn memory(started: SystemTime, incarnation: u64) -> OnceMemory {
    OnceMemory::new(OnceSettings {
        agent: Tag(1),
        incarnation: Incarnation(incarnation),
        started,
        bounds: BOUNDS,
        max_keys: 3,
        max_bytes: 100,
        hand_over: Duration::from_millis(500),
    })
}

fn attempt(n: u128) -> AttemptId {
    AttemptId {
        request: RequestId(n),
        number: 0,
    }
}

fn seat(agent: u64) -> Seat {
    Seat {
        agent: Tag(agent),
        from: None,
        until: None,
    }
}

fn text(verdict: &OnceVerdict) -> String {
    match verdict {
        OnceVerdict::Start => "start".to_owned(),
        OnceVerdict::Follow(it) => format!("follow {}", it.request.0),
        OnceVerdict::Replay(it) => format!("replay {}", it.request.0),
        OnceVerdict::Refuse { refusal, .. } => {
            format!("not run, {}, {:?}", refusal.reason, refusal.retry)
        }
        OnceVerdict::Unknown(refusal) => {
            format!("unknown, {}, {:?}", refusal.reason, refusal.retry)
        }
    }
}

#[test]
fn repeats_share_one_run() {
    let mut rig = Rig::new(vec![seat(1)]);
    let key = rig.key(10_000, 1);
    rig.offer("first", 10_000, 1, key, 1);
    rig.offer("same instant, other router", 10_000, 2, key, 1);
    rig.hand_over("hand-over", 10_001, 1);
    rig.hand_over("hand-over twice", 10_001, 1);
    rig.offer("while it runs", 10_500, 3, key, 1);
    rig.offer("other body", 10_500, 4, key, 2);
    rig.finish("end", 1, 40);
    rig.offer("answer was lost", 11_000, 5, key, 1);
    rig.offer("last moment", 3_609_999, 6, key, 1);
    rig.offer("expired", 3_610_000, 7, key, 1);
    let dropped = rig.memory.tick(rig.at(3_610_000)).len();
    rig.log.push(format!(
        "expiry drops {dropped}, keeps {}",
        rig.memory.len()
    ));
    rig.offer("reused after expiry", 3_620_000, 8, key, 1);
    rig.offer("clock stepped back", 20_000, 9, key, 1);
    insta::assert_snapshot!(rig.text());
}

#[test]
fn lost_and_dropped_answers_never_run_again() {
    let mut rig = Rig::new(vec![seat(1)]);
    let keys = [1, 2, 3].map(|n| rig.key(10_000, n));
    rig.run(10_000, 1, keys[0], 60);
    rig.run(10_000, 2, keys[1], 60);
    rig.offer("dropped", 10_000, 11, keys[0], 1);
    rig.offer("held", 10_000, 12, keys[1], 2);
    rig.offer("third", 10_000, 3, keys[2], 3);
    rig.hand_over("hand-over", 10_000, 3);
    rig.memory.lost(attempt(3));
    rig.finish("end after loss", 3, 10);
    rig.offer("lost", 10_000, 13, keys[2], 3);
    rig.offer("memory full", 10_000, 4, rig.key(10_000, 4), 4);
    insta::assert_snapshot!(rig.text());
}

#[test]
fn pause_before_the_hand_over_frees_the_key() {
    let mut rig = Rig::new(vec![seat(1)]);
    let key = rig.key(10_000, 1);
    rig.offer("first", 10_000, 1, key, 1);
    rig.hand_over("woke late", 10_501, 1);
    rig.offer("again", 10_600, 2, key, 1);
    let suspended = Now {
        wall: rig.at(11_200).wall,
        ..rig.at(10_600)
    };
    let result = rig.memory.may_hand_over(suspended, &rig.vouch, attempt(2));
    let suspended = text(&result.expect_err("the wall clock shows the pause"));
    rig.log
        .push(format!("monotonic clock stood still: {suspended}"));
    rig.offer("without a slot", 11_200, 4, key, 1);
    rig.memory.release(attempt(4));
    rig.offer("after release", 11_200, 3, key, 1);
    rig.configure(11_300, 2, vec![seat(1), seat(2)]);
    rig.confirm(11_300, 2);
    rig.hand_over("home in doubt", 11_400, 3);
    insta::assert_snapshot!(rig.text());
}

#[test]
fn a_new_life_starts_only_what_it_covers() {
    let mut rig = Rig::new(vec![seat(1)]);
    let mut mint = TicketMint::new(BOUNDS.lifetime, 5);
    let mut ticket = |rig: &Rig, millis, agent, life| {
        IdempotencyKey::Ticket(mint.mint(rig.at(millis), Tag(agent), Incarnation(life)))
    };
    rig.offer("caller, before start", 5_000, 1, rig.key(-1, 1), 1);
    rig.offer(
        "caller, two skews after start",
        5_000,
        2,
        rig.key(4_000, 1),
        1,
    );
    rig.offer("caller, later", 5_000, 3, rig.key(4_001, 1), 1);
    rig.offer(
        "ticket of the earlier life",
        5_000,
        4,
        ticket(&rig, 1_000, 1, 6),
        1,
    );
    rig.offer(
        "ticket of this life",
        5_000,
        5,
        ticket(&rig, 1_000, 1, 7),
        1,
    );
    rig.offer(
        "ticket of another agent",
        5_000,
        6,
        ticket(&rig, 1_000, 2, 7),
        1,
    );
    rig.offer("skew at its bound", 5_000, 7, rig.key(7_000, 2), 1);
    rig.offer("skew past its bound", 5_000, 8, rig.key(7_001, 3), 1);
    rig.offer("skew far past its bound", 5_000, 9, rig.key(99_000, 4), 1);
    insta::assert_snapshot!(rig.text());
}

#[test]
fn a_silent_service_stops_caller_keys_but_not_tickets() {
    let mut rig = Rig::new(vec![seat(1)]);
    let mut mint = TicketMint::new(BOUNDS.lifetime, 5);
    rig.offer("last vouched", 297_999, 1, rig.key(297_999, 1), 1);
    rig.offer("first unvouched", 298_000, 2, rig.key(298_000, 2), 1);
    let ticket = mint.mint(rig.at(400_000), Tag(1), Incarnation(7));
    rig.offer("ticket", 400_000, 3, IdempotencyKey::Ticket(ticket), 1);
    rig.vouch
        .confirm(Revision(1), rig.at(400_000), Duration::from_secs(60));
    rig.offer("relayed confirmation", 400_000, 4, rig.key(400_000, 3), 1);
    insta::assert_snapshot!(rig.text());
}

#[test]
fn a_move_with_lead_needs_no_hold() {
    let mut rig = Rig::new(vec![seat(1), seat(2)]);
    let edge = rig.at(400_000).wall;
    let leaving = Seat {
        until: Some(edge),
        ..seat(1)
    };
    let joining = Seat {
        from: Some(edge),
        ..seat(3)
    };
    rig.configure(50_000, 2, vec![leaving, seat(2), joining]);
    rig.log
        .push(format!("hold with lead: {:?}", rig.vouch.hold()));
    let moved = (1..=1000).filter(|&n| {
        let key = rig.key(399_999, n);
        let before = Roster::new(Revision(1), vec![seat(1), seat(2)]).home(&key);
        rig.vouch.roster().home(&key) != before
    });
    rig.log
        .push(format!("issued keys that move: {}", moved.count()));
    let mut counts = [0; 4];
    for n in 1..=1000 {
        let home = rig
            .vouch
            .roster()
            .home(&rig.key(400_000, n))
            .expect("a home");
        counts[home.0 as usize] += 1;
    }
    rig.log
        .push(format!("homes of 1000 later keys: {counts:?}"));
    rig.configure(60_000, 3, vec![seat(2), joining]);
    let removal = hold_text(&rig);
    rig.log.push(format!("hold after removal: {removal}"));
    let closing = Seat {
        until: Some(rig.at(650_000).wall),
        ..seat(2)
    };
    rig.configure(600_000, 4, vec![closing, joining]);
    let both = hold_text(&rig);
    rig.log.push(format!("hold after a second change: {both}"));
    insta::assert_snapshot!(rig.text());
}

fn hold_text(rig: &Rig) -> String {
    let hold = rig.vouch.hold().expect("the change has no lead");
    let from = hold
        .from
        .duration_since(UNIX_EPOCH)
        .expect("after the epoch");
    let until = hold
        .until
        .duration_since(rig.base.wall)
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
    let limit = HAND_OVER.as_secs();
    let moved = [(0, 0), (limit, limit), (limit + 1, 0), (0, limit + 1)];
    let late = moved.map(|(mono, wall)| {
        let now = Now {
            mono: decided.mono + Duration::from_secs(mono),
            wall: decided.wall + Duration::from_secs(wall),
        };
        is_late(decided, now)
    });
    assert_eq!(late, [false, false, true, true]);
    // A wall clock that was set back must not make an attempt early.
    let back = Now {
        mono: decided.mono,
        wall: decided.wall - Duration::from_secs(60),
    };
    assert!(!is_late(decided, back));
}
