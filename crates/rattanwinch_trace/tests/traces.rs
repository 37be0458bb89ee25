//! Logs of several processes as one time line.

use rattanwinch_trace::LogFile;
use rattanwinch_trace::LogLine;
use rattanwinch_trace::Trace;

const JOB: &str = "592a278d34d7b3c9";

fn line(at: u64, event: &str, fields: &str) -> String {
    format!("{{\"ts_unix_ms\":{at},\"level\":\"INFO\",\"msg\":\"{event}\",{fields}}}\n")
}

fn of_job(at: u64, event: &str, fields: &str) -> String {
    line(at, event, &format!("\"job\":\"{JOB}\",{fields}"))
}

fn front(at: u64) -> String {
    [
        of_job(at, "job taken", "\"tasks\":1"),
        of_job(at + 10, "step placed",
            "\"occurrence\":0,\"step\":0,\"run\":1,\"targets\":\"[\\\"i-1\\\"]\",\"waited_ms\":4886"),
        of_job(at + 20, "run started", "\"run\":\"0.0.0#1\""),
        of_job(at + 900, "run ended", "\"run\":\"0.0.0#1\",\"target\":\"i-1\",\"reason\":\"Done\""),
        of_job(at + 901, "job ended", "\"state\":\"Completed\""),
    ]
    .concat()
}

fn side(at: u64) -> String {
    of_job(
        at,
        "order carried out",
        "\"run\":\"0.0.0#1\",\"outcome\":\"Started\",\"target\":\"i-1\"",
    )
}

fn events(trace: &Trace) -> Vec<&str> {
    trace
        .lines
        .iter()
        .map(|line| line.line.event.as_str())
        .collect()
}

/// Clocks of VMs differ by seconds; a time line in their order would tell that a run was started
/// before it was ordered.
#[test]
fn events_are_in_order_although_clocks_differ() {
    for skew in [0, 3_000, 7_000] {
        let files = [
            LogFile::parse("front", &front(100_000)),
            LogFile::parse("side", &side(98_000 + skew)),
        ];
        let trace = Trace::for_job(JOB, files.concat()).expect("the job is named");
        assert_eq!(
            events(&trace),
            [
                "job taken",
                "step placed",
                "order carried out",
                "run started",
                "run ended",
                "job ended"
            ],
            "skew {skew}"
        );
        assert!(
            trace.cause().contains("step 0 waited 4.9 s for room"),
            "{}",
            trace.cause()
        );
    }
}

/// The bench prints a time of its own before each line, which all machines share.
#[test]
fn lines_of_the_bench_are_read_by_its_time() {
    let text = format!(
        "seen: 20 jobs\n  20.1965 front-1 {}  20.2 side-1 {}",
        of_job(5, "job taken", "\"tasks\":1"),
        side(1),
    );
    let files = LogFile::parse("day", &text);
    assert_eq!(files.len(), 2);
    assert_eq!(files.iter().map(|file| file.other_lines).sum::<usize>(), 1);
    let trace = Trace::for_job(JOB, files).expect("the job is named");
    assert_eq!(events(&trace), ["job taken", "order carried out"]);
    assert_eq!(trace.lines[0].file, "front-1");
}

/// Lines of other jobs would hide what matters, and what happened to a target of the job does.
#[test]
fn only_what_concerns_the_job_is_shown() {
    let others = [
        line(100_100, "job taken", "\"job\":\"0000000000000001\""),
        line(
            100_200,
            "target gone",
            "\"target\":\"i-1\",\"cause\":\"Silent\"",
        ),
        line(
            100_300,
            "target gone",
            "\"target\":\"i-2\",\"cause\":\"Silent\"",
        ),
        line(100_400, "lease not renewed", "\"epoch\":1"),
    ]
    .concat();
    let files = LogFile::parse("front", &format!("{}{others}", front(100_000)));
    let trace = Trace::for_job(JOB, files).expect("the job is named");
    assert_eq!(
        events(&trace),
        [
            "job taken",
            "step placed",
            "run started",
            "target gone",
            "lease not renewed",
            "run ended",
            "job ended"
        ]
    );
    assert!(Trace::for_job("ffffffffffffffff", LogFile::parse("front", &others)).is_none());
}

/// A log may end in the middle of a line, and hold what isn't ours.
#[test]
fn what_is_no_event_is_left_out() {
    for text in [
        "",
        "{",
        "[1]",
        "{\"level\":\"INFO\"}",
        "{\"msg\":7,\"ts_unix_ms\":1}",
        "plain",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}

/// A job whose end couldn't be made durable was told to have been held up by nothing, while its
/// caller was refused.
#[test]
fn an_end_that_could_not_be_shown_is_told() {
    let unanswered = "\"change\":13,\"error\":\"the store is unavailable\"";
    let done = "\"change\":13,\"copies\":19";
    for (done_at, told) in [
        (
            104_733,
            "its end could be shown only 3.8 s later, since the store didn't answer (the store is unavailable)",
        ),
        (101_000, "step 0 waited 4.9 s for room"),
    ] {
        let log = [
            front(100_000),
            line(100_914, "commit unanswered, sent again", unanswered),
            of_job(101_000, "call refused", "\"reason\":\"not run\""),
            line(done_at, "commit done", done),
            line(done_at + 1, "commit done", "\"change\":99,\"copies\":2"),
        ];
        let files = LogFile::parse("front", &log.concat());
        let trace = Trace::for_job(JOB, files).expect("the job is named");
        let cause = trace.cause();
        assert!(cause.ends_with(told), "{cause}");
    }
}
