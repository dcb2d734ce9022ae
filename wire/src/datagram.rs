//! The datagrams that edge routers exchange.
//!
//! `policy::direct::exchange` defines the messages of the exchange. Each of them replaces
//! the sender's previous one, so a lost one is not retransmitted. `tarpc` is
//! not used here because a late message has no value and an unresponsive peer must
//! not block the sender.

use std::time::Duration;

use derive_more::{Display, Error};
use entity::Name;
use policy::direct::exchange::message::{
    AgedCrashRow, Beat, KeptUpdate, LimitUpdate, Message, PartNews, Place, RateUpdate,
    ReadinessRow, RequestRunRow, Summary, Trouble,
};
use policy::direct::listing::ListingChange;
use policy::direct::listing::message::{ListingMessage, Part, RangeAnswer, RangeQuery, Step};
use policy::direct::rotation::Readiness;
use policy::direct::stream_origin::{SingleVersion, StreamId};
use policy::direct::target::{SoftwareVersion, Target, VersionTag};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of the datagram layout.
pub const DATAGRAM_VERSION: u8 = 1;

/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// A fragment of the list of targets that a router read from the store.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The index of this fragment, from 0.
    pub part: u16,
    /// The number of fragments.
    pub parts: u16,
    /// The targets in this fragment.
    pub targets: Vec<Target>,
}

/// A fragment of the list of targets with the versions of their software.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct VersionedListing {
    /// The targets, which are encoded without their versions.
    pub listing: Listing,
    /// The versions, in the order of the targets.
    pub versions: Vec<SoftwareVersion>,
}

impl VersionedListing {
    /// Creates a fragment from targets with their versions.
    pub fn new(listing: Listing) -> Self {
        let versions = listing.targets.iter().map(|target| target.version.clone());
        Self {
            versions: versions.collect(),
            listing,
        }
    }

    /// Returns the fragment with the version of each target.
    pub fn into_listing(self) -> Listing {
        let mut listing = self.listing;
        for (target, version) in listing.targets.iter_mut().zip(self.versions) {
            target.version = version;
        }
        listing
    }
}

/// What changed between two reads of the targets.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ChangedListing {
    /// The digest of the listing that changed.
    pub base: u64,
    /// The digest of the listing after the change.
    pub digest: u64,
    /// Whether the listing is complete with this change, or further ones follow.
    pub is_last: bool,
    /// The names of the targets that are gone.
    pub removed: Vec<Name>,
    /// The targets that are new or differ, as the only part.
    pub changed: VersionedListing,
}

/// A fragment of a listing that was read a while ago, sent to a router that asked for it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct AgedListing {
    /// The time since the listing was read from the store, in milliseconds.
    pub age: u32,
    /// The fragment.
    pub listing: VersionedListing,
}

/// Asks for the ranges of the listing that differ from those of the sender.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListingRangeQuery {
    /// The revision that the listing must have at least.
    pub revision: u64,
    /// The digests of the sender's ranges; none if it has no targets.
    pub digests: Vec<u32>,
}

/// Ranges of a listing, sent to a router that asked for those that differ.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ListingRanges {
    /// The time since the listing was read from the store, in milliseconds.
    pub age: u32,
    /// The digest of the listing.
    pub digest: u64,
    /// The number of ranges of the listing.
    pub count: u16,
    /// The ranges in this datagram.
    pub ranges: Vec<u16>,
    /// All targets of these ranges, as the only part.
    pub listing: VersionedListing,
}

/// Streams that began at one software version, sent to their holders and in response to
/// an [`OriginQuery`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Origins {
    /// The version.
    pub version: VersionTag,
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// Asks for the versions at which streams began.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// A later read of the store that returned the same targets as the last listing.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Unchanged {
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The digest of the targets.
    pub digest: u64,
}

/// Returns the digest of a list of targets, which is the same on all routers.
pub fn listing_digest(targets: &[Target]) -> u64 {
    let bytes = postcard::to_stdvec(targets).expect("targets encode");
    xxh3_64(&bytes)
}

/// One datagram between edge routers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The state and load of the sender.
    Beat(Beat),
    /// Targets that the sender read from the store.
    Listing(Listing),
    /// Targets that currently fail for the sender.
    Trouble(Trouble),
    /// The targets are unchanged since the last listing.
    Unchanged(Unchanged),
    /// Targets that the sender read from the store, with their versions.
    VersionedListing(VersionedListing),
    /// Streams that began at one software version.
    Origins(Origins),
    /// A question for the versions at which streams began.
    OriginQuery(OriginQuery),
    /// The tags of target incarnations that said that they are leaving.
    Leaving(Vec<u64>),
    /// A part of what a relay knows of other routers.
    Summary(Summary),
    /// What changed since the last listing.
    ChangedListing(ChangedListing),
    /// Asks for the whole listing.
    ListingQuery,
    /// A part of the whole listing.
    AgedListing(AgedListing),
    /// Asks for the ranges of the listing that differ.
    ListingRangeQuery(ListingRangeQuery),
    /// Some ranges of the listing.
    ListingRanges(ListingRanges),
    /// Uses of prompt parts at targets.
    Kept(KeptUpdate),
    /// The rates of targets.
    Rates(RateUpdate),
    /// Crashes under prompt parts, and runs that clear parts.
    Parts(PartNews),
    /// The services that had a single software version for as long as a stream can be taken
    /// up, sent in response to an [`OriginQuery`].
    SingleVersions(Vec<SingleVersion>),
    /// Asks for the software versions of the targets that keep these prompt parts.
    HolderQuery(Vec<u64>),
    /// Prompt parts, each with the software version of a target that keeps it.
    Holders(Vec<(u64, VersionTag)>),
    /// The limits that targets name.
    Limits(LimitUpdate),
    /// Crashes of targets, with requests that are rejected for it.
    Crashes(Vec<AgedCrashRow>),
    /// Completed runs of requests of which crashes are known.
    RequestRuns(Vec<RequestRunRow>),
}

impl From<Message> for Datagram {
    fn from(message: Message) -> Self {
        match message {
            Message::Beat(beat) => Self::Beat(*beat),
            Message::Summary(summary) => Self::Summary(*summary),
            Message::Trouble(trouble) => Self::Trouble(trouble),
            Message::Leaving(targets) => Self::Leaving(targets),
            Message::Kept(update) => Self::Kept(update),
            Message::Rates(rows) => Self::Rates(rows),
            Message::Parts(news) => Self::Parts(news),
            Message::Limits(update) => Self::Limits(update),
            Message::Crashes(rows) => Self::Crashes(rows),
            Message::RequestRuns(rows) => Self::RequestRuns(rows),
        }
    }
}

impl From<ListingMessage> for Datagram {
    fn from(message: ListingMessage) -> Self {
        let single = |revision, targets| {
            VersionedListing::new(Listing {
                revision,
                part: 0,
                parts: 1,
                targets,
            })
        };
        // Rounded up, so that the listing never appears more recent than it is.
        let age = |age: Duration| age.as_millis() as u32 + 1;
        match message {
            ListingMessage::Step(step) => Self::ChangedListing(ChangedListing {
                base: step.base,
                digest: step.digest,
                is_last: step.is_last,
                removed: step.change.removed,
                changed: single(step.revision, step.change.changed),
            }),
            ListingMessage::Unchanged { revision, digest } => {
                Self::Unchanged(Unchanged { revision, digest })
            }
            ListingMessage::Query => Self::ListingQuery,
            ListingMessage::Part(part) => Self::AgedListing(AgedListing {
                age: age(part.age),
                listing: VersionedListing::new(Listing {
                    revision: part.revision,
                    part: part.part,
                    parts: part.parts,
                    targets: part.targets,
                }),
            }),
            ListingMessage::RangeQuery(RangeQuery { revision, digests }) => {
                Self::ListingRangeQuery(ListingRangeQuery { revision, digests })
            }
            ListingMessage::RangeAnswer(answer) => Self::ListingRanges(ListingRanges {
                age: age(answer.age),
                digest: answer.digest,
                count: answer.count,
                ranges: answer.ranges,
                listing: single(answer.revision, answer.targets),
            }),
        }
    }
}

/// An error from decoding a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum DatagramError {
    /// The bytes do not decode.
    #[display("garbage")]
    Garbage,
    /// The datagram has a different layout version.
    #[display("unsupported datagram version")]
    Version,
}

impl Datagram {
    /// Returns the message about the listing of targets, if it is one.
    pub fn into_listing_message(self) -> Option<ListingMessage> {
        let part = |listing: Listing, age| {
            ListingMessage::Part(Part {
                age,
                revision: listing.revision,
                part: listing.part,
                parts: listing.parts,
                targets: listing.targets,
            })
        };
        match self {
            Self::Listing(listing) => Some(part(listing, Duration::ZERO)),
            Self::VersionedListing(listing) => Some(part(listing.into_listing(), Duration::ZERO)),
            Self::AgedListing(AgedListing { age, listing }) => {
                let age = Duration::from_millis(age.into());
                Some(part(listing.into_listing(), age))
            }
            Self::ChangedListing(change) => {
                let listing = change.changed.into_listing();
                Some(ListingMessage::Step(Step {
                    base: change.base,
                    digest: change.digest,
                    is_last: change.is_last,
                    revision: listing.revision,
                    change: ListingChange {
                        changed: listing.targets,
                        removed: change.removed,
                    },
                }))
            }
            Self::Unchanged(Unchanged { revision, digest }) => {
                Some(ListingMessage::Unchanged { revision, digest })
            }
            Self::ListingQuery => Some(ListingMessage::Query),
            Self::ListingRangeQuery(ListingRangeQuery { revision, digests }) => {
                Some(ListingMessage::RangeQuery(RangeQuery { revision, digests }))
            }
            Self::ListingRanges(answer) => {
                let listing = answer.listing.into_listing();
                Some(ListingMessage::RangeAnswer(RangeAnswer {
                    age: Duration::from_millis(answer.age.into()),
                    revision: listing.revision,
                    digest: answer.digest,
                    count: answer.count,
                    ranges: answer.ranges,
                    targets: listing.targets,
                }))
            }
            _ => None,
        }
    }

    /// Encodes the datagram, starting with the version byte.
    ///
    /// # Panics
    ///
    /// Panics if encoding fails, which does not happen when writing to memory.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = vec![DATAGRAM_VERSION];
        let bytes = postcard::to_extend(self, bytes).expect("writing to memory succeeds");
        match self {
            // Routers of former versions do not read what follows the fields they know.
            Self::Beat(Beat {
                place: Some(place),
                readiness,
                ..
            }) => {
                let bytes = append(place, bytes);
                match readiness {
                    Some(readiness) => append(readiness, bytes),
                    None => bytes,
                }
            }
            Self::Summary(summary) if !summary.readiness.is_empty() => {
                append(&summary.readiness, bytes)
            }
            _ => bytes,
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.split_first() {
            Some((&DATAGRAM_VERSION, rest)) => {
                let taken = postcard::take_from_bytes(rest);
                let (mut datagram, rest) = taken.map_err(|_| DatagramError::Garbage)?;
                match &mut datagram {
                    Self::Beat(beat) => {
                        let (place, rest) = take_appended::<Place>(rest)?;
                        let (readiness, _) = take_appended::<Readiness>(rest)?;
                        (beat.place, beat.readiness) = (place, readiness);
                    }
                    Self::Summary(summary) => {
                        let (rows, _) = take_appended::<Vec<ReadinessRow>>(rest)?;
                        summary.readiness = rows.unwrap_or_default();
                    }
                    _ => {}
                }
                Ok(datagram)
            }
            Some(_) => Err(DatagramError::Version),
            None => Err(DatagramError::Garbage),
        }
    }
}

fn append(value: &impl Serialize, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, bytes).expect("writing to memory succeeds")
}

/// Reads a value that only some versions append, and returns the bytes after it.
fn take_appended<'a, T: Deserialize<'a>>(
    rest: &'a [u8],
) -> Result<(Option<T>, &'a [u8]), DatagramError> {
    if rest.is_empty() {
        return Ok((None, rest));
    }
    let (value, rest) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Garbage)?;
    Ok((Some(value), rest))
}
