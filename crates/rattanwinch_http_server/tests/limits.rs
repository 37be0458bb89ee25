//! Settings of the limits, without a network.

use rattanwinch_http_server::HttpLimits;
use rattanwinch_runtime::SettingsFile;

fn read(text: &str) -> Result<HttpLimits, String> {
    let mut file = SettingsFile::parse("front.ini", text).expect("INI");
    let limits = HttpLimits::from_file(&mut file);
    file.finish(limits).map_err(|errors| errors.to_string())
}

/// Guards against defaults that differ from the limits in the operators' configuration.
#[test]
fn the_defaults_are_the_limits_of_the_operators_configuration() {
    let limits = read("").expect("no errors");
    assert_eq!(limits.max_header_bytes, 16_384);
    assert_eq!(limits.max_body_bytes, 262_144);
    assert_eq!(limits.header_timeout.as_millis(), 3000);
    assert_eq!(limits.idle_timeout.as_millis(), 15_000);
}

/// Guards against a process that starts and then can read no legal request.
#[test]
fn memory_for_less_than_one_request_is_an_error() {
    let error = read("[limits]\nrequest_memory_kb = 500\n").expect_err("too little");
    assert!(error.contains("request_memory_kb"), "{error}");
    read("[limits]\nrequest_memory_kb = 1024\n").expect("enough");
}

/// Guards against a crowd of connections or bodies beyond the memory for requests.
#[test]
fn the_parts_of_the_callers_port_fit_into_the_memory_for_requests() {
    let limits = read("[limits]\nrequest_memory_kb = 16384\n").expect("no errors");
    let port = limits.caller_port();
    let connections = port.max_connections * port.max_header_bytes;
    assert!(
        connections + port.body_memory <= limits.request_memory,
        "{port:?}"
    );
    assert!(port.body_memory >= port.max_body_bytes, "{port:?}");
}

/// Guards against misuse of the memory setting to cut off a site's own processes.
#[test]
fn little_memory_does_not_limit_the_connections_of_peers() {
    let limits = read("[limits]\nrequest_memory_kb = 1024\n").expect("no errors");
    assert_eq!(limits.peer_port(8 << 20, 1000).max_connections, 1000);
}
