//! Grants of models and adapters to client accounts.

use std::fmt;

use zinniahinge_types::Name;

/// One entry of an account's `models` list: the models or adapters that it permits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelGrant {
    /// Every model and adapter of the service, written `*`.
    Any,
    /// The base model without an adapter, written `base`.
    Base(Name),
    /// Every adapter of the base model but not the base model alone, written `base:*`.
    AnyAdapter(Name),
    /// One adapter, written `base:adapter`. The names are in this order.
    Adapter(Name, Name),
}

impl ModelGrant {
    /// Parses the text form. Any text is parsed; [`check`](fn@crate::check) rejects names that the
    /// document doesn't define.
    pub fn from_text(text: &str) -> Self {
        match text.split_once(':') {
            None if text == "*" => Self::Any,
            None => Self::Base(text.into()),
            Some((base, "*")) => Self::AnyAdapter(base.into()),
            Some((base, adapter)) => Self::Adapter(base.into(), adapter.into()),
        }
    }

    /// Returns true if the grant permits requests for `base` with `adapter`, or without an adapter if
    /// that is `None`.
    pub fn covers(&self, base: &str, adapter: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Base(granted) => adapter.is_none() && **granted == *base,
            Self::AnyAdapter(granted) => adapter.is_some() && **granted == *base,
            Self::Adapter(granted, name) => **granted == *base && adapter == Some(&**name),
        }
    }

    /// Returns the base model that the grant names; `None` if it covers every model.
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
