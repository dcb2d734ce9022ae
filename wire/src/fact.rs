//! Facts as broadcasts of the fleet machine.

use policy::fact::Fact;
use policy::fleet::Broadcast;

/// The broadcast that spreads a fact.
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

/// The fact that a broadcast spreads, if it is one.
///
/// The key tells facts from the bodies of other subsystems that decode by chance.
pub fn decode_fact(broadcast: &Broadcast) -> Option<Fact> {
    let fact: Fact = postcard::from_bytes(&broadcast.body).ok()?;
    (fact.key() == broadcast.key && fact.version() == broadcast.version).then_some(fact)
}
