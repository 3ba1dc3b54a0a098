//! One regression test per failure that was found, named for what must hold; a module for each decision of the router.

#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod member_health;
mod primary;
mod requests;
mod selection;
mod sends;
mod slow_start;
