//! Tests of protocol versions, unknown message kinds and malformed envelopes.

use entity::{DocumentHash, Incarnation, ProcessId, Revision, Tag};
use knapweed_wire::{Envelope, EnvelopeError, MAX_ENVELOPE_BYTES, Message, PROTOCOL_VERSION};
use policy::fleet::FleetMessage;
use policy::message::{Endpoint, Load};
use proptest::prelude::*;
use serde::Serialize;

/// The encoded layout of an envelope, built without [`Envelope`] itself.
#[derive(Serialize)]
struct RawEnvelope {
    version: u16,
    sender: Endpoint,
    revision: Revision,
    hash: DocumentHash,
    messages: Vec<Vec<u8>>,
}

fn sender() -> Endpoint {
    Endpoint {
        id: ProcessId(Tag(7)),
        incarnation: Incarnation(9),
        control: ([127, 0, 0, 1], 7000).into(),
    }
}

fn encode_raw(version: u16, messages: Vec<Vec<u8>>) -> Vec<u8> {
    let raw = RawEnvelope {
        version,
        sender: sender(),
        revision: Revision(3),
        hash: DocumentHash(5),
        messages,
    };
    postcard::to_stdvec(&raw).expect("envelopes encode")
}

fn known_messages() -> Vec<Message> {
    let after = ProcessId(Tag(1));
    let load = Load::default();
    vec![
        Message::Load(load),
        Message::Fleet(FleetMessage::Page { after }),
    ]
}

fn encoded_messages() -> Vec<Vec<u8>> {
    let encode = |message| postcard::to_stdvec(message).expect("messages encode");
    known_messages().iter().map(encode).collect()
}

#[test]
fn adjacent_versions_are_accepted_and_others_rejected() {
    let envelope = Envelope::new(sender(), Revision(3), DocumentHash(5), &known_messages());
    assert_eq!(
        envelope.encode(),
        encode_raw(PROTOCOL_VERSION, encoded_messages())
    );
    for version in [PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1] {
        let read = Envelope::decode(&encode_raw(version, encoded_messages()))
            .expect("a supported version");
        assert_eq!(
            (read.version, read.messages()),
            (version, (known_messages(), 0))
        );
    }
    for version in [PROTOCOL_VERSION + 2, u16::MAX] {
        let rejected = Envelope::decode(&encode_raw(version, encoded_messages()));
        assert_eq!(rejected, Err(EnvelopeError::Version { version }));
    }
}

#[test]
fn unknown_message_kinds_are_skipped_and_counted() {
    let mut messages = encoded_messages();
    messages.insert(1, vec![120, 1, 2, 3]);
    // A fleet message of a kind unknown to this build.
    let page = messages[2].clone();
    messages.push([&page[..1], &[99, 1, 2]].concat());
    messages.push(Vec::new());
    let read =
        Envelope::decode(&encode_raw(PROTOCOL_VERSION + 1, messages)).expect("a supported version");
    assert_eq!(read.messages(), (known_messages(), 3));
}

#[test]
fn oversized_and_malformed_envelopes_are_rejected() {
    let size = MAX_ENVELOPE_BYTES + 1;
    let oversized = Envelope::decode(&vec![0; size]);
    assert_eq!(oversized, Err(EnvelopeError::TooLarge { size }));
    let whole = encode_raw(PROTOCOL_VERSION, encoded_messages());
    for end in 0..whole.len() {
        assert_eq!(
            Envelope::decode(&whole[..end]),
            Err(EnvelopeError::Malformed)
        );
    }
    // A message count larger than the number of messages present.
    let header = encode_raw(PROTOCOL_VERSION, Vec::new());
    let truncated = [&header[..header.len() - 1], &[0xff, 0xff, 0xff, 0xff, 0x0f]].concat();
    assert_eq!(Envelope::decode(&truncated), Err(EnvelopeError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        if let Ok(envelope) = Envelope::decode(&bytes) {
            let (read, skipped) = envelope.messages();
            prop_assert!(read.len() + skipped <= bytes.len());
        }
    }

    #[test]
    fn decoding_a_corrupted_envelope_never_panics(index in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut bytes = encode_raw(PROTOCOL_VERSION, encoded_messages());
        let index = index.index(bytes.len());
        bytes[index] = value;
        if let Ok(envelope) = Envelope::decode(&bytes) {
            let (read, skipped) = envelope.messages();
            prop_assert!(read.len() + skipped <= bytes.len());
        }
    }
}
