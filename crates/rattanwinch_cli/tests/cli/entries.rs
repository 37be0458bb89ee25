//! Tests of retries at the next entry.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::sync::atomic::Ordering;

use crate::site::Site;
use crate::site::command;

const RUN_ARGUMENTS: [&str; 4] = ["run", "--organisation", "o", "text"];

/// Returns the URL of a port without a listener.
fn unused_port_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("http://{}", listener.local_addr().expect("an address"))
}

/// Starts a server that answers one connection with `answer` and closes it; returns its URL.
fn serve_one_response(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = [0; 8192];
        let _ = connection.read(&mut request);
        let _ = connection.write_all(answer.as_bytes());
    });
    url
}

fn http_response(status: &str, body: &str) -> &'static str {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
    format!("{head}connection: close\r\n\r\n{body}").leak()
}

/// Guards against a non-idempotent request that runs twice after its response was lost, and against
/// a request that is not retried at the next entry although it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_sent_again_only_if_it_did_not_run() {
    let site = Site::start().await;
    let busy_error = r#"{"error":{"verdict":"not_run","kind":"busy","message":"full"}}"#;
    let unavailable_error =
        r#"{"error":{"verdict":"may_have_run","kind":"unavailable","message":"lost"}}"#;
    let invalid_error = r#"{"error":{"verdict":"not_run","kind":"invalid","message":"no"}}"#;
    // The first entry, whether the second is tried for an idempotent request, and whether it is
    // tried for a non-idempotent one.
    let cases = [
        (unused_port_url as fn() -> String, true, true),
        (
            || serve_one_response(http_response("429 Too Many Requests", "")),
            false,
            false,
        ),
        (|| serve_one_response(""), true, false),
    ];
    for (first_entry, tried_if_idempotent, tried_if_non_idempotent) in cases {
        for (flags, second_tried) in [
            (&[][..], tried_if_idempotent),
            (&["--non-idempotent"][..], tried_if_non_idempotent),
        ] {
            let entries = [&first_entry(), &site.url].map(|url| format!("--entry={url}"));
            check(&site, &entries, flags, second_tried).await;
        }
    }
    for (status, body, tried_if_idempotent, tried_if_non_idempotent) in [
        ("429 Too Many Requests", busy_error, true, true),
        ("503 Service Unavailable", unavailable_error, true, false),
        ("400 Bad Request", invalid_error, false, false),
    ] {
        for (flags, second_tried) in [
            (&[][..], tried_if_idempotent),
            (&["--non-idempotent"][..], tried_if_non_idempotent),
        ] {
            let first_entry = serve_one_response(http_response(status, body));
            let entries = [&first_entry, &site.url].map(|url| format!("--entry={url}"));
            check(&site, &entries, flags, second_tried).await;
        }
    }
}

async fn check(site: &Site, entries: &[String; 2], flags: &[&str], second_tried: bool) {
    let before = site.requests.load(Ordering::Acquire);
    let entries = entries.each_ref().map(String::as_str);
    let outcome = command(&[&entries[..], &RUN_ARGUMENTS, flags].concat()).await;
    let arrived = site.requests.load(Ordering::Acquire) - before;
    assert_eq!(arrived, u32::from(second_tried), "{flags:?} {outcome:?}");
    assert_eq!(
        outcome.code,
        Some(i32::from(!second_tried)),
        "{flags:?} {outcome:?}"
    );
    assert_eq!(
        outcome.stderr.contains("verdict: "),
        !second_tried,
        "{outcome:?}"
    );
}

/// Guards against a verdict that ignores that an earlier entry may have run the request.
#[tokio::test(flavor = "multi_thread")]
async fn the_worst_verdict_of_all_entries_is_reported() {
    let lost = serve_one_response("");
    let outcome = command(
        &[
            &["--entry", &lost, "--entry", &unused_port_url()],
            &RUN_ARGUMENTS[..],
        ]
        .concat(),
    )
    .await;
    assert_eq!(outcome.code, Some(1));
    assert!(
        outcome.stderr.contains("verdict: may have run"),
        "{outcome:?}"
    );
    assert!(outcome.stderr.contains("--deadline-unix-ms"), "{outcome:?}");
}

/// Guards against ignoring errors in the settings file.
#[tokio::test(flavor = "multi_thread")]
async fn entries_come_from_the_settings_file() {
    let site = Site::start().await;
    let path = std::env::temp_dir().join(format!("rattanwinch-cli-{}.ini", std::process::id()));
    let file = path.to_str().expect("a path of text");
    let mut codes = Vec::new();
    for text in [
        format!("[client]\nentries = {}, {}\n", unused_port_url(), site.url),
        "[client]\nentries =\n".to_owned(),
        format!("[client]\nentries = {}\ncolour = red\n", site.url),
    ] {
        std::fs::write(&path, text).expect("a file");
        codes.push(command(&["--settings", file, "config", "show"]).await.code);
    }
    std::fs::remove_file(&path).expect("the file is there");
    assert_eq!(codes, [Some(0), Some(2), Some(2)]);
}
