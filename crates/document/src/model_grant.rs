//! Models that a client account may use.

use std::fmt;

use zinniahinge_types::Name;

/// One entry of an account's `models` list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelGrant {
    /// `*`: every model and adapter of the service.
    Any,
    /// `base`: the base model without an adapter.
    Base(Name),
    /// `base:*`: every adapter of the base model, but not the base model alone.
    AnyAdapter(Name),
    /// `base:adapter`.
    Adapter(Name, Name),
}

impl ModelGrant {
    /// Reads the text form. Whether the names exist is checked against the document.
    pub fn from_text(text: &str) -> Self {
        match text.split_once(':') {
            None if text == "*" => Self::Any,
            None => Self::Base(text.into()),
            Some((base, "*")) => Self::AnyAdapter(base.into()),
            Some((base, adapter)) => Self::Adapter(base.into(), adapter.into()),
        }
    }

    /// Whether the grant covers a request for `base`, with `adapter` if one is named.
    pub fn covers(&self, base: &str, adapter: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Base(granted) => adapter.is_none() && **granted == *base,
            Self::AnyAdapter(granted) => adapter.is_some() && **granted == *base,
            Self::Adapter(granted, name) => **granted == *base && adapter == Some(&**name),
        }
    }

    /// Base model that the grant names; `None` for every model.
    pub fn base(&self) -> Option<&Name> {
        match self {
            Self::Any => None,
            Self::Base(base) | Self::AnyAdapter(base) | Self::Adapter(base, _) => Some(base),
        }
    }
}

impl fmt::Display for ModelGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::Base(base) => f.write_str(base),
            Self::AnyAdapter(base) => write!(f, "{base}:*"),
            Self::Adapter(base, adapter) => write!(f, "{base}:{adapter}"),
        }
    }
}
