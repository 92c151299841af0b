//! Tracks the tokens of a stream that were forwarded to the caller.

/// The handling of a received token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum TokenDisposition {
    /// Forward it to the caller.
    Forward,
    /// It was forwarded before a resumption; drop it.
    Duplicate,
    /// Tokens before it are missing; resume the stream from `from_index`.
    Gap {
        /// Index of the first missing token.
        from_index: u64,
    },
}

/// The position in a resumable stream. Each token is forwarded once and in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamProgress {
    next_index: u64,
}

impl StreamProgress {
    /// Returns the index of the next expected token.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Decides about the received token at `index`.
    pub fn receive_token(&mut self, index: u64) -> TokenDisposition {
        if index < self.next_index {
            return TokenDisposition::Duplicate;
        }
        if index > self.next_index {
            return TokenDisposition::Gap { from_index: self.next_index };
        }
        self.next_index += 1;
        TokenDisposition::Forward
    }

    /// Whether a response that ends after `tokens` tokens was forwarded completely.
    #[must_use]
    pub fn is_complete(&self, tokens: u64) -> bool {
        self.next_index == tokens
    }
}
