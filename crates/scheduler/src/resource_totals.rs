//! Sums of resources over many workers or runs, and dominant shares of them.

use ospreywing_types::Resources;

/// The whole, in millionths.
pub(crate) const WHOLE_PPM: u64 = 1_000_000;

/// The capacity of many workers or the demand of many runs. The sums may not fit
/// the fields of [`Resources`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResourceTotals {
    pub(crate) cores_milli: u64,
    pub(crate) memory_mib: u64,
    pub(crate) accelerators_count: u64,
}

impl ResourceTotals {
    /// Returns the cores, the memory and the accelerators.
    pub(crate) const fn parts(&self) -> [u64; 3] {
        [self.cores_milli, self.memory_mib, self.accelerators_count]
    }

    /// Adds `amount` multiplied by `count`.
    pub(crate) fn add(&mut self, amount: &Resources, count: usize) {
        let count = count as u64;
        self.cores_milli += u64::from(amount.cores_milli) * count;
        self.memory_mib += u64::from(amount.memory_mib) * count;
        self.accelerators_count += u64::from(amount.accelerators_count) * count;
    }

    /// Adds other totals.
    pub(crate) fn add_totals(&mut self, other: &Self) {
        self.cores_milli += other.cores_milli;
        self.memory_mib += other.memory_mib;
        self.accelerators_count += other.accelerators_count;
    }

    /// Subtracts an amount that was added before.
    pub(crate) fn subtract(&mut self, amount: &Resources) {
        self.cores_milli -= u64::from(amount.cores_milli);
        self.memory_mib -= u64::from(amount.memory_mib);
        self.accelerators_count -= u64::from(amount.accelerators_count);
    }

    /// Subtracts totals that were added before.
    pub(crate) fn subtract_totals(&mut self, other: &Self) {
        self.cores_milli -= other.cores_milli;
        self.memory_mib -= other.memory_mib;
        self.accelerators_count -= other.accelerators_count;
    }

    /// Returns the component-wise minimum of these totals and `limit`.
    pub(crate) fn capped(&self, limit: &Resources) -> Self {
        Self {
            cores_milli: self.cores_milli.min(u64::from(limit.cores_milli)),
            memory_mib: self.memory_mib.min(u64::from(limit.memory_mib)),
            accelerators_count: self
                .accelerators_count
                .min(u64::from(limit.accelerators_count)),
        }
    }

    /// Returns how many tasks of a demand would fit if all of this were on one worker.
    pub(crate) fn fit_count(&self, demand: &Resources) -> u64 {
        let by = |free: u64, need: u32| free.checked_div(u64::from(need)).unwrap_or(u64::MAX);
        by(self.cores_milli, demand.cores_milli)
            .min(by(self.memory_mib, demand.memory_mib))
            .min(by(self.accelerators_count, demand.accelerators_count))
    }

    /// Returns whether all components are zero.
    pub(crate) fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether no component is larger than that of `capacity`.
    pub(crate) const fn fits_in(&self, capacity: &Self) -> bool {
        self.cores_milli <= capacity.cores_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators_count <= capacity.accelerators_count
    }

    /// Returns the dominant share of `capacity`: the largest fraction over all kinds of
    /// resources, in millionths. A kind of which there is no capacity counts as 0, since
    /// tasks that need it can't run.
    pub(crate) fn dominant_share_ppm(&self, capacity: &Self) -> u64 {
        let part = |need: u64, whole: u64| (need * WHOLE_PPM).checked_div(whole).unwrap_or(0);
        part(self.cores_milli, capacity.cores_milli)
            .max(part(self.memory_mib, capacity.memory_mib))
            .max(part(self.accelerators_count, capacity.accelerators_count))
    }
}
