use super::{Descriptors, RESERVED_DESCRIPTORS};

/// All are divided, none is given twice, and open requests find a connection to a server.
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
            // Each open request, a third of what is divided at most, has a connection to a server as well.
            assert!(servers >= (clients + servers) / 3, "of {all}");
        }
    }
}
