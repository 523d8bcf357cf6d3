use std::time::Duration;

use serde::Deserialize;

use crate::AccountLoad;

/// One of the two deployments, sized as in section 1 of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Gasprüf.
    Gaspruef,
    /// Kerbrat.
    Kerbrat,
}

/// Parts of a document that experiments need.
#[derive(Debug, Deserialize)]
struct DocumentNames {
    models: Vec<NamedEntry>,
    adapters: Vec<AdapterName>,
    accounts: Vec<NamedEntry>,
    weight_store: StoreLimits,
}

#[derive(Debug, Deserialize)]
struct NamedEntry {
    name: String,
}

#[derive(Debug, Deserialize)]
struct AdapterName {
    name: String,
    base: String,
}

#[derive(Debug, Deserialize)]
struct StoreLimits {
    loads_per_second: f64,
    at_once: u32,
}

impl Deployment {
    /// The deployment of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "gaspruef" => Some(Self::Gaspruef),
            "kerbrat" => Some(Self::Kerbrat),
            _ => None,
        }
    }

    /// Document of the model service.
    pub fn document(self) -> &'static str {
        match self {
            Self::Gaspruef => include_str!("../../../examples/gaspruef-llm.toml"),
            Self::Kerbrat => include_str!("../../../examples/kerbrat-llm.toml"),
        }
    }

    /// Group of the engines in the host list.
    pub fn engine_group(self) -> &'static str {
        match self {
            Self::Gaspruef => "pruef-llm",
            Self::Kerbrat => "atelier-llm",
        }
    }

    /// Number of model engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Gaspruef => 10,
            Self::Kerbrat => 20,
        }
    }

    /// Region.
    pub fn region(self) -> &'static str {
        match self {
            Self::Gaspruef => "at-east",
            Self::Kerbrat => "breizh",
        }
    }

    /// Places.
    pub fn places(self) -> &'static [&'static str] {
        match self {
            Self::Gaspruef => &["wien-a", "wien-b", "stp-1", "eis-1"],
            Self::Kerbrat => &["quimper", "rennes", "brest", "vannes"],
        }
    }

    /// One-way delay to clients.
    pub fn client_delay(self) -> Duration {
        match self {
            Self::Gaspruef => Duration::from_millis(1),
            Self::Kerbrat => Duration::from_millis(3),
        }
    }

    /// Value of the engines' flag `--fencing`.
    pub fn fencing(self) -> &'static str {
        match self {
            Self::Gaspruef => "honour",
            Self::Kerbrat => "ignore",
        }
    }

    /// Key of an account in the example document.
    pub fn key(self, account: &str) -> String {
        let name = match self {
            Self::Gaspruef => "gaspruef",
            Self::Kerbrat => "kerbrat",
        };
        format!("zk-{name}-{account}-key")
    }

    /// Loads per second of the weight store.
    pub fn loads_per_second(self) -> f64 {
        self.names().weight_store.loads_per_second
    }

    /// Loads at once at full speed.
    pub fn loads_at_once(self) -> u32 {
        self.names().weight_store.at_once
    }

    /// What is wrong with an account's load, for example a model that the document does not have.
    pub(crate) fn account_faults(self, account: &AccountLoad) -> Vec<String> {
        let names = self.names();
        let mut faults = Vec::new();
        if !names
            .accounts
            .iter()
            .any(|known| known.name == account.name)
        {
            faults.push(format!("`{}` is no account of the document", account.name));
        }
        for model in &account.models {
            if !names.has_model(model) {
                faults.push(format!("`{model}` is no model of the document"));
            }
        }
        faults
    }

    fn names(self) -> DocumentNames {
        toml::from_str(self.document())
            .expect("the example documents are checked by their own test")
    }
}

impl DocumentNames {
    fn has_model(&self, name: &str) -> bool {
        match name.split_once(':') {
            None => self.models.iter().any(|model| model.name == name),
            Some((base, adapter)) => {
                let mut adapters = self.adapters.iter();
                adapters.any(|known| known.base == base && known.name == adapter)
            }
        }
    }
}
