use std::sync::Arc;

use http_body_util::combinators::BoxBody;
use hyper::body::Bytes;
use poem::Body;
use poem::Endpoint;
use poem::EndpointExt as _;
use poem::IntoEndpoint;
use poem::Request;
use poem::Response;

use crate::Handler;
use crate::Refusal;
use crate::server::RequestBody;
use crate::server::default_refusal_body;

/// Handles requests by a poem endpoint.
struct PoemHandler<E> {
    endpoint: Arc<E>,
    refusal_body: Option<fn(Refusal) -> String>,
}

/// A handler that passes requests to a poem endpoint.
pub fn poem_handler<E>(endpoint: E) -> impl Handler
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    PoemHandler {
        endpoint: Arc::new(endpoint.into_endpoint().map_to_response()),
        refusal_body: None,
    }
}

/// A handler that passes requests to a poem endpoint, with its own body of refusals.
pub fn poem_handler_with_refusals<E>(
    endpoint: E,
    refusal_body: fn(Refusal) -> String,
) -> impl Handler
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    PoemHandler {
        endpoint: Arc::new(endpoint.into_endpoint().map_to_response()),
        refusal_body: Some(refusal_body),
    }
}

impl<E: Endpoint<Output = Response> + 'static> Handler for PoemHandler<E> {
    type Body = BoxBody<Bytes, std::io::Error>;

    async fn handle(&self, req: hyper::Request<RequestBody>) -> hyper::Response<Self::Body> {
        let (head, body) = req.into_parts();
        let mut req = Request::builder()
            .method(head.method)
            .uri(head.uri)
            .version(head.version)
            .body(Body::from(BoxBody::new(http_body_util::BodyExt::map_err(
                body,
                |never| match never {},
            ))));
        *req.headers_mut() = head.headers;
        self.endpoint.get_response(req).await.into()
    }

    fn refusal_body(&self, kind: Refusal) -> String {
        match self.refusal_body {
            Some(body) => body(kind),
            None => default_refusal_body(kind),
        }
    }
}
