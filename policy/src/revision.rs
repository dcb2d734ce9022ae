//! Which configuration is in force.
//!
//! Invariants:
//! - The version in force never falls, whatever the service or a peer offers.
//! - A document is in force only after it compiled and its hash was checked.
//! - A refused version is refused again without another transfer, for as long
//!   as it is among the last [`MAX_REFUSED`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::{Directory, DocumentHash, Name};
use rules::Config;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::message::{FleetMessage, Version};

/// The size of a part of a document on the wire, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The greatest size of an assembled document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// The time after which a part is asked for again, of another peer if one is known.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of refused versions that are remembered.
pub const MAX_REFUSED: usize = 16;

/// The number of peers remembered as holders of the wanted document.
const MAX_SOURCES: usize = 8;

/// The number of unanswered requests for one part after which a document is given up.
const MAX_ATTEMPTS: u32 = 12;

/// Why a text is not a configuration.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("{reason}")]
pub struct CompileError {
    /// The complaint, for operators.
    pub reason: String,
}

/// Checks and compiles documents; deterministic, so that all processes decide alike.
pub trait DocumentCompiler {
    /// The keys of the service that hold the rest of the document whose root is `root`.
    ///
    /// # Errors
    ///
    /// Returns an error if the root cannot be read.
    fn parts(&self, root: &str) -> Result<Vec<Name>, CompileError>;

    /// Joins the root and its parts, in the order of [`DocumentCompiler::parts`], to one document.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is not the one that the root names.
    fn assemble(&self, root: &str, parts: &[Arc<str>]) -> Result<String, CompileError>;

    /// Compiles an assembled document; indices of `names` keep their meaning.
    ///
    /// # Errors
    ///
    /// Returns an error if the document breaks a rule of the grammar.
    fn compile(&self, text: &str, names: &Directory) -> Result<Arc<Config>, CompileError>;

    /// The hash of an assembled document.
    fn hash(&self, text: &str) -> DocumentHash {
        DocumentHash(xxh3_64(text.as_bytes()))
    }
}

/// Where the configuration in force was learned.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Source {
    /// From the configuration service.
    #[display("service")]
    Service,
    /// From a peer.
    #[display("peer {_0}")]
    Peer(SocketAddr),
}

/// A document that compiled.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its version.
    pub version: Version,
    /// Its assembled text.
    pub text: Arc<str>,
    /// Its compiled form.
    pub config: Arc<Config>,
    /// Where it was learned.
    pub source: Source,
}

/// What became of an offered document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OfferOutcome {
    /// It is in force now.
    Adopted {
        /// The version that it replaced under the same revision, if it did.
        replaced: Option<Version>,
    },
    /// It was in force already.
    Current,
    /// It is older than the one in force.
    Older(Version),
    /// It lost against the one in force, which has the same revision.
    LostTie(Version),
    /// It does not compile.
    Invalid {
        /// The hash of its text.
        hash: DocumentHash,
        /// The complaint.
        error: CompileError,
        /// Whether it was refused before.
        already_refused: bool,
    },
    /// It is not the document that was asked for.
    Corrupt,
}

/// A document on its way from peers.
#[derive(Clone, Debug)]
struct Transfer {
    version: Version,
    sources: VecDeque<SocketAddr>,
    bytes: Vec<u8>,
    requested_at: Instant,
    attempts: u32,
}

/// The document in force and the one that is being fetched.
#[derive(Clone, Default, Debug)]
pub struct Revisions {
    current: Option<Document>,
    transfer: Option<Transfer>,
    refused: VecDeque<DocumentHash>,
}

/// A message to one peer.
pub type PeerMessage = (SocketAddr, FleetMessage);

impl Revisions {
    /// The document in force.
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// The version in force; the least one if there is none.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version::default(), |document| document.version)
    }

    /// The version that is being fetched.
    pub fn fetching(&self) -> Option<Version> {
        self.transfer.as_ref().map(|transfer| transfer.version)
    }

    /// Takes in an assembled document; `expected` is what was asked of a peer.
    pub fn offer<C: DocumentCompiler>(
        &mut self,
        compile: &C,
        text: &str,
        source: Source,
        expected: Option<Version>,
    ) -> OfferOutcome {
        let hash = compile.hash(text);
        if expected.is_some_and(|expected| expected.hash != hash) {
            return OfferOutcome::Corrupt;
        }
        let current = self.version();
        if self.current.is_some() && hash == current.hash {
            return OfferOutcome::Current;
        }
        let empty = Directory::default();
        let names = self.current.as_ref();
        let names = names.map_or(&empty, |document| &document.config.names);
        match compile.compile(text, names) {
            Err(error) => self.reject(hash, error),
            Ok(config) => {
                let revision = config.revision;
                let version = Version { revision, hash };
                match expected {
                    Some(expected) if expected != version => OfferOutcome::Corrupt,
                    _ => self.adopt(version, text, config, source),
                }
            }
        }
    }

    /// Notes that a peer holds `version`; returns a request if that is newer than all known.
    pub fn note_peer_version(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        version: Version,
    ) -> Option<PeerMessage> {
        if version <= self.version() || self.refused.contains(&version.hash) {
            return None;
        }
        match &mut self.transfer {
            Some(transfer) if transfer.version > version => None,
            Some(transfer) if transfer.version == version => {
                let known = transfer.sources.contains(&peer);
                if !known && transfer.sources.len() < MAX_SOURCES {
                    transfer.sources.push_back(peer);
                }
                None
            }
            _ => {
                self.transfer = Some(Transfer {
                    version,
                    sources: VecDeque::from([peer]),
                    bytes: Vec::new(),
                    requested_at: now,
                    attempts: 0,
                });
                self.request_chunk(now)
            }
        }
    }

    /// Answers a request for a part; `None` if the document is not in force here.
    pub fn read_chunk(&self, version: Version, offset: u32) -> Option<FleetMessage> {
        let document = self.current.as_ref()?;
        let bytes = document.text.as_bytes();
        let start = offset as usize;
        if document.version != version || start >= bytes.len() {
            return None;
        }
        let end = bytes.len().min(start + CHUNK_BYTES);
        Some(FleetMessage::Chunk {
            version,
            total: bytes.len() as u32,
            offset,
            bytes: bytes[start..end].to_vec(),
        })
    }

    /// Takes in a part; returns the whole text once it is complete, else the next request.
    pub fn receive_chunk(
        &mut self,
        now: Instant,
        version: Version,
        total: u32,
        offset: u32,
        bytes: &[u8],
    ) -> ChunkOutcome {
        let Some(transfer) = &mut self.transfer else {
            return ChunkOutcome::Ignored;
        };
        let fits = transfer.version == version && transfer.bytes.len() == offset as usize;
        let total = total as usize;
        if !fits || bytes.is_empty() {
            return ChunkOutcome::Ignored;
        }
        if total > MAX_DOCUMENT_BYTES || transfer.bytes.len() + bytes.len() > total {
            self.transfer = None;
            return ChunkOutcome::Ignored;
        }
        transfer.bytes.extend_from_slice(bytes);
        transfer.attempts = 0;
        if transfer.bytes.len() < total {
            return self
                .request_chunk(now)
                .map_or(ChunkOutcome::Ignored, ChunkOutcome::Next);
        }
        let transfer = self.transfer.take().expect("a transfer is under way");
        String::from_utf8(transfer.bytes).map_or(ChunkOutcome::Ignored, ChunkOutcome::Complete)
    }

    /// Repeats a request that was not answered in time, of the next holder.
    pub fn retry_if_overdue(&mut self, now: Instant) -> Option<PeerMessage> {
        let transfer = self.transfer.as_mut()?;
        if now.saturating_duration_since(transfer.requested_at) < FETCH_TIMEOUT {
            return None;
        }
        if transfer.attempts >= MAX_ATTEMPTS {
            self.transfer = None;
            return None;
        }
        transfer.sources.rotate_left(1);
        self.request_chunk(now)
    }

    fn request_chunk(&mut self, now: Instant) -> Option<PeerMessage> {
        let transfer = self.transfer.as_mut()?;
        let source = *transfer.sources.front()?;
        transfer.requested_at = now;
        transfer.attempts += 1;
        let fetch = FleetMessage::Fetch {
            version: transfer.version,
            offset: transfer.bytes.len() as u32,
        };
        Some((source, fetch))
    }

    fn reject(&mut self, hash: DocumentHash, error: CompileError) -> OfferOutcome {
        let already_refused = self.refused.contains(&hash);
        if !already_refused {
            self.refused.push_back(hash);
        }
        if self.refused.len() > MAX_REFUSED {
            self.refused.pop_front();
        }
        OfferOutcome::Invalid {
            hash,
            error,
            already_refused,
        }
    }

    fn adopt(
        &mut self,
        version: Version,
        text: &str,
        config: Arc<Config>,
        source: Source,
    ) -> OfferOutcome {
        let current = self.version();
        let same = self.current.is_some() && current.revision == version.revision;
        match version > current || self.current.is_none() {
            false if same => return OfferOutcome::LostTie(version),
            false => return OfferOutcome::Older(version),
            true => {}
        }
        self.current = Some(Document {
            version,
            text: Arc::from(text),
            config,
            source,
        });
        if self.fetching().is_some_and(|fetching| fetching <= version) {
            self.transfer = None;
        }
        OfferOutcome::Adopted {
            replaced: same.then_some(current),
        }
    }
}

/// What a part of a document led to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ChunkOutcome {
    /// Nothing is to be done.
    Ignored,
    /// The next part is to be asked for.
    Next(PeerMessage),
    /// The document is complete.
    Complete(String),
}
