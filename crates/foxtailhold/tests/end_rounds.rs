//! Which answers of other instances show that all ends of jobs are known.

use foxtailhold::end_rounds::{AskedMember, EndAnswer, EndRounds};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ASKED_AT: MonoMs = MonoMs(10_000);
const KNOWN_AS_OF: MonoMs = MonoMs(8_000);
const AWAY: EndAnswer = EndAnswer {
    covers_ms: 60_000,
    is_store_away: true,
};
const REACHED: EndAnswer = EndAnswer {
    covers_ms: 60_000,
    is_store_away: false,
};
/// The answer of an instance that started after the moment up to which all ends were known.
const STARTED_SINCE: EndAnswer = EndAnswer {
    covers_ms: 1_500,
    is_store_away: true,
};

fn members(alive: [bool; 2]) -> [AskedMember<u8>; 2] {
    [1, 2].map(|member| AskedMember {
        member,
        is_alive: alive[usize::from(member) - 1],
    })
}

fn first_round(alive: [bool; 2], answers: &[(u8, EndAnswer)]) -> EndRounds<u8> {
    let mut rounds = EndRounds::default();
    let round = rounds.ask(ASKED_AT, KNOWN_AS_OF, &members(alive));
    for (member, answer) in answers {
        rounds.answer(round, *member, *answer);
    }
    rounds
}

#[test_case(&[(1, AWAY), (2, REACHED)], Some(ASKED_AT) ; "all have answered")]
#[test_case(&[(1, AWAY)], None ; "one has not")]
#[test_case(&[(1, AWAY), (2, STARTED_SINCE)], None ; "one has started since")]
#[test_case(&[], None ; "none has")]
fn all_ends_are_known_when_each_instance_has_told_its_own(
    answers: &[(u8, EndAnswer)],
    known: Option<MonoMs>,
) {
    assert_eq!(first_round([true; 2], answers).complete_as_of(), known);
}

/// One that is not heard any more may have ended jobs until it fell silent.
#[test]
fn a_lost_instance_that_never_answered_is_waited_for() {
    let rounds = first_round([true, false], &[(1, AWAY)]);
    assert_eq!(rounds.complete_as_of(), None);
}

#[test_case(AWAY, [true, false], true ; "it had no store and is lost")]
#[test_case(REACHED, [true, false], false ; "it had the store and is lost")]
#[test_case(AWAY, [true, true], false ; "it had no store and is alive")]
fn a_silent_instance_counts_if_it_could_not_end_a_job(
    last: EndAnswer,
    alive: [bool; 2],
    is_complete: bool,
) {
    const LATER: MonoMs = MonoMs(12_000);
    let mut rounds = first_round([true; 2], &[(1, AWAY), (2, last)]);
    let round = rounds.ask(LATER, KNOWN_AS_OF, &members(alive));
    rounds.answer(round, 1, AWAY);
    let known = if is_complete { LATER } else { ASKED_AT };
    assert_eq!(rounds.complete_as_of(), Some(known));
}

#[test]
fn an_answer_to_an_earlier_round_says_nothing_of_a_later_one() {
    let mut rounds = EndRounds::default();
    let first = rounds.ask(ASKED_AT, KNOWN_AS_OF, &members([true; 2]));
    let second = rounds.ask(ASKED_AT + 500, KNOWN_AS_OF, &members([true; 2]));
    for member in [1, 2] {
        rounds.answer(first, member, REACHED);
    }
    assert_eq!(rounds.complete_as_of(), None);
    rounds.answer(second, 1, REACHED);
    rounds.answer(second, 2, REACHED);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT + 500));
}

#[test]
fn an_instance_that_is_alone_knows_all_ends() {
    let mut rounds: EndRounds<u8> = EndRounds::default();
    rounds.ask(ASKED_AT, KNOWN_AS_OF, &[]);
    assert_eq!(rounds.complete_as_of(), Some(ASKED_AT));
}
