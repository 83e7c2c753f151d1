/*!
A write of a partition's head, and the steps before and after it.

The platform swaps one value at a time, so the order of the steps ensures
consistency: a segment is stored before a head references it, and deleted only
after a head without it has been written.
*/

use crate::once::Segment;

/// A write for the platform, with the segments to store and delete.
#[derive(Clone, Debug)]
pub struct Write {
    pub(super) token: u64,
    pub(super) expected_version: u64,
    pub(super) value: Vec<u8>,
    pub(super) sealed: Option<(Segment, Vec<u8>)>,
    pub(super) dropped: Vec<Segment>,
}

impl Write {
    /// Returns the token that identifies this write.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the version that the head must have before the swap; 0 means
    /// absent.
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

    /// Returns the segments to delete after the head is swapped.
    pub fn dropped(&self) -> &[Segment] {
        &self.dropped
    }
}
