use super::*;

fn example() -> serde_json::Value {
    serde_json::from_str(include_str!("../../examples/router.json")).expect("the example is JSON")
}

fn parse(value: &serde_json::Value) -> Result<RouterSettings, Error> {
    let settings: RouterSettings = parse_json(&value.to_string())?;
    settings.check()?;
    Ok(settings)
}

#[test]
fn check_example_passes() {
    parse(&example()).expect("the example is valid");
}

#[yare::parameterized(
    unknown_field = { "/times", serde_json::json!({"idle_ms": 3}), "times" },
    bad_address = { "/listen/callers", serde_json::json!("localhost"), "listen.callers" },
    zero_duration = { "/times/connect_timeout_ms", serde_json::json!(0), "times.connect_timeout_ms" },
    short_key = { "/peer_keys/0", serde_json::json!("short"), "peer_keys[0]" },
    bad_digest = { "/operator_key_sha256/0", serde_json::json!("ABC"), "operator_key_sha256[0]" },
    bad_level = { "/log/level", serde_json::json!("loud"), "log.level" },
    no_threads = { "/traffic_threads", serde_json::json!(0), "traffic_threads" },
    bad_name = { "/router", serde_json::json!("a b"), "router" },
)]
fn check_bad_value_names_field(pointer: &str, value: serde_json::Value, field: &str) {
    let mut settings = example();
    *settings
        .pointer_mut(pointer)
        .expect("the example has the field") = value;
    let error = parse(&settings).expect_err("the value is not allowed");
    assert_eq!(error.kind(), ErrorKind::InvalidInput);
    assert!(error.to_string().contains(field), "{error}");
}

#[test]
fn page_lists_times_and_bounds_with_defaults() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let bounds = Bounds::default();
    let mut fields = Times::default().fields().to_vec();
    fields.push(("bounds.body_limit_bytes", bounds.body_limit_bytes as u64));
    fields.push(("bounds.connections", bounds.connections as u64));
    for (field, default) in fields {
        let row = format!("| `{field}` | {default} |");
        assert!(page.contains(&row), "the page has no row {row}");
    }
}
