use super::*;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last])
}

#[test]
fn only_allowed_networks_come_in_also_as_mapped_addresses() {
    let mut crowd = Crowd::new(vec!["127.0.0.0/30".parse().expect("a network")], 4);
    assert_eq!(crowd.comes(0, ip(9)), Verdict::TurnAway);
    assert_eq!(
        crowd.comes(0, "::ffff:127.0.0.1".parse().expect("an address")),
        Verdict::Take(0)
    );
    crowd.allow(vec!["127.0.0.8/29".parse().expect("a network")]);
    assert_eq!(
        (crowd.comes(0, ip(1)), crowd.comes(0, ip(9))),
        (Verdict::TurnAway, Verdict::Take(1))
    );
}

#[test]
fn one_that_floods_displaces_itself_and_not_a_balancer() {
    let mut crowd = Crowd::new(Vec::new(), 4);
    assert_eq!(crowd.comes(0, ip(1)), Verdict::Take(0));
    for number in 1..4 {
        assert_eq!(crowd.comes(number, ip(2)), Verdict::Take(number));
    }
    // More of the same: none while its own are fresh, then its own oldest.
    assert_eq!(crowd.comes(10, ip(2)), Verdict::TurnAway);
    assert_eq!(crowd.comes(RESTED + 10, ip(2)), Verdict::Replace(4, 1));
    // The balancer's next check finds a place at once.
    assert_eq!(crowd.comes(RESTED + 11, ip(1)), Verdict::Replace(5, 2));
    assert_eq!(crowd.held(), 4);
    (0..6).for_each(|number| crowd.leaves(number));
    assert_eq!(crowd.held(), 0);
}
