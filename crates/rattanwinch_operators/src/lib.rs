//! The HTTP interface towards operators: defaults, exceptions, availability zones and reports.
