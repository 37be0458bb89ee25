//! When the next entry is tried.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::sync::atomic::Ordering;

use crate::site::Site;
use crate::site::command;

const RUN: [&str; 4] = ["run", "--organisation", "o", "text"];

/// The URL of a port where nobody listens.
fn closed_port() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("http://{}", listener.local_addr().expect("an address"))
}

/// Answers one connection with `answer` after it has read something, then closes it.
fn one_answer(answer: &'static str) -> String {
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

fn http(status: &str, body: &str) -> &'static str {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
    format!("{head}connection: close\r\n\r\n{body}").leak()
}

/// Guards against a non-idempotent request that runs twice because the first entry only lost its
/// answer, and against one that isn't tried elsewhere although it certainly didn't run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_sent_again_only_if_it_did_not_run() {
    let site = Site::start().await;
    let busy = r#"{"error":{"verdict":"not_run","kind":"busy","message":"full"}}"#;
    let open = r#"{"error":{"verdict":"may_have_run","kind":"unavailable","message":"lost"}}"#;
    let wrong = r#"{"error":{"verdict":"not_run","kind":"invalid","message":"no"}}"#;
    // The first entry, whether the second is tried for any request, and for one that may run once.
    let cases = [
        (closed_port as fn() -> String, true, true),
        (
            || one_answer(http("429 Too Many Requests", "")),
            false,
            false,
        ),
        (|| one_answer(""), true, false),
    ];
    for (first, any, once) in cases {
        for (flags, tried) in [(&[][..], any), (&["--non-idempotent"][..], once)] {
            let entries = [&first(), &site.url].map(|url| format!("--entry={url}"));
            check(&site, &entries, flags, tried).await;
        }
    }
    for (status, body, any, once) in [
        ("429 Too Many Requests", busy, true, true),
        ("503 Service Unavailable", open, true, false),
        ("400 Bad Request", wrong, false, false),
    ] {
        for (flags, tried) in [(&[][..], any), (&["--non-idempotent"][..], once)] {
            let first = one_answer(http(status, body));
            let entries = [&first, &site.url].map(|url| format!("--entry={url}"));
            check(&site, &entries, flags, tried).await;
        }
    }
}

async fn check(site: &Site, entries: &[String; 2], flags: &[&str], tried: bool) {
    let before = site.requests.load(Ordering::Acquire);
    let entries = entries.each_ref().map(String::as_str);
    let outcome = command(&[&entries[..], &RUN, flags].concat()).await;
    let arrived = site.requests.load(Ordering::Acquire) - before;
    assert_eq!(arrived, u32::from(tried), "{flags:?} {outcome:?}");
    assert_eq!(
        outcome.code,
        Some(i32::from(!tried)),
        "{flags:?} {outcome:?}"
    );
    assert_eq!(outcome.stderr.contains("verdict: "), !tried, "{outcome:?}");
}

/// Guards against a verdict that forgets that an earlier entry may have run the request.
#[tokio::test(flavor = "multi_thread")]
async fn the_worst_verdict_of_all_entries_is_reported() {
    let lost = one_answer("");
    let outcome =
        command(&[&["--entry", &lost, "--entry", &closed_port()], &RUN[..]].concat()).await;
    assert_eq!(outcome.code, Some(1));
    assert!(
        outcome.stderr.contains("verdict: may have run"),
        "{outcome:?}"
    );
    assert!(outcome.stderr.contains("--deadline-unix-ms"), "{outcome:?}");
}

/// Guards against settings whose errors are passed over.
#[tokio::test(flavor = "multi_thread")]
async fn entries_come_from_the_settings_file() {
    let site = Site::start().await;
    let path = std::env::temp_dir().join(format!("rattanwinch-cli-{}.ini", std::process::id()));
    let file = path.to_str().expect("a path of text");
    let mut codes = Vec::new();
    for text in [
        format!("[client]\nentries = {}, {}\n", closed_port(), site.url),
        "[client]\nentries =\n".to_owned(),
        format!("[client]\nentries = {}\ncolour = red\n", site.url),
    ] {
        std::fs::write(&path, text).expect("a file");
        codes.push(command(&["--settings", file, "config", "show"]).await.code);
    }
    std::fs::remove_file(&path).expect("the file is there");
    assert_eq!(codes, [Some(0), Some(2), Some(2)]);
}
