use super::*;

fn net(text: &str, name: &str) -> (IpNet, String) {
    (text.parse().expect("a network"), name.into())
}

#[test]
fn the_first_source_that_knows_wins_and_the_narrowest_network() {
    let nets = vec![
        net("10.0.0.0/8", "wide"),
        net("10.1.0.0/16", "narrow"),
        net("2001:db8::/32", "six"),
    ];
    let who = TenantResolver::new(vec![
        Source::Network(nets),
        Source::Application,
        Source::User,
    ])
    .expect("good");
    let caller = |address: &str| Caller {
        user: "web",
        application: "app",
        address: address.parse().ok(),
        comment: &[("tenant", "forged")],
    };
    assert_eq!(who.resolve(&caller("10.1.2.3")), Some("narrow"));
    assert_eq!(who.resolve(&caller("::ffff:10.2.0.1")), Some("wide"));
    assert_eq!(who.resolve(&caller("2001:db8::1")), Some("six"));
    assert_eq!(who.resolve(&caller("192.0.2.1")), Some("app"));
    let nameless = Caller {
        application: "no name\n",
        user: "",
        ..caller("192.0.2.1")
    };
    assert_eq!(who.resolve(&nameless), None);
    assert!(!who.varies_by_statement());
}

#[test]
fn a_comment_counts_only_where_the_file_trusts_it_and_faults_name_their_key() {
    let who = TenantResolver::new(vec![Source::TrustedComment("tenant".into()), Source::User])
        .expect("good");
    let comment = [("tenant", "seven")];
    let caller = Caller {
        user: "web",
        comment: &comment,
        ..Caller::default()
    };
    assert_eq!(who.resolve(&caller), Some("seven"));
    assert_eq!(
        who.resolve(&Caller {
            comment: &[],
            ..caller
        }),
        Some("web")
    );
    assert!(who.varies_by_statement());
    let twice = TenantResolver::new(vec![Source::User, Source::User]).expect_err("twice");
    assert_eq!(twice.0, "who[1]");
    let nets = vec![net("10.0.0.0/8", "one"), net("10.0.0.0/8", "two")];
    let double = TenantResolver::new(vec![Source::Network(nets)]).expect_err("twice");
    assert_eq!(
        (double.0.as_str(), double.1.as_str()),
        ("who[0].network[1]", "10.0.0.0/8 is one's already")
    );
}
