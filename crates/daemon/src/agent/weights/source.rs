//! The HTTP route from which the engine loads complete weights.

use std::io;

use futures_util::stream;
use poem::Body;
use poem::IntoResponse;
use poem::Response;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Path;
use snipewinch::Digest;

use super::Shared;

/// Returns all bytes of a manifest's weights if every chunk is held and
/// verified, and otherwise 404: never a part of them.
#[handler]
pub(super) fn weights(Data(shared): Data<&Shared>, Path(digest): Path<String>) -> Response {
    let Ok(digest) = digest.parse::<Digest>() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let chunks = shared.swarm.lock().weights(&digest);
    let Some(chunks) = chunks else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let length: usize = chunks.iter().map(|chunk| chunk.len()).sum();
    let body = stream::iter(chunks.into_iter().map(Ok::<_, io::Error>));
    Response::builder()
        .content_type("application/octet-stream")
        .header("content-length", length)
        .body(Body::from_bytes_stream(body))
}
