//! Property tests with fixed seeds, so that every run has the same result.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Number of inputs on which each property is checked.
const INPUTS_PER_PROPERTY: u64 = 400;
/// Input sizes, used in turn. `arbtest` takes the input size from the lower 32 bits of the seed.
const INPUT_SIZES_BYTES: [u64; 4] = [16, 64, 256, 2_048];
const ARBTEST_SIZE_BITS: u32 = 32;

/// Checks a property on the same generated inputs in every run. `arbtest` prints the seed of a
/// failing input.
pub fn check_fixed_seeds(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    for input_number in 1..=INPUTS_PER_PROPERTY {
        let size = INPUT_SIZES_BYTES[input_number as usize % INPUT_SIZES_BYTES.len()];
        arbtest(property).seed((input_number << ARBTEST_SIZE_BITS) | size);
    }
}
