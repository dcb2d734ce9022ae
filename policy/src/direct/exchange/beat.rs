//! Heartbeats: what they state, and what is taken from those of others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{AgedCrashRow, Beat, Echo, LoadRow, Message, Place, TeamRow, Trouble};

use super::{
    Exchange, LocalState, MAX_ROUTERS, Member, Moment, Outgoing, Peer, Received, RejectReason,
};
use crate::direct::confirmation::Uptime;
use crate::direct::target_table::{LoadReport, PeerLoadReport};

/// The minimum time between two replies to a router that does not know the fleet.
const MIN_REPLY_INTERVAL: Duration = Duration::from_millis(500);

/// The silence of a router after which it may have missed news, which is repeated for about
/// as long. Routers that are no partners are heard once a second.
const MISSED_NEWS_SILENCE: Duration = Duration::from_millis(1_200);

/// The number of heartbeats whose send times are kept for matching echoes.
const MAX_SENT_BEATS: usize = 64;

/// The number of addresses in a heartbeat; successive heartbeats carry successive ones.
const BEAT_ADDRESSES: usize = 16;

impl Exchange {
    pub(super) fn receive_beat(&mut self, mut beat: Beat, now: Instant) -> Received {
        let from = beat.from;
        if from == self.own.address {
            return Received::rejected(RejectReason::Own);
        }
        let previous = self.peers.remove(&from);
        let latest = previous.as_ref().map(|it| (it.beat.life, it.beat.number));
        if latest.is_some_and(|latest| (beat.life, beat.number) <= latest) {
            self.peers.extend(previous.map(|peer| (from, peer)));
            return Received::rejected(RejectReason::Old);
        }
        // A later incarnation knows nothing of what the former one was sent.
        let previous = previous.filter(|it| it.beat.life == beat.life);
        let silence = previous
            .as_ref()
            .map(|it| now.saturating_duration_since(it.heard_at));
        if silence.is_none_or(|silence| silence >= MISSED_NEWS_SILENCE) {
            self.parts.resend();
            self.leaving.resend();
            self.crashes.tell();
            self.request_runs.resend(|_| true);
        }
        let reads = beat.confirmed.map(u64::from).map(Duration::from_millis);
        let reads = !beat.leaving && reads.is_some_and(|age| age < self.lost_age);
        let is_known = self.members.get(&from).is_some_and(|it| it.is_reachable);
        self.see(
            from,
            Member {
                centre: beat.place.map(|place| place.centre),
                seen_at: now,
                is_reachable: true,
                is_steady: !beat.leaving && beat.place.is_none_or(|place| place.is_settled),
                reads,
            },
        );
        let crashes = self.crashes.add(beat.crashes.drain(..), now).into_iter();
        let confirmation = self.date_confirmation(&beat);
        for address in beat.peers.drain(..) {
            let has_room = self.contacts.len() < MAX_ROUTERS;
            if address != self.own.address && has_room && !self.members.contains_key(&address) {
                self.contacts.entry(address).or_insert(now);
            }
        }
        let loads = PeerLoadReport {
            received_at: now,
            reports: beat
                .loads
                .drain(..)
                .map(|row| LoadReport::from(&row))
                .collect(),
        };
        let mut peer = previous.unwrap_or_else(|| Peer {
            beat: beat.clone(),
            heard_at: now,
            loads: loads.clone(),
            trouble: None,
            summary: None,
            partial: None,
            replied_at: None,
            summarized_at: None,
            listed: None,
            is_told_kept: false,
        });
        let knows_fleet = peer.listed.is_some()
            || beat.place.is_none_or(|place| place.relay != from)
            || self.topology.is_relay(from);
        let may_reply = peer
            .replied_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_REPLY_INTERVAL);
        let wants_reply = may_reply && (!is_known || !knows_fleet);
        if wants_reply {
            peer.replied_at = Some(now);
        }
        (peer.beat, peer.heard_at, peer.loads) = (beat, now, loads);
        self.peers.insert(from, peer);
        Received {
            confirmation,
            crashes: crashes.map(AgedCrashRow::from).collect(),
            wants_reply,
            is_new: !is_known,
            ..Received::default()
        }
    }

    /// Returns the digest of the sender's settings and when they were current, if its
    /// echo shows that.
    pub(super) fn date_confirmation(&self, beat: &Beat) -> Option<(u64, Uptime)> {
        let echo = beat.echo.filter(|echo| echo.life == self.own.incarnation)?;
        let age = Duration::from_millis(beat.confirmed?.into());
        let mut sent = self.sent_beats.iter();
        let (_, at) = sent.find(|(number, _)| *number == echo.number)?;
        Some((beat.digest, Uptime(at.0.checked_sub(age)?)))
    }

    pub(super) fn beats_to(
        &mut self,
        to: &[SocketAddr],
        local: &LocalState<'_>,
        now: Moment,
    ) -> Vec<Outgoing> {
        self.sequence += 1;
        // The time is read before the heartbeat is sent, so that an echo never confirms
        // a later time than the send time.
        self.sent_beats.push_back((self.sequence, now.uptime));
        if self.sent_beats.len() > MAX_SENT_BEATS {
            self.sent_beats.pop_front();
        }
        let beat = self.build_beat(local, now.mono);
        let trouble = (!local.problem_targets.is_empty()).then(|| {
            Message::Trouble(Trouble {
                from: self.own.address,
                life: self.own.incarnation,
                number: self.sequence,
                targets: local.problem_targets.to_vec(),
            })
        });
        let leaving = self.leaving.pending();
        let leaving = (!leaving.is_empty()).then_some(Message::Leaving(leaving));
        let parts = self.parts.pending(now.uptime.0).map(Message::Parts);
        let crashes = self.crashes.told(now.mono).map(Message::Crashes);
        let runs = self.request_runs.pending_requests(now.uptime.0);
        let runs = runs.map(Message::RequestRuns);
        let has_group = self.has_group(now.mono);
        let mut sent = Vec::new();
        for &to in to {
            let before = trouble.iter().chain(&leaving).chain(&parts);
            let before = before.chain(&crashes).chain(&runs).cloned();
            sent.extend(before.map(|message| Outgoing { to, message }));
            let mut beat = beat.clone();
            let peer = self.peers.get(&to);
            beat.echo = peer.map(|peer| Echo {
                life: peer.beat.life,
                number: peer.beat.number,
            });
            // A summary contains the loads of its sender.
            let gets_summary = has_group && peer.is_some_and(|it| it.beat.place.is_some());
            if gets_summary {
                (beat.loads, beat.teams) = (Vec::new(), Vec::new());
            }
            let message = Message::Beat(Box::new(beat));
            sent.push(Outgoing { to, message });
        }
        sent
    }

    pub(super) fn build_beat(&self, local: &LocalState<'_>, now: Instant) -> Beat {
        let teams = local.teams.iter().map(|(team, rate)| TeamRow {
            team: *team,
            asked: rate.requested as u32,
            placed: rate.admitted as u32,
        });
        Beat {
            echo: None,
            digest: local.digest,
            // Rounded up, so that the confirmation never appears more recent than it is.
            confirmed: local.confirmation_age.map(|age| age.as_millis() as u32 + 1),
            from: self.own.address,
            life: self.own.incarnation,
            number: self.sequence,
            leaving: local.is_stopping,
            peers: self.sample_peers(),
            loads: local.loads.iter().map(LoadRow::from).collect(),
            teams: teams.collect(),
            crashes: self.crashes.pending(),
            place: Some(Place {
                centre: self.own.centre,
                relay: self.relay.unwrap_or(self.own.address),
                is_settled: self.is_settled(now),
            }),
            readiness: Some(local.readiness),
        }
    }

    /// Returns some of the reachable routers, different ones in successive heartbeats.
    pub(super) fn sample_peers(&self) -> Vec<SocketAddr> {
        let reachable: Vec<SocketAddr> = self.reachable().collect();
        let first = match reachable.len() {
            0 => return reachable,
            count => self.sequence as usize * BEAT_ADDRESSES % count,
        };
        let rotated = reachable.iter().cycle().skip(first);
        rotated
            .take(reachable.len().min(BEAT_ADDRESSES))
            .copied()
            .collect()
    }
}
