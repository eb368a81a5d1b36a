//! The object store: whole writes, and reads by byte range.

use std::collections::HashMap;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::header;
use parking_lot::Mutex;

use super::Platform;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::byte_range;
use crate::http::bytes;
use crate::http::error;
use crate::http::read_body;

/// The objects by name.
#[derive(Debug, Default)]
pub(super) struct Objects(Mutex<HashMap<String, Bytes>>);

impl Platform {
    pub(super) async fn handle_objects(
        &self,
        name: &str,
        request: Request,
    ) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::PUT => {
                let body = read_body(request).await?;
                self.objects.0.lock().insert(name.to_owned(), body);
                self.counters.lock().object_writes += 1;
                Ok(bytes(StatusCode::OK, Bytes::new()))
            }
            Method::GET | Method::HEAD => {
                self.counters.lock().object_reads += 1;
                match self.objects.0.lock().get(name) {
                    Some(object) => Ok(object_response(&request, object)),
                    None => Err(Refusal::new(error(StatusCode::NOT_FOUND, "absent"))),
                }
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }
}

fn object_response(request: &Request, object: &Bytes) -> Response {
    if *request.method() == Method::HEAD {
        let mut response = bytes(StatusCode::OK, Bytes::new());
        let length = header::HeaderValue::from(object.len());
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length);
        return response;
    }
    match byte_range(request, object.len()) {
        Some(range) => bytes(StatusCode::PARTIAL_CONTENT, object.slice(range)),
        None => bytes(StatusCode::OK, object.clone()),
    }
}
