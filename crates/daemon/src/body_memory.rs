//! Limits the memory of all request bodies together.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const KIB: usize = 1024;
/// The part of each body that is not limited, so that short bodies always have room.
const FREE_BYTES: usize = 16 * KIB;

/// The memory of all request bodies; clones share one limit.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    /// A permit for each KiB.
    free_kib: Arc<Semaphore>,
    refused_count: Arc<AtomicU64>,
}

/// A request body, whose memory is in use until this is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: BodyMemory,
    held: Option<OwnedSemaphorePermit>,
    bytes: Vec<u8>,
}

impl BodyMemory {
    /// Creates the memory of bodies with a limit in MiB.
    pub fn new(limit_mib: u32) -> Self {
        Self {
            free_kib: Arc::new(Semaphore::new(limit_mib as usize * KIB)),
            refused_count: Arc::default(),
        }
    }

    /// Returns how many bodies had no room.
    pub fn refused_count(&self) -> u64 {
        self.refused_count.load(Ordering::Relaxed)
    }

    /// Creates an empty body.
    pub fn new_body(&self) -> HeldBody {
        HeldBody {
            memory: self.clone(),
            held: None,
            bytes: Vec::new(),
        }
    }
}

impl HeldBody {
    /// Appends to the body; returns whether there was room.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let has_room = self.hold(self.bytes.len() + data.len());
        if has_room {
            self.bytes.extend_from_slice(data);
        } else {
            self.memory.refused_count.fetch_add(1, Ordering::Relaxed);
        }
        has_room
    }

    /// Returns the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the body out; its memory stays in use until this is dropped.
    pub fn take(&mut self) -> Vec<u8> {
        core::mem::take(&mut self.bytes)
    }

    /// Holds memory for a length; returns whether there is any.
    fn hold(&mut self, len_bytes: usize) -> bool {
        let needed_kib = len_bytes.saturating_sub(FREE_BYTES).div_ceil(KIB);
        let held_kib = self.held.as_ref().map_or(0, |held| held.num_permits());
        let missing_kib = needed_kib.saturating_sub(held_kib) as u32;
        if missing_kib == 0 {
            return true;
        }
        let free_kib = self.memory.free_kib.clone();
        let Ok(permit) = free_kib.try_acquire_many_owned(missing_kib) else {
            return false;
        };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        true
    }
}
