//! A mutex whose debug build ends the process where a thread would wait for itself.

use std::fmt;
use std::ops::{Deref, DerefMut};

use crate::lock_order::{Held, LockId};

/// A mutual exclusion lock. In a debug build the process is aborted if a thread takes a lock that it
/// holds, or two locks in both orders; a release build checks nothing.
#[derive(Debug, Default)]
pub struct Mutex<T> {
    id: LockId,
    inner: parking_lot::Mutex<T>,
}

/// Access to the value of a [`Mutex`]. No call that can take a lock belongs into its scope.
pub struct MutexGuard<'a, T> {
    // Released before the lock counts as free for this thread.
    inner: parking_lot::MutexGuard<'a, T>,
    _held: Held,
}

impl<T> Mutex<T> {
    /// Creates an unlocked mutex.
    pub fn new(value: T) -> Self {
        Mutex {
            id: LockId::default(),
            inner: parking_lot::Mutex::new(value),
        }
    }

    /// Waits until no other thread holds the lock, and takes it.
    #[track_caller]
    pub fn lock(&self) -> MutexGuard<'_, T> {
        let held = self.id.hold();
        MutexGuard {
            inner: self.inner.lock(),
            _held: held,
        }
    }
}

impl<T> Deref for MutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for MutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T: fmt::Debug> fmt::Debug for MutexGuard<'_, T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.inner.fmt(formatter)
    }
}
