//! Tests of the timeline of one request.

use ospreywing_cli::{ClockJump, RequestTimeline};

const JOB: &str = "5c0e7a21d94b36f8";

const LEADER: &str = r#"{"msg":"job taken","at_ms":1020,"wall_ms":9020,"node":"n1","job":"5c0e7a21d94b36f8","figure":3}
{"msg":"placed","at_ms":1100,"wall_ms":9100,"node":"n1","task":"5c0e7a21d94b36f8.0.0.1","run":1,"worker":"w7"}
{"msg":"placed","at_ms":1100,"wall_ms":9100,"node":"n1","task":"ffffffffffffffff.0.0.1","run":1,"worker":"w7"}
{"msg":"job ended","at_ms":4100,"wall_ms":12100,"node":"n1","job":"5c0e7a21d94b36f8","reason":"complete"}
"#;
const RECEIVER: &str = r#"{"msg":"job answered","at_ms":500,"wall_ms":9010,"node":"n2","job":"5c0e7a21d94b36f8","outcome":"accepted"}
"#;

#[test]
fn timeline_of_two_nodes() {
    let timeline = RequestTimeline::new(JOB, [LEADER, RECEIVER]);
    let messages: Vec<&str> = timeline
        .entries
        .iter()
        .map(|e| e.message.as_str())
        .collect();
    assert_eq!(
        messages,
        ["job answered", "job taken", "placed", "job ended"]
    );
    assert!(timeline.clock_doubts.is_empty());
    let text = timeline.to_text();
    assert!(text.contains("... 3000 ms"), "{text}");
    assert!(
        text.contains("run=1 task=5c0e7a21d94b36f8.0.0.1 worker=w7"),
        "{text}"
    );
}

#[test]
fn timeline_clock_jump() {
    let later = LEADER.replace("\"wall_ms\":12100", "\"wall_ms\":9700");
    let timeline = RequestTimeline::new(JOB, [later.as_str()]);
    let jump = ClockJump {
        node: "n1".to_owned(),
        jump_ms: -2400,
    };
    assert_eq!(timeline.clock_doubts, vec![jump]);
}

#[test]
fn timeline_missing_lines() {
    let log = "{\"msg\":\"lines dropped\",\"count\":12}\nnot a line\n";
    let timeline = RequestTimeline::new(JOB, [log]);
    assert_eq!((timeline.dropped_count, timeline.unread_count), (12, 1));
    assert!(timeline.to_text().contains("no line names it"));
}
