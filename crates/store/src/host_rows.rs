//! Keys of hosts' rows in [`HOSTS_TABLE`](crate::HOSTS_TABLE).
//!
//! Keys begin with the zone, so that a host reads the rows of its zone without those of others.

use std::ops::Range;

use steering::ids::{HostName, ZoneName};

const SEPARATOR: char = '/';
/// The character after the separator, in the order of the store.
const AFTER_SEPARATOR: char = '0';

/// Returns the key of a host's row.
pub fn host_row_key(zone: &ZoneName, host: &HostName) -> String {
    format!("{}{SEPARATOR}{host}", escape(zone))
}

/// Returns the name of the host whose row has this key.
pub fn host_of_row(key: &str) -> &str {
    key.split_once(SEPARATOR).map_or(key, |(_, host)| host)
}

/// Returns the range of the keys of a zone's rows.
pub fn zone_row_keys(zone: &ZoneName) -> Range<String> {
    let zone = escape(zone);
    format!("{zone}{SEPARATOR}")..format!("{zone}{AFTER_SEPARATOR}")
}

fn escape(zone: &str) -> String {
    zone.replace('%', "%25").replace(SEPARATOR, "%2F")
}
