//! The table of client blocks: longest prefix to a class of callers.
//!
//! Prefixes are flattened into disjoint ranges that are held in plain sorted
//! arrays, with an index over the first 16 bits, so that a look-up is a short
//! binary search and 1.7 million blocks take some tens of megabytes.

use std::net::IpAddr;

use ipnet::IpNet;

/// Number of a class of callers: those with the same zone and labels.
pub type ClassId = u32;

/// The class of an address that no block holds.
pub const NO_CLASS: ClassId = ClassId::MAX;

const INDEX_BITS: u32 = 16;
const INDEX_SIZE: usize = (1 << INDEX_BITS) + 1;

/// Address bits of one family, as an unsigned number.
trait Bits: Copy + Ord {
    const WIDTH: u32;
    fn top(self) -> usize;
    fn after(self) -> Option<Self>;
}

impl Bits for u32 {
    const WIDTH: u32 = 32;
    fn top(self) -> usize {
        (self >> (Self::WIDTH - INDEX_BITS)) as usize
    }
    fn after(self) -> Option<u32> {
        self.checked_add(1)
    }
}

impl Bits for u128 {
    const WIDTH: u32 = 128;
    fn top(self) -> usize {
        (self >> (Self::WIDTH - INDEX_BITS)) as usize
    }
    fn after(self) -> Option<u128> {
        self.checked_add(1)
    }
}

/// A prefix as the range of its addresses.
#[derive(Clone, Copy)]
struct Range<T> {
    first: T,
    last: T,
    class: ClassId,
}

/// Ranges of one family; `starts` is sorted and as long as `classes`.
#[derive(Debug, Clone, Default)]
struct Family<T> {
    starts: Vec<T>,
    classes: Vec<ClassId>,
    /// For each value of the first 16 bits, the first start at or above it.
    index: Vec<u32>,
}

impl<T: Bits> Family<T> {
    fn build(mut ranges: Vec<Range<T>>) -> Self {
        // An outer prefix comes before those inside it.
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

    /// Ends the open ranges that lie wholly before `limit`.
    fn close_before(&mut self, open: &mut Vec<Range<T>>, limit: Option<T>) {
        while let Some(inner) = open.last().copied() {
            if limit.is_some_and(|limit| inner.last >= limit) {
                return;
            }
            open.pop();
            let outer = open.last().map_or(NO_CLASS, |outer| outer.class);
            if let Some(next) = inner.last.after() {
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
            self.index[start.top()] = i as u32;
        }
        for top in (0..INDEX_SIZE - 1).rev() {
            let empty = self
                .starts
                .get(self.index[top] as usize)
                .is_none_or(|s| s.top() != top);
            if empty {
                self.index[top] = self.index[top + 1];
            }
        }
    }

    fn find(&self, address: T) -> ClassId {
        if self.starts.is_empty() {
            return NO_CLASS;
        }
        let top = address.top();
        let low = self.index[top] as usize;
        let high = self.index[top + 1] as usize;
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

/// The table of client blocks.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    v4: Family<u32>,
    v6: Family<u128>,
}

impl BlockTable {
    /// Builds the table; of two blocks with the same prefix the later counts.
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

    /// The class of the longest prefix that holds the address.
    pub fn find(&self, address: IpAddr) -> ClassId {
        match address {
            IpAddr::V4(address) => self.v4.find(u32::from(address)),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(mapped) => self.v4.find(u32::from(mapped)),
                None => self.v6.find(u128::from(address)),
            },
        }
    }

    /// Memory that the table takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    /// Disjoint ranges held.
    pub fn ranges(&self) -> usize {
        self.v4.starts.len() + self.v6.starts.len()
    }
}
