use hyper::{
    StatusCode,
    header::{HeaderMap, HeaderValue, RETRY_AFTER},
};

use super::unavailable_for_ms;

fn unavailable_for(status: StatusCode, value: &str) -> Option<u64> {
    let value = HeaderValue::from_str(value).expect("a header value");
    unavailable_for_ms(status, &HeaderMap::from_iter([(RETRY_AFTER, value)]))
}

#[test]
fn retry_after_of_status_503_is_a_number_of_seconds() {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(unavailable_for(unavailable, "2"), Some(2_000));
    assert_eq!(unavailable_for(unavailable, " 0.25 "), Some(250));
    assert_eq!(unavailable_for(unavailable, "0"), Some(0));
    assert_eq!(unavailable_for(unavailable, "0.0001"), Some(1));
    assert_eq!(unavailable_for(unavailable, "99999999999999999999"), Some(3_600_000));
    for malformed in ["", ".", "-1", "+1", "1e9", "inf", "NaN", "Fri, 04 Dec 2026 06:53:56 GMT"] {
        assert_eq!(unavailable_for(unavailable, malformed), None, "{malformed:?}");
    }
    assert_eq!(unavailable_for(StatusCode::TOO_MANY_REQUESTS, "2"), None);
    assert_eq!(unavailable_for_ms(unavailable, &HeaderMap::new()), None);
}
