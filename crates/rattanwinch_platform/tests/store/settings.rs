//! Tests of reading the section `[store]` of a settings file.

use std::time::Duration;

use rattanwinch_platform::StoreSettings;
use rattanwinch_runtime::SettingsFile;

/// Guards against settings that are accepted but not applied.
#[test]
fn the_section_is_read_with_defaults() {
    let text = "[store]\nendpoints = 127.0.0.1:2379, 127.0.0.1:2380\nwrites_per_second = 20\n";
    let mut file = SettingsFile::parse("entry.ini", text).unwrap();
    let settings = StoreSettings::from_file(&mut file);
    let settings = file.finish(settings).unwrap();
    let expected = StoreSettings::builder()
        .endpoints(vec![
            "127.0.0.1:2379".parse().unwrap(),
            "127.0.0.1:2380".parse().unwrap(),
        ])
        .writes_per_second(20)
        .build();
    assert_eq!(settings, expected);
    assert_eq!(settings.reads_per_second, 60);
    assert_eq!(settings.lease_ttl, Duration::from_secs(10));
}

/// Guards against reporting only the first invalid setting.
#[test]
fn all_errors_are_reported_together() {
    let text = "[store]\nwrites_per_second = 0\nlease_ttl_s = 2\nlease_interval_ms = 3000\nx = 1\n";
    let mut file = SettingsFile::parse("entry.ini", text).unwrap();
    let settings = StoreSettings::from_file(&mut file);
    assert_eq!(settings, None);
    let errors = file.finish(settings).unwrap_err();
    let mut keys: Vec<_> = errors.0.iter().map(|error| &*error.key).collect();
    keys.sort_unstable();
    assert_eq!(
        keys,
        ["endpoints", "lease_interval_ms", "writes_per_second", "x"]
    );
}
