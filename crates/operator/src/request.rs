//! Extractors that authenticate requests and parse forms before a handler runs.

use poem::Body;
use poem::FromRequest;
use poem::Request;
use poem::RequestBody;
use poem::Result;
use poem::error::ReadBodyError;
use poem::http::header;

use crate::console::Console;
use crate::error::Error;
use crate::session;
use crate::session::Session;

/// The largest body of a form. The edit form carries the document twice, as the
/// draft and as its fields, and both are percent-encoded.
const FORM_MAX_BYTES: usize = 6 << 20;
/// The largest body of the sign-in form, which needs no session.
const SIGN_IN_MAX_BYTES: usize = 4 << 10;
/// The name of the field with the session's CSRF token.
pub(crate) const TOKEN_FIELD: &str = "token";

/// The fields of a form, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fields(Vec<(String, String)>);

impl Fields {
    fn parse(bytes: &[u8]) -> Result<Fields, Error> {
        if std::str::from_utf8(bytes).is_err() {
            return Err(Error::Malformed);
        }
        let pairs = form_urlencoded::parse(bytes);
        Ok(Fields(pairs.into_owned().collect()))
    }

    /// Returns the value of a field, empty if it is missing.
    pub(crate) fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(field, _)| field == name);
        found.map_or("", |(_, value)| value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// A form from a signed-in operator, with a valid CSRF token.
pub(crate) struct Form {
    pub(crate) session: Session,
    pub(crate) fields: Fields,
}

/// The sign-in form.
pub(crate) struct SignIn(pub(crate) Fields);

impl<'a> FromRequest<'a> for Session {
    async fn from_request(request: &'a Request, _: &mut RequestBody) -> Result<Session> {
        authenticate(request).map_err(into_poem_error)
    }
}

impl<'a> FromRequest<'a> for Form {
    async fn from_request(request: &'a Request, body: &mut RequestBody) -> Result<Form> {
        let form = async {
            check_origin(request)?;
            let session = authenticate(request)?;
            let fields = read_fields(body, FORM_MAX_BYTES).await?;
            match session::constant_time_eq(&session.form_token, fields.get(TOKEN_FIELD)) {
                true => Ok(Form { session, fields }),
                false => Err(Error::CsrfRejected),
            }
        };
        form.await.map_err(into_poem_error)
    }
}

impl<'a> FromRequest<'a> for SignIn {
    async fn from_request(request: &'a Request, body: &mut RequestBody) -> Result<SignIn> {
        let form = async {
            check_origin(request)?;
            read_fields(body, SIGN_IN_MAX_BYTES).await.map(SignIn)
        };
        form.await.map_err(into_poem_error)
    }
}

fn into_poem_error(error: Error) -> poem::Error {
    poem::Error::from_response(error.into_page())
}

fn authenticate(request: &Request) -> Result<Session, Error> {
    let console = request.data::<Console>().ok_or(Error::SignedOut)?;
    let cookies = request.headers().get_all(header::COOKIE).iter();
    let cookies = cookies.filter_map(|value| value.to_str().ok());
    cookies
        .flat_map(|line| line.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .filter(|(name, _)| *name == session::COOKIE_NAME)
        .find_map(|(_, value)| console.shared.session(value))
        .ok_or(Error::SignedOut)
}

/// Rejects a form whose `Origin` header names another site. Browsers send the
/// header with every form; a request without it passes.
fn check_origin(request: &Request) -> Result<(), Error> {
    let Some(origin) = request.header(header::ORIGIN) else {
        return Ok(());
    };
    let host = request.header(header::HOST).unwrap_or_default();
    match origin.split_once("://") {
        Some((_, authority)) if authority == host => Ok(()),
        _ => Err(Error::CsrfRejected),
    }
}

async fn read_fields(body: &mut RequestBody, limit_bytes: usize) -> Result<Fields, Error> {
    let body: Body = body.take().map_err(|_| Error::Malformed)?;
    let bytes = body
        .into_bytes_limit(limit_bytes)
        .await
        .map_err(|error| match error {
            ReadBodyError::PayloadTooLarge => Error::TooLarge { limit_bytes },
            _ => Error::Malformed,
        })?;
    Fields::parse(&bytes)
}
