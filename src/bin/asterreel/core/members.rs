//! The members known from endpoint updates: their ids, names and addresses.
//!
//! A member keeps its id for as long as the router knows it. If it is listed again later, it is a new member.

use asterreel::config::EndpointList;
use asterreel::interface::{Endpoint, EndpointState, MemberId};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;
use tracing::debug;

/// An invalid endpoint in an update. The message starts with the name of its server.
#[derive(Debug, Error)]
pub(crate) enum ListingError {
    /// The endpoint's role, state or zone is unknown, or one of its numbers is out of bounds.
    #[error("{server}: {reason}")]
    InvalidEndpoint { server: String, reason: String },
    /// The endpoint is ready, and its address is not an IP address with a port.
    #[error(
        "{server}: address {address:?} is not an IP address with a port, such as 192.0.2.1:5432"
    )]
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
    /// The address on which it listens; `None` until an update gives it.
    address: Option<SocketAddr>,
}

impl Members {
    /// An empty set of members. Endpoints must be in one of these zones.
    pub(super) fn new(zones: Vec<String>) -> Members {
        Members {
            by_name: HashMap::new(),
            by_id: HashMap::new(),
            next_id: 0,
            zones,
        }
    }

    /// How many members are known by name, and how many by id.
    #[cfg(test)]
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.by_name.len(), self.by_id.len())
    }

    /// The address on which a member listens, if an update has given it.
    pub(super) fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.by_id.get(&member)?.address
    }

    /// The name of a member; `None` if it is not known.
    pub(super) fn name(&self, member: MemberId) -> Option<&str> {
        Some(&self.by_id.get(&member)?.name)
    }

    /// The endpoints of an update, with the ids of their members. Members that are not known yet are added.
    ///
    /// # Errors
    ///
    /// If an endpoint is invalid; no member is added or changed then.
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

    /// The id of the member of this name, which is added if it is not known. A given address replaces the previous one.
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

    /// Removes members that the router no longer knows. Without this the maps would grow without limit, as servers are
    /// replaced by others under new names.
    pub(super) fn retain(&mut self, is_known: impl Fn(MemberId) -> bool) {
        let by_id = &mut self.by_id;
        by_id.retain(|member, _| is_known(*member));
        self.by_name.retain(|_, member| by_id.contains_key(member));
    }
}
