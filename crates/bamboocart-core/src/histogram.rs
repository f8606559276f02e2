//! A histogram of run times on a logarithmic scale.

/// The number of buckets in each octave, a doubling of the run time.
///
/// A bucket is at most 12.5% wide.
const BUCKETS_PER_OCTAVE: u32 = 1 << OCTAVE_BITS;

/// The number of bits after the most significant one that select a bucket in an octave.
const OCTAVE_BITS: u32 = 3;

/// The binary logarithm of the shortest run time that is distinguished from shorter ones,
/// which is 64 us.
const FIRST_OCTAVE: u32 = 6;

/// The number of octaves; the last bucket ends at about 76 h.
const OCTAVES: u32 = 32;

/// The number of buckets.
const BUCKETS: u32 = OCTAVES * BUCKETS_PER_OCTAVE;

/// The total count at which all buckets are halved, so that old run times lose weight.
const DECAY_COUNT: u32 = 1_024;

/// A histogram of recent run times with a fixed number of buckets.
#[derive(Debug, Clone)]
pub struct Histogram {
    counts: Box<[u32; BUCKETS as usize]>,
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: Box::new([0; BUCKETS as usize]), total: 0 }
    }
}

impl Histogram {
    /// Adds a run time.
    pub fn record(&mut self, run_us: u64) {
        self.counts[bucket_of(run_us) as usize] += 1;
        self.total += 1;
        if self.total >= DECAY_COUNT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the number of run times, in which older ones count less.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the bounds of the bucket that `percent` of the run times do not exceed, or
    /// `None` if the histogram is empty.
    ///
    /// The bounds are the shortest run time of the bucket and that of the next one.
    pub fn quantile_us(&self, percent: u32) -> Option<(u64, u64)> {
        let wanted = (self.total * percent.min(100)).div_ceil(100).max(1);
        let mut seen = 0;
        let mut buckets = (0..).zip(self.counts.iter());
        let (bucket, _) = buckets.find(|&(_, count)| {
            seen += count;
            seen >= wanted
        })?;
        Some((bucket_start_us(bucket), bucket_start_us(bucket + 1)))
    }
}

/// Returns the bucket of a run time; run times in one bucket count as equal.
pub fn bucket_of(run_us: u64) -> u32 {
    let octave = run_us.max(1).ilog2();
    if octave < FIRST_OCTAVE {
        return 0;
    }
    let digits = (run_us >> (octave - OCTAVE_BITS)) as u32 % BUCKETS_PER_OCTAVE;
    ((octave - FIRST_OCTAVE) * BUCKETS_PER_OCTAVE + digits).min(BUCKETS - 1)
}

/// Returns the shortest run time in a bucket.
fn bucket_start_us(bucket: u32) -> u64 {
    if bucket == 0 {
        return 0;
    }
    let octave = FIRST_OCTAVE + bucket / BUCKETS_PER_OCTAVE;
    let digits = BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE;
    u64::from(digits) << (octave - OCTAVE_BITS)
}
