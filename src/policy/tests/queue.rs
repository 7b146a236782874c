use super::super::queue::QueueModel;
use super::*;

fn queue_of_three() -> QueueModel {
    let mut queue = QueueModel::new(8);
    for request in 0..3 {
        queue.dispatch(request, secs(1), ms(500));
    }
    queue
}

#[test]
fn wait_sums_costs_and_passes_with_time() {
    let queue = queue_of_three();
    assert_eq!(queue.wait(secs(1)), ms(1_500));
    assert_eq!(queue.wait(secs(2)), ms(500));
    assert_eq!(queue.wait(secs(9)), Duration::ZERO);
}

#[test]
fn first_token_later_than_expected_delays_the_rest() {
    let mut queue = queue_of_three();
    queue.first_token(0, secs(3));
    assert_eq!(queue.busy_until(), secs(4));
}

#[test]
fn report_idle_frees_the_queue() {
    let mut queue = queue_of_three();
    queue.report(0, ms(1_100), ms(100));
    assert_eq!(queue.wait(ms(1_100)), Duration::ZERO);
}

#[test]
fn report_unknown_requests_lengthens_the_queue() {
    let mut queue = QueueModel::new(8);
    queue.report(5, secs(1), ms(100));
    assert_eq!(queue.wait(secs(1)), ms(500));
}

#[test]
fn withdraw_takes_back_its_cost() {
    let mut queue = queue_of_three();
    queue.withdraw(1);
    assert_eq!(queue.wait(secs(1)), secs(1));
}

#[test]
fn wait_full_slots_until_an_answer_ends() {
    let mut queue = QueueModel::new(2);
    queue.dispatch(1, secs(1), ms(10));
    queue.dispatch(2, secs(1), ms(10));
    assert!(queue.wait(secs(2)) > secs(1));
    queue.finished(1, secs(2));
    assert_eq!(queue.wait(secs(2)), Duration::ZERO);
}
