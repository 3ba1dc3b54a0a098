use super::*;

#[test]
fn session_requires_its_latest_commit_and_others_none() {
    let mut commits = SessionCommits::default();
    commits.record(SessionId(1), 50);
    commits.record(SessionId(1), 40);
    assert_eq!(commits.required_position(Some(SessionId(1))), 50);
    assert_eq!(commits.required_position(Some(SessionId(2))), 0);
    assert_eq!(commits.required_position(None), 0);
}

#[test]
fn dropped_commit_becomes_the_floor_of_unknown_sessions() {
    let mut commits = SessionCommits::default();
    let count = MAX_REMEMBERED_COMMITS as u64;
    for number in 0..=count {
        commits.record(SessionId(number), 100 + number);
    }
    assert_eq!(
        commits.required_position(Some(SessionId(0))),
        100,
        "dropped"
    );
    assert_eq!(commits.required_position(None), 100);
    assert_eq!(commits.required_position(Some(SessionId(1))), 101, "kept");
    assert_eq!(commits.last.len(), MAX_REMEMBERED_COMMITS);
}
