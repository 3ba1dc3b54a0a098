use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn id_is_used_by_one_open_request() {
    let requests = OpenRequests::default();
    let open = requests.reserve(b"a", true, 0).expect("free");
    assert_eq!(requests.reserve(b"a", true, 0).err(), Some(IdRefusal::Open));
    drop(open);
    assert!(requests.reserve(b"a", true, 0).is_ok());
}

#[test]
fn id_that_may_have_run_is_refused_for_its_time() {
    let requests = OpenRequests::default();
    requests.reserve(b"a", false, 0).expect("free").remember(0);
    let again = |now| requests.reserve(b"a", false, now).err();
    assert_eq!(again(59 * SECOND), Some(IdRefusal::MayHaveRun));
    // A class that allows repeats is served.
    assert!(requests.reserve(b"a", true, SECOND).is_ok());
    assert_eq!(again(60 * SECOND), None);
}

#[test]
fn id_that_never_ran_is_free_again() {
    let requests = OpenRequests::default();
    drop(requests.reserve(b"a", false, 0).expect("free"));
    assert!(requests.reserve(b"a", false, 0).is_ok());
}

#[test]
fn remembered_ids_are_bounded_and_none_is_forgotten_early() {
    let requests = OpenRequests::default();
    let remember = |number: usize, now| {
        let id = number.to_string();
        let open = requests.reserve(id.as_bytes(), false, now)?;
        open.remember(now);
        Ok(())
    };
    for number in 0..MAX_REMEMBERED {
        assert_eq!(remember(number, 0), Ok(()));
    }
    assert_eq!(remember(MAX_REMEMBERED, SECOND), Err(IdRefusal::TooMany));
    assert_eq!(remember(0, SECOND), Err(IdRefusal::MayHaveRun));
    assert_eq!(remember(MAX_REMEMBERED, 60 * SECOND), Ok(()));
    assert_eq!(lock(&requests.0).may_have_run.in_order.len(), 1);
}
