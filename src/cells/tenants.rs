//! The tenant of a session or request, from sources that a client can't forge in a statement unless the operator allows it.

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// A source of the tenant's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// `user` in the startup message.
    User,
    /// `application_name` in the startup message.
    Application,
    /// The network from which the client connects, and its tenant: the most specific network wins.
    Network(Vec<(IpNet, String)>),
    /// The value of this name in the statement's comment. A client can write any value there, so this source is used only
    /// if the operator's file lists it.
    TrustedComment(String),
}

/// What is known of a client and its current statement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// `user` in the startup message.
    pub user: &'a str,
    /// `application_name` in the startup message.
    pub application: &'a str,
    /// The client's IP address.
    pub address: Option<IpAddr>,
    /// Names and values in the statement's comment.
    pub comment: &'a [(&'a str, &'a str)],
}

/// The longest name of a tenant, bytes; bounded because names are keys of maps.
pub const MAX_LENGTH_BYTES: usize = 63;
/// What error messages say of names.
const NAME_RULE: &str = "use 1 to 63 letters, digits, '-', '_', '.' or '@'";

/// Resolves the tenant of a request, by the first source that has a valid name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantResolver {
    sources: Vec<Source>,
}

impl TenantResolver {
    /// Creates a resolver that tries these sources in order.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn new(sources: Vec<Source>) -> Result<TenantResolver, (String, String)> {
        for (index, source) in sources.iter().enumerate() {
            let key = |part: &str| format!("who[{index}]{part}");
            if sources[..index]
                .iter()
                .any(|other| std::mem::discriminant(other) == std::mem::discriminant(source))
            {
                return Err((
                    key(""),
                    "this kind of source is already listed; remove one of them".into(),
                ));
            }
            match source {
                Source::Network(nets) => {
                    for (at, (net, name)) in nets.iter().enumerate() {
                        if !is_valid_name(name) {
                            return Err((
                                key(&format!(".network[{at}]")),
                                format!("{name:?} is not a valid tenant name; {NAME_RULE}"),
                            ));
                        }
                        if let Some((_, other)) = nets[..at].iter().find(|(other, _)| other == net)
                        {
                            let fault = format!(
                                "{net} already belongs to tenant {other:?}; remove one of them"
                            );
                            return Err((key(&format!(".network[{at}]")), fault));
                        }
                    }
                }
                Source::TrustedComment(name) if !is_valid_name(name) => {
                    return Err((
                        key(".trusted_comment"),
                        format!("{name:?} is not a valid name of a comment's value; {NAME_RULE}"),
                    ));
                }
                Source::User | Source::Application | Source::TrustedComment(_) => {}
            }
        }
        Ok(TenantResolver { sources })
    }

    /// The name of the caller's tenant; none if no source has a valid name.
    pub fn resolve<'a>(&'a self, caller: &Caller<'a>) -> Option<&'a str> {
        self.sources.iter().find_map(|source| {
            let name = match source {
                Source::User => Some(caller.user),
                Source::Application => Some(caller.application),
                Source::Network(nets) => {
                    let address = caller.address?.to_canonical();
                    let containing = nets.iter().filter(|(net, _)| net.contains(&address));
                    containing
                        .max_by_key(|(net, _)| net.prefix_len())
                        .map(|(_, name)| name.as_str())
                }
                Source::TrustedComment(key) => caller
                    .comment
                    .iter()
                    .find(|(name, _)| name == key)
                    .map(|(_, value)| *value),
            };
            name.filter(|name| is_valid_name(name))
        })
    }

    /// Whether the tenant can differ between the statements of one session.
    pub fn varies_by_statement(&self) -> bool {
        self.sources
            .iter()
            .any(|source| matches!(source, Source::TrustedComment(_)))
    }
}

/// Whether a name can safely be logged, sent and stored.
fn is_valid_name(name: &str) -> bool {
    (1..=MAX_LENGTH_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'@'))
}

#[cfg(test)]
mod tests;
