//! Longest-prefix match from a client address to a class of callers.
//!
//! Prefixes are flattened into disjoint ranges in sorted arrays, with an index over the
//! first 16 address bits. A lookup is a short binary search, and 1.7 million blocks take
//! some tens of megabytes.

use std::net::IpAddr;

use ipnet::IpNet;

/// Id of a class of callers that have the same zone and labels.
pub type ClassId = u32;

/// Class of an address that no block contains.
pub const NO_CLASS: ClassId = ClassId::MAX;

const INDEX_BITS: u32 = 16;
const INDEX_SIZE: usize = (1 << INDEX_BITS) + 1;

/// An address of one family as an unsigned integer.
trait Address: Copy + Ord {
    const WIDTH: u32;
    /// Returns the first [`INDEX_BITS`] bits.
    fn leading_bits(self) -> usize;
    /// Returns the next address; `None` after the last one.
    fn successor(self) -> Option<Self>;
}

impl Address for u32 {
    const WIDTH: u32 = 32;
    fn leading_bits(self) -> usize {
        (self >> (Self::WIDTH - INDEX_BITS)) as usize
    }
    fn successor(self) -> Option<u32> {
        self.checked_add(1)
    }
}

impl Address for u128 {
    const WIDTH: u32 = 128;
    fn leading_bits(self) -> usize {
        (self >> (Self::WIDTH - INDEX_BITS)) as usize
    }
    fn successor(self) -> Option<u128> {
        self.checked_add(1)
    }
}

/// A prefix as an inclusive range of addresses.
#[derive(Clone, Copy)]
struct Range<T> {
    first: T,
    last: T,
    class: ClassId,
}

/// Disjoint ranges of one address family.
///
/// `starts` is sorted. `classes[i]` applies from `starts[i]` up to the next start.
#[derive(Debug, Clone, Default)]
struct Family<T> {
    starts: Vec<T>,
    classes: Vec<ClassId>,
    /// For each value of the first 16 bits, the position of the first start at or above it.
    index: Vec<u32>,
}

impl<T: Address> Family<T> {
    fn build(mut ranges: Vec<Range<T>>) -> Self {
        // Sorts an outer prefix before the prefixes nested in it.
        ranges.sort_unstable_by(|a, b| a.first.cmp(&b.first).then(b.last.cmp(&a.last)));
        let mut family = Family {
            starts: Vec::with_capacity(ranges.len() * 2),
            classes: Vec::with_capacity(ranges.len() * 2),
            index: Vec::new(),
        };
        let mut open: Vec<Range<T>> = Vec::new();
        for range in ranges {
            family.close_before(&mut open, Some(range.first));
            family.push(range.first, range.class);
            open.push(range);
        }
        family.close_before(&mut open, None);
        family.starts.shrink_to_fit();
        family.classes.shrink_to_fit();
        family.build_index();
        family
    }

    /// Closes the open ranges that end before `limit`, all of them if there is none.
    fn close_before(&mut self, open: &mut Vec<Range<T>>, limit: Option<T>) {
        while let Some(inner) = open.last().copied() {
            if limit.is_some_and(|limit| inner.last >= limit) {
                return;
            }
            open.pop();
            let outer = open.last().map_or(NO_CLASS, |outer| outer.class);
            if let Some(next) = inner.last.successor() {
                self.push(next, outer);
            }
        }
    }

    fn push(&mut self, start: T, class: ClassId) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.classes.pop();
        }
        if self.classes.last() == Some(&class) {
            return;
        }
        self.starts.push(start);
        self.classes.push(class);
    }

    fn build_index(&mut self) {
        self.index = vec![self.starts.len() as u32; INDEX_SIZE];
        for (i, start) in self.starts.iter().enumerate().rev() {
            self.index[start.leading_bits()] = i as u32;
        }
        for leading in (0..INDEX_SIZE - 1).rev() {
            let has_no_start = self
                .starts
                .get(self.index[leading] as usize)
                .is_none_or(|s| s.leading_bits() != leading);
            if has_no_start {
                self.index[leading] = self.index[leading + 1];
            }
        }
    }

    fn find(&self, address: T) -> ClassId {
        if self.starts.is_empty() {
            return NO_CLASS;
        }
        let leading = address.leading_bits();
        let low = self.index[leading] as usize;
        let high = self.index[leading + 1] as usize;
        let after = low + self.starts[low..high].partition_point(|start| *start <= address);
        match after {
            0 => NO_CLASS,
            i => self.classes[i - 1],
        }
    }

    fn bytes(&self) -> usize {
        self.starts.capacity() * size_of::<T>()
            + self.classes.capacity() * size_of::<ClassId>()
            + self.index.capacity() * size_of::<u32>()
    }
}

/// Lookup table from client addresses to classes of callers.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    v4: Family<u32>,
    v6: Family<u128>,
}

impl BlockTable {
    /// Builds the table. Of two blocks with the same prefix, the later one applies.
    pub fn build(blocks: impl IntoIterator<Item = (IpNet, ClassId)>) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (prefix, class) in blocks {
            match prefix {
                IpNet::V4(net) => v4.push(Range {
                    first: u32::from(net.network()),
                    last: u32::from(net.broadcast()),
                    class,
                }),
                IpNet::V6(net) => v6.push(Range {
                    first: u128::from(net.network()),
                    last: u128::from(net.broadcast()),
                    class,
                }),
            }
        }
        BlockTable {
            v4: Family::build(v4),
            v6: Family::build(v6),
        }
    }

    /// Returns the class of the longest prefix that contains the address, [`NO_CLASS`] if
    /// none does. IPv4-mapped IPv6 addresses are looked up as IPv4.
    pub fn find(&self, address: IpAddr) -> ClassId {
        match address {
            IpAddr::V4(address) => self.v4.find(u32::from(address)),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(mapped) => self.v4.find(u32::from(mapped)),
                None => self.v6.find(u128::from(address)),
            },
        }
    }

    /// Returns the memory used by the table, in bytes.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    /// Returns the number of disjoint ranges.
    pub fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }
}
