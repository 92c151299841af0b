use super::*;

const PARTS: HeaderName = HeaderName::from_static("prompt-parts");

fn parts_of(text: &str) -> Vec<(u64, u32)> {
    let value = HeaderValue::from_str(text).expect("a value");
    prompt_parts(&HeaderMap::from_iter([(PARTS, value)]), &PARTS)
}

#[test]
fn prompt_parts_end_at_a_malformed_one() {
    assert_eq!(parts_of("a1:60, b2:40"), [(0xa1, 60), (0xb2, 40)]);
    assert_eq!(parts_of("a1:60,b2,c3:5"), [(0xa1, 60)]);
}

/// Guards against heads of legal size whose very many parts take several times their memory.
#[test]
fn further_prompt_parts_count_towards_the_last() {
    let many: Vec<String> = (1..=4_000).map(|id| format!("{id:x}:1")).collect();
    let kept = parts_of(&many.join(","));
    assert_eq!(kept.len(), MAX_PROMPT_PARTS);
    assert_eq!(kept.iter().map(|(_, tokens)| tokens).sum::<u32>(), 4_000);
    assert_eq!(kept[62], (63, 1));
    assert_eq!(kept[63], (4_000, 3_937));
}
