use super::*;

#[test]
fn older_token_is_rejected_after_newer() {
    let (mut fence, duty) = (Fence::default(), Duty(3));
    assert_eq!(fence.admit(duty, Token(4)), Ok(()));
    assert_eq!(fence.admit(duty, Token(4)), Ok(()));
    assert_eq!(fence.admit(duty, Token(9)), Ok(()));
    assert_eq!(
        fence.admit(duty, Token(4)),
        Err(StaleToken { newest: Token(9) })
    );
    // The newest token is kept for each duty separately.
    assert_eq!(fence.admit(Duty(1), Token(2)), Ok(()));
    assert_eq!(fence.newest(duty), Some(Token(9)));
}
