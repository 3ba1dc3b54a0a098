//! Reads and checks a gateway's configuration and applies its defaults.
//!
//! `RELAY_CONFIG` names a JSON file; `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override its keys `name`, `listen`
//! and `discovery`. Every error names the key at fault. The file can be reloaded while the gateway runs; if that fails, the
//! configuration in force stays. What was reloaded is a type of its own, [`ReloadedConfig`], as only `discovery` of it comes
//! into force before the next start.

use crate::interface::Settings;
use crate::settings::{EndpointRecord, Setup, UnknownValue};
use serde::Deserialize;
use std::net::SocketAddr;

/// The default of `name`.
const DEFAULT_NAME: &str = "asterreel";
/// The default of `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The default of `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 192;
/// The least memory that a gateway can work with, MiB.
const MIN_MEMORY_MB: usize = 16;
/// The fewest file descriptors that a gateway can work with.
const MIN_DESCRIPTORS: usize = 64;
/// The base of `seed`.
const SEED_RADIX: u32 = 16;

/// A gateway's checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// `discovery` in the file; a reload compares it to see whether the file has changed it.
    discovery_in_file: Option<String>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The most file descriptors that the process may hold; the key `limits.sockets`.
    pub max_descriptors: usize,
    /// The most memory that the process may use, MiB; the key `limits.memory_mb`.
    pub memory_mb: usize,
    /// The list of endpoints in the file, used until discovery has sent one; its age is not known.
    pub known_endpoints: EndpointList,
    /// The settings as they are in the file.
    pub setup: Setup,
    /// The settings in the types of [`crate::interface`].
    pub settings: Settings,
}

/// A configuration that was read while the process runs by another. It comes into force at the next start;
/// [`Config::apply_reloaded`] takes over what can change before.
#[derive(Debug)]
pub struct ReloadedConfig(Config);

/// What a reloaded configuration changes in a running process.
#[derive(Debug, PartialEq, Eq)]
pub struct ReloadEffect {
    /// The address of the discovery service in force from now on.
    pub discovery: SocketAddr,
    /// Whether that address has changed.
    pub is_discovery_moved: bool,
    /// The keys whose changes take effect at the next start.
    pub keys_needing_restart: Vec<&'static str>,
}

/// A list of endpoints, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
// The type name in serde's error messages, which stays when this type is renamed.
#[serde(expecting = "struct Listing")]
pub struct EndpointList {
    /// The version of the list, assigned by discovery.
    pub revision: u64,
    /// Whether the list has all endpoints, not only those that changed.
    #[serde(default)]
    pub complete: bool,
    /// One record for each endpoint.
    #[serde(default)]
    pub members: Vec<EndpointRecord>,
}

/// A fault in the configuration and the key that has it.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {key}: {fault}")]
pub struct ConfigError {
    /// The key or environment variable at fault.
    pub key: String,
    /// What is wrong with the key.
    pub fault: ConfigFault,
}

/// What is wrong with a key of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A required environment variable is not set.
    #[error("is not set; set it to the path of the configuration file")]
    NotSet,
    /// A required key is missing.
    #[error("is missing; set it in the configuration file")]
    Missing,
    /// The file can't be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The path of the file, as it was configured.
        path: String,
        /// Why it can't be read.
        error: std::io::Error,
    },
    /// Invalid JSON, or a value of the wrong type.
    #[error("{0}")]
    Json(serde_json::Error),
    /// An address that can't be parsed.
    #[error("{0:?} is not an IP address and port, such as 127.0.0.1:6433")]
    NotAnAddress(String),
    /// A seed that can't be parsed.
    #[error("{0:?} is not a hexadecimal number of at most 64 bits")]
    NotASeed(String),
    /// Fewer file descriptors than a gateway needs.
    #[error("{0} is too few file descriptors; set at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(usize),
    /// Less memory than a gateway needs.
    #[error("{0} is too little memory; set at least {MIN_MEMORY_MB} MiB")]
    TooLittleMemory(usize),
    /// A duration that must not be 0.
    #[error("must not be 0")]
    Zero,
    /// A value in the settings that this version does not support.
    #[error("{:?} is not a value of {} that this version supports", .0.value, .0.subject)]
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

    /// Converts the settings to the types of [`crate::interface`] and checks what the types do not ensure.
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
    memory_mb: usize,
    sockets: usize,
}

impl Limits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_DESCRIPTORS {
            return Err(ConfigFault::TooFewDescriptors(self.sockets).at("limits.sockets"));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigFault::TooLittleMemory(self.memory_mb).at("limits.memory_mb"));
        }
        Ok(())
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: DEFAULT_MEMORY_MB,
            sockets: DEFAULT_DESCRIPTORS,
        }
    }
}

impl Config {
    /// Reads the configuration file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn from_env() -> Result<Config, ConfigError> {
        Config::parse(&text_from_env()?, variable)
    }

    /// Reads the file again; if that fails, this configuration stays in force.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn reload_from_env(&self) -> Result<ReloadedConfig, ConfigError> {
        self.reload(&text_from_env()?, variable)
    }

    /// Parses and checks the text of a configuration file; `variable` looks up environment variables.
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

    /// Parses and checks a text that is to replace this configuration.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the key at fault.
    pub fn reload(
        &self,
        text: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadedConfig, ConfigError> {
        Config::check(text, variable, Some(self)).map(ReloadedConfig)
    }

    /// Takes over the keys of a reloaded configuration that can change in a running process; all others stay as they were
    /// at the start.
    pub fn apply_reloaded(&mut self, reloaded: ReloadedConfig) -> ReloadEffect {
        let ReloadedConfig(reloaded) = reloaded;
        let keys = [
            ("name", self.name != reloaded.name),
            ("listen", self.listen != reloaded.listen),
            (
                "limits",
                self.max_descriptors != reloaded.max_descriptors
                    || self.memory_mb != reloaded.memory_mb,
            ),
            ("settings", self.settings != reloaded.settings),
        ];
        let changed = keys.into_iter().filter(|(_, is_changed)| *is_changed);
        let effect = ReloadEffect {
            discovery: reloaded.discovery,
            is_discovery_moved: self.discovery != reloaded.discovery,
            keys_needing_restart: changed.map(|(key, _)| key).collect(),
        };
        self.discovery = reloaded.discovery;
        self.discovery_in_file = reloaded.discovery_in_file;
        effect
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
        // The environment of a running process can't change. If the file's key has changed since, it is newer than
        // the environment and wins; otherwise the address in force stays.
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
            memory_mb: file.limits.memory_mb,
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
