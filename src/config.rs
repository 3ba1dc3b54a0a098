//! The one place where a gateway's configuration is read, checked and given defaults.
//!
//! `RELAY_CONFIG` names a JSON file; `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override its keys
//! `name`, `listen` and `discovery`. Every error names the key at fault. The file can be read again while the
//! gateway runs.

use crate::interface::Settings;
use crate::settings::{EndpointRecord, Setup};
use serde::Deserialize;
use std::net::SocketAddr;

/// All that a gateway is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The same as the file has it, to tell whether it has changed there.
    discovery_in_file: Option<String>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The list of members as last had; may be old.
    pub known: EndpointList,
    /// The settings as they were told.
    pub setup: Setup,
    /// The settings in the module's words.
    pub settings: Settings,
}

/// A list of members, or the changes to it.
#[derive(Clone, Debug, Default, Deserialize)]
// The error message of a configuration names the type that it expected.
#[serde(expecting = "struct Listing")]
pub struct EndpointList {
    /// The version of the list.
    pub revision: u64,
    /// All members, not only those that changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries.
    #[serde(default)]
    pub members: Vec<EndpointRecord>,
}

/// What is wrong with the configuration, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with it.
    pub fault: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.fault)
    }
}

impl std::error::Error for ConfigError {}

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

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024 }
    }
}

/// The fewest descriptors that a gateway can work with.
const LEAST_SOCKETS: usize = 64;

impl Config {
    /// Reads the configuration that the environment names.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::parse(&text_from_env()?, variable)
    }

    /// Reads the file again; this configuration stands if that fails.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn again_from_env(&self) -> Result<Config, ConfigError> {
        self.again(&text_from_env()?, variable)
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
    pub fn again(
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
        let mut json = serde_json::Deserializer::from_slice(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| bad(&error.path().to_string(), &error.inner().to_string()))?;
        let address = |name: &str, key: &str, told: Option<String>| {
            let (from, text) = match variable(name) {
                Some(text) => (name, text),
                None => (key, told.ok_or_else(|| bad(key, "is missing"))?),
            };
            parse_address(from, &text)
        };
        let listen = address("RELAY_LISTEN", "listen", file.listen)?;
        // The environment of a running process can't change. A key that has changed in the file since is newer
        // and wins; one that has not leaves what was in force.
        let discovery_in_file = file.discovery.clone();
        let discovery = match (before, file.discovery) {
            (Some(before), told) if told == before.discovery_in_file => before.discovery,
            (Some(_), Some(told)) => parse_address("discovery", &told)?,
            (_, told) => address("RELAY_DISCOVERY", "discovery", told)?,
        };
        let seed = match &file.seed {
            Some(seed) => u64::from_str_radix(seed, 16).map_err(|_| {
                bad(
                    "seed",
                    &format!("{seed:?} is not a number of 64 bits in hex"),
                )
            })?,
            None => 0,
        };
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(bad(
                "limits.sockets",
                &format!("must be at least {LEAST_SOCKETS}"),
            ));
        }
        let settings = file
            .settings
            .settings()
            .map_err(|fault| bad("settings", &fault))?;
        if let Some(nameless) = file
            .settings
            .profiles
            .iter()
            .position(|class| class.name.is_empty())
        {
            return Err(bad(
                &format!("settings.Profiles[{nameless}].Name"),
                "is missing",
            ));
        }
        if file.settings.allowed.connect_timeout_us == 0 {
            return Err(bad("settings.Allowed.ConnectTimeoutUs", "must not be 0"));
        }
        Ok(Config {
            name: variable("RELAY_NAME")
                .or(file.name)
                .unwrap_or_else(|| "asterreel".into()),
            listen,
            discovery,
            discovery_in_file,
            seed,
            sockets: file.limits.sockets,
            known: file.known,
            setup: file.settings,
            settings,
        })
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn text_from_env() -> Result<Vec<u8>, ConfigError> {
    let path = variable("RELAY_CONFIG").ok_or_else(|| bad("RELAY_CONFIG", "is not set"))?;
    std::fs::read(&path)
        .map_err(|error| bad("RELAY_CONFIG", &format!("cannot read {path}: {error}")))
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| bad(key, &format!("{text:?} is not an address and port")))
}

fn bad(key: &str, fault: &str) -> ConfigError {
    ConfigError {
        key: key.into(),
        fault: fault.into(),
    }
}
