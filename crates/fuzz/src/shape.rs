//! Describes what a type reads, field by field, so that a change of an encoding can be named.

use {
    serde::de::{
        DeserializeOwned, DeserializeSeed, EnumAccess, Error as _, IntoDeserializer, MapAccess, SeqAccess,
        VariantAccess, Visitor,
        value::{Error, U32Deserializer},
    },
    std::collections::BTreeMap,
};

/// Maximum number of values that are read to visit every variant of every enum.
const MAX_PASSES: usize = 2_000;

/// Returns one line for each struct and each variant of an enum that a type consists of, with the fields in the order in
/// which they are encoded.
///
/// ```
/// let shape = hemlockford_fuzz::shape::<(u8, Option<Vec<String>>)>();
/// assert_eq!(shape, ["= (u8, [text]?)"]);
/// ```
pub fn shape<T: DeserializeOwned>() -> Vec<String> {
    let mut tracer = Tracer::default();
    for _ in 0..MAX_PASSES {
        T::deserialize(&mut tracer).expect("every type reads the values that it asks for");
        let root = std::mem::take(&mut tracer.found);
        tracer.lines.insert(String::new(), root);
        if tracer.variants.values().all(|(next, count)| next >= count) {
            break;
        }
    }
    tracer.lines.into_iter().map(|(name, content)| format!("{name}= {content}")).collect()
}

/// A source of values that records which ones are asked for.
#[derive(Default)]
struct Tracer {
    lines: BTreeMap<String, String>,
    /// For each enum, the next variant to visit and their number.
    variants: BTreeMap<&'static str, (usize, usize)>,
    /// Description of the last value.
    found: String,
}

/// The values of a struct, a tuple, a list or a map.
struct Parts<'a> {
    tracer: &'a mut Tracer,
    names: &'static [&'static str],
    left: usize,
    found: Vec<String>,
}

struct Variant<'a> {
    tracer: &'a mut Tracer,
    index: u32,
    name: String,
}

impl Tracer {
    fn parts<'de, V: Visitor<'de>>(
        &mut self,
        names: &'static [&'static str],
        count: usize,
        visitor: V,
    ) -> Result<(V::Value, String), Error> {
        let mut parts = Parts { tracer: self, names, left: count, found: Vec::new() };
        let value = visitor.visit_seq(&mut parts)?;
        Ok((value, parts.found.join(", ")))
    }

    fn describe<T>(&mut self, description: impl Into<String>, value: Result<T, Error>) -> Result<T, Error> {
        self.found = description.into();
        value
    }
}

macro_rules! scalars {
    ($($method:ident $visit:ident $value:expr, $name:literal;)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
            let value = visitor.$visit($value);
            self.describe($name, value)
        })*
    };
}

impl<'de> serde::Deserializer<'de> for &mut Tracer {
    type Error = Error;

    scalars! {
        deserialize_bool visit_bool false, "bool";
        deserialize_u8 visit_u8 0, "u8";
        deserialize_u16 visit_u16 0, "u16";
        deserialize_u32 visit_u32 0, "u32";
        deserialize_u64 visit_u64 0, "u64";
        deserialize_u128 visit_u128 0, "u128";
        deserialize_i8 visit_i8 0, "i8";
        deserialize_i16 visit_i16 0, "i16";
        deserialize_i32 visit_i32 0, "i32";
        deserialize_i64 visit_i64 0, "i64";
        deserialize_f32 visit_f32 0.0, "f32";
        deserialize_f64 visit_f64 0.0, "f64";
        deserialize_char visit_char 'a', "char";
        deserialize_str visit_str "", "text";
        deserialize_string visit_string String::new(), "text";
        deserialize_bytes visit_bytes &[], "bytes";
        deserialize_byte_buf visit_byte_buf Vec::new(), "bytes";
    }

    fn is_human_readable(&self) -> bool {
        false
    }

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, Error> {
        Err(Error::custom("the encoding does not describe itself"))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = visitor.visit_some(&mut *self);
        let description = format!("{}?", self.found);
        self.describe(description, value)
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let value = visitor.visit_unit();
        self.describe("()", value)
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(self, name: &'static str, visitor: V) -> Result<V::Value, Error> {
        let value = visitor.visit_unit();
        self.describe(name, value)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(self, name: &'static str, visitor: V) -> Result<V::Value, Error> {
        let value = visitor.visit_newtype_struct(&mut *self);
        self.lines.insert(format!("{name} "), format!("({})", self.found));
        self.describe(name, value)
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let (value, found) = self.parts(&[], 1, visitor)?;
        self.describe(format!("[{found}]"), Ok(value))
    }

    fn deserialize_tuple<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Error> {
        let (value, found) = self.parts(&[], len, visitor)?;
        self.describe(format!("({found})"), Ok(value))
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        let (value, found) = self.parts(&[], len, visitor)?;
        self.lines.insert(format!("{name} "), format!("({found})"));
        self.describe(name, Ok(value))
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        let mut parts = Parts { tracer: self, names: &[], left: 2, found: Vec::new() };
        let value = visitor.visit_map(&mut parts)?;
        let found = parts.found.join(": ");
        self.describe(format!("{{{found}}}"), Ok(value))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let (value, found) = self.parts(fields, fields.len(), visitor)?;
        self.lines.insert(format!("{name} "), format!("{{ {found} }}"));
        self.describe(name, Ok(value))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let (next, _) = self.variants.entry(name).or_insert((0, variants.len()));
        let index = *next % variants.len();
        *next += 1;
        let variant = format!("{name} {index} {} ", variants[index]);
        let value = visitor.visit_enum(Variant { tracer: &mut *self, index: index as u32, name: variant })?;
        self.describe(name, Ok(value))
    }

    fn deserialize_identifier<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }
}

impl<'de> SeqAccess<'de> for &mut Parts<'_> {
    type Error = Error;

    fn next_element_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, Error> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        let value = seed.deserialize(&mut *self.tracer)?;
        let name = self.names.get(self.found.len()).map(|name| format!("{name}: ")).unwrap_or_default();
        self.found.push(format!("{name}{}", self.tracer.found));
        Ok(Some(value))
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.left)
    }
}

impl<'de> MapAccess<'de> for &mut Parts<'_> {
    type Error = Error;

    fn next_key_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, Error> {
        SeqAccess::next_element_seed(self, seed)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Error> {
        SeqAccess::next_element_seed(self, seed)?.ok_or_else(|| Error::custom("a key without a value"))
    }
}

impl<'de> EnumAccess<'de> for Variant<'_> {
    type Error = Error;
    type Variant = Self;

    fn variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<(S::Value, Self), Error> {
        let index: U32Deserializer<Error> = self.index.into_deserializer();
        Ok((seed.deserialize(index)?, self))
    }
}

impl<'de> VariantAccess<'de> for Variant<'_> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        self.tracer.lines.insert(self.name, String::new());
        Ok(())
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, Error> {
        let value = seed.deserialize(&mut *self.tracer)?;
        self.tracer.lines.insert(self.name, format!("({})", self.tracer.found));
        Ok(value)
    }

    fn tuple_variant<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, Error> {
        let (value, found) = self.tracer.parts(&[], len, visitor)?;
        self.tracer.lines.insert(self.name, format!("({found})"));
        Ok(value)
    }

    fn struct_variant<V: Visitor<'de>>(self, fields: &'static [&'static str], visitor: V) -> Result<V::Value, Error> {
        let (value, found) = self.tracer.parts(fields, fields.len(), visitor)?;
        self.tracer.lines.insert(self.name, format!("{{ {found} }}"));
        Ok(value)
    }
}
