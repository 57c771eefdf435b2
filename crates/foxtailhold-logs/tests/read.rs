//! Log lines of several processes are merged by time and searched for an identifier.

use foxtailhold_logs::LogBook;
use test_case::test_case;

const PORTAL: &str = r#"
{"at_ms":1000,"level":"INFO","instance":"m1","target":"relay","message":"answered","fields":{"request":"r1","backend":"e1","missed":"e2,e3"}}
{"at_ms":1400,"level":"WARN","instance":"m1","target":"relay","message":"a stream was cut","fields":{"request":"r1","tried":"e1"}}
{"at_ms":1500,"level":"INFO","instance":"m1","target":"relay","message":"answered","fields":{"request":"r2","backend":"e1"}}
"#;
const OTHER: &str = r#"
{"at_ms":900,"level":"INFO","instance":"m2","target":"relay","message":"backend server removed","fields":{"backend":"e3"}}
{"at_ms":1300,"level":"INFO","instance":"m2","target":"relay","message":"backend server removed","fields":{"backend":"e1"}}
not a line
{"at_ms":1350,"level":"WARN","instance":"m2","message":"lines left out","fields":{"failures":1,"ordinary":7}}
{"at_ms":9000,"level":"INFO","instance":"m2","target":"relay","message":"backend server listed","fields":{"backend":"e1"}}
"#;

fn book() -> LogBook {
    let mut book = LogBook::default();
    book.read(PORTAL.as_bytes()).unwrap();
    book.read(OTHER.as_bytes()).unwrap();
    book.sort();
    book
}

fn times(book: &LogBook) -> Vec<u64> {
    book.lines.iter().map(|line| line.at_ms).collect()
}

#[test]
fn lines_of_all_processes_come_in_the_order_of_their_times() {
    let book = book();
    let expected = [900, 1_000, 1_300, 1_350, 1_400, 1_500, 9_000];
    assert_eq!(times(&book), expected);
    assert_eq!((book.unreadable, book.dropped), (1, 8));
}

#[test_case("r1", &[1_000, 1_400]; "a request")]
#[test_case("e3", &[900, 1_000]; "one backend server of several in a field")]
#[test_case("m2", &[900, 1_300, 1_350, 9_000]; "an instance")]
#[test_case("e", &[]; "the beginning of a name")]
fn lines_about_an_identifier(id: &str, expected: &[u64]) {
    let mut book = book();
    book.keep_about(id);
    assert_eq!(times(&book), expected);
}

#[test_case("r1", &[900, 1_000, 1_300, 1_400]; "what its backend servers did meanwhile")]
#[test_case("r9", &[]; "unknown")]
fn lines_about_an_identifier_and_what_they_name(id: &str, expected: &[u64]) {
    let mut book = book();
    book.keep_related(id);
    assert_eq!(times(&book), expected);
}
