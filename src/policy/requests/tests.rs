use super::*;
use crate::interface::{ClassId, GroupId, RequestId, TenantId};

const RECEIVED_AT: Micros = 1_000_000;
const DUE: Micros = RECEIVED_AT + 2_000_000;

fn class(late_weight: f64) -> Class {
    Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: 400_000,
        objective_work_factor: 2.0,
        deadline: DUE - RECEIVED_AT,
        priority_weight: 1.0,
        late_weight,
    }
}

fn request(consistency: ConsistencyLevel, estimate: Option<Micros>) -> Request {
    let arrival = Arrival {
        request: RequestId(1),
        class: ClassId(0),
        tenant: TenantId(0),
        session: None,
        due: DUE,
        estimate,
        group: GroupId(1),
        since_write: None,
    };
    let idempotency = Idempotency::Idempotent;
    Request::new(arrival, consistency, idempotency, 0, RECEIVED_AT, 0.5)
}

#[test]
fn objective_deadline_grows_with_cost_up_to_the_client_deadline() {
    let deadline =
        |estimate| request(ConsistencyLevel::Eventual, estimate).objective_deadline(&class(0.0));
    assert_eq!(deadline(None), RECEIVED_AT + 400_000);
    assert_eq!(deadline(Some(100_000)), RECEIVED_AT + 600_000);
    assert_eq!(deadline(Some(10_000_000)), DUE);
}

#[test]
fn late_weight_extends_usefulness_to_the_client_deadline() {
    let read = request(ConsistencyLevel::Eventual, None);
    assert_eq!(read.useful_until(&class(0.0)), RECEIVED_AT + 400_000);
    assert_eq!(read.useful_until(&class(0.1)), DUE);
}

#[test]
fn latest_dispatch_leaves_time_for_the_answer() {
    let write = request(ConsistencyLevel::Write, None);
    assert_eq!(write.latest_dispatch(&class(0.1), 50_000), DUE - 50_000);
    let read = request(ConsistencyLevel::Eventual, None);
    let objective = RECEIVED_AT + 400_000;
    assert_eq!(
        read.latest_dispatch(&class(0.0), 50_000),
        objective - 50_000
    );
    // A read without any attempt is not queued beyond half of its time, however late its objective is.
    let long = request(ConsistencyLevel::Eventual, Some(10_000_000));
    let half = RECEIVED_AT + 1_000_000;
    assert_eq!(long.latest_dispatch(&class(0.0), 50_000), half);
}
