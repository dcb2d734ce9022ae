//! Untrusted input is parsed or rejected with an error; it never causes a panic.

use knapweed_node::settings::{AgentSettings, RouterSettings, parse};
use policy::fleet::parse_vm_list;
use policy::message::{Offer, Reply};
use proptest::prelude::*;
use wire::{decode_header, encode_header};

const ROUTER_SETTINGS: &str = include_str!("../../router.example.yaml");

proptest! {
    #[test]
    fn arbitrary_settings_are_parsed_or_rejected(text in "\\PC{0,200}") {
        let errors = parse::<RouterSettings>(&text).map(|_| ()).map_err(|errors| errors.len());
        prop_assert_ne!(errors, Err(0));
        let _ = parse::<AgentSettings>(&text);
    }

    #[test]
    fn corrupted_settings_are_parsed_or_rejected(at in any::<prop::sample::Index>(), replacement in "\\PC{0,4}") {
        let mut text: Vec<char> = ROUTER_SETTINGS.chars().collect();
        let at = at.index(text.len());
        text.splice(at..=at, replacement.chars());
        let text: String = text.into_iter().collect();
        let errors = parse::<RouterSettings>(&text).map(|_| ()).map_err(|errors| errors.len());
        prop_assert_ne!(errors, Err(0));
    }

    #[test]
    fn arbitrary_vm_lists_are_parsed_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_vm_list(&bytes);
    }

    #[test]
    fn arbitrary_internal_headers_are_parsed_or_rejected(text in "[ -~]{0,300}") {
        let _ = decode_header::<Offer>(&text);
        let _ = decode_header::<Reply>(&text);
    }

    #[test]
    fn corrupted_internal_headers_are_parsed_or_rejected(
        number in any::<u64>(),
        at in any::<prop::sample::Index>(),
        replacement in "[ -~]",
    ) {
        let mut text = encode_header(&vec![number; 8]);
        let at = at.index(text.len());
        text.replace_range(at..=at, &replacement);
        let _ = decode_header::<Offer>(&text);
        let _ = decode_header::<Vec<u64>>(&text);
    }
}
