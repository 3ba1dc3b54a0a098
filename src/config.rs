//! The one place where a gateway's configuration is read, checked and given defaults.
//!
//! `RELAY_CONFIG` names a JSON file; `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override its keys `name`, `listen`
//! and `discovery`. Every error names the key at fault. The file can be read again while the gateway runs; the
//! configuration in force stays where that fails.

use crate::interface::Settings;
use crate::settings::{EndpointRecord, Setup, UnknownValue};
use serde::Deserialize;
use std::net::SocketAddr;

/// The name of a gateway that neither the file nor the environment names.
const DEFAULT_NAME: &str = "asterreel";
/// The default of `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The fewest descriptors that a gateway can work with.
const MIN_DESCRIPTORS: usize = 64;
/// The base of `seed`.
const SEED_RADIX: u32 = 16;

/// A gateway's configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// `discovery` as the file has it, to tell whether it has changed there.
    discovery_in_file: Option<String>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The list of endpoints as last known; its age is not known.
    pub known_endpoints: EndpointList,
    /// The settings as the platform gives them.
    pub setup: Setup,
    /// The settings in the types of [`crate::interface`].
    pub settings: Settings,
}

/// A list of endpoints, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
// The error message of a configuration names the type that it expected.
#[serde(expecting = "struct Listing")]
pub struct EndpointList {
    /// The version of the list.
    pub revision: u64,
    /// Whether it has all endpoints, not only those that changed.
    #[serde(default)]
    pub complete: bool,
    /// The records.
    #[serde(default)]
    pub members: Vec<EndpointRecord>,
}

/// What is wrong with the configuration, and where.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {key}: {fault}")]
pub struct ConfigError {
    /// The key at fault, or the variable of the environment.
    pub key: String,
    /// What is wrong with it.
    pub fault: ConfigFault,
}

/// What is wrong with a key of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A variable of the environment that has to be set.
    #[error("is not set")]
    NotSet,
    /// A key that has to be there.
    #[error("is missing")]
    Missing,
    /// The file can't be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// No JSON, or a value of another type.
    #[error("{0}")]
    Json(serde_json::Error),
    /// A text that is no address.
    #[error("{0:?} is not an address and port")]
    NotAnAddress(String),
    /// A seed that is no number.
    #[error("{0:?} is not a number of 64 bits in hex")]
    NotASeed(String),
    /// Fewer file descriptors than a gateway needs.
    #[error("must be at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors,
    /// A time that must not be 0.
    #[error("must not be 0")]
    Zero,
    /// A value in the settings that this program does not know.
    #[error(transparent)]
    UnknownValue(#[from] UnknownValue),
}

impl ConfigFault {
    fn at(self, key: impl Into<String>) -> ConfigError {
        ConfigError {
            key: key.into(),
            fault: self,
        }
    }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Setup,
}

impl File {
    fn parse(text: &[u8]) -> Result<File, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let key = error.path().to_string();
            ConfigFault::Json(error.into_inner()).at(key)
        })
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let Some(seed) = &self.seed else {
            return Ok(0);
        };
        u64::from_str_radix(seed, SEED_RADIX)
            .map_err(|_| ConfigFault::NotASeed(seed.clone()).at("seed"))
    }

    /// The settings in the types of [`crate::interface`], checked beyond what their types say.
    fn checked_settings(&self) -> Result<Settings, ConfigError> {
        let settings = self
            .settings
            .settings()
            .map_err(|unknown| ConfigFault::from(unknown).at("settings"))?;
        let classes = &self.settings.profiles;
        if let Some(nameless) = classes.iter().position(|class| class.name.is_empty()) {
            let key = format!("settings.Profiles[{nameless}].Name");
            return Err(ConfigFault::Missing.at(key));
        }
        if self.settings.allowed.connect_timeout_us == 0 {
            return Err(ConfigFault::Zero.at("settings.Allowed.ConnectTimeoutUs"));
        }
        Ok(settings)
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Limits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_DESCRIPTORS {
            return Err(ConfigFault::TooFewDescriptors.at("limits.sockets"));
        }
        Ok(())
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: DEFAULT_DESCRIPTORS,
        }
    }
}

impl Config {
    /// Reads the configuration that the environment names.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::parse(&text_from_env()?, variable)
    }

    /// Reads the file again; this configuration stays in force where that fails.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn reload_from_env(&self) -> Result<Config, ConfigError> {
        self.reload(&text_from_env()?, variable)
    }

    /// Checks the text of a configuration; `variable` looks up the environment.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn parse(
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        Config::check(text, variable, None)
    }

    /// Checks a text that is to take the place of this configuration.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn reload(
        &self,
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        Config::check(text, variable, Some(self))
    }

    fn check(
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
        before: Option<&Config>,
    ) -> Result<Config, ConfigError> {
        let file = File::parse(text)?;
        let address = |name: &str, key: &str, in_file: Option<&str>| match variable(name) {
            Some(text) => parse_address(name, &text),
            None => parse_address(key, in_file.ok_or_else(|| ConfigFault::Missing.at(key))?),
        };
        let listen = address("RELAY_LISTEN", "listen", file.listen.as_deref())?;
        // The environment of a running process can't change. A key that has changed in the file since is newer
        // and wins; one that has not leaves what was in force.
        let discovery = match (before, file.discovery.as_deref()) {
            (Some(before), in_file) if in_file == before.discovery_in_file.as_deref() => {
                before.discovery
            }
            (Some(_), Some(in_file)) => parse_address("discovery", in_file)?,
            (_, in_file) => address("RELAY_DISCOVERY", "discovery", in_file)?,
        };
        let seed = file.seed()?;
        file.limits.check()?;
        let settings = file.checked_settings()?;
        Ok(Config {
            name: variable("RELAY_NAME")
                .or(file.name)
                .unwrap_or_else(|| DEFAULT_NAME.into()),
            listen,
            discovery,
            discovery_in_file: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            known_endpoints: file.known,
            setup: file.settings,
            settings,
        })
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn text_from_env() -> Result<Vec<u8>, ConfigError> {
    const KEY: &str = "RELAY_CONFIG";
    let path = variable(KEY).ok_or_else(|| ConfigFault::NotSet.at(KEY))?;
    std::fs::read(&path).map_err(|error| ConfigFault::Unreadable { path, error }.at(KEY))
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigFault::NotAnAddress(text.to_owned()).at(key))
}
