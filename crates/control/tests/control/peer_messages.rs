//! Messages between nodes of this version and of the previous one, during a rolling update.

use ospreywing_control::peer::{self, PeerRequest};
use ospreywing_scheduler::{Configuration, JobId, JobPolicy, JobRecord, JobSpec, Queue};
use rstest::rstest;
use serde::{Deserialize, Serialize};

const JOB: JobId = JobId::new(7);
const VERSION: u64 = 3;

/// A job's record as the previous version declared it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PreviousRecord {
    queue: String,
    service: String,
    accepted_ms: u64,
    spec: JobSpec,
    customer: Option<String>,
}

/// The first requests as the previous version declared them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum PreviousRequest {
    Status,
    Pending,
    JobTaken {
        job: JobId,
        record: PreviousRecord,
    },
    CancelTaken,
    Submit {
        job: JobId,
        record: PreviousRecord,
        version: u64,
    },
}

fn policy() -> JobPolicy {
    let queue = Queue {
        name: "render".to_owned(),
        service: "gallery".to_owned(),
        priority: 1,
        attempts_limit_count: 1,
        stretch: 2.0,
        objective_ms: 1000,
        advice: None,
    };
    let configuration = Configuration {
        version: VERSION,
        queues: [(queue.name.clone(), queue)].into(),
        ..Configuration::default()
    };
    let policy = configuration.policy("render", None);
    policy.expect("a configured queue")
}

fn record(policy: Option<JobPolicy>) -> JobRecord {
    JobRecord {
        queue: "render".to_owned(),
        service: "gallery".to_owned(),
        accepted_ms: 9,
        customer: Some("one".to_owned()),
        policy: policy.map(Box::new),
        ..JobRecord::default()
    }
}

fn previous_record() -> PreviousRecord {
    let record = record(None);
    PreviousRecord {
        queue: record.queue,
        service: record.service,
        accepted_ms: record.accepted_ms,
        spec: record.spec,
        customer: record.customer,
    }
}

fn job_taken(policy: Option<JobPolicy>) -> PeerRequest {
    PeerRequest::job_taken(JOB, record(policy))
}

fn submit(policy: Option<JobPolicy>) -> PeerRequest {
    PeerRequest::submit(JOB, record(policy), VERSION)
}

fn previous_job_taken() -> PreviousRequest {
    PreviousRequest::JobTaken {
        job: JOB,
        record: previous_record(),
    }
}

fn previous_submit() -> PreviousRequest {
    PreviousRequest::Submit {
        job: JOB,
        record: previous_record(),
        version: VERSION,
    }
}

/// Guards against messages that a node of the previous version can't read.
#[rstest]
#[case::job_taken(job_taken(Some(policy())), previous_job_taken())]
#[case::submit(submit(Some(policy())), previous_submit())]
fn request_read_by_previous_version(
    #[case] request: PeerRequest,
    #[case] expected: PreviousRequest,
) {
    let body = postcard::to_allocvec(&request).expect("an encoding");
    assert_eq!(peer::decode(&body), Some(request));
    assert_eq!(postcard::from_bytes(&body), Ok(expected));
}

/// Guards against messages of the previous version that can't be read.
#[rstest]
#[case::job_taken(previous_job_taken(), job_taken(None))]
#[case::submit(previous_submit(), submit(None))]
fn request_of_previous_version(#[case] previous: PreviousRequest, #[case] expected: PeerRequest) {
    let body = postcard::to_allocvec(&previous).expect("an encoding");
    assert_eq!(peer::decode(&body), Some(expected));
}
