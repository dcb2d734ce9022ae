//! Prompts and their parts.

use smallvec::SmallVec;

/// One part of a prompt, the unit of prefix caching.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// The hash that identifies the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The properties of a generation request that are known before it runs.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Prompt {
    /// The parts in order; the last one is specific to the request or its
    /// session.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// The number of tokens of the whole prompt.
    pub input_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The number of tokens that the caller expects to be generated.
    pub expected_output_tokens: u32,
}

impl Prompt {
    /// The last part that is shared with other requests.
    pub fn shared_part(&self) -> Option<PromptPart> {
        let index = self.parts.len().checked_sub(2)?;
        self.parts.get(index).copied()
    }

    /// The part that no other request shares, but those of its session.
    pub fn own_part(&self) -> Option<PromptPart> {
        self.parts.last().copied()
    }

    /// The tokens of the last part, which no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.parts
            .last()
            .map_or(self.input_tokens, |part| part.tokens)
    }

    /// The greatest standard deviation that the output can have, in tokens, as it lies
    /// between 0 and its maximum and has the expected length in the mean.
    pub fn output_spread(&self) -> f64 {
        let expected = f64::from(self.expected_output_tokens.min(self.max_output_tokens));
        let remaining = f64::from(self.max_output_tokens) - expected;
        (expected * remaining).sqrt()
    }

    /// The cost that is charged to a team's share, in tokens.
    ///
    /// Limits on the output are often far above what is generated, by different
    /// factors for different teams, so the expected output is charged.
    pub fn weighted_tokens(&self) -> f64 {
        f64::from(self.input_tokens) + 2.0 * f64::from(self.expected_output_tokens)
    }
}
