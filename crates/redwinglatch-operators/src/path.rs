//! Percent-encoding of names in URL paths.

use std::fmt::Write as _;

/// Encodes a name as one path segment.
pub(crate) fn encode(name: &str) -> String {
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Decodes a path segment; `None` if it is empty or not percent-encoded UTF-8.
pub(crate) fn decode(segment: &str) -> Option<Box<str>> {
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
    }
    let name = String::from_utf8(bytes).ok()?;
    (!name.is_empty()).then(|| name.into())
}
