//! The list of the operators' cordons.

use ospreywing_control::cordons::CordonList;
use ospreywing_control::{CordonError, CordonFault};
use std::sync::Arc;

type Read = (String, Result<Arc<str>, CordonError>);

fn good(key: &str) -> Read {
    (key.to_owned(), Ok(Arc::from(key)))
}

fn bad(key: &str) -> Read {
    let error = CordonError {
        key: key.to_owned(),
        fault: CordonFault::Form,
        detail: String::new(),
    };
    (key.to_owned(), Err(error))
}

fn names(list: &CordonList) -> Vec<String> {
    list.data_centres()
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// An unreadable cordon changes nothing, whether or not it was set before.
#[test]
fn replace_unreadable() {
    let mut list = CordonList::default();
    assert!(list.replace([good("a")].into_iter()).is_empty());
    let errors = list.replace([bad("a"), bad("b")].into_iter());
    assert_eq!(errors.len(), 2);
    assert_eq!(names(&list), ["a"]);
}

#[test]
fn write_and_lift() {
    let mut list = CordonList::default();
    let (key, read) = good("a");
    assert!(list.write(key, read).is_ok());
    let (key, read) = bad("a");
    assert!(list.write(key, read).is_err());
    assert_eq!(names(&list), ["a"]);
    list.lift("a");
    assert!(names(&list).is_empty());
    let (key, read) = bad("a");
    assert!(list.write(key, read).is_err());
    assert!(names(&list).is_empty(), "no earlier cordon remains");
}
