//! Tests of the stand-in for the store: its state against a model, and its HTTP interface.

mod http;
mod model;
