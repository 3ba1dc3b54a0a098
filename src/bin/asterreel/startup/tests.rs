use super::{Descriptors, RESERVED_DESCRIPTORS};

/// Each descriptor is assigned once, and every open request can get a connection to a server.
#[test]
fn all_descriptors_are_divided_once() {
    assert_eq!(
        Descriptors::divide(1_024, 0),
        Descriptors {
            clients: 625,
            servers: 375
        }
    );
    assert_eq!(
        Descriptors::divide(1_024, 46),
        Descriptors {
            clients: 597,
            servers: 357
        }
    );
    for all in 0..2_000 {
        for for_health in [0, 14, 142] {
            let Descriptors { clients, servers } = Descriptors::divide(all, for_health);
            assert_eq!(
                clients + servers,
                all.saturating_sub(RESERVED_DESCRIPTORS + for_health),
                "of {all}"
            );
            // Open requests, at most a third of the divided descriptors, need a connection to a server each.
            assert!(servers >= (clients + servers) / 3, "of {all}");
        }
    }
}
