//! Tests of the stand-in store: its state against a model, and its HTTP API.

mod http;
mod model;
