//! Tests that invalid settings are reported with field and value.

use yare::parameterized;

use crate::gateway::settings::GatewaySettings;

const VALID: &str = r#"{
  "router": "front-1", "zone": "ikeja",
  "listen": { "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3",
              "directory": "127.0.0.1:4", "metrics": "127.0.0.1:5" },
  "seeds": [], "peer_keys": ["a-key-for-this-test"],
  "vm": { "core_share": 0.25, "memory_mb": 260, "descriptors": 4100, "link_mbps": 1000 },
  "store": { "address": "127.0.0.1:6" },
  "bounds": { "retry_share": 0.2 }
}"#;

#[test]
fn parse_valid_has_defaults() {
    let settings = GatewaySettings::parse(VALID).unwrap();
    assert_eq!(settings.bounds.directory_life_ms, 1_000);
    assert_eq!(settings.traffic_threads, 1);
}

#[parameterized(
    unknown_field = { "\"seeds\": []", "\"sedes\": []", "sedes" },
    bad_address = { "127.0.0.1:6", "somewhere", "store.address" },
    no_keys = { "\"a-key-for-this-test\"", "", "peer_keys" },
    no_memory = { "\"seeds\": []", "\"seeds\": [], \"memory\": {\"budget_mb\": 7}", "memory.budget_mb: 7" },
    more_memory_than_the_vm = { "\"seeds\": []", "\"seeds\": [], \"memory\": {\"budget_mb\": 9000}", "memory.budget_mb: 9000" },
    no_share = { "\"core_share\": 0.25", "\"core_share\": 0", "vm.core_share: 0" },
    share_above_one = { "\"retry_share\": 0.2", "\"retry_share\": 1.5", "bounds.retry_share: 1.5" },
)]
fn parse_invalid_names_the_field(valid: &str, invalid: &str, expected: &str) {
    let error = GatewaySettings::parse(&VALID.replace(valid, invalid)).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
}
