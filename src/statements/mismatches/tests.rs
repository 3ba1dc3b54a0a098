use super::*;

const GROUP: GroupId = GroupId(1);
const STATEMENT: StatementFingerprint = StatementFingerprint(7);

fn error(
    member: u32,
    position: Option<Micros>,
    required_position: Option<Micros>,
    sqlstate: &[u8],
) -> MemberError<'_> {
    MemberError {
        member: MemberId(member),
        position,
        required_position,
        sqlstate,
    }
}

#[test]
fn statement_is_suspended_for_one_member_then_for_the_group() {
    let mut tracker = MismatchTracker::default();
    let mut observe = |now, error| tracker.observe_error(now, GROUP, STATEMENT, error);
    assert_eq!(
        observe(0, error(1, Some(9), None, b"23505")),
        Mismatch::None,
        "a duplicate key is not a schema mismatch"
    );
    assert_eq!(
        observe(0, error(1, Some(9), Some(10), b"42703")),
        Mismatch::ReplicaBehind,
        "the member has not applied the change"
    );
    assert_eq!(
        observe(0, error(1, None, Some(10), b"42703")),
        Mismatch::ReplicaBehind,
        "the member may not have applied the change"
    );
    assert_eq!(
        observe(0, error(1, Some(10), Some(10), b"42703")),
        Mismatch::Member
    );
    assert_eq!(
        observe(1, error(1, Some(11), Some(10), b"42703")),
        Mismatch::Member,
        "a second rejection by the same member"
    );
    assert!(
        !tracker.allows(2, GROUP, STATEMENT, MemberId(1))
            && tracker.allows(2, GROUP, STATEMENT, MemberId(2))
    );
    assert_eq!(
        tracker.observe_error(2, GROUP, STATEMENT, error(2, Some(11), Some(10), b"0A000")),
        Mismatch::Group
    );
    assert!(
        !tracker.allows(3, GROUP, STATEMENT, MemberId(3)),
        "suspended for the whole group"
    );
    assert!(
        tracker.allows(3, GROUP, StatementFingerprint(8), MemberId(1)),
        "another statement is not suspended"
    );
    assert!(
        tracker.allows(2 + SUSPENSION_US, GROUP, STATEMENT, MemberId(3)),
        "allowed again after the suspension"
    );
    // Old rejections no longer count.
    let later = 3 + REJECTION_LIFETIME_US;
    assert_eq!(
        tracker.observe_error(later, GROUP, STATEMENT, error(1, Some(11), None, b"42P01")),
        Mismatch::Member
    );
    tracker.observe_success(GROUP, STATEMENT, MemberId(1));
    assert!(tracker.allows(later, GROUP, STATEMENT, MemberId(1)) && tracker.rejections.is_empty());
}

#[test]
fn tracked_statements_are_bounded_and_removed_with_the_member() {
    let mut tracker = MismatchTracker::default();
    for number in 0..3 * MAX_TRACKED as u64 {
        let statement = StatementFingerprint(number);
        tracker.observe_error(number, GROUP, statement, error(1, None, None, b"26000"));
    }
    assert_eq!(tracker.rejections.len(), MAX_TRACKED);
    let newest = StatementFingerprint(3 * MAX_TRACKED as u64 - 1);
    assert!(
        tracker.rejections.contains_key(&(GROUP, newest)),
        "the newest statements stay"
    );
    tracker.remove_member(MemberId(1));
    assert!(tracker.rejections.is_empty());
}
