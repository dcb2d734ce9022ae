//! Exchange of probes, claims and broadcasts between processes.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{Now, ProcessId};

use super::message::{Claim, Confirmation, FleetMessage, Gossip, Health, Version};
use super::{Alarm, Fleet, FleetAction, START_PEERS};
use crate::member::MergeOutcome;
use crate::member::probe::{self, PROBE_PERIOD, RELAY_COUNT};
use crate::message::Endpoint;
use crate::revision::{ChunkOutcome, DocumentCompiler, OfferOutcome, Source};

/// The number of peers that urgent updates are pushed to.
const PUSH_FANOUT: usize = 3;

/// The minimum time between two such pushes of one process.
const PUSH_SPACING: Duration = Duration::from_millis(400);

/// The minimum time between two broadcast synchronisations started by one process.
const SYNC_SPACING: Duration = Duration::from_secs(5);

/// How long member tables may differ before members are requested page by page.
const MEMBER_DIGEST_GRACE: Duration = Duration::from_secs(6);

/// The minimum time between two page requests of one process.
const PAGE_REQUEST_SPACING: Duration = Duration::from_millis(2500);

/// The minimum time between two page answers of one process.
const PAGE_ANSWER_SPACING: Duration = Duration::from_secs(3);

/// The number of claims in one page, of about 40 bytes each.
const PAGE_CLAIMS: usize = 30;

/// The number of probe answers per period that carry claims.
///
/// This bounds the traffic of processes that are probed several times in one period.
const ACKS_WITH_CLAIMS: u32 = 2;

/// The maximum number of claims in one message that answers a join.
const MAX_STATE_CLAIMS: usize = 512;

/// The number of known peers that a starting process sends a join to in each period.
const JOIN_FANOUT: usize = 2;

impl<C: DocumentCompiler> Fleet<C> {
    /// Once per period, ends the previous probe and starts the next one.
    pub(super) fn run_probes(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        if now.mono < self.next_probe_at {
            self.request_relays(now, actions);
            return;
        }
        self.next_probe_at = now.mono + PROBE_PERIOD;
        self.acks_in_period = 0;
        if let Some(unanswered) = self.prober.take_unanswered() {
            let Endpoint {
                id, incarnation, ..
            } = unanswered.subject;
            if self.members.suspect(now.mono, id, incarnation) {
                self.members_changed = true;
                // Sends the suspicion to the suspect at once, so that it can refute sooner if it is
                // alive.
                let message = FleetMessage::Push(self.build_gossip(Some(id)));
                let to = unanswered.subject.control;
                actions.push(FleetAction::Send { to, message });
            }
        }
        self.members_changed |= self.members.expire(now.mono);
        self.broadcasts.expire(now.wall);
        self.update_read_reason(now);
        self.send_joins(actions);
        let pending = self.prober.start(now.mono, &self.members, &mut self.rng);
        if let Some(pending) = pending {
            let gossip = self.build_gossip(Some(pending.subject.id));
            let message = FleetMessage::Ping {
                sequence: pending.sequence,
                expect: pending.subject.id,
                gossip,
            };
            let to = pending.subject.control;
            actions.push(FleetAction::Send { to, message });
        }
    }

    /// Resets probe and silence timers after a pause of this process, so that peers are not
    /// suspected for answers that this process could not receive.
    pub(super) fn recover_from_pause(
        &mut self,
        now: Now,
        gap: Duration,
        actions: &mut Vec<FleetAction>,
    ) {
        self.prober.take_unanswered();
        self.members.restart_suspicions(now.mono);
        self.last_contact = self.last_contact.map(|_| now.mono);
        self.next_probe_at = now.mono;
        self.push_pending = true;
        actions.push(FleetAction::Alarm(Alarm::Paused { gap }));
    }

    /// Pushes pending urgent updates to a few random peers.
    pub(super) fn push_updates(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        if !self.push_pending || now.mono < self.next_push_at {
            return;
        }
        self.push_pending = false;
        self.next_push_at = now.mono + PUSH_SPACING;
        let peers = probe::choose_peers(&self.members, &mut self.rng, PUSH_FANOUT, None);
        for peer in peers {
            let message = FleetMessage::Push(self.build_gossip(None));
            let to = peer.control;
            actions.push(FleetAction::Send { to, message });
        }
    }

    /// Records that a message of a peer arrived.
    pub(super) fn record_contact(&mut self, now: Now, from: Endpoint) {
        if from.id == self.endpoint().id {
            return;
        }
        self.last_contact = Some(now.mono);
        self.members.record_contact(now.mono, from);
        if !self.ready {
            self.start_contacts.insert(from.id);
        }
    }

    /// Handles a message from a peer.
    pub(super) fn on_message(
        &mut self,
        now: Now,
        from: Endpoint,
        message: FleetMessage,
        actions: &mut Vec<FleetAction>,
    ) {
        self.record_contact(now, from);
        let to = from.control;
        match message {
            FleetMessage::Ping {
                sequence, gossip, ..
            } => {
                self.apply_gossip(now, from, gossip, actions);
                self.acks_in_period += 1;
                let gossip = match self.acks_in_period <= ACKS_WITH_CLAIMS {
                    true => self.build_gossip(Some(from.id)),
                    false => self.minimal_gossip(from.id),
                };
                let message = FleetMessage::Ack {
                    sequence,
                    confirmed: self.last_confirmation(now),
                    gossip,
                };
                actions.push(FleetAction::Send { to, message });
            }
            FleetMessage::Ack {
                sequence,
                confirmed,
                gossip,
            } => {
                self.on_ack(now, from, sequence, confirmed);
                if let Some((to, sequence)) = self.prober.take_relayed(now.mono, sequence) {
                    let claim = gossip.own;
                    let message = FleetMessage::Relayed { sequence, claim };
                    actions.push(FleetAction::Send { to, message });
                }
                self.apply_gossip(now, from, gossip, actions);
            }
            FleetMessage::Relay { sequence, subject } => {
                self.probe_for(now, to, sequence, subject, actions);
            }
            FleetMessage::Relayed { sequence, claim } => {
                self.prober.record_answer(sequence, claim.endpoint.id);
                self.merge_claim(now, &claim, actions);
            }
            FleetMessage::Push(gossip) => self.apply_gossip(now, from, gossip, actions),
            FleetMessage::State(mut gossip) => {
                // The next page request continues after the last claim, whichever peer answers it.
                self.page_cursor = gossip
                    .claims
                    .last()
                    .map_or(self.page_cursor, |claim| claim.endpoint.id);
                for claim in std::mem::take(&mut gossip.claims) {
                    let outcome = self.members.merge_without_spreading(now.mono, &claim);
                    self.apply_merge_outcome(&claim, outcome, actions);
                }
                self.apply_gossip(now, from, gossip, actions);
            }
            FleetMessage::Join(claim) => {
                self.merge_claim(now, &claim, actions);
                self.answer_join(from, actions);
            }
            FleetMessage::Page { after } => {
                // A process that was probed often has already sent enough in this period.
                if now.mono >= self.next_page_answer_at && self.acks_in_period <= ACKS_WITH_CLAIMS {
                    self.next_page_answer_at = now.mono + PAGE_ANSWER_SPACING;
                    let gossip = Gossip {
                        claims: self.members.page(after, PAGE_CLAIMS),
                        ..self.gossip_with_items(Vec::new())
                    };
                    let message = FleetMessage::State(gossip);
                    actions.push(FleetAction::Send { to, message });
                }
            }
            FleetMessage::Holding(held) => {
                let items = self.broadcasts.missing_from(&held);
                if !items.is_empty() {
                    let message = FleetMessage::Push(self.gossip_with_items(items));
                    actions.push(FleetAction::Send { to, message });
                }
            }
            FleetMessage::Fetch { version, offset } => {
                let chunk = self.revisions.read_chunk(version, offset);
                actions.extend(chunk.map(|message| FleetAction::Send { to, message }));
            }
            FleetMessage::Chunk {
                version,
                total,
                offset,
                bytes,
            } => {
                let outcome = self
                    .revisions
                    .receive_chunk(now.mono, version, total, offset, &bytes);
                self.on_chunk_outcome(now, to, version, outcome, actions);
            }
        }
    }

    fn on_chunk_outcome(
        &mut self,
        now: Now,
        from: SocketAddr,
        version: Version,
        outcome: ChunkOutcome,
        actions: &mut Vec<FleetAction>,
    ) {
        match outcome {
            ChunkOutcome::Ignored => {}
            ChunkOutcome::Next((to, message)) => actions.push(FleetAction::Send { to, message }),
            ChunkOutcome::Complete(text) => {
                let source = Source::Peer(from);
                let outcome = self
                    .revisions
                    .offer(&self.compiler, &text, source, Some(version));
                if outcome == OfferOutcome::Corrupt {
                    actions.push(FleetAction::Alarm(Alarm::Corrupt { version }));
                }
                self.report_offer(now, outcome, source, actions);
            }
        }
    }

    fn on_ack(&mut self, now: Now, from: Endpoint, sequence: u64, confirmed: Option<Confirmation>) {
        let subject = self.prober.pending().map(|pending| pending.subject);
        let Some(sent) = self.prober.record_answer(sequence, from.id) else {
            return;
        };
        match subject {
            // Another process uses the address, so the probed one is not running there.
            Some(subject) if subject.id != from.id => {
                self.prober.take_unanswered();
                let Endpoint {
                    id, incarnation, ..
                } = subject;
                self.members_changed |= self.members.suspect(now.mono, id, incarnation);
            }
            _ => {}
        }
        // If the service had nothing newer than an older version, it had nothing newer than the
        // version in force either.
        let known = confirmed.filter(|confirmed| confirmed.version <= self.version());
        // The age is subtracted from the time when the probe was sent, so a late answer never
        // overstates freshness.
        let at = known.and_then(|confirmed| sent.checked_sub(confirmed.age));
        if let Some(at) = at {
            self.record_confirmation(now, at);
        }
    }

    fn apply_gossip(
        &mut self,
        now: Now,
        from: Endpoint,
        gossip: Gossip,
        actions: &mut Vec<FleetAction>,
    ) {
        self.merge_claim(now, &gossip.own, actions);
        for claim in &gossip.claims {
            self.merge_claim(now, claim, actions);
        }
        for item in gossip.items {
            if self.broadcasts.merge(now.wall, item.clone()) {
                self.push_pending = true;
                actions.push(FleetAction::Deliver(item));
            }
        }
        self.compare_member_digests(now, from, gossip.roster, actions);
        let differs = gossip.digest != self.broadcasts.digest();
        if differs && now.mono >= self.next_sync_at {
            self.next_sync_at = now.mono + SYNC_SPACING;
            let message = FleetMessage::Holding(self.broadcasts.held_versions());
            let to = from.control;
            actions.push(FleetAction::Send { to, message });
        }
    }

    /// Requests the next page of members if the tables still differ after `MEMBER_DIGEST_GRACE`,
    /// when piggybacked claims alone have not made them equal.
    fn compare_member_digests(
        &mut self,
        now: Now,
        from: Endpoint,
        peer_digest: u64,
        actions: &mut Vec<FleetAction>,
    ) {
        if peer_digest == self.members.digest() {
            self.digest_differs_since = None;
            return;
        }
        let since = *self.digest_differs_since.get_or_insert(now.mono);
        let within_grace = now.mono.saturating_duration_since(since) < MEMBER_DIGEST_GRACE;
        if within_grace || now.mono < self.next_page_request_at {
            return;
        }
        self.next_page_request_at = now.mono + PAGE_REQUEST_SPACING;
        let message = FleetMessage::Page {
            after: self.page_cursor,
        };
        let to = from.control;
        actions.push(FleetAction::Send { to, message });
    }

    fn merge_claim(&mut self, now: Now, claim: &Claim, actions: &mut Vec<FleetAction>) {
        let outcome = self.members.merge(now.mono, claim);
        self.apply_merge_outcome(claim, outcome, actions);
    }

    fn apply_merge_outcome(
        &mut self,
        claim: &Claim,
        outcome: MergeOutcome,
        actions: &mut Vec<FleetAction>,
    ) {
        match outcome {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Changed => self.members_changed = true,
            MergeOutcome::Leaving => {
                self.members_changed = true;
                self.push_pending = true;
            }
            MergeOutcome::Refute => {
                self.members.refute(claim);
                // Peers that already consider this process dead need no urgent refutation.
                self.push_pending |= claim.health != Health::Dead;
                if claim.health > Health::Alive {
                    actions.push(FleetAction::Alarm(Alarm::Suspected));
                }
            }
            MergeOutcome::Superseded(incarnation) if self.ready => {
                if self.superseded_by < Some(incarnation) {
                    self.superseded_by = Some(incarnation);
                    let alarm = Alarm::Superseded { incarnation };
                    actions.push(FleetAction::Alarm(alarm));
                }
            }
            MergeOutcome::Superseded(incarnation) => {
                self.members.raise_incarnation(incarnation);
                let incarnation = self.endpoint().incarnation;
                actions.push(FleetAction::Incarnation(incarnation));
            }
        }
    }

    /// Sends joins to seeds and known peers until enough peers have answered.
    fn send_joins(&mut self, actions: &mut Vec<FleetAction>) {
        if self.ready || self.start_contacts.len() >= START_PEERS {
            return;
        }
        let peers = probe::choose_peers(&self.members, &mut self.rng, JOIN_FANOUT, None);
        let peers = peers.iter().map(|peer| peer.control);
        let own = self.members.own();
        for to in self.seeds.iter().copied().chain(peers) {
            if to != own.endpoint.control {
                let message = FleetMessage::Join(own);
                actions.push(FleetAction::Send { to, message });
            }
        }
    }

    fn answer_join(&mut self, from: Endpoint, actions: &mut Vec<FleetAction>) {
        let known = self.members.iter().map(|member| member.claim);
        let known = known.filter(|claim| claim.health != Health::Unknown);
        let claims: Vec<_> = known.collect();
        let to = from.control;
        let items = self.broadcasts.missing_from(&[]);
        let first = Gossip {
            claims: claims.iter().take(MAX_STATE_CLAIMS).copied().collect(),
            ..self.gossip_with_items(items)
        };
        let message = FleetMessage::State(first);
        actions.push(FleetAction::Send { to, message });
        for chunk in claims.chunks(MAX_STATE_CLAIMS).skip(1) {
            let gossip = Gossip {
                claims: chunk.to_vec(),
                ..self.gossip_with_items(Vec::new())
            };
            let message = FleetMessage::State(gossip);
            actions.push(FleetAction::Send { to, message });
        }
    }

    fn request_relays(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let Some(pending) = self.prober.take_overdue(now.mono) else {
            return;
        };
        let subject = pending.subject;
        let except = Some(subject.id);
        let relays = probe::choose_peers(&self.members, &mut self.rng, RELAY_COUNT, except);
        for relay in relays {
            let message = FleetMessage::Relay {
                sequence: pending.sequence,
                subject,
            };
            let to = relay.control;
            actions.push(FleetAction::Send { to, message });
        }
    }

    fn probe_for(
        &mut self,
        now: Now,
        requester: SocketAddr,
        sequence: u64,
        subject: Endpoint,
        actions: &mut Vec<FleetAction>,
    ) {
        let relayed_sequence = self.prober.start_relayed(now.mono, requester, sequence);
        let message = FleetMessage::Ping {
            sequence: relayed_sequence,
            expect: subject.id,
            gossip: self.build_gossip(Some(subject.id)),
        };
        let to = subject.control;
        actions.push(FleetAction::Send { to, message });
    }

    fn last_confirmation(&self, now: Now) -> Option<Confirmation> {
        let at = self.confirmed_at?;
        Some(Confirmation {
            version: self.version(),
            age: now.mono.saturating_duration_since(at.mono),
        })
    }

    fn build_gossip(&mut self, peer: Option<ProcessId>) -> Gossip {
        // The number of transmissions after which an update has reached all members grows with the
        // logarithm of their number.
        let max_transmissions = (self.members.len() + 2).ilog2() + 3;
        let mut claims = self.members.piggyback(max_transmissions);
        claims.extend(peer.and_then(|peer| self.claim_to_refute(peer)));
        let items = self.broadcasts.piggyback(max_transmissions);
        Gossip {
            claims,
            ..self.gossip_with_items(items)
        }
    }

    /// Gossip without claims about others, except a suspicion of the receiver.
    fn minimal_gossip(&self, peer: ProcessId) -> Gossip {
        Gossip {
            claims: self.claim_to_refute(peer).into_iter().collect(),
            ..self.gossip_with_items(Vec::new())
        }
    }

    /// The claim about the peer that it must receive in order to refute it.
    fn claim_to_refute(&self, peer: ProcessId) -> Option<Claim> {
        let claim = self.members.get(peer)?.claim;
        (claim.health > Health::Alive).then_some(claim)
    }

    fn gossip_with_items(&self, items: Vec<super::Broadcast>) -> Gossip {
        Gossip {
            own: self.members.own(),
            claims: Vec::new(),
            items,
            digest: self.broadcasts.digest(),
            roster: self.members.digest(),
        }
    }
}
