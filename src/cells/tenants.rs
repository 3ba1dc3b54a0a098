//! Who asks: the tenant of a session, from what a client can't forge in a statement.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Where a tenant's name is taken from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// `user` of the startup message.
    User,
    /// `application_name` of the startup message.
    Application,
    /// The network that the client connects from: the most specific one wins.
    Network(Vec<(IpNet, String)>),
    /// A value of the statement's comment, by its name. Any client can write what it likes there, so this is used only
    /// where the file names it.
    TrustedComment(String),
}

/// What is known of a client, and of the statement in hand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// `user`.
    pub user: &'a str,
    /// `application_name`.
    pub application: &'a str,
    /// Its address.
    pub address: Option<IpAddr>,
    /// Names and values of the statement's comment.
    pub comment: &'a [(&'a str, &'a str)],
}

/// The longest name of a tenant, bytes: names are keys of maps.
pub const MAX_LENGTH_BYTES: usize = 63;

/// Says who asks: the first source that knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantResolver {
    sources: Vec<Source>,
}

impl TenantResolver {
    /// Asks these, in order; a fault names the key.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn new(sources: Vec<Source>) -> Result<TenantResolver, (String, String)> {
        for (place, source) in sources.iter().enumerate() {
            let key = |part: &str| format!("who[{place}]{part}");
            if sources[..place]
                .iter()
                .any(|other| std::mem::discriminant(other) == std::mem::discriminant(source))
            {
                return Err((key(""), "this source is named already".into()));
            }
            match source {
                Source::Network(nets) => {
                    for (at, (net, name)) in nets.iter().enumerate() {
                        if !sound(name) {
                            return Err((
                                key(&format!(".network[{at}]")),
                                format!("{name:?} is no tenant's name"),
                            ));
                        }
                        if let Some((_, other)) = nets[..at].iter().find(|(other, _)| other == net)
                        {
                            let fault = format!("{net} is {other}'s already");
                            return Err((key(&format!(".network[{at}]")), fault));
                        }
                    }
                }
                Source::TrustedComment(name) if !sound(name) => {
                    return Err((
                        key(".trusted_comment"),
                        format!("{name:?} is no name in a comment"),
                    ));
                }
                Source::User | Source::Application | Source::TrustedComment(_) => {}
            }
        }
        Ok(TenantResolver { sources })
    }

    /// The tenant's name; nothing when no source knows one that can be a name.
    pub fn resolve<'a>(&'a self, caller: &Caller<'a>) -> Option<&'a str> {
        self.sources.iter().find_map(|source| {
            let name = match source {
                Source::User => Some(caller.user),
                Source::Application => Some(caller.application),
                Source::Network(nets) => {
                    let address = caller.address?.to_canonical();
                    let around = nets.iter().filter(|(net, _)| net.contains(&address));
                    around
                        .max_by_key(|(net, _)| net.prefix_len())
                        .map(|(_, name)| name.as_str())
                }
                Source::TrustedComment(key) => caller
                    .comment
                    .iter()
                    .find(|(name, _)| name == key)
                    .map(|(_, value)| *value),
            };
            name.filter(|name| sound(name))
        })
    }

    /// Whether a tenant can differ from statement to statement of one session.
    pub fn varies_by_statement(&self) -> bool {
        self.sources
            .iter()
            .any(|source| matches!(source, Source::TrustedComment(_)))
    }
}

/// A name that can be logged, told and stored.
fn sound(name: &str) -> bool {
    (1..=MAX_LENGTH_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'@'))
}

#[cfg(test)]
mod tests;
