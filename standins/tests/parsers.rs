//! Property tests: no input makes a parser panic.

use bytes::BytesMut;
use knapweed_standins::config::{Fault as ConfigFault, Vm};
use knapweed_standins::engine::{AnswerText, ChatRequest, Fault as EngineFault, Order};
use knapweed_standins::http::query_number;
use knapweed_standins::load::check::{StreamReader, check_receipt, check_whole};
use knapweed_standins::load::client::parse_refusal;
use knapweed_standins::load::http1::{ChunkState, Decoded, Framing, Head};
use knapweed_standins::load::observe::control_bytes;
use knapweed_standins::service::Fault as ServiceFault;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert_eq, proptest};
use proptest::{collection::vec, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Random bytes mixed with fragments of valid input.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let part = proptest::prop_oneof![
        vec(any::<u8>(), 0..20),
        proptest::sample::select(vec![
            "{",
            "}",
            "[",
            "]",
            "\"kind\":",
            "\"down\"",
            "\"messages\":",
            "\"choices\":",
            "data: ",
            "data: [DONE]\n\n",
            "\r\n",
            "\r\n\r\n",
            "HTTP/1.1 200 OK",
            "transfer-encoding: chunked",
            "content-length: 18446744073709551616",
            "ffffffffffffffff",
            "0",
            ",",
            ":",
            "\n",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
    ];
    vec(part, 0..12).prop_map(|parts| parts.concat())
}

fn decode_all(mut framing: Framing, body: &[u8], step: usize) -> Option<Vec<u8>> {
    let mut buffer = BytesMut::new();
    let mut out = Vec::new();
    for piece in body.chunks(step) {
        buffer.extend_from_slice(piece);
        loop {
            match framing.decode(&mut buffer).ok()? {
                Decoded::Data(piece) => out.extend_from_slice(&piece),
                Decoded::NeedMore => break,
                Decoded::End => return Some(out),
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn bodies_and_values_never_panic(body in body()) {
        let answer_text = AnswerText::new(&body, 5);
        let text = String::from_utf8_lossy(&body);
        let mut reader = StreamReader::default();
        reader.feed(&body);
        let _ = reader.finish(answer_text);
        let _ = check_whole(&body, answer_text);
        let _ = check_receipt(&body, "", None, "");
        let _ = parse_refusal(503, &body);
        let _ = ChatRequest::parse(&body);
        let _ = serde_json::from_slice::<ConfigFault>(&body);
        let _ = serde_json::from_slice::<EngineFault>(&body);
        let _ = serde_json::from_slice::<ServiceFault>(&body);
        let _ = serde_json::from_slice::<Order>(&body);
        let _ = serde_json::from_slice::<Vec<Vm>>(&body);
        let _ = control_bytes(&text);
        let _ = query_number(&text, "after");
        let _ = Head::parse(&body).map(|head| head.framing());
    }

    #[test]
    fn chunked_bodies_never_panic(body in body(), step in 1_usize..9) {
        let _ = decode_all(Framing::Chunked(ChunkState::Size), &body, step);
    }

    #[test]
    fn chunked_bodies_are_decoded_completely_or_rejected(
        pieces in vec(vec(any::<u8>(), 1..30), 0..6),
        step in 1_usize..9,
    ) {
        let mut wire = Vec::new();
        for piece in &pieces {
            wire.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            wire.extend_from_slice(piece);
            wire.extend_from_slice(b"\r\n");
        }
        let cut = wire.len();
        wire.extend_from_slice(b"0\r\n\r\n");
        let start = Framing::Chunked(ChunkState::Size);
        prop_assert_eq!(decode_all(start, &wire, step), Some(pieces.concat()));
        prop_assert_eq!(decode_all(start, &wire[..cut], step), None);
    }
}
