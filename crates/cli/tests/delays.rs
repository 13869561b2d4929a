//! Tests of the delays of jobs by queue.

use ospreywing_cli::{delays_by_queue, Delays};

/// One job with two steps. It takes 5 ms to reach the leader. The first step waits 20 ms for
/// advice, 75 ms for capacity and 30 ms for the commit, and runs for 500 ms. The second waits
/// 10 ms for capacity and 25 ms for the commit, and runs for 300 ms. The outcome takes 35 ms
/// to be committed.
const JOB: &str = r#"{"msg":"job answered","wall_ms":1000,"node":"n2","job":"5c0e7a21d94b36f8","outcome":"accepted"}
{"msg":"job taken","wall_ms":1005,"node":"n1","job":"5c0e7a21d94b36f8","queue":"post","figure":1200}
{"msg":"advice asked","wall_ms":1005,"node":"n1","job":"5c0e7a21d94b36f8"}
{"msg":"advice answered","wall_ms":1025,"node":"n1","job":"5c0e7a21d94b36f8"}
{"msg":"placed","wall_ms":1100,"node":"n1","task":"5c0e7a21d94b36f8.0.0.0","run":1}
{"msg":"start sent","wall_ms":1130,"node":"n1","task":"5c0e7a21d94b36f8.0.0.0","run":1}
{"msg":"run ended","wall_ms":1630,"node":"n1","task":"5c0e7a21d94b36f8.0.0.0","run":1,"reason":"done"}
{"msg":"placed","wall_ms":1640,"node":"n1","task":"5c0e7a21d94b36f8.0.1.0","run":1}
{"msg":"start sent","wall_ms":1665,"node":"n1","task":"5c0e7a21d94b36f8.0.1.0","run":1}
{"msg":"run ended","wall_ms":1965,"node":"n1","task":"5c0e7a21d94b36f8.0.1.0","run":1,"reason":"done"}
{"msg":"job ended","wall_ms":1965,"node":"n1","job":"5c0e7a21d94b36f8","reason":"complete"}
{"msg":"job ended","wall_ms":2000,"node":"n1","job":"5c0e7a21d94b36f8","reason":"shown"}
"#;

const PARTS: Delays = Delays {
    handing_over_ms: 5,
    advice_ms: 20,
    room_ms: 85,
    record_ms: 55,
    running_ms: 800,
    outcome_ms: 35,
};

#[test]
fn delays_by_queue_parts_add_up() {
    let queues = delays_by_queue([JOB]);
    assert_eq!(queues.len(), 1);
    assert_eq!(queues[0].queue, "post");
    assert_eq!((queues[0].in_time_count, queues[0].late_count), (1, 0));
    assert_eq!(queues[0].mean, PARTS);
    assert_eq!(queues[0].mean.total_ms(), 1000);
}

#[test]
fn delays_by_queue_late_job() {
    let log = JOB.replace("\"figure\":1200", "\"figure\":999");
    let queues = delays_by_queue([log.as_str()]);
    assert_eq!((queues[0].in_time_count, queues[0].late_count), (0, 1));
    assert_eq!(queues[0].mean_late, PARTS);
}

#[test]
fn delays_by_queue_job_not_shown() {
    let log: Vec<&str> = JOB.lines().take(7).collect();
    let log = log.join("\n").replace("\"done\"", "\"failed\"");
    let queues = delays_by_queue([log.as_str()]);
    assert_eq!((queues[0].open_count, queues[0].lost_runs_count), (1, 1));
    assert_eq!(queues[0].mean, Delays::default());
}

#[test]
fn delays_by_queue_lines_of_two_logs() {
    let (receiver, leader) = JOB.split_once('\n').expect("more than one line");
    assert_eq!(delays_by_queue([leader, receiver]), delays_by_queue([JOB]));
}

#[test]
fn delays_by_queue_unreadable_lines() {
    let log = format!("not a line\n{JOB}{{}}\n");
    assert_eq!(delays_by_queue([log.as_str()]), delays_by_queue([JOB]));
}
