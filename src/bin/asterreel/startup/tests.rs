use super::{Descriptors, RESERVED};

#[test]
fn descriptors_are_shared_whole_with_room_for_requests_and_none_are_given_twice() {
    assert_eq!(
        Descriptors::share(1_024, 0),
        Descriptors {
            clients: 625,
            databases: 375
        }
    );
    assert_eq!(
        Descriptors::share(1_024, 46),
        Descriptors {
            clients: 597,
            databases: 357
        }
    );
    for all in 0..2_000 {
        for for_health in [0, 14, 142] {
            let Descriptors { clients, databases } = Descriptors::share(all, for_health);
            assert_eq!(
                clients + databases,
                all.saturating_sub(RESERVED + for_health),
                "of {all}"
            );
            // Each request in hand, a third of what is shared at most, has a connection to a database besides.
            assert!(databases >= (clients + databases) / 3, "of {all}");
        }
    }
}
