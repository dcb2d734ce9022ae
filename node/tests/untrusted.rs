//! What a process reads from outside is a value or a fault, never a panic.

use knapweed_node::settings::{AgentSettings, RouterSettings, parse};
use policy::fleet::parse_vm_list;
use policy::message::{Offer, Reply};
use proptest::prelude::*;
use wire::{decode_header, encode_header};

const ROUTER: &str = include_str!("../../router.example.yaml");

proptest! {
    #[test]
    fn settings_of_any_text_are_read_or_refused(text in "\\PC{0,200}") {
        let faults = parse::<RouterSettings>(&text).map(|_| ()).map_err(|faults| faults.len());
        prop_assert_ne!(faults, Err(0));
        let _ = parse::<AgentSettings>(&text);
    }

    #[test]
    fn damaged_settings_are_read_or_refused(at in any::<prop::sample::Index>(), with in "\\PC{0,4}") {
        let mut text: Vec<char> = ROUTER.chars().collect();
        let at = at.index(text.len());
        text.splice(at..=at, with.chars());
        let text: String = text.into_iter().collect();
        let faults = parse::<RouterSettings>(&text).map(|_| ()).map_err(|faults| faults.len());
        prop_assert_ne!(faults, Err(0));
    }

    #[test]
    fn vm_lists_of_any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_vm_list(&bytes);
    }

    #[test]
    fn internal_headers_of_any_text_are_read_or_refused(text in "[ -~]{0,300}") {
        let _ = decode_header::<Offer>(&text);
        let _ = decode_header::<Reply>(&text);
    }

    #[test]
    fn damaged_internal_headers_are_read_or_refused(
        number in any::<u64>(),
        at in any::<prop::sample::Index>(),
        with in "[ -~]",
    ) {
        let mut text = encode_header(&vec![number; 8]);
        let at = at.index(text.len());
        text.replace_range(at..=at, &with);
        let _ = decode_header::<Offer>(&text);
        let _ = decode_header::<Vec<u64>>(&text);
    }
}
