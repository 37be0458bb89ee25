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
use crate::server::RequestBody;

/// Handles requests by a poem endpoint.
struct PoemHandler<E>(Arc<E>);

/// A handler that passes requests to a poem endpoint.
pub fn poem_handler<E>(endpoint: E) -> impl Handler
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    PoemHandler(Arc::new(endpoint.into_endpoint().map_to_response()))
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
        self.0.get_response(req).await.into()
    }
}
