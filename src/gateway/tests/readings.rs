//! One reading of an opening at a time.

use super::ms;
use crate::gateway::readings::{ReadingAnswer, Readings, Told};

#[test]
fn ask_burst_of_first_requests_reads_once() {
    let mut readings = Readings::default();
    let told: Vec<Told> = (0..40).map(|at| readings.ask(7, ms(at * 10))).collect();
    assert_eq!(told.iter().filter(|told| **told == Told::First).count(), 1);
    readings.read(7, 3, ms(400));
    assert_eq!(readings.ask(7, ms(410)), Told::ReadBy(3));
    assert_eq!(readings.ask(8, ms(410)), Told::First, "another opening");
}

#[test]
fn ask_after_failed_reading_is_first() {
    let mut readings = Readings::default();
    readings.ask(7, ms(0));
    readings.failed(7);
    assert_eq!(readings.ask(7, ms(10)), Told::First);
    readings.read(7, 3, ms(20));
    readings.failed(7);
    assert_eq!(
        readings.ask(7, ms(30)),
        Told::ReadBy(3),
        "a later failure takes nothing away"
    );
}

#[test]
fn ask_lost_reader_is_replaced_in_time() {
    let mut readings = Readings::default();
    readings.ask(7, ms(0));
    assert_eq!(readings.ask(7, ms(1_400)), Told::Wait);
    assert_eq!(readings.ask(7, ms(1_600)), Told::First);
}

#[test]
fn ask_forgets_what_was_not_used() {
    let mut readings = Readings::default();
    readings.read(7, 3, ms(0));
    assert_eq!(readings.ask(7, ms(11_000)), Told::ReadBy(3));
    assert_eq!(
        readings.ask(7, ms(22_000)),
        Told::ReadBy(3),
        "each use counts"
    );
    assert_eq!(readings.ask(7, ms(40_000)), Told::First);
}

#[test]
fn told_survives_the_way() {
    for told in [Told::First, Told::Wait, Told::ReadBy(0), Told::ReadBy(9)] {
        assert_eq!(ReadingAnswer::of(told).told(), told);
    }
}
