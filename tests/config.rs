//! Parsing and reloading the configuration: errors name the key at fault.

use asterreel::config::{Config, ConfigError};

const EXAMPLE: &str = include_str!("../examples/config.json");

fn parse(text: &str) -> Result<Config, ConfigError> {
    Config::parse(text.as_bytes(), |_| None)
}

#[test]
fn environment_overrides_the_example() {
    let config = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(
        (config.name.as_str(), config.max_descriptors),
        ("example", 1024)
    );
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!(
        (
            config.known_endpoints.members.len(),
            config.settings.classes.len()
        ),
        (2, 2)
    );
    let environment = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:1".to_owned());
    let config = Config::parse(EXAMPLE.as_bytes(), environment).expect("valid");
    assert_eq!(config.listen.to_string(), "127.0.0.9:1");
}

#[test]
fn error_names_its_key() {
    let cases = [
        (
            "\"listen\": \"127.0.0.1:6433\"",
            "\"listen\": \"here\"",
            "listen",
        ),
        ("\"discovery\": \"127.0.0.1:8500\",", "", "discovery"),
        ("\"seed\": \"8c", "\"seed\": \"xx", "seed"),
        ("\"sockets\": 1024", "\"sockets\": 3", "limits.sockets"),
        (
            "\"sockets\": 1024",
            "\"sockets\": \"many\"",
            "limits.sockets",
        ),
        (
            "\"ConnectTimeoutUs\": 250000",
            "\"ConnectTimeoutUs\": 0",
            "settings.Allowed.ConnectTimeoutUs",
        ),
        ("\"Name\": \"booking\",", "", "settings.Profiles[1].Name"),
        (
            "\"FleetSize\": 1",
            "\"FleetSize\": -1",
            "settings.FleetSize",
        ),
        ("\"Checks\": \"none\"", "\"Checks\": \"maybe\"", "settings"),
        ("\"cell\": 0", "\"cell\": true", "known.members[0].cell"),
    ];
    for (valid, invalid, key) in cases {
        assert!(EXAMPLE.contains(valid), "{valid}");
        let error = parse(&EXAMPLE.replacen(valid, invalid, 1)).expect_err(invalid);
        assert_eq!(error.key, key, "{error}");
        assert!(error.to_string().contains(key));
    }
    assert_eq!(
        Config::from_env()
            .expect_err("the variable is not set in tests")
            .key,
        "RELAY_CONFIG"
    );
}

/// On a reload, a `discovery` that has changed in the file wins over the environment; an unchanged one leaves the address
/// in force.
#[test]
fn reload_applies_only_a_changed_discovery() {
    let environment = |name: &str| (name == "RELAY_DISCOVERY").then(|| "127.0.0.2:1".to_owned());
    let start = Config::parse(EXAMPLE.as_bytes(), environment).expect("valid");
    let moved = EXAMPLE.replace("127.0.0.1:8500", "127.0.0.3:1");
    let mut current = start;
    for (text, discovery) in [
        (EXAMPLE, "127.0.0.2:1"),
        (&moved, "127.0.0.3:1"),
        (&moved, "127.0.0.3:1"),
        (EXAMPLE, "127.0.0.1:8500"),
    ] {
        let reloaded = current.reload(text.as_bytes(), environment);
        current.apply_reloaded(reloaded.expect("valid"));
        assert_eq!(current.discovery.to_string(), discovery);
    }
    let invalid = EXAMPLE.replace("127.0.0.1:8500", "nowhere");
    assert_eq!(
        current
            .reload(invalid.as_bytes(), environment)
            .expect_err("an invalid address")
            .key,
        "discovery"
    );
}

/// A reload put settings in force of which the log said that they take effect at the next start: a drain after it was timed by
/// deadlines with which no request had been admitted.
#[test]
fn reload_leaves_settings_in_force_as_they_were() {
    let none = |_: &str| None;
    let mut running = Config::parse(EXAMPLE.as_bytes(), none).expect("valid");
    let at_start = running.settings.clone();
    let other = EXAMPLE
        .replace("\"DeadlineUs\": 3000000", "\"DeadlineUs\": 100000")
        .replace("\"sockets\": 1024", "\"sockets\": 512")
        .replace("127.0.0.1:6433", "127.0.0.1:6434")
        .replace("127.0.0.1:8500", "127.0.0.1:8501");
    for _ in 0..2 {
        let reloaded = running.reload(other.as_bytes(), none).expect("valid");
        let effect = running.apply_reloaded(reloaded);
        assert_eq!(
            effect.keys_needing_restart,
            ["listen", "limits", "settings"]
        );
        assert_eq!(running.settings, at_start);
        assert_eq!(
            (running.max_descriptors, running.listen.port()),
            (1024, 6433)
        );
        assert_eq!(running.discovery.port(), 8501);
    }
}
