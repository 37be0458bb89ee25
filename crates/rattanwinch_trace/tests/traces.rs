//! Tests of timelines merged from the logs of several processes.

use rattanwinch_trace::LogFile;
use rattanwinch_trace::LogLine;
use rattanwinch_trace::Trace;

const JOB: &str = "592a278d34d7b3c9";

fn line(at: u64, event: &str, fields: &str) -> String {
    format!("{{\"ts_unix_ms\":{at},\"level\":\"INFO\",\"msg\":\"{event}\",{fields}}}\n")
}

fn job_line(at: u64, event: &str, fields: &str) -> String {
    line(at, event, &format!("\"job\":\"{JOB}\",{fields}"))
}

fn front_log(at: u64) -> String {
    [
        job_line(at, "job taken", "\"tasks\":1"),
        job_line(at + 10, "step placed",
            "\"occurrence\":0,\"step\":0,\"run\":1,\"targets\":\"[\\\"i-1\\\"]\",\"waited_ms\":4886"),
        job_line(at + 20, "run started", "\"run\":\"0.0.0#1\""),
        job_line(at + 900, "run ended", "\"run\":\"0.0.0#1\",\"target\":\"i-1\",\"reason\":\"Done\""),
        job_line(at + 901, "job ended", "\"state\":\"Completed\""),
    ]
    .concat()
}

fn agent_log(at: u64) -> String {
    job_line(
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

/// Guards against a timeline that shows a run starting before its order, because the clocks of VMs
/// differ by seconds.
#[test]
fn events_are_in_causal_order_despite_clock_offsets() {
    for skew in [0, 3_000, 7_000] {
        let files = [
            LogFile::parse("front", &front_log(100_000)),
            LogFile::parse("side", &agent_log(98_000 + skew)),
        ];
        let trace = Trace::for_job(JOB, files.concat()).expect("the job is mentioned");
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
            trace
                .cause()
                .contains("step 0 waited 4.9 s for free resources"),
            "{}",
            trace.cause()
        );
    }
}

/// Guards against using the machines' clocks where the bench prints a common time in each line.
#[test]
fn lines_of_the_bench_use_its_clock() {
    let text = format!(
        "seen: 20 jobs\n  20.1965 front-1 {}  20.2 side-1 {}",
        job_line(5, "job taken", "\"tasks\":1"),
        agent_log(1),
    );
    let files = LogFile::parse("day", &text);
    assert_eq!(files.len(), 2);
    assert_eq!(files.iter().map(|file| file.other_lines).sum::<usize>(), 1);
    let trace = Trace::for_job(JOB, files).expect("the job is mentioned");
    assert_eq!(events(&trace), ["job taken", "order carried out"]);
    assert_eq!(trace.lines[0].file, "front-1");
}

/// Guards against unrelated lines in a timeline, and against missing events of the job's targets.
#[test]
fn only_related_events_are_shown() {
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
    let files = LogFile::parse("front", &format!("{}{others}", front_log(100_000)));
    let trace = Trace::for_job(JOB, files).expect("the job is mentioned");
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

/// Guards against failing on incomplete or foreign lines in a log.
#[test]
fn lines_that_are_not_events_are_skipped() {
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

/// Guards against a summary without a delay for a job whose end could not be made durable, so that
/// its caller was refused.
#[test]
fn a_late_commit_of_an_end_is_reported() {
    let unanswered = "\"change\":13,\"error\":\"the store is unavailable\"";
    let done = "\"change\":13,\"copies\":19";
    for (done_at, expected) in [
        (
            104_733,
            "its end was reported only 3.8 s later, because the store did not answer (the store is unavailable)",
        ),
        (101_000, "step 0 waited 4.9 s for free resources"),
    ] {
        let log = [
            front_log(100_000),
            line(100_914, "commit unanswered, sent again", unanswered),
            job_line(101_000, "call refused", "\"reason\":\"not run\""),
            line(done_at, "commit done", done),
            line(done_at + 1, "commit done", "\"change\":99,\"copies\":2"),
        ];
        let files = LogFile::parse("front", &log.concat());
        let trace = Trace::for_job(JOB, files).expect("the job is mentioned");
        let cause = trace.cause();
        assert!(cause.ends_with(expected), "{cause}");
    }
}
