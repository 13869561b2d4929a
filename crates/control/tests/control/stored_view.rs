//! A job's state as read from the store alone.

use crate::support::{run_local, MemoryStore};
use ospreywing_control::stored_view::{access, read_view, Access, StoredView};
use ospreywing_control::{keys, Caller, Item, Store, Transaction};
use ospreywing_scheduler::{JobId, JobOutcome, JobRecord, JobState, Phase};
use rstest::rstest;
use slog::{o, Discard, Logger};

/// The first byte of an encoding of a later version.
const LATER_FORMAT: u8 = 99;

async fn view(store: &MemoryStore) -> StoredView {
    let log = Logger::root(Discard, o!());
    let view = read_view(store, &log, JobId::new(1), &Caller::anonymous()).await;
    view.expect("the store answers")
}

async fn accept(store: &MemoryStore, state: Vec<u8>) {
    let job = JobId::new(1);
    let transaction = Transaction::new()
        .with_put(keys::job(job), JobRecord::default().to_bytes())
        .with_put(keys::state(job), state);
    store.commit(&transaction).await.expect("the store answers");
}

fn phase_of(view: StoredView) -> Option<Phase> {
    match view {
        StoredView::Known(view) => Some(view.phase),
        StoredView::NoJob | StoredView::Unreadable => None,
    }
}

#[test]
fn read_view_no_job() {
    run_local(async {
        assert_eq!(view(&MemoryStore::new()).await, StoredView::NoJob);
    });
}

#[test]
fn read_view_unreadable_state() {
    run_local(async {
        let store = MemoryStore::new();
        accept(&store, vec![LATER_FORMAT]).await;
        assert_eq!(view(&store).await, StoredView::Unreadable);
    });
}

/// The outcome may replace the progress between the two reads. Because of that, a job that
/// had been shown as cancelled was then shown as queued (soak seed 5007).
#[rstest]
#[case::canceled(Phase::Canceled)]
#[case::complete(Phase::Complete)]
fn read_view_outcome_written_between_reads(#[case] phase: Phase) {
    run_local(async move {
        let store = MemoryStore::new();
        let job = JobId::new(1);
        let state = JobState {
            phase,
            ..JobState::default()
        };
        accept(&store, state.to_bytes()).await;
        let outcome = Transaction::new()
            .with_put(keys::job(job), JobOutcome::new(phase).to_bytes())
            .with_remove(keys::state(job));
        store.commit_after_read_of(&keys::state(job), outcome);
        assert_eq!(phase_of(view(&store).await), Some(phase));
    });
}

/// A job that can't be parsed is not reported as missing: a node of a later version may have
/// written it.
#[rstest]
#[case::own(Some("one"), Some("one"), Access::Open)]
#[case::others(Some("one"), Some("two"), Access::Closed)]
#[case::nobodys(None, Some("two"), Access::Open)]
fn access_to_stored_job(
    #[case] owner: Option<&str>,
    #[case] caller: Option<&str>,
    #[case] expected: Access,
) {
    let record = JobRecord {
        customer: owner.map(str::to_owned),
        ..JobRecord::default()
    };
    let caller = caller.map_or_else(Caller::anonymous, |name| Caller::new(name.into()));
    let mut item = Item {
        key: keys::job(JobId::new(1)),
        value: Ok(record.to_bytes()),
        revision: 1,
    };
    assert_eq!(access(&item, &caller), expected);
    item.value = Ok(vec![LATER_FORMAT]);
    assert_eq!(access(&item, &caller), Access::Unreadable);
}
