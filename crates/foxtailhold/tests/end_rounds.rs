//! Which answers of other instances show that all ends of jobs are known.

use foxtailhold::end_rounds::EndRounds;
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ASKED_AT: MonoMs = MonoMs(10_000);

#[test_case(&[1, 2], Some(ASKED_AT) ; "all have answered")]
#[test_case(&[1], None ; "one has not")]
#[test_case(&[1, 1], None ; "one has answered twice")]
#[test_case(&[1, 3], None ; "one that was not asked has")]
#[test_case(&[], None ; "none has")]
fn all_ends_are_known_when_each_live_instance_has_told_its_own(
    answers: &[u8],
    known: Option<MonoMs>,
) {
    let mut rounds = EndRounds::default();
    let round = rounds.ask(ASKED_AT, &[1, 2]);
    for member in answers {
        rounds.answer(round, *member);
    }
    assert_eq!(rounds.complete_as_of(), known);
}

#[test]
fn a_live_instance_that_falls_silent_is_waited_for() {
    let mut rounds = EndRounds::default();
    let first = rounds.ask(ASKED_AT, &[1, 2]);
    rounds.answer(first, 1);
    rounds.answer(first, 2);
    let second = rounds.ask(ASKED_AT + 500, &[1, 2]);
    rounds.answer(second, 1);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT));
    assert_eq!(rounds.waiting().collect::<Vec<u8>>(), [2]);
}

#[test]
fn a_lost_instance_is_not_waited_for() {
    let mut rounds = EndRounds::default();
    let first = rounds.ask(ASKED_AT, &[1, 2]);
    rounds.answer(first, 1);
    let second = rounds.ask(ASKED_AT + 500, &[1]);
    rounds.answer(second, 1);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT + 500));
}

#[test]
fn an_answer_to_an_earlier_round_says_nothing_of_a_later_one() {
    let mut rounds = EndRounds::default();
    let first = rounds.ask(ASKED_AT, &[1, 2]);
    let second = rounds.ask(ASKED_AT + 500, &[1, 2]);
    for member in [1, 2] {
        rounds.answer(first, member);
    }
    assert_eq!(rounds.complete_as_of(), None);
    rounds.answer(second, 1);
    rounds.answer(second, 2);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT + 500));
}

#[test]
fn an_instance_that_is_alone_knows_all_ends() {
    let mut rounds: EndRounds<u8> = EndRounds::default();
    rounds.ask(ASKED_AT, &[]);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT));
}
