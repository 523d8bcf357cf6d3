//! Reads TOML tables field by field and reports every fault with its path and place in the text.

use std::ops::Range;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use zinniahinge_types::Name;

use crate::FaultKind;
use crate::fault_sink::FaultSink;

/// Maximum length of names, which become parts of log lines and of keys in the key-value service.
const MAX_NAME_BYTES: usize = 128;

/// Description of valid names in faults; states [`MAX_NAME_BYTES`].
const EXPECTED_NAME: &str =
    "1 to 128 letters, digits, `-`, `_` or `.`, starting with a letter or digit";

// ----

/// Reads one table of the document. [`Self::reject_unknown_fields`] must be called last.
pub(crate) struct TableReader<'a> {
    sink: &'a FaultSink<'a>,
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    known_fields: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader of the document's top-level table.
    pub(crate) fn root(sink: &'a FaultSink<'a>, table: &'a Spanned<DeTable<'a>>) -> Self {
        Self {
            sink,
            path: String::new(),
            span: 0..0,
            table: table.get_ref(),
            known_fields: Vec::new(),
        }
    }

    /// Returns a field, or `None` if it is absent, which isn't a fault.
    pub(crate) fn optional(&mut self, name: &'static str) -> Option<FieldValue<'a>> {
        self.known_fields.push(name);
        let (_, value) = self.table.iter().find(|(key, _)| *key.get_ref() == name)?;
        Some(FieldValue {
            sink: self.sink,
            path: self.field_path(name),
            span: value.span(),
            value: value.get_ref(),
        })
    }

    /// Returns a field and reports a fault if it is absent; `expected` describes a valid value.
    pub(crate) fn required(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Option<FieldValue<'a>> {
        let field = self.optional(name);
        if field.is_none() {
            self.sink.add_fault(
                FaultKind::MissingField,
                &self.field_path(name),
                self.span.clone(),
                format!("field `{name}` is missing"),
                expected,
            );
        }
        field
    }

    /// Returns the tables of a list; an absent list is empty. If an item isn't a table, that is reported
    /// and the whole list is dropped, so that the index of an entry always agrees with its path.
    pub(crate) fn tables(&mut self, name: &'static str) -> Vec<TableReader<'a>> {
        let items = self.optional(name).and_then(|v| v.list());
        let items = items.unwrap_or_default();
        let count = items.len();
        let tables: Vec<_> = items.iter().filter_map(FieldValue::table).collect();
        match tables.len() == count {
            true => tables,
            false => Vec::new(),
        }
    }

    /// Reports every field that was requested neither as optional nor as required.
    pub(crate) fn reject_unknown_fields(self) {
        let is_unknown = |key: &str| !self.known_fields.contains(&key);
        for (key, _) in self
            .table
            .iter()
            .filter(|(key, _)| is_unknown(key.get_ref()))
        {
            self.sink.add_fault(
                FaultKind::UnknownField,
                &self.field_path(key.get_ref()),
                key.span(),
                format!("unknown field `{}`", key.get_ref()),
                format!("one of: {}", self.known_fields.join(", ")),
            );
        }
    }

    fn field_path(&self, name: &str) -> String {
        match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        }
    }
}

// ----

/// A value of the document. The methods that convert it report a fault and return `None` if they can't.
pub(crate) struct FieldValue<'a> {
    sink: &'a FaultSink<'a>,
    path: String,
    span: Range<usize>,
    value: &'a DeValue<'a>,
}

impl<'a> FieldValue<'a> {
    /// Returns a string of any content.
    pub(crate) fn text(&self) -> Option<&'a str> {
        let text = self.value.as_str();
        self.require_type(text, "a string")
    }

    /// Returns a string that is a valid name.
    pub(crate) fn name(&self) -> Option<Name> {
        let text = self.text()?;
        if is_name(text) {
            return Some(text.into());
        }
        self.reject_invalid("not a valid name", EXPECTED_NAME)
    }

    /// Returns a boolean.
    pub(crate) fn boolean(&self) -> Option<bool> {
        self.require_type(self.value.as_bool(), "true or false")
    }

    /// Returns an integer in `range`; `unit` is appended to the expected range in the fault.
    pub(crate) fn integer(&self, range: RangeInclusive<u64>, unit: &str) -> Option<u64> {
        let expected = || {
            format!(
                "a whole number from {} to {} {unit}",
                range.start(),
                range.end()
            )
        };
        let integer = self.require_type(self.value.as_integer(), expected().trim_end())?;
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        match number.filter(|number| range.contains(number)) {
            None => self.reject_out_of_range(&integer.to_string(), expected().trim_end()),
            number => number,
        }
    }

    /// Returns a 32-bit integer in `range`, as [`Self::integer`] does.
    pub(crate) fn small_integer(&self, range: RangeInclusive<u32>, unit: &str) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.integer(wide, unit).and_then(|n| n.try_into().ok())
    }

    /// Returns a number above 0 and at most `max`, written as an integer or a decimal number.
    pub(crate) fn positive_number(&self, max: f64) -> Option<f64> {
        let expected = format!("a number above 0 and at most {max}");
        let text = match self.value {
            DeValue::Integer(integer) if integer.radix() == 10 => Some(integer.as_str()),
            DeValue::Float(float) => Some(float.as_str()),
            _ => None,
        };
        let text = self.require_type(text, &expected)?;
        let number = text.parse::<f64>().ok();
        match number.filter(|&number| number > 0.0 && number <= max) {
            None => self.reject_out_of_range(text, &expected),
            number => number,
        }
    }

    /// Returns the value that `choices` assigns to the word.
    pub(crate) fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        if let Some((_, chosen)) = choices.iter().find(|(word, _)| *word == text) {
            return Some(*chosen);
        }
        let words: Vec<String> = choices
            .iter()
            .map(|(word, _)| format!("`{word}`"))
            .collect();
        self.reject_invalid(
            "not one of the allowed values",
            &format!("one of: {}", words.join(", ")),
        )
    }

    /// Returns the items of a list.
    pub(crate) fn list(&self) -> Option<Vec<FieldValue<'a>>> {
        let items = self.require_type(self.value.as_array(), "a list")?;
        let numbered = items.iter().enumerate();
        let fields = numbered.map(|(index, item)| FieldValue {
            sink: self.sink,
            path: format!("{}[{index}]", self.path),
            span: item.span(),
            value: item.get_ref(),
        });
        Some(fields.collect())
    }

    /// Returns a reader of a table.
    pub(crate) fn table(&self) -> Option<TableReader<'a>> {
        let table = self.require_type(self.value.as_table(), "a table")?;
        Some(TableReader {
            sink: self.sink,
            path: self.path.clone(),
            span: self.span.clone(),
            table,
            known_fields: Vec::new(),
        })
    }

    /// Returns true if the value is a string; reports no fault otherwise.
    pub(crate) fn is_string(&self) -> bool {
        self.value.is_str()
    }

    /// Masks the value in printed diagnostics.
    pub(crate) fn mask(&self) {
        self.sink.mask(self.span.clone());
    }

    /// Reports a value that has the right type but isn't allowed. Always returns `None`.
    pub(crate) fn reject_invalid<T>(&self, problem: &str, expected: &str) -> Option<T> {
        self.reject(FaultKind::InvalidValue, problem, expected)
    }

    /// Reports a fault at this value. Always returns `None`, so that conversions can return its result.
    pub(crate) fn reject<T>(&self, kind: FaultKind, problem: &str, expected: &str) -> Option<T> {
        let span = self.span.clone();
        self.sink.mark_invalid(&self.path);
        self.sink
            .add_fault(kind, &self.path, span, problem, expected);
        None
    }

    fn reject_out_of_range<T>(&self, found: &str, expected: &str) -> Option<T> {
        self.reject(
            FaultKind::OutOfRange,
            &format!("{found} is out of range"),
            expected,
        )
    }

    /// Passes on a value that has the expected TOML type and marks it as valid, or reports a fault.
    fn require_type<T>(&self, value: Option<T>, expected: &str) -> Option<T> {
        if value.is_none() {
            let found = format!("found {}", type_name(self.value));
            return self.reject(FaultKind::WrongType, &found, expected);
        }
        self.sink.mark_valid(&self.path, self.span.clone());
        value
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_start_allowed = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    is_start_allowed && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a decimal number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
