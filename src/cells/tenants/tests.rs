use super::*;

fn net(text: &str, name: &str) -> (IpNet, String) {
    (text.parse().expect("a network"), name.into())
}

#[test]
fn first_source_with_a_valid_name_and_narrowest_network_win() {
    let nets = vec![
        net("10.0.0.0/8", "wide"),
        net("10.1.0.0/16", "narrow"),
        net("2001:db8::/32", "six"),
    ];
    let resolver = TenantResolver::new(vec![
        Source::Network(nets),
        Source::Application,
        Source::User,
    ])
    .expect("valid");
    let caller = |address: &str| Caller {
        user: "web",
        application: "app",
        address: address.parse().ok(),
        comment: &[("tenant", "forged")],
    };
    assert_eq!(resolver.resolve(&caller("10.1.2.3")), Some("narrow"));
    assert_eq!(resolver.resolve(&caller("::ffff:10.2.0.1")), Some("wide"));
    assert_eq!(resolver.resolve(&caller("2001:db8::1")), Some("six"));
    assert_eq!(resolver.resolve(&caller("192.0.2.1")), Some("app"));
    let without_valid_name = Caller {
        application: "no name\n",
        user: "",
        ..caller("192.0.2.1")
    };
    assert_eq!(resolver.resolve(&without_valid_name), None);
    assert!(!resolver.varies_by_statement());
}

#[test]
fn comment_counts_only_if_trusted_and_errors_name_their_key() {
    let resolver = TenantResolver::new(vec![Source::TrustedComment("tenant".into()), Source::User])
        .expect("valid");
    let comment = [("tenant", "seven")];
    let caller = Caller {
        user: "web",
        comment: &comment,
        ..Caller::default()
    };
    assert_eq!(resolver.resolve(&caller), Some("seven"));
    assert_eq!(
        resolver.resolve(&Caller {
            comment: &[],
            ..caller
        }),
        Some("web")
    );
    assert!(resolver.varies_by_statement());
    let duplicate =
        TenantResolver::new(vec![Source::User, Source::User]).expect_err("a source twice");
    assert_eq!(duplicate.0, "who[1]");
    let nets = vec![net("10.0.0.0/8", "one"), net("10.0.0.0/8", "two")];
    let duplicate = TenantResolver::new(vec![Source::Network(nets)]).expect_err("a network twice");
    assert_eq!(
        (duplicate.0.as_str(), duplicate.1.as_str()),
        (
            "who[0].network[1]",
            "10.0.0.0/8 already belongs to tenant \"one\"; remove one of them"
        )
    );
}
