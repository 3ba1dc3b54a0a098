use super::*;

#[test]
fn requests_are_distributed_by_weight_and_skip_down_gateways() {
    let balancer = Balancer::start(Vec::new(), CheckSettings::default());
    for weight in [100, 50, 0, 10] {
        lock(&balancer.servers).push(Server {
            weight,
            state_text: "up".into(),
            failures: 0,
            successes: 0,
            up_since: Instant::now(),
            current_weight: 0,
        });
    }
    let mut counts = [0; 4];
    for _ in 0..1600 {
        counts[balancer.pick().expect("some are up")] += 1;
    }
    assert_eq!(counts, [1000, 500, 0, 100]);
    // An agent's answer takes effect at once, failed checks only after `fall` of them in a row.
    balancer.found(0, Ok(agent("drain 0%\n")));
    balancer.found(1, Err(io::ErrorKind::TimedOut.into()));
    assert_eq!((balancer.now(0).1, balancer.now(1).1), (0, 50));
    balancer.found(1, Err(io::ErrorKind::TimedOut.into()));
    assert_eq!(balancer.now(1), ("no-answer".into(), 0));
    assert_eq!(
        agent("ready up 75% maxconn:9"),
        Found {
            state_text: "up".into(),
            weight: 75,
            at_once: true
        }
    );
    assert_eq!(agent("down #hung\n").state_text, "down hung");
    assert_eq!(balancer.changes().len(), 2);
}
