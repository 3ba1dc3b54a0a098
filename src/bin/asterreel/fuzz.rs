//! Shared by the tests of all parsers: random cuts of valid bytes, and random garbage, from fixed seeds.

use quickcheck::{Arbitrary, Gen};

/// Calls `run` many times, each time with random ascending lengths of prefixes of the bytes; the last is the full length.
pub(crate) fn cuts(bytes: &[u8], mut run: impl FnMut(&[usize])) {
    for seed in 0..200 {
        let mut gen = Gen::from_size_and_seed(64, seed);
        let mut ends: Vec<usize> = Vec::<usize>::arbitrary(&mut gen);
        ends.iter_mut().for_each(|end| *end %= bytes.len() + 1);
        ends.push(bytes.len());
        ends.sort_unstable();
        run(&ends);
    }
}

/// Calls `run` with garbage: random bytes, and the valid bytes with some of them replaced.
pub(crate) fn garbage(valid: &[u8], mut run: impl FnMut(&[u8])) {
    for seed in 0..500 {
        let mut gen = Gen::from_size_and_seed(256, seed);
        run(&Vec::<u8>::arbitrary(&mut gen));
        let mut corrupted = valid.to_vec();
        for _ in 0..1 + seed % 8 {
            let at = usize::arbitrary(&mut gen) % corrupted.len();
            corrupted[at] = u8::arbitrary(&mut gen);
        }
        run(&corrupted);
    }
}
