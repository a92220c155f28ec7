//! From a checked tree to the generated types.

use serde::de::value::{Error, MapDeserializer, SeqDeserializer, StrDeserializer};
use serde::de::{Deserializer, Error as _, IntoDeserializer, Visitor};
use serde::forward_to_deserialize_any;

use super::tree::{Node, Value};

/// A tree that serde reads from.
#[derive(Clone, Copy)]
pub(super) struct Reader<'n, 'a>(pub(super) &'n Node<'a>);

impl<'de> IntoDeserializer<'de, Error> for Reader<'_, '_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl<'de> Deserializer<'de> for Reader<'_, '_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        match &self.0.value {
            Value::Null => visitor.visit_unit(),
            Value::Flag(flag) => visitor.visit_bool(*flag),
            Value::Number(text) => number(text, visitor),
            Value::Text(text) => visitor.visit_str(text),
            Value::List(nodes) => visitor.visit_seq(SeqDeserializer::new(nodes.iter().map(Reader))),
            Value::Object(entries) => {
                let pairs = entries
                    .iter()
                    .map(|entry| (&*entry.key, Reader(&entry.node)));
                visitor.visit_map(MapDeserializer::new(pairs))
            }
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_some(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        match &self.0.value {
            Value::Text(text) => visitor.visit_enum(StrDeserializer::new(text)),
            _ => Err(Error::custom("expected a string")),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, Error> {
    if let Ok(whole) = text.parse::<u64>() {
        return visitor.visit_u64(whole);
    }
    if let Ok(whole) = text.parse::<i64>() {
        return visitor.visit_i64(whole);
    }
    match text.parse::<f64>() {
        Ok(number) => visitor.visit_f64(number),
        Err(_) => Err(Error::custom("expected a number")),
    }
}
