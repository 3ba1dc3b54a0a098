use super::*;

#[test]
fn orders_age_while_none_are_taken_and_not_while_they_are() {
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
    // All that the first look saw is taken; what the second saw is not.
    assert_eq!([age.sample(100, 12, 9), age.sample(110, 12, 12)], [70, 0]);
    for now in 0..10_000 {
        age.sample(now, 20 + now, 12);
    }
    assert!(age.samples.len() <= 256);
}
