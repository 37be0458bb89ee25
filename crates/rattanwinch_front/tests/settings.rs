//! Settings of the daemons of a site.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use rattanwinch_front::FrontSettings;
use rattanwinch_side::SideSettings;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Fills in a template as the platform does.
fn render(template: &str) -> String {
    let path = repository().join("platform/settings").join(template);
    let text = std::fs::read_to_string(path).expect("a template");
    let values = [
        ("{{node}}", "vm-1"),
        ("{{ip}}", "10.1.0.19"),
        ("{{port_range.0}}", "7000"),
        ("{{listen.front}}", "10.1.0.19:8521"),
        ("{{listen.ready}}", "10.1.0.19:8523"),
        ("{{listen.control}}", "10.1.0.20:8526"),
        ("{{seeds}}", "10.1.0.19:8526,10.2.0.35:8526"),
        ("{{platform.addr}}", "10.200.1.7:8524"),
        ("{{advisor}}", ""),
        ("{{cloud.addr}}", "10.200.0.130:8524"),
        ("{{bounds.hold_max_ms}}", "6000"),
        ("{{bounds.status_s}}", "120"),
        ("{{bounds.grace_s}}", "6"),
        ("{{limits.cpu_share}}", "0.12"),
        ("{{bounds.reclaim_ms}}", "2900"),
        // A site that does not state the bound.
        ("{{bounds.stop_ms}}", ""),
    ];
    values
        .iter()
        .fold(text, |text, (name, value)| text.replace(name, value))
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Guards against templates that a daemon can't read, which would keep a whole site from starting.
#[test]
fn the_templates_make_valid_settings() {
    let path = write("front.ini", &render("front.ini"));
    let front = FrontSettings::read(&path).expect("valid settings");
    assert_eq!(front.vm.peer_address().to_string(), "10.1.0.19:7000");
    assert_eq!(front.cpu_percent(), 12);
    assert_eq!(front.reclaim_time, Duration::from_millis(2900));
    assert_eq!(front.stop_time, Duration::from_millis(900));
    let seeds: Vec<_> = front
        .vm
        .seed_addresses()
        .map(|seed| seed.to_string())
        .collect();
    assert_eq!(seeds, ["10.1.0.19:7000", "10.2.0.35:7000"]);
    assert_eq!(front.advisor, None);
    assert_eq!(front.machines, "10.200.0.130:8524".parse().ok());
    let path = write("side.ini", &render("side.ini"));
    let side = SideSettings::read(&path).expect("valid settings");
    assert_eq!(side.executor_listen.to_string(), "10.1.0.20:8526");
    assert_eq!(side.vm.max_lease.as_millis(), 6000);
}

/// All errors are reported at once; with one error at a time, operators would restart once per
/// error.
#[test]
fn all_errors_are_reported_at_once() {
    let text = render("front.ini")
        .replace("ip = 10.1.0.19", "ip = nowhere")
        .replace(
            "grace_s = 6",
            "grace_s = soon\nunknown = 1\n[log]\nlevel = loud",
        )
        .replace("name = vm-1\n", "");
    let errors = FrontSettings::read(&write("wrong.ini", &text)).expect_err("errors");
    let mut keys: Vec<_> = errors.0.iter().map(|error| error.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["grace_s", "ip", "level", "name", "unknown"]);
}
