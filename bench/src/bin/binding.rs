//! Measures idle slots, cold targets and control messages on a simulated fleet.

use std::pin::Pin;
use std::time::Duration;

use entity::{Class, Cost, DocumentHash, Name, Revision};
use filetests::fleet::{Fleet, FleetSettings, TeamLoad};
use policy::fair::{Fifo, RouterQuota, SharingPolicy};
use policy::ledger::{Extrapolation, Ledger, LedgerSettings};
use policy::message::{
    Bid, BidUpdate, Endpoint, LedgerDelta, Left, Load, Pick, Pull, Pulled, TeamTotal,
};
use rules::Window;
use serde::Serialize;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Request, Response};
use wire::{Envelope, Message};

/// The TCP and IPv4 headers of a packet without options, in bytes.
const PACKET_BYTES: usize = 40;

/// The length prefix of a control service frame, in bytes.
const FRAME_BYTES: usize = 4;

const SEEDS: core::ops::RangeInclusive<u64> = 1..=4;

fn team(routers: core::ops::Range<usize>, open: usize) -> TeamLoad {
    TeamLoad {
        weight: 1,
        median: 60.0,
        sigma: 1.0,
        error: 10.0,
        routers,
        open,
    }
}

fn settings(seed: u64, routers: usize, remote_delay: Duration) -> FleetSettings {
    FleetSettings {
        seed,
        routers,
        agents: 10,
        centres: 4,
        window: Window { cold: 4, max: 4 },
        limit: 4,
        local_delay: Duration::from_micros(200),
        remote_delay,
        token_time: Duration::from_millis(10),
        gossip: Some(Duration::from_millis(250)),
        loss: 0.0,
        duplication: 0.0,
        timeout: Duration::from_secs(600),
        teams: vec![team(0..1, 40); 5],
    }
}

fn ledger(settings: &FleetSettings, endpoint: Endpoint) -> Ledger {
    Ledger::new(LedgerSettings {
        agent: endpoint.id,
        incarnation: endpoint.incarnation,
        gossip: settings.gossip,
        extrapolation: Extrapolation::default(),
    })
}

fn idle<S: SharingPolicy>(
    name: &str,
    remote_delay: Duration,
    share: fn(&FleetSettings, Endpoint) -> S,
) {
    let mut parts = Vec::new();
    for seed in SEEDS {
        let mut fleet = Fleet::new(settings(seed, 4, remote_delay), share);
        fleet.start_load();
        fleet.run_until(Duration::from_secs(10));
        let before = fleet.counts.clone();
        fleet.run_until(Duration::from_secs(70));
        let idle = fleet.counts.idle - before.idle;
        let busy = fleet.counts.busy - before.busy;
        parts.push(100.0 * idle.as_secs_f64() / busy.as_secs_f64());
    }
    println!("idle, {name}, {remote_delay:?} between data centres: {parts:.3?} %");
}

fn cold() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(
            FleetSettings {
                window: Window { cold: 1, max: 4 },
                teams: vec![team(0..350, 350); 3],
                ..settings(seed, 350, Duration::from_micros(500))
            },
            ledger,
        );
        fleet.start_load();
        fleet.run_until(Duration::from_secs(10));
        fleet.restart(2, false);
        fleet.restart(5, true);
        fleet.run_until(Duration::from_secs(40));
        let counts = &fleet.counts;
        println!(
            "cold, 350 routers, seed {seed}: most over the limit {}, rejected {}, answered {}",
            counts.overload, counts.rejected, counts.answered
        );
    }
}

fn sizes() {
    let endpoint = |name: &str| Endpoint {
        id: Name::new(name).tag().into(),
        incarnation: entity::Incarnation(1_800_000_000_000_000),
        control: ([10, 0, 0, 1], 7001).into(),
    };
    let (agent, router) = (endpoint("agent"), endpoint("router"));
    let tag = Name::new("team").tag();
    let bid = Bid {
        team: tag,
        class: Class::Standard,
        waiting: 12,
        oldest: Duration::from_millis(700),
        hint: Cost(100),
    };
    let total = TeamTotal {
        team: tag,
        service: Cost(1_000_000),
        pending: Cost(300),
        base: Cost(500_000),
    };
    let messages = [
        Message::Bids(BidUpdate {
            router,
            sequence: 1_000,
            pool: tag,
            full: false,
            bids: vec![bid.clone()],
        }),
        Message::Bids(BidUpdate {
            router,
            sequence: 1_000,
            pool: tag,
            full: true,
            bids: vec![bid; 100],
        }),
        Message::Pull(Pull {
            agent,
            sequence: 1_000,
            picks: vec![Pick {
                team: tag,
                class: Class::Standard,
                count: 1,
            }],
        }),
        Message::Pulled(Pulled {
            router: router.id,
            sequence: 1_000,
            counts: vec![1],
            left: vec![Left {
                waiting: 11,
                oldest: 700,
            }],
        }),
        Message::Ledger(LedgerDelta {
            agent: agent.id,
            incarnation: agent.incarnation,
            sequence: 1_000,
            totals: vec![total; 15],
        }),
    ];
    let seal = |messages: &[Message]| {
        let hash = DocumentHash(u64::MAX);
        Envelope::new(agent, Revision(9), hash, messages).encode()
    };
    for message in &messages {
        let text = format!("{message:?}");
        let kind = text.split('(').next().unwrap_or_default();
        let items = match message {
            Message::Bids(update) => update.bids.len(),
            Message::Pull(pull) => pull.picks.len(),
            Message::Pulled(pulled) => pulled.counts.len(),
            Message::Ledger(delta) => delta.totals.len(),
            _ => 0,
        };
        let size = seal(core::slice::from_ref(message)).len();
        println!("size, {kind} with {items} items: envelope with one message {size} bytes");
    }
    let [bids, _, pull, pulled, ledger] = messages;
    let load = Message::Load(Load::default());
    let exchange = |name: &str, question: &[Message], answer: &[Message]| {
        let bytes = exchange_bytes(seal(question), seal(answer));
        println!("wire, {name}: {bytes} bytes both ways");
    };
    exchange("pull", &[pull], &[pulled]);
    exchange("bids", &[bids], &[load]);
    exchange("ledger", &[ledger], &[]);
}

/// Returns the bytes of one exchange, with control service frames and one packet each way.
fn exchange_bytes(question: Vec<u8>, answer: Vec<u8>) -> usize {
    let request = ClientMessage::Request(Request {
        context: tarpc::context::current(),
        id: 1_000,
        message: Call::Exchange { envelope: question },
    });
    let response = Response {
        request_id: 1_000,
        message: Ok(Return::Exchange(answer)),
    };
    packed(&request) + packed(&response)
}

/// Returns the bytes of one frame in one packet.
fn packed<T: Serialize + Unpin>(message: &T) -> usize {
    let mut codec = Bincode::<(), T>::default();
    let bytes = Pin::new(&mut codec).serialize(message);
    PACKET_BYTES + FRAME_BYTES + bytes.expect("messages encode").len()
}

/// The wire layout of a call of the control service.
#[derive(Serialize)]
enum Call {
    Exchange { envelope: Vec<u8> },
}

/// The wire layout of its response.
#[derive(Serialize)]
enum Return {
    Exchange(Vec<u8>),
}

fn main() {
    for remote_delay in [500, 1_000, 30_000].map(Duration::from_micros) {
        idle("ledger", remote_delay, ledger);
        idle("fifo", remote_delay, |_, _| Fifo);
        idle("router quota", remote_delay, |_, _| RouterQuota::default());
    }
    cold();
    sizes();
}
