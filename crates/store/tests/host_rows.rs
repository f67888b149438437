//! Keys of hosts' rows: each zone has a range of its own, whatever its name.

use proptest::prelude::*;
use store::{host_of_row, host_row_key, zone_row_keys};

proptest! {
    #[test]
    fn a_key_is_in_the_range_of_its_zone_alone(
        zone in "[a-b/%0.]{1,4}",
        other in "[a-b/%0.]{1,4}",
        host in "[a-b/%0.]{1,4}",
    ) {
        let key = host_row_key(&zone, &host);
        prop_assert_eq!(host_of_row(&key), &host);
        prop_assert!(zone_row_keys(&zone).contains(&key));
        prop_assert_eq!(zone_row_keys(&other).contains(&key), zone == other);
    }
}
