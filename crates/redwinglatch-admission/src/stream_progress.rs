//! Which tokens of a stream were passed on.

/// What to do with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum TokenStep {
    /// Pass it on.
    PassOn,
    /// It was passed on before, ahead of a resumption; drop it.
    Duplicate,
    /// Tokens before it are missing; resume the stream from this index.
    Gap {
        /// The first missing index.
        from_index: u64,
    },
}

/// The position of a resumable stream. Each token is passed on once and in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamProgress {
    next_index: u64,
}

impl StreamProgress {
    /// The index of the next token.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Decides about the token at `index`.
    pub fn token(&mut self, index: u64) -> TokenStep {
        if index < self.next_index {
            return TokenStep::Duplicate;
        }
        if index > self.next_index {
            return TokenStep::Gap { from_index: self.next_index };
        }
        self.next_index += 1;
        TokenStep::PassOn
    }

    /// Whether an answer that ends after `tokens` tokens was passed on completely.
    #[must_use]
    pub fn complete(&self, tokens: u64) -> bool {
        self.next_index == tokens
    }
}
