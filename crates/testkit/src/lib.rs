//! Property tests over fixed seeds, so that every run gives the same verdict.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Inputs that each property sees.
const SEEDS: u64 = 400;
/// Sizes of the inputs in bytes; the lower half of a seed gives its input's size.
const SIZES: [u64; 4] = [16, 64, 256, 2_048];
const SIZE_BITS: u32 = 32;

/// Checks a property on the same inputs at every run. A failing seed is named by `arbtest`.
pub fn check_fixed_seeds(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for number in 1..=SEEDS {
        let size = SIZES[number as usize % SIZES.len()];
        arbtest(property).seed((number << SIZE_BITS) | size);
    }
}
