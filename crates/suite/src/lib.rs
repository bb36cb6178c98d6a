//! Integration tests of comfreyhaven. The tests are in `tests/suite`.
