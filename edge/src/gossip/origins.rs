//! The exchange of the software versions at which streams began.
//!
//! Invariant: a question is answered with recorded versions, and with the services that had
//! a single version throughout, never with a version that is inferred for a stream.

use std::net::SocketAddr;
use std::time::Instant;

use entity::{Clock, SystemClock};
use node::event::{self, Event};
use policy::direct::stream_origin::{HOLDERS, SingleVersion, StreamId, holders};
use policy::direct::target::{MIN_OUTAGE, VersionTag};
use rustc_hash::FxHashMap;
use wire::{Datagram, OriginQuery, Origins};

use super::{Gossip, member_tag};
use crate::clock::{BootClock, SystemBootClock};

/// The maximum number of streams in a datagram; each takes up to ten bytes.
const MAX_STREAMS: usize = 700;

/// The maximum number of prompt parts with versions in a datagram; each takes up to 20 bytes.
const MAX_HOLDER_ROWS: usize = 350;

impl Gossip {
    /// Sends the streams that this router began to their holders, once it knows enough
    /// peers to derive them.
    pub(super) fn send_origins(&self, now: Instant) {
        let needed = if self.exchange.is_settled(now) {
            1
        } else {
            HOLDERS
        };
        if self.exchange.reachable().count() < needed {
            return;
        }
        let unsent = self.shared.origins().take_unsent(now);
        if unsent.is_empty() {
            return;
        }
        let members = self.ranked_members();
        let mut rows: FxHashMap<(SocketAddr, VersionTag), Vec<StreamId>> = FxHashMap::default();
        for (stream, version) in unsent {
            for address in self.holder_addresses(stream, &members) {
                rows.entry((address, version)).or_default().push(stream);
            }
        }
        for ((address, version), streams) in rows {
            self.send_streams(version, &streams, address);
        }
    }

    fn send_streams(&self, version: VersionTag, streams: &[StreamId], to: SocketAddr) {
        for streams in streams.chunks(MAX_STREAMS) {
            let origins = Origins {
                version,
                streams: streams.to_vec(),
            };
            self.send(&Datagram::Origins(origins), to);
        }
    }

    /// Sends the questions of the traffic thread.
    pub(super) fn send_origin_queries(&self) {
        let members = self.ranked_members();
        let mut queries: FxHashMap<SocketAddr, Vec<StreamId>> = FxHashMap::default();
        let questions = self.shared.take_origin_questions();
        let unheld = questions.iter().filter(|question| question.asks_all);
        self.ask_for_holders(unheld.filter_map(|question| question.part).collect());
        for question in questions {
            let addresses = match question.asks_all {
                true => self.exchange.reachable().collect(),
                false => self.holder_addresses(question.stream, &members),
            };
            for address in addresses {
                queries.entry(address).or_default().push(question.stream);
            }
        }
        for (address, streams) in queries {
            for streams in streams.chunks(MAX_STREAMS) {
                let query = OriginQuery {
                    streams: streams.to_vec(),
                };
                self.send(&Datagram::OriginQuery(query), address);
            }
        }
    }

    pub(super) fn receive_origins(&self, origins: &Origins) {
        let now = SystemClock.now().mono;
        let mut records = self.shared.origins();
        for &stream in &origins.streams {
            records.record(stream, origins.version, now);
        }
        drop(records);
        self.shared.origin_learned.notify_waiters();
    }

    /// Sends the recorded versions of the streams in a query.
    pub(super) fn answer_query(&self, query: &OriginQuery, from: SocketAddr) {
        let now = SystemClock.now().mono;
        let mut known: FxHashMap<VersionTag, Vec<StreamId>> = FxHashMap::default();
        let records = self.shared.origins();
        for &stream in &query.streams {
            if let Some(version) = records.recorded(stream, now) {
                known.entry(version).or_default().push(stream);
            }
        }
        let single = match self.is_listing_current() {
            true => records.single_versions(now),
            false => Vec::new(),
        };
        drop(records);
        let found: usize = known.values().map(Vec::len).sum();
        let fields: [event::Field<'_>; 3] = [
            ("peer", &from),
            ("streams", &query.streams.len()),
            ("known", &found),
        ];
        event::log(Event::OriginsAsked, &fields);
        for (version, streams) in known {
            self.send_streams(version, &streams, from);
        }
        if found < query.streams.len() && !single.is_empty() {
            self.send(&Datagram::SingleVersions(single), from);
        }
    }

    /// Takes over what a router with a longer watch says of the versions of services.
    pub(super) fn receive_single(&self, single: &[SingleVersion]) {
        if self.shared.origins().record_single(single) {
            self.shared.origin_learned.notify_waiters();
        }
    }

    /// Asks all routers for the versions of the targets that keep some prompt parts.
    fn ask_for_holders(&self, parts: Vec<u64>) {
        if parts.is_empty() {
            return;
        }
        self.receive_holders(&self.holder_rows(&parts));
        for parts in parts.chunks(MAX_STREAMS) {
            let query = Datagram::HolderQuery(parts.to_vec());
            for address in self.exchange.reachable() {
                self.send(&query, address);
            }
        }
    }

    pub(super) fn answer_holder_query(&self, parts: &[u64], from: SocketAddr) {
        let rows = self.holder_rows(parts);
        for rows in rows.chunks(MAX_HOLDER_ROWS) {
            self.send(&Datagram::Holders(rows.to_vec()), from);
        }
    }

    /// The versions of the targets that this router watches and that keep some parts.
    fn holder_rows(&self, parts: &[u64]) -> Vec<(u64, VersionTag)> {
        let kept_events = self.kept_events.iter();
        let rows = kept_events.flat_map(|kept_events| {
            let versions = |part| kept_events.versions_of_holders(part);
            let rows = parts
                .iter()
                .flat_map(move |&part| versions(part).map(move |it| (part, it)));
            rows.collect::<Vec<_>>()
        });
        rows.collect()
    }

    pub(super) fn receive_holders(&self, rows: &[(u64, VersionTag)]) {
        let now = SystemClock.now().mono;
        let mut origins = self.shared.origins();
        for &(part, version) in rows {
            origins.record_holder(part, version, now);
        }
    }

    fn is_listing_current(&self) -> bool {
        let age = self.shared.targets_age(SystemBootClock.uptime());
        age.is_some_and(|age| age < MIN_OUTAGE)
    }

    /// The members and whether they are reachable, in the order of the exchange.
    fn ranked_members(&self) -> Vec<(u64, bool)> {
        let members = self.exchange.members();
        members
            .map(|(address, is_reachable)| (member_tag(address), is_reachable))
            .collect()
    }

    /// The holders of a stream; `members` are those of [`Self::ranked_members`].
    fn holder_addresses(&self, stream: StreamId, members: &[(u64, bool)]) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.exchange.members().map(|(it, _)| it).collect();
        let holders = holders(stream, members);
        holders.into_iter().map(|index| addresses[index]).collect()
    }
}
