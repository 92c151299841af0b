use super::{Suspect, exonerate, explain};

fn suspect(parts: &[u64], digests: &[u64]) -> Suspect {
    Suspect { parts: parts.to_vec(), digests: digests.to_vec() }
}

#[test]
fn a_fatal_request_leaves_other_requests_suspect_but_not_their_parts() {
    let mut suspects = vec![suspect(&[1, 2], &[10, 11]), suspect(&[1, 3], &[20, 21])];
    explain(&mut suspects, 11);
    assert_eq!(suspects, [suspect(&[], &[20, 21])]);
}

#[test]
fn a_fatal_part_explains_the_end() {
    let mut suspects = vec![suspect(&[1, 2], &[10, 11]), suspect(&[1, 3], &[20, 21])];
    explain(&mut suspects, 4);
    assert_eq!(suspects.len(), 2);
    explain(&mut suspects, 3);
    assert!(suspects.is_empty());
}

#[test]
fn a_complete_answer_exonerates_one_key() {
    let mut suspects = vec![suspect(&[1, 2], &[10, 11]), suspect(&[1], &[])];
    exonerate(&mut suspects, 1);
    assert_eq!(suspects, [suspect(&[2], &[10, 11])]);
    exonerate(&mut suspects, 10);
    assert_eq!(suspects, [suspect(&[2], &[11])]);
}
