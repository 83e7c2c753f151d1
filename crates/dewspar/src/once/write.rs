/*!
A write of a partition's head, and what goes before and after it.

The platform swaps one value at a time, so the order says what is safe: a
segment is stored before a head names it, and deleted only after a head
without it is in force.
*/

use crate::once::Segment;

/// A write to make at the platform.
#[derive(Clone, Debug)]
pub struct Write {
    pub(super) token: u64,
    pub(super) expected_version: u64,
    pub(super) value: Vec<u8>,
    pub(super) sealed: Option<(Segment, Vec<u8>)>,
    pub(super) dropped: Vec<Segment>,
}

impl Write {
    /// Returns the token that tells this write from all others.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the version that the head must still have; 0 means absent.
    pub fn expected_version(&self) -> u64 {
        self.expected_version
    }

    /// Returns the head's new value.
    pub fn value(&self) -> &[u8] {
        &self.value
    }

    /// Returns the segment to store before the head is swapped.
    pub fn sealed(&self) -> Option<(&Segment, &[u8])> {
        self.sealed.as_ref().map(|(segment, body)| (segment, &body[..]))
    }

    /// Returns the segments to delete after the head was swapped.
    pub fn dropped(&self) -> &[Segment] {
        &self.dropped
    }
}
