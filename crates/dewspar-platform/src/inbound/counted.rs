use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A part of a bounded amount, given back when dropped.
pub(crate) struct Counted {
    total: Arc<AtomicUsize>,
    amount: usize,
}

impl Counted {
    /// Takes one, unless `max` are taken already.
    pub(crate) fn below(
        total: &Arc<AtomicUsize>,
        max: usize,
    ) -> Option<Counted> {
        Counted::take(total, 1, max)
    }

    /// Takes an amount, unless the total would be above `max`.
    pub(crate) fn take(
        total: &Arc<AtomicUsize>,
        amount: usize,
        max: usize,
    ) -> Option<Counted> {
        let before = total.fetch_add(amount, Ordering::Relaxed);
        // Given back at once if there is no room.
        let taken = Counted { total: Arc::clone(total), amount };
        let fits = before.checked_add(amount).is_some_and(|sum| sum <= max);
        fits.then_some(taken)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.total.fetch_sub(self.amount, Ordering::Relaxed);
    }
}
