//! Memory sizes that are written with a binary unit.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Units with their size in bytes, largest first: [`MemorySize`] prints with the first that divides it.
const UNITS: [(&str, u64); 5] = [
    ("TiB", 1 << 40),
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A memory size in bytes, written with a unit, for example `14 GiB` or `1.5 GiB`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct MemorySize(pub u64);

impl MemorySize {
    /// Returns the size in bytes.
    pub fn bytes(self) -> u64 {
        self.0
    }
}

impl FromStr for MemorySize {
    type Err = MemorySizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = text.split_once(' ').ok_or(MemorySizeError)?;
        let (_, scale) = UNITS
            .into_iter()
            .find(|(name, _)| *name == unit)
            .ok_or(MemorySizeError)?;
        parse_scaled(number, scale).map(Self).ok_or(MemorySizeError)
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides_exactly = |scale: u64| self.0 >= scale && self.0.is_multiple_of(scale);
        let largest_unit = UNITS.into_iter().find(|(_, scale)| divides_exactly(*scale));
        let (unit, scale) = largest_unit.unwrap_or(("B", 1));
        write!(f, "{} {unit}", self.0 / scale)
    }
}

/// The text isn't a decimal number with at most 3 fraction digits, one space, and one of `B`, `KiB`,
/// `MiB`, `GiB` and `TiB`, or the size exceeds 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a memory size such as \"14 GiB\"")]
pub struct MemorySizeError;

/// Multiplies a decimal number with at most three fraction digits by `scale`, rounding up to whole
/// bytes; `None` if the number is malformed or the result exceeds 64 bits.
fn parse_scaled(number: &str, scale: u64) -> Option<u64> {
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let all_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !all_digits(whole) || !all_digits(fraction) || fraction.len() > 3 {
        return None;
    }
    let thousandths: u64 = format!("{fraction:0<3}").parse().ok()?;
    let whole_bytes = whole.parse::<u64>().ok()?.checked_mul(scale)?;
    let fraction_bytes = thousandths.checked_mul(scale)?.div_ceil(1000);
    whole_bytes.checked_add(fraction_bytes)
}
