//! Header fields in order.

use std::fmt;
use std::ops::Range;

/// Header fields in order, names in lower case.
///
/// All names and values stand in one string: a message has a dozen of them, and each is passed on
/// and dropped within a millisecond.
#[derive(Clone, Default)]
pub struct Headers {
    text: String,
    fields: Vec<Field>,
}

/// Where a field's name and value stand; the value follows its name.
#[derive(Clone, Copy, Debug)]
struct Field {
    start: u32,
    name: u32,
    value: u32,
}

impl Field {
    fn name(self) -> Range<usize> {
        self.start as usize..self.start as usize + self.name as usize
    }

    fn value(self) -> Range<usize> {
        let start = self.start as usize + self.name as usize;
        start..start + self.value as usize
    }
}

impl Headers {
    /// Room for so many fields of so many bytes in all.
    pub(crate) fn with_capacity(fields: usize, bytes: usize) -> Self {
        Self { text: String::with_capacity(bytes), fields: Vec::with_capacity(fields) }
    }

    /// Adds a field; `name` must be in lower case.
    pub fn push(&mut self, name: impl AsRef<str>, value: impl AsRef<str>) {
        let (name, value) = (name.as_ref(), value.as_ref());
        let start = self.text.len() as u32;
        self.text.push_str(name);
        self.text.push_str(value);
        let field = Field { start, name: name.len() as u32, value: value.len() as u32 };
        self.fields.push(field);
    }

    /// Adds a field whose name may be in any case.
    pub(crate) fn push_any_case(&mut self, name: &str, value: &str) {
        let start = self.text.len();
        self.push(name, value);
        self.text[start..start + name.len()].make_ascii_lowercase();
    }

    /// The first value under `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|field| &self.text[field.name()] == name)?;
        Some(&self.text[found.value()])
    }

    /// All fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|field| (&self.text[field.name()], &self.text[field.value()]))
    }

    /// How many fields there are.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &str) {
        let text = &self.text;
        self.fields.retain(|field| &text[field.name()] != name);
    }
}

impl From<Vec<(String, String)>> for Headers {
    /// Fields in order; names must be in lower case.
    fn from(fields: Vec<(String, String)>) -> Self {
        let mut headers = Self::default();
        for (name, value) in fields {
            headers.push(name, value);
        }
        headers
    }
}

impl PartialEq for Headers {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl Eq for Headers {}

impl fmt::Debug for Headers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_map().entries(self.iter()).finish()
    }
}
