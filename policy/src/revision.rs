//! The configuration document in force and transfers of newer ones from peers.
//!
//! Invariants:
//! - The version in force never decreases, whatever the service or a peer offers.
//! - A document is put in force only after it compiled and its hash was checked.
//! - A refused version is not transferred again while it is among the last
//!   [`MAX_REFUSED`] refused ones.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::{Directory, DocumentHash, Name};
use rules::Config;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::message::{FleetMessage, Version};

/// The size of a document chunk on the wire, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The maximum size of an assembled document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// The time after which a chunk is requested again, from another peer if one is known.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of refused versions that are remembered.
pub const MAX_REFUSED: usize = 16;

/// The maximum number of peers remembered as sources of the document that is being fetched.
const MAX_SOURCES: usize = 8;

/// The number of unanswered requests for one chunk after which the transfer is abandoned.
const MAX_ATTEMPTS: u32 = 12;

/// The reason why a text is not a valid configuration.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("{reason}")]
pub struct CompileError {
    /// The error message, for operators.
    pub reason: String,
}

/// Checks and compiles documents.
///
/// Implementations are deterministic, so that all processes accept the same documents.
pub trait DocumentCompiler {
    /// The service keys that hold the remaining parts of the document with the root `root`.
    ///
    /// # Errors
    ///
    /// Returns an error if the root cannot be parsed.
    fn parts(&self, root: &str) -> Result<Vec<Name>, CompileError>;

    /// Joins the root and its parts, in the order of [`DocumentCompiler::parts`], into one
    /// document.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is not the one that the root names.
    fn assemble(&self, root: &str, parts: &[Arc<str>]) -> Result<String, CompileError>;

    /// Compiles an assembled document; the indices in `names` are preserved.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is not valid under the grammar.
    fn compile(&self, text: &str, names: &Directory) -> Result<Arc<Config>, CompileError>;

    /// The hash of an assembled document.
    fn hash(&self, text: &str) -> DocumentHash {
        DocumentHash(xxh3_64(text.as_bytes()))
    }
}

/// Where a document came from.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Source {
    /// The configuration service.
    #[display("service")]
    Service,
    /// A peer.
    #[display("peer {_0}")]
    Peer(SocketAddr),
}

/// A document that compiled successfully.
#[derive(Clone, Debug)]
pub struct Document {
    /// The version of the document.
    pub version: Version,
    /// The assembled text.
    pub text: Arc<str>,
    /// The compiled configuration.
    pub config: Arc<Config>,
    /// The source of the document.
    pub source: Source,
}

/// The outcome of offering a document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OfferOutcome {
    /// The document is now in force.
    Adopted {
        /// The version that it replaced, if that has the same revision.
        replaced: Option<Version>,
    },
    /// The document was already in force.
    Current,
    /// The document is older than the one in force.
    Older(Version),
    /// The document has the same revision as the one in force, which wins by its hash.
    LostTie(Version),
    /// The document does not compile.
    Invalid {
        /// The hash of the text.
        hash: DocumentHash,
        /// The compile error.
        error: CompileError,
        /// Whether the document was refused before.
        already_refused: bool,
    },
    /// The document is not the one that was requested.
    Corrupt,
}

/// A transfer of a document from peers.
#[derive(Clone, Debug)]
struct Transfer {
    version: Version,
    sources: VecDeque<SocketAddr>,
    bytes: Vec<u8>,
    requested_at: Instant,
    attempts: u32,
}

/// The document in force and the transfer of a newer one.
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

    /// The version in force; the lowest version if no document is in force.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version::default(), |document| document.version)
    }

    /// The version that is being fetched from peers.
    pub fn fetching(&self) -> Option<Version> {
        self.transfer.as_ref().map(|transfer| transfer.version)
    }

    /// Offers an assembled document; `expected` is the version that was requested from a peer.
    pub fn offer<C: DocumentCompiler>(
        &mut self,
        compiler: &C,
        text: &str,
        source: Source,
        expected: Option<Version>,
    ) -> OfferOutcome {
        let hash = compiler.hash(text);
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
        match compiler.compile(text, names) {
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

    /// Records that `version` is in force at a peer; returns a request if it is newer than the
    /// version in force and the one being fetched.
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

    /// Answers a request for a chunk; `None` if the document is not in force here.
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

    /// Handles a chunk; returns the complete text after the last chunk, else the next request.
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
        let is_next = transfer.version == version && transfer.bytes.len() == offset as usize;
        let total = total as usize;
        if !is_next || bytes.is_empty() {
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

    /// Repeats a request that was not answered in time, to the next source.
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
        let same_revision = self.current.is_some() && current.revision == version.revision;
        match version > current || self.current.is_none() {
            false if same_revision => return OfferOutcome::LostTie(version),
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
            replaced: same_revision.then_some(current),
        }
    }
}

/// The outcome of receiving a chunk.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ChunkOutcome {
    /// The chunk is not the next one of the transfer, or made the transfer fail.
    Ignored,
    /// The request for the next chunk must be sent.
    Next(PeerMessage),
    /// The document is complete.
    Complete(String),
}
