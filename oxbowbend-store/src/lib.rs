/*!
The platform's services as oxbowbend uses them.

# Usage

[`kv::KeyValue`] is all that is asked of a key-value service: single-key compare-and-swap, reads,
watches and leases. [`etcd::Etcd`] speaks it to a service with etcd's v3 JSON gateway, and
[`memory::Memory`] is an in-process stand-in for tests. On top of it stand [`config::ConfigStore`],
the accepted configuration, and [`ledger::Ledger`], which makes keyed requests run at most once.
[`catalog::Catalog`] reads the list of instances by Consul's HTTP protocol.

# Limits

Values are at most a megabyte. Every call has a time limit; none is retried without the caller
knowing whether the first one may have taken effect.
*/

#![deny(clippy::disallowed_methods)]

pub mod catalog;
pub mod config;
pub mod etcd;
pub mod kv;
pub mod ledger;
pub mod memory;
