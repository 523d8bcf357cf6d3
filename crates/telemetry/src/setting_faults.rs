use std::fmt;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

/// Describes one setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag or field of a settings file, for example `--listen`.
    pub setting: String,
    /// What is wrong with the setting, for example `is missing`.
    pub problem: String,
}

/// Reports all settings that are missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[diagnostic(
    code(zinniahinge::settings),
    help("each flag can also be set by a ZINNIAHINGE_* environment variable, see --help")
)]
pub struct SettingsError {
    /// Faults in the order in which the settings were checked.
    pub faults: Vec<SettingFault>,
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bad settings:", self.faults.len())?;
        for SettingFault { setting, problem } in &self.faults {
            write!(f, "\n  {setting}: {problem}")?;
        }
        Ok(())
    }
}

/// Collects the faults found while settings are checked, so that one run reports all of them.
#[derive(Clone, Debug, Default)]
pub struct SettingFaults {
    faults: Vec<SettingFault>,
}

impl SettingFaults {
    /// Adds a fault of `setting`.
    pub fn add(&mut self, setting: &str, problem: impl Into<String>) {
        self.faults.push(SettingFault {
            setting: setting.to_owned(),
            problem: problem.into(),
        });
    }

    /// Returns the value of a setting that must be given and not empty; otherwise adds a fault and returns `None`.
    pub fn required(&mut self, setting: &str, value: Option<String>) -> Option<String> {
        match value {
            Some(value) if !value.is_empty() => Some(value),
            Some(_) => {
                self.add(setting, "is empty");
                None
            }
            None => {
                self.add(setting, "is missing");
                None
            }
        }
    }

    /// Returns the parsed value of a setting that must be given; otherwise adds a fault and returns `None`.
    pub fn parsed<T>(&mut self, setting: &str, value: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.required(setting, value)?;
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.add(setting, format!("`{value}`: {error}"));
                None
            }
        }
    }

    /// Returns the parsed value of a setting, or `default` if it is not given. Adds a fault and returns `None` if it is
    /// invalid.
    pub fn parsed_or<T>(&mut self, setting: &str, value: Option<String>, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match value {
            None => Some(default),
            value => self.parsed(setting, value),
        }
    }

    /// Returns a setting given in whole milliseconds, or `default` if it is not given. Adds a fault and returns `None`
    /// if it is invalid.
    pub fn millis_or(
        &mut self,
        setting: &str,
        value: Option<String>,
        default: Duration,
    ) -> Option<Duration> {
        let millis = self.parsed_or(setting, value, default.as_millis() as u64)?;
        Some(Duration::from_millis(millis))
    }

    /// Returns `settings` if no fault was added, otherwise all faults.
    ///
    /// `settings` may be `None` only if a fault was added; if none was, the error says that the settings are
    /// incomplete.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        let Self { mut faults } = self;
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            Some(_) => Err(SettingsError { faults }),
            None => {
                if faults.is_empty() {
                    faults.push(SettingFault {
                        setting: "settings".to_owned(),
                        problem: "are incomplete".to_owned(),
                    });
                }
                Err(SettingsError { faults })
            }
        }
    }
}
