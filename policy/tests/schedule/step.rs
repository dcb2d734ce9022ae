//! The steps of a schedule and the policies under test.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

pub(crate) const AGENTS: u64 = 3;
pub(crate) const ROUTERS: u64 = 2;
/// The maximum difference between two clocks of the fleet, in milliseconds.
pub(crate) const SKEW: u64 = 1000;
/// The lead time of a published roster change, in milliseconds.
pub(crate) const LEAD: u64 = 20_000;

/// The policy under test; all but the first two are deliberately broken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Policy {
    Sound,
    /// Roster changes are published without lead.
    SoundWithoutLead,
    /// The home is chosen among the agents that are connected.
    FailOver,
    /// Agents treat a confirmation of their roster as valid forever.
    IgnoreLead,
    /// A new incarnation claims to cover all keys and reuses the incarnation number of the last one.
    ForgetOnRestart,
    /// A new incarnation covers keys from one skew after its start instead of two.
    SingleSkew,
    /// Roster changes without lead cause no hold.
    IgnoreHold,
    /// Keys whose home is in doubt are reported as not run.
    RefuseUnconfirmed,
}

/// One step; indices are taken modulo the number of existing items.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Step {
    /// A caller issues a key; the caller's clock is off by this many milliseconds.
    IssueKey(i64),
    /// A router issues a ticket for the current incarnation of an agent.
    IssueTicket { router: u64, agent: u64 },
    /// A router offers a key to its home, with another body if `other_body`;
    /// `key` counts back from the newest key.
    Offer {
        key: u64,
        router: u64,
        other_body: bool,
    },
    /// A process checks immediately before the send whether it may still send an accepted
    /// attempt.
    BeginSend(u64),
    /// A checked attempt reaches the target, which may refuse to run it.
    Deliver { checked: u64, refused: bool },
    /// A run ends, with a whole answer unless `lost`.
    EndRun { run: u64, lost: bool },
    /// An agent restarts on a machine whose clock is off by `offset` milliseconds.
    Restart { agent: u64, offset: i64 },
    /// An agent loses its connections to the configuration service and its peers.
    Disconnect(u64),
    /// A disconnected agent connects again; a connected one gets and confirms the latest
    /// roster.
    SyncAgent(u64),
    /// A router gets the latest roster.
    SyncRouter(u64),
    /// The configuration service publishes that an agent joins or leaves the roster.
    Publish { agent: u64, joins: bool },
    /// Time passes, in milliseconds.
    Advance(u64),
}

/// Generates the steps of a schedule from a seed.
pub(crate) fn schedule(seed: u64, length: usize) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = |limit: u64| random.next_u64() % limit;
    let step = |_| match draw(22) {
        0 | 1 => Step::IssueKey(draw(6 * SKEW) as i64 - 3 * SKEW as i64),
        2 => Step::IssueTicket {
            router: draw(ROUTERS),
            agent: draw(AGENTS),
        },
        3..=8 => Step::Offer {
            key: draw(3),
            router: draw(ROUTERS),
            other_body: draw(12) == 0,
        },
        9 | 10 => Step::BeginSend(draw(4)),
        11 | 12 => Step::Deliver {
            checked: draw(4),
            refused: draw(6) == 0,
        },
        13 => Step::EndRun {
            run: draw(4),
            lost: draw(3) == 0,
        },
        14 => Step::Restart {
            agent: draw(AGENTS),
            offset: draw(SKEW + 1) as i64 - SKEW as i64 / 2,
        },
        15 => Step::Disconnect(draw(AGENTS)),
        16 | 17 => Step::SyncAgent(draw(AGENTS)),
        18 => Step::SyncRouter(draw(ROUTERS)),
        19 => Step::Publish {
            agent: draw(AGENTS),
            joins: draw(2) == 0,
        },
        _ => Step::Advance([1, 100, 400, 1500, 5000, LEAD][draw(6) as usize]),
    };
    (0..length).map(step).collect()
}
