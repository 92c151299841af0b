//! Checkers of recorded histories.
