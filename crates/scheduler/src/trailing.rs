//! A part that a later version has added at the end of an encoding.

use core::fmt;
use core::marker::PhantomData;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The first byte of a part that is present.
const PRESENT: u8 = 1;

/// An optional last part of a stored value or of a message.
///
/// `None` is encoded as nothing. Nodes of earlier versions ignore the part, and what they
/// write lacks it. The encoding must not be self-describing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trailing<T>(pub Option<T>);

impl<T: Serialize> Serialize for Trailing<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.0 {
            Some(part) => (PRESENT, part).serialize(serializer),
            None => serializer.serialize_unit(),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Trailing<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, TrailingVisitor(PhantomData))
    }
}

struct TrailingVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for TrailingVisitor<T> {
    type Value = Trailing<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a last part, or the end")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Trailing<T>, A::Error> {
        // The only error is that the encoding ends before the part.
        match sequence.next_element::<u8>() {
            Ok(Some(PRESENT)) => sequence.next_element().map(Trailing),
            _ => Ok(Trailing(None)),
        }
    }
}
