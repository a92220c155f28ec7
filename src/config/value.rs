//! Deserializes a checked tree into the generated types.

use serde::de::value::{CowStrDeserializer, Error, MapDeserializer, SeqDeserializer};
use serde::de::{Deserializer, Error as _, IntoDeserializer, Visitor};
use serde::forward_to_deserialize_any;

use super::layer::Kind;
use super::tree::View;

/// A serde deserializer for a value of the merged tree.
#[derive(Clone, Copy)]
pub(super) struct ValueDeserializer<'t>(pub(super) View<'t>);

impl<'de> IntoDeserializer<'de, Error> for ValueDeserializer<'_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl<'de> Deserializer<'de> for ValueDeserializer<'_> {
    type Error = Error;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let view = self.0;
        match view.kind() {
            Kind::Null => visitor.visit_unit(),
            Kind::Boolean => visitor.visit_bool(view.raw() == "true"),
            Kind::Number => visit_number(view.raw(), visitor),
            Kind::Text => visitor.visit_str(&view.text().unwrap_or_default()),
            Kind::List => {
                visitor.visit_seq(SeqDeserializer::new(view.children().map(ValueDeserializer)))
            }
            Kind::Object => {
                let pairs = view
                    .children()
                    .map(|entry| (entry.key(), ValueDeserializer(entry)));
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
        match self.0.text() {
            Some(text) => visitor.visit_enum(CowStrDeserializer::new(text)),
            None => Err(Error::custom("expected a string")),
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

/// Visits a number as the first of `u64`, `i64` and `f64` that can represent it.
fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, Error> {
    if let Ok(integer) = text.parse::<u64>() {
        return visitor.visit_u64(integer);
    }
    if let Ok(integer) = text.parse::<i64>() {
        return visitor.visit_i64(integer);
    }
    match text.parse::<f64>() {
        Ok(number) => visitor.visit_f64(number),
        Err(_) => Err(Error::custom("expected a number")),
    }
}
