//! Property tests over fixed seeds, so that every run gives the same verdict.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Inputs that each property sees.
const INPUTS_PER_PROPERTY: u64 = 400;
/// Sizes of the inputs in bytes; the lower half of a seed gives its input's size.
const INPUT_SIZES_BYTES: [u64; 4] = [16, 64, 256, 2_048];
const ARBTEST_SIZE_BITS: u32 = 32;

/// Checks a property on the same inputs at every run. A failing seed is named by `arbtest`.
pub fn check_fixed_seeds(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for input_number in 1..=INPUTS_PER_PROPERTY {
        let size = INPUT_SIZES_BYTES[input_number as usize % INPUT_SIZES_BYTES.len()];
        arbtest(property).seed((input_number << ARBTEST_SIZE_BITS) | size);
    }
}
