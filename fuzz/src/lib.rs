//! Fuzz targets for all parsers of cuminspread, and mutations of a corpus.
//!
//! A [`target::Target`] runs a parser on any bytes and panics if the parser lacks a property that
//! it must have. `cumin-mutate` and the tests run the targets on mutations of the committed corpus,
//! repeatable by a seed. With the feature `libfuzzer`, cargo-fuzz runs the same targets.

pub mod mutate;
pub mod seeds;
pub mod target;
