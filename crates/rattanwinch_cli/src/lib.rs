//! The command-line program of operators and callers.
