//! Conversion between facts and broadcasts of the fleet state machine.

use policy::fact::Fact;
use policy::fleet::Broadcast;

/// Encodes a fact as a broadcast.
///
/// # Panics
///
/// Panics if the fact cannot be encoded, which no value causes.
pub fn encode_fact(fact: &Fact) -> Broadcast {
    Broadcast {
        key: fact.key(),
        version: fact.version(),
        body: postcard::to_stdvec(fact).expect("facts encode"),
        expires: fact.expires(),
    }
}

/// Decodes the fact in a broadcast, if it contains one.
///
/// The key and version distinguish facts from bodies of other subsystems that happen to
/// decode as a fact.
pub fn decode_fact(broadcast: &Broadcast) -> Option<Fact> {
    let fact: Fact = postcard::from_bytes(&broadcast.body).ok()?;
    (fact.key() == broadcast.key && fact.version() == broadcast.version).then_some(fact)
}
