use super::*;

#[test]
fn command_age_grows_only_while_commands_are_not_received() {
    let mut age = CommandAge::default();
    assert_eq!(
        [
            age.sample(0, 0, 0),
            age.sample(10, 5, 5),
            age.sample(20, 9, 5)
        ],
        [0, 0, 0]
    );
    assert_eq!([age.sample(30, 12, 5), age.sample(90, 12, 8)], [10, 70]);
    // All commands of the sample at 20 are received, those added in the sample at 30 are not.
    assert_eq!([age.sample(100, 12, 9), age.sample(110, 12, 12)], [70, 0]);
    for now in 0..10_000 {
        age.sample(now, 20 + now, 12);
    }
    assert!(age.samples.len() <= MAX_SAMPLES);
}
