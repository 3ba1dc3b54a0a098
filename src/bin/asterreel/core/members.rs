//! The members of endpoint updates: their numbers, names and addresses.
//!
//! A member keeps its number for as long as the router knows it; one that comes back later is a new member.

use asterreel::config::EndpointList;
use asterreel::interface::{Endpoint, EndpointState, MemberId};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;
use tracing::debug;

/// An endpoint in an update that can't be used; names the server.
#[derive(Debug, Error)]
pub(crate) enum ListingError {
    /// Its role, state or zone is unknown, or a number is out of bounds.
    #[error("{server}: {reason}")]
    InvalidEndpoint { server: String, reason: String },
    /// It is ready, and where it listens is no IP address with a port.
    #[error("{server}: bad address {address:?}")]
    InvalidAddress { server: String, address: String },
}

/// The members that the router knows.
pub(super) struct Members {
    by_name: HashMap<String, MemberId>,
    by_id: HashMap<MemberId, Member>,
    next_id: u32,
    zones: Vec<String>,
}

struct Member {
    name: String,
    /// Where it listens; nothing where no update has said so.
    address: Option<SocketAddr>,
}

impl Members {
    /// No members; endpoints name their zone among these.
    pub(super) fn new(zones: Vec<String>) -> Members {
        Members {
            by_name: HashMap::new(),
            by_id: HashMap::new(),
            next_id: 0,
            zones,
        }
    }

    /// How many members there are.
    #[cfg(test)]
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.by_name.len(), self.by_id.len())
    }

    /// Where a member listens.
    pub(super) fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.by_id.get(&member)?.address
    }

    /// The name of a member.
    pub(super) fn name(&self, member: MemberId) -> Option<&str> {
        Some(&self.by_id.get(&member)?.name)
    }

    /// The endpoints of an update, with the numbers of their members; new ones are added.
    ///
    /// # Errors
    ///
    /// An endpoint that is invalid; no member is added then.
    pub(super) fn endpoints(
        &mut self,
        listing: &EndpointList,
    ) -> Result<Vec<Endpoint>, ListingError> {
        let mut endpoints = Vec::with_capacity(listing.members.len());
        let mut addresses = Vec::with_capacity(listing.members.len());
        for item in &listing.members {
            let endpoint = item.endpoint(MemberId(0), &self.zones).map_err(|reason| {
                ListingError::InvalidEndpoint {
                    server: item.store.clone(),
                    reason: reason.to_string(),
                }
            })?;
            let address = match item.address.parse() {
                Ok(address) => Some(address),
                Err(_) if endpoint.state != EndpointState::Ready => None,
                Err(_) => {
                    return Err(ListingError::InvalidAddress {
                        server: item.store.clone(),
                        address: item.address.clone(),
                    })
                }
            };
            endpoints.push(endpoint);
            addresses.push(address);
        }
        for ((endpoint, item), address) in endpoints.iter_mut().zip(&listing.members).zip(addresses)
        {
            endpoint.member = self.identify(&item.store, address);
        }
        Ok(endpoints)
    }

    /// The number of a member by its name; an address replaces the one known before.
    fn identify(&mut self, name: &str, address: Option<SocketAddr>) -> MemberId {
        let next = MemberId(self.next_id);
        let id = *self.by_name.entry(name.to_owned()).or_insert(next);
        self.next_id += u32::from(id == next);
        let member = self.by_id.entry(id).or_insert_with(|| Member {
            name: name.to_owned(),
            address: None,
        });
        debug!("{:?} is {}", id, name);
        member.address = address.or(member.address);
        id
    }

    /// Removes members that the router no longer knows: servers are replaced by others under new names all the time.
    pub(super) fn retain(&mut self, is_known: impl Fn(MemberId) -> bool) {
        let by_id = &mut self.by_id;
        by_id.retain(|member, _| is_known(*member));
        self.by_name.retain(|_, member| by_id.contains_key(member));
    }
}
