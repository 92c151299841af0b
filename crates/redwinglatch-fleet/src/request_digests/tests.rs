use hyper::Method;

use super::RequestDigests;

fn digests(
    method: Method,
    host: &str,
    uri: &str,
    body: &'static str,
    caller: &str,
) -> RequestDigests {
    let caller = caller.parse().expect("an address");
    RequestDigests::of(&method, host, &uri.parse().expect("a URI"), &body.into(), caller)
}

#[test]
fn requests_are_the_same_if_path_body_and_caller_are() {
    let first = digests(Method::POST, "a.example", "/b/c?d=1", "body", "192.0.2.1");
    assert_eq!(first, digests(Method::POST, "a.example", "/b/c?d=1", "body", "192.0.2.1"));
    let others = [
        digests(Method::PUT, "a.example", "/b/c?d=1", "body", "192.0.2.1"),
        digests(Method::POST, "b.example", "/b/c?d=1", "body", "192.0.2.1"),
        digests(Method::POST, "a.example", "/b/c?d=2", "body", "192.0.2.1"),
        digests(Method::POST, "a.example", "/b/c?d=1", "bodies", "192.0.2.1"),
        digests(Method::POST, "a.example", "/b/c?d=1b", "ody", "192.0.2.1"),
    ];
    for other in others {
        assert_ne!(first.content, other.content);
        assert_ne!(first.content_and_caller, other.content_and_caller);
    }
    let elsewhere = digests(Method::POST, "a.example", "/b/c?d=1", "body", "192.0.2.2");
    assert_eq!(first.content, elsewhere.content);
    assert_ne!(first.content_and_caller, elsewhere.content_and_caller);
    assert_ne!(first.content, first.content_and_caller);
}
