//! Benchmarks and measurement programs; see `benches` and `src/bin`.
