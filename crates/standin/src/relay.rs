//! The links between regions.
