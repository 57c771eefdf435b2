//! The locks that each thread of a debug build holds, and the orders in which locks were taken.

#[cfg(debug_assertions)]
mod checked {
    use std::cell::RefCell;
    use std::collections::HashMap;
    use std::panic::Location;
    use std::sync::atomic::{AtomicU64, Ordering};

    static LAST_ID: AtomicU64 = AtomicU64::new(0);

    /// Pairs of locks of which the second was taken while the first was held, and where.
    static ORDERS: parking_lot::Mutex<Option<HashMap<(u64, u64), Place>>> =
        parking_lot::Mutex::new(None);

    type Place = &'static Location<'static>;

    thread_local! {
        static HELD: RefCell<Vec<(u64, Place)>> = const { RefCell::new(Vec::new()) };
    }

    /// Identifies a lock.
    #[derive(Debug)]
    pub(crate) struct LockId(u64);

    impl Default for LockId {
        fn default() -> Self {
            LockId(LAST_ID.fetch_add(1, Ordering::Relaxed))
        }
    }

    impl LockId {
        /// Records that this thread is about to take the lock; aborts if it may wait for itself.
        #[track_caller]
        pub(crate) fn hold(&self) -> Held {
            let place = Location::caller();
            HELD.with_borrow_mut(|held| {
                for (id, holder) in held.iter() {
                    check(*id, holder, self.0, place);
                }
                held.push((self.0, place));
            });
            Held(self.0)
        }
    }

    fn check(id: u64, holder: Place, wanted: u64, place: Place) {
        if id == wanted {
            abort(&format!("lock taken twice, at {holder} and at {place}"));
        }
        let mut orders = ORDERS.lock();
        let orders = orders.get_or_insert_default();
        if let Some(other) = orders.get(&(wanted, id)) {
            abort(&format!(
                "locks taken in both orders, at {place} and at {other}"
            ));
        }
        orders.entry((id, wanted)).or_insert(place);
    }

    /// A panic could be caught with its connection or task, and pass unseen.
    fn abort(fault: &str) -> ! {
        eprintln!("{fault}");
        std::process::abort();
    }

    /// A lock that this thread holds until this is dropped.
    #[derive(Debug)]
    pub(crate) struct Held(u64);

    impl Drop for Held {
        fn drop(&mut self) {
            // A guard may be dropped after the values of its ending thread.
            let _ = HELD.try_with(|held| {
                let mut held = held.borrow_mut();
                let place = held.iter().rposition(|(id, _)| *id == self.0);
                place.map(|place| held.remove(place))
            });
        }
    }
}

#[cfg(not(debug_assertions))]
mod unchecked {
    /// Identifies a lock.
    #[derive(Debug, Default)]
    pub(crate) struct LockId;

    impl LockId {
        pub(crate) fn hold(&self) -> Held {
            Held
        }
    }

    /// A lock that this thread holds until this is dropped.
    #[derive(Debug)]
    pub(crate) struct Held;
}

#[cfg(debug_assertions)]
pub(crate) use checked::{Held, LockId};
#[cfg(not(debug_assertions))]
pub(crate) use unchecked::{Held, LockId};
