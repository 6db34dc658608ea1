use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

use crate::weights::manifest::MAX_CHUNKS;

/// Bits in one word of the bitmap.
const WORD_BITS: u32 = 64;

/// Length of the encoded number of chunks, in bytes.
const LEN_BYTES: usize = 4;

/// Set of the chunks of a version that a host holds.
///
/// Serialises as the number of chunks and one bit for each chunk; the bits are
/// omitted when no chunk or every chunk is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkBitmap {
    chunk_count: u32,
    held_count: u32,
    words: Vec<u64>,
}

impl ChunkBitmap {
    /// Creates a bitmap of `chunk_count` chunks, none of them held.
    pub fn empty(chunk_count: u32) -> Self {
        Self {
            chunk_count,
            held_count: 0,
            words: vec![0; chunk_count.div_ceil(WORD_BITS) as usize],
        }
    }

    /// Creates a bitmap of `chunk_count` chunks, all of them held.
    pub fn complete(chunk_count: u32) -> Self {
        let mut map = Self::empty(chunk_count);
        for index in 0..chunk_count {
            map.insert(index);
        }
        map
    }

    /// Number of chunks in the version, held or not.
    pub fn chunk_count(&self) -> u32 {
        self.chunk_count
    }

    /// Whether no chunk is held.
    pub fn holds_none(&self) -> bool {
        self.held_count == 0
    }

    /// Number of chunks held.
    pub fn held_count(&self) -> u32 {
        self.held_count
    }

    /// Whether every chunk is held.
    pub fn is_complete(&self) -> bool {
        self.held_count == self.chunk_count
    }

    /// Whether chunk `index` is held.
    pub fn contains(&self, index: u32) -> bool {
        index < self.chunk_count
            && self.words[(index / WORD_BITS) as usize] >> (index % WORD_BITS) & 1 == 1
    }

    /// Indexes of the chunks that `other` holds and this bitmap doesn't, ascending.
    pub fn missing_held_by<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = u32> + 'a {
        let words = self.words.iter().zip(&other.words);
        (0..).zip(words).flat_map(|(at, (mine, theirs))| {
            let mut rest = theirs & !mine;
            std::iter::from_fn(move || {
                let bit = rest.trailing_zeros();
                rest &= rest.wrapping_sub(1);
                (bit < WORD_BITS).then_some(at * WORD_BITS + bit)
            })
        })
    }

    /// Marks chunk `index` as held.
    ///
    /// Returns false when it was held already or is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        if index >= self.chunk_count || self.contains(index) {
            return false;
        }
        self.words[(index / WORD_BITS) as usize] |= 1 << (index % WORD_BITS);
        self.held_count += 1;
        true
    }

    /// Marks as held all chunks that `other` holds.
    ///
    /// Does nothing when `other` has another number of chunks.
    pub fn merge(&mut self, other: &Self) {
        if other.chunk_count != self.chunk_count {
            return;
        }
        for (word, more) in self.words.iter_mut().zip(&other.words) {
            *word |= more;
        }
        self.held_count = self.words.iter().map(|word| word.count_ones()).sum();
    }

    /// Encodes the bitmap in its compact binary form.
    ///
    /// The number of chunks comes first, as a little-endian u32. Nothing follows
    /// it when no chunk is held, a byte 1 when all are, else a byte 0 and the bits.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.chunk_count.to_le_bytes().to_vec();
        if self.is_complete() {
            bytes.push(1);
        } else if !self.holds_none() {
            bytes.push(0);
            let bits = self.words.iter().flat_map(|word| word.to_le_bytes());
            bytes.extend(bits.take(self.chunk_count.div_ceil(u8::BITS) as usize));
        }
        bytes
    }

    /// Decodes what [`ChunkBitmap::encode`] wrote; None when it is malformed or has more
    /// chunks than a version may have.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (chunk_count, rest) = bytes.split_first_chunk::<LEN_BYTES>()?;
        let chunk_count = u32::from_le_bytes(*chunk_count);
        if u64::from(chunk_count) > MAX_CHUNKS {
            return None;
        }
        match rest.split_first() {
            None => Some(Self::empty(chunk_count)),
            Some((1, [])) => Some(Self::complete(chunk_count)),
            Some((0, bits)) if bits.len() == chunk_count.div_ceil(u8::BITS) as usize => {
                Some(Self::from_bits(chunk_count, bits))
            }
            Some(_) => None,
        }
    }

    fn from_bits(chunk_count: u32, bits: &[u8]) -> Self {
        let mut map = Self::empty(chunk_count);
        for (at, byte) in bits.iter().enumerate() {
            map.words[at / 8] |= u64::from(*byte) << (8 * (at % 8));
        }
        if let Some(last) = map.words.last_mut()
            && !chunk_count.is_multiple_of(WORD_BITS)
        {
            *last &= (1 << (chunk_count % WORD_BITS)) - 1;
        }
        map.held_count = map.words.iter().map(|word| word.count_ones()).sum();
        map
    }
}

impl Serialize for ChunkBitmap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.encode())
    }
}

impl<'de> Deserialize<'de> for ChunkBitmap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(ChunkBitmapVisitor)
    }
}

struct ChunkBitmapVisitor;

impl de::Visitor<'_> for ChunkBitmapVisitor {
    type Value = ChunkBitmap;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of a chunk bitmap")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<ChunkBitmap, E> {
        ChunkBitmap::decode(bytes).ok_or_else(|| E::invalid_length(bytes.len(), &self))
    }
}
