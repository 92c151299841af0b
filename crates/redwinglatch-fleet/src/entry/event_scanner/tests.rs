use quickcheck::{TestResult, quickcheck};

use super::EventScanner;

/// Returns the length of the complete events, whether the rest is a part of an event, and the number of
/// complete events.
fn scan_all(parts: &[&[u8]]) -> (usize, bool, u64) {
    let mut scanner = EventScanner::default();
    let mut length = 0;
    let mut complete = 0;
    for part in parts {
        let part_complete = scanner.scan(part);
        if part_complete > 0 {
            complete = length + part_complete;
        }
        length += part.len();
    }
    (complete, scanner.is_inside_event(), scanner.event_count())
}

#[test]
fn events_end_with_an_empty_line_of_any_line_ending() {
    assert_eq!(scan_all(&[b""]), (0, false, 0));
    assert_eq!(scan_all(&[b"id: 1\ndata: a\n\n"]), (15, false, 1));
    assert_eq!(scan_all(&[b"id: 1\r\ndata: a\r\n\r\n"]), (18, false, 1));
    assert_eq!(scan_all(&[b"id: 1\rdata: a\r\r"]), (15, false, 1));
    assert_eq!(scan_all(&[b"data: a\n\n\n: comment\n\n"]), (21, false, 2));
}

#[test]
fn body_that_ends_inside_an_event_is_recognized() {
    assert_eq!(scan_all(&[b"data: a\n\ndata"]), (9, true, 1));
    assert_eq!(scan_all(&[b"data: a\n\ndata: b\n"]), (9, true, 1));
    assert_eq!(scan_all(&[b"data: a\r\n\r\ndata: b\r\n"]), (11, true, 1));
    assert_eq!(scan_all(&[b"d"]), (0, true, 0));
}

quickcheck! {
    /// Guards against a boundary that is missed because it is split between two reads.
    fn parts_are_scanned_like_the_whole_body(letters: Vec<u8>, cut: usize) -> TestResult {
        let body: Vec<u8> = letters.iter().map(|letter| b"a\n\r"[usize::from(letter % 3)]).collect();
        if body.is_empty() {
            return TestResult::discard();
        }
        let (first, second) = body.split_at(cut % body.len());
        TestResult::from_bool(scan_all(&[&body]) == scan_all(&[first, second]))
    }
}
