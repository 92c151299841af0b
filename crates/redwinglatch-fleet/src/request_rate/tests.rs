use super::RequestRate;

#[test]
fn rates_are_decimal_numbers() {
    let milli_per_s = |text| RequestRate::parse(text).map(|rate| rate.milli_per_s);
    assert_eq!(milli_per_s("2.7"), Some(2_700));
    assert_eq!(milli_per_s(" 12 "), Some(12_000));
    assert_eq!(milli_per_s("0"), Some(0));
    assert_eq!(milli_per_s("99999999999999999999"), Some(1_000_000_000));
    for text in ["", ".", "-1", "1e3", "inf", "NaN", "two", "1.2.3"] {
        assert_eq!(milli_per_s(text), None, "{text:?}");
    }
    assert_eq!(RequestRate { milli_per_s: 2_070 }.to_string(), "2.070");
}
