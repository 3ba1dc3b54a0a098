use super::*;

const KEY: (GroupId, Shape) = (GroupId(1), Shape(7));

#[test]
fn one_wrong_member_loses_the_shape_and_two_set_it_aside() {
    let mut evidence = Evidence::default();
    let mut says = |now, member, position, needs, code: &[u8]| {
        evidence.answered(now, KEY, (MemberId(member), position), needs, code)
    };
    assert_eq!(
        says(0, 1, Some(9), None, b"23505"),
        Told::Nothing,
        "a key that is there already"
    );
    assert_eq!(
        says(0, 1, Some(9), Some(10), b"42703"),
        Told::Behind,
        "it has not applied the change"
    );
    assert_eq!(
        says(0, 1, None, Some(10), b"42703"),
        Told::Behind,
        "it may not have"
    );
    assert_eq!(says(0, 1, Some(10), Some(10), b"42703"), Told::Member);
    assert_eq!(
        says(1, 1, Some(11), Some(10), b"42703"),
        Told::Member,
        "the same one again"
    );
    let (group, shape) = KEY;
    assert!(
        !evidence.allows(2, group, shape, MemberId(1))
            && evidence.allows(2, group, shape, MemberId(2))
    );
    assert_eq!(
        evidence.answered(2, KEY, (MemberId(2), Some(11)), Some(10), b"0A000"),
        Told::Group
    );
    assert!(
        !evidence.allows(3, group, shape, MemberId(3)),
        "set aside for all"
    );
    assert!(
        evidence.allows(3, group, Shape(8), MemberId(1)),
        "another shape is not"
    );
    assert!(
        evidence.allows(2 + ASIDE, group, shape, MemberId(3)),
        "and tried again later"
    );
    // Old words count no more.
    let later = 3 + COUNTS;
    assert_eq!(
        evidence.answered(later, KEY, (MemberId(1), Some(11)), None, b"42P01"),
        Told::Member
    );
    evidence.served(group, shape, MemberId(1));
    assert!(evidence.allows(later, group, shape, MemberId(1)) && evidence.heard.is_empty());
}

#[test]
fn what_is_kept_is_bounded_and_goes_with_its_member() {
    let mut evidence = Evidence::default();
    for shape in 0..3 * KEPT as u64 {
        let key = (GroupId(1), Shape(shape));
        evidence.answered(shape, key, (MemberId(1), None), None, b"26000");
    }
    assert_eq!(evidence.heard.len(), KEPT);
    assert!(
        evidence
            .heard
            .contains_key(&(GroupId(1), Shape(3 * KEPT as u64 - 1))),
        "the newest stay"
    );
    evidence.gone(MemberId(1));
    assert!(evidence.heard.is_empty());
}
