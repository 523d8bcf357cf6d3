//! Reads TOML tables field by field and reports every fault with its place.

use std::ops::Range;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use zinniahinge_types::Name;

use crate::FaultKind;
use crate::fault_sink::FaultSink;

/// Longest name, bytes. Names become parts of keys in the key-value service and of log lines.
const MAX_NAME_BYTES: usize = 128;

const NAME_FORM: &str =
    "1 to 128 letters, digits, `-`, `_` or `.`, starting with a letter or digit";

// ----

/// One table of the document.
pub(crate) struct TableReader<'a> {
    sink: &'a FaultSink<'a>,
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    known: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    /// Reader of the whole document.
    pub(crate) fn root(sink: &'a FaultSink<'a>, table: &'a Spanned<DeTable<'a>>) -> Self {
        Self {
            sink,
            path: String::new(),
            span: 0..0,
            table: table.get_ref(),
            known: Vec::new(),
        }
    }

    /// Field that may be absent.
    pub(crate) fn optional(&mut self, name: &'static str) -> Option<FieldValue<'a>> {
        self.known.push(name);
        let (_, value) = self.table.iter().find(|(key, _)| *key.get_ref() == name)?;
        Some(FieldValue {
            sink: self.sink,
            path: self.field_path(name),
            span: value.span(),
            value: value.get_ref(),
        })
    }

    /// Field that must be present; `expected` says what belongs there.
    pub(crate) fn required(
        &mut self,
        name: &'static str,
        expected: &str,
    ) -> Option<FieldValue<'a>> {
        let field = self.optional(name);
        if field.is_none() {
            self.sink.fault(
                FaultKind::MissingField,
                &self.field_path(name),
                self.span.clone(),
                format!("field `{name}` is missing"),
                expected,
            );
        }
        field
    }

    /// Tables of a list; an absent list is empty. A list with another kind of item is reported and
    /// left out whole, so that the position of an entry always agrees with its path.
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

    /// Reports the fields that nobody asked for.
    pub(crate) fn finish(self) {
        let is_unknown = |key: &str| !self.known.contains(&key);
        for (key, _) in self
            .table
            .iter()
            .filter(|(key, _)| is_unknown(key.get_ref()))
        {
            self.sink.fault(
                FaultKind::UnknownField,
                &self.field_path(key.get_ref()),
                key.span(),
                format!("unknown field `{}`", key.get_ref()),
                format!("one of: {}", self.known.join(", ")),
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

/// One value of the document.
pub(crate) struct FieldValue<'a> {
    sink: &'a FaultSink<'a>,
    path: String,
    span: Range<usize>,
    value: &'a DeValue<'a>,
}

impl<'a> FieldValue<'a> {
    /// Any string.
    pub(crate) fn text(&self) -> Option<&'a str> {
        let text = self.value.as_str();
        self.typed(text, "a string")
    }

    /// String of the form that names have.
    pub(crate) fn name(&self) -> Option<Name> {
        let text = self.text()?;
        if is_name(text) {
            return Some(text.into());
        }
        self.invalid("not a valid name", NAME_FORM)
    }

    /// True or false.
    pub(crate) fn boolean(&self) -> Option<bool> {
        self.typed(self.value.as_bool(), "true or false")
    }

    /// Whole number in a range; `unit` follows the numbers in the fault.
    pub(crate) fn integer(&self, range: RangeInclusive<u64>, unit: &str) -> Option<u64> {
        let expected = || {
            format!(
                "a whole number from {} to {} {unit}",
                range.start(),
                range.end()
            )
        };
        let integer = self.typed(self.value.as_integer(), expected().trim_end())?;
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        match number.filter(|number| range.contains(number)) {
            None => self.out_of_range(&integer.to_string(), expected().trim_end()),
            number => number,
        }
    }

    /// [`Self::integer`] for ranges that fit 32 bits.
    pub(crate) fn small_integer(&self, range: RangeInclusive<u32>, unit: &str) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.integer(wide, unit).and_then(|n| n.try_into().ok())
    }

    /// Number above zero and at most `max`.
    pub(crate) fn positive_number(&self, max: f64) -> Option<f64> {
        let expected = format!("a number above 0 and at most {max}");
        let text = match self.value {
            DeValue::Integer(integer) if integer.radix() == 10 => Some(integer.as_str()),
            DeValue::Float(float) => Some(float.as_str()),
            _ => None,
        };
        let text = self.typed(text, &expected)?;
        let number = text.parse::<f64>().ok();
        match number.filter(|&number| number > 0.0 && number <= max) {
            None => self.out_of_range(text, &expected),
            number => number,
        }
    }

    /// One of a few words.
    pub(crate) fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        if let Some((_, chosen)) = choices.iter().find(|(word, _)| *word == text) {
            return Some(*chosen);
        }
        let words: Vec<String> = choices
            .iter()
            .map(|(word, _)| format!("`{word}`"))
            .collect();
        self.invalid(
            "not one of the allowed words",
            &format!("one of: {}", words.join(", ")),
        )
    }

    /// Items of a list.
    pub(crate) fn list(&self) -> Option<Vec<FieldValue<'a>>> {
        let items = self.typed(self.value.as_array(), "a list")?;
        let numbered = items.iter().enumerate();
        let fields = numbered.map(|(index, item)| FieldValue {
            sink: self.sink,
            path: format!("{}[{index}]", self.path),
            span: item.span(),
            value: item.get_ref(),
        });
        Some(fields.collect())
    }

    /// Table.
    pub(crate) fn table(&self) -> Option<TableReader<'a>> {
        let table = self.typed(self.value.as_table(), "a table")?;
        Some(TableReader {
            sink: self.sink,
            path: self.path.clone(),
            span: self.span.clone(),
            table,
            known: Vec::new(),
        })
    }

    /// Whether the value is a string; says nothing if it is not.
    pub(crate) fn is_text(&self) -> bool {
        self.value.is_str()
    }

    /// Keeps the value out of printed diagnostics.
    pub(crate) fn hide(&self) {
        self.sink.hide(self.span.clone());
    }

    /// Reports a value of the right type and the wrong form.
    pub(crate) fn invalid<T>(&self, problem: &str, expected: &str) -> Option<T> {
        self.fault(FaultKind::InvalidValue, problem, expected)
    }

    /// Reports a fault at this value. Always `None`, so that it can end a reading function.
    pub(crate) fn fault<T>(&self, kind: FaultKind, problem: &str, expected: &str) -> Option<T> {
        let span = self.span.clone();
        self.sink.forget(&self.path);
        self.sink.fault(kind, &self.path, span, problem, expected);
        None
    }

    fn out_of_range<T>(&self, found: &str, expected: &str) -> Option<T> {
        self.fault(
            FaultKind::OutOfRange,
            &format!("{found} is out of range"),
            expected,
        )
    }

    fn typed<T>(&self, value: Option<T>, expected: &str) -> Option<T> {
        if value.is_none() {
            let found = format!("found {}", type_name(self.value));
            return self.fault(FaultKind::WrongType, &found, expected);
        }
        self.sink.record(&self.path, self.span.clone());
        value
    }
}

fn is_name(text: &str) -> bool {
    let is_inner = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_inner)
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
