//! Work that one instance does for all. Guards against work that every instance leaves to another one,
//! because their lists of instances differ.

use foxtailhold::turns::Turns;
use test_case::test_case;

#[test_case(0, &[1, 2]; "the first does it at once")]
#[test_case(1, &[2]; "the second one if it is found undone once more")]
#[test_case(2, &[]; "the third one later")]
fn work_is_due_by_rank(rank: usize, due_at_second: &[u32]) {
    let mut turns = Turns::default();
    let first = turns.due([1, 2], |_| rank);
    assert_eq!(first.is_empty(), rank > 0);
    // The first piece was done meanwhile by another instance where one was due.
    let left = if rank == 1 { vec![2] } else { vec![1, 2] };
    assert_eq!(turns.due(left, |_| rank), due_at_second);
}

#[test]
fn work_that_was_done_begins_anew() {
    let mut turns = Turns::default();
    assert!(turns.due(["row"], |_| 1).is_empty());
    assert!(turns.due([], |_| 1).is_empty());
    assert!(turns.due(["row"], |_| 1).is_empty());
    assert_eq!(turns.due(["row"], |_| 1), ["row"]);
}

/// Two instances that each list the other one first.
#[test]
fn work_is_done_though_no_instance_takes_itself_for_the_first() {
    let mut instances = [Turns::default(), Turns::default()];
    let mut rounds = 0;
    while instances
        .iter_mut()
        .all(|turns| turns.due(["row"], |_| 1).is_empty())
    {
        rounds += 1;
        assert!(rounds < 3);
    }
}
