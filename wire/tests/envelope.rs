//! Versions, unknown kinds and malformed bytes.

use entity::{DocumentHash, Incarnation, ProcessId, Revision, Tag};
use knapweed_wire::{Envelope, EnvelopeError, MAX_ENVELOPE_BYTES, Message, PROTOCOL_VERSION};
use policy::fleet::FleetMessage;
use policy::message::{Endpoint, Load};
use proptest::prelude::*;
use serde::Serialize;

/// The bytes of an envelope, written field by field.
#[derive(Serialize)]
struct Raw {
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

fn raw(version: u16, messages: Vec<Vec<u8>>) -> Vec<u8> {
    let raw = Raw {
        version,
        sender: sender(),
        revision: Revision(3),
        hash: DocumentHash(5),
        messages,
    };
    postcard::to_stdvec(&raw).expect("envelopes encode")
}

fn known() -> Vec<Message> {
    let after = ProcessId(Tag(1));
    let load = Load::default();
    vec![
        Message::Load(load),
        Message::Fleet(FleetMessage::Page { after }),
    ]
}

fn packed() -> Vec<Vec<u8>> {
    let pack = |message| postcard::to_stdvec(message).expect("messages encode");
    known().iter().map(pack).collect()
}

#[test]
fn neighbouring_versions_are_read_and_others_refused() {
    let envelope = Envelope::new(sender(), Revision(3), DocumentHash(5), &known());
    assert_eq!(envelope.encode(), raw(PROTOCOL_VERSION, packed()));
    for version in [PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION + 1] {
        let read = Envelope::decode(&raw(version, packed())).expect("a neighbour");
        assert_eq!((read.version, read.messages()), (version, (known(), 0)));
    }
    for version in [PROTOCOL_VERSION + 2, u16::MAX] {
        let refused = Envelope::decode(&raw(version, packed()));
        assert_eq!(refused, Err(EnvelopeError::Version { version }));
    }
}

#[test]
fn kinds_of_the_next_version_are_skipped_and_counted() {
    let mut messages = packed();
    messages.insert(1, vec![120, 1, 2, 3]);
    // A fleet message of a kind that this build does not know.
    let page = messages[2].clone();
    messages.push([&page[..1], &[99, 1, 2]].concat());
    messages.push(Vec::new());
    let read = Envelope::decode(&raw(PROTOCOL_VERSION + 1, messages)).expect("a neighbour");
    assert_eq!(read.messages(), (known(), 3));
}

#[test]
fn oversize_and_malformed_bytes_are_values() {
    let size = MAX_ENVELOPE_BYTES + 1;
    let oversize = Envelope::decode(&vec![0; size]);
    assert_eq!(oversize, Err(EnvelopeError::TooLarge { size }));
    let whole = raw(PROTOCOL_VERSION, packed());
    for end in 0..whole.len() {
        assert_eq!(
            Envelope::decode(&whole[..end]),
            Err(EnvelopeError::Malformed)
        );
    }
    // A count of messages that the bytes do not hold.
    let header = raw(PROTOCOL_VERSION, Vec::new());
    let lie = [&header[..header.len() - 1], &[0xff, 0xff, 0xff, 0xff, 0x0f]].concat();
    assert_eq!(Envelope::decode(&lie), Err(EnvelopeError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        if let Ok(envelope) = Envelope::decode(&bytes) {
            let (read, skipped) = envelope.messages();
            prop_assert!(read.len() + skipped <= bytes.len());
        }
    }

    #[test]
    fn no_damage_panics(place in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut bytes = raw(PROTOCOL_VERSION, packed());
        let place = place.index(bytes.len());
        bytes[place] = value;
        if let Ok(envelope) = Envelope::decode(&bytes) {
            let (read, skipped) = envelope.messages();
            prop_assert!(read.len() + skipped <= bytes.len());
        }
    }
}
