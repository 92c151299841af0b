//! Serde helpers that limit what a decoder allocates for a length read from the wire.

use std::{fmt, marker::PhantomData};

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Decodes a list of at most `MAX` items without allocating for its length prefix, which may be
/// wrong.
pub(crate) fn bounded_list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

    impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
        type Value = Vec<T>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "a list of at most {MAX} items")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<T>, A::Error> {
            let mut items = Vec::new();
            while let Some(item) = seq.next_element()? {
                if items.len() == MAX {
                    return Err(A::Error::invalid_length(MAX + 1, &self));
                }
                items.push(item);
            }
            Ok(items)
        }
    }

    deserializer.deserialize_seq(ListVisitor::<T, MAX>(PhantomData))
}

/// Encodes [`bytes::Bytes`] as one byte string instead of a list of numbers.
pub(crate) mod byte_string {
    use std::fmt;

    use bytes::Bytes;
    use serde::{
        Deserializer, Serializer,
        de::{Error, Visitor},
    };

    pub(crate) fn serialize<S: Serializer>(bytes: &Bytes, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(bytes)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Bytes, D::Error> {
        struct BytesVisitor;

        impl Visitor<'_> for BytesVisitor {
            type Value = Bytes;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes::copy_from_slice(bytes))
            }
        }

        d.deserialize_bytes(BytesVisitor)
    }
}
