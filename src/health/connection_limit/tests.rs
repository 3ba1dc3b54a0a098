use super::*;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last])
}

#[test]
fn limiter_admits_allowed_networks_also_as_mapped_addresses() {
    let mut limiter = ConnectionLimiter::new(vec!["127.0.0.0/30".parse().expect("a network")], 4);
    assert_eq!(limiter.admit(0, ip(9)), Admission::Reject);
    assert_eq!(
        limiter.admit(0, "::ffff:127.0.0.1".parse().expect("an address")),
        Admission::Admit(0)
    );
    limiter.allow(vec!["127.0.0.8/29".parse().expect("a network")]);
    assert_eq!(
        (limiter.admit(0, ip(1)), limiter.admit(0, ip(9))),
        (Admission::Reject, Admission::Admit(1))
    );
}

#[test]
fn flooding_address_displaces_its_own_connections_only() {
    let mut limiter = ConnectionLimiter::new(Vec::new(), 4);
    assert_eq!(limiter.admit(0, ip(1)), Admission::Admit(0));
    for number in 1..4 {
        assert_eq!(limiter.admit(number, ip(2)), Admission::Admit(number));
    }
    // Further connections of the flooding address are rejected while its own were recently active; later each replaces
    // its longest idle one.
    assert_eq!(limiter.admit(10, ip(2)), Admission::Reject);
    assert_eq!(
        limiter.admit(MIN_IDLE_TIME + 10, ip(2)),
        Admission::Replace(4, 1)
    );
    // The balancer's next check is admitted at once.
    assert_eq!(
        limiter.admit(MIN_IDLE_TIME + 11, ip(1)),
        Admission::Replace(5, 2)
    );
    assert_eq!(limiter.count(), 4);
    (0..6).for_each(|number| limiter.release(number));
    assert_eq!(limiter.count(), 0);
}
