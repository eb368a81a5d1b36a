//! Requests to the console, checked before any page sees them.

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

/// The longest form: a document twice, as draft and as fields, escaped.
const FORM_MAX_BYTES: usize = 6 << 20;
/// The longest form before somebody is signed in.
const SIGN_IN_MAX_BYTES: usize = 4 << 10;
/// The field that proves that a form was made for the session.
pub(crate) const TOKEN_FIELD: &str = "token";

/// The fields of a form, in the order of the page.
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

    /// The value of a field, empty if it is missing.
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

/// A form of somebody who is signed in.
pub(crate) struct Form {
    pub(crate) session: Session,
    pub(crate) fields: Fields,
}

/// The form with which somebody signs in.
pub(crate) struct SignIn(pub(crate) Fields);

impl<'a> FromRequest<'a> for Session {
    async fn from_request(request: &'a Request, _: &mut RequestBody) -> Result<Session> {
        authenticate(request).map_err(into_poem_error)
    }
}

impl<'a> FromRequest<'a> for Form {
    async fn from_request(request: &'a Request, body: &mut RequestBody) -> Result<Form> {
        let read = async {
            check_origin(request)?;
            let session = authenticate(request)?;
            let fields = read(body, FORM_MAX_BYTES).await?;
            match session::constant_time_eq(&session.form_token, fields.get(TOKEN_FIELD)) {
                true => Ok(Form { session, fields }),
                false => Err(Error::CsrfRejected),
            }
        };
        read.await.map_err(into_poem_error)
    }
}

impl<'a> FromRequest<'a> for SignIn {
    async fn from_request(request: &'a Request, body: &mut RequestBody) -> Result<SignIn> {
        let read = async {
            check_origin(request)?;
            read(body, SIGN_IN_MAX_BYTES).await.map(SignIn)
        };
        read.await.map_err(into_poem_error)
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

/// A browser says where a form came from; another site's is refused.
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

async fn read(body: &mut RequestBody, limit: usize) -> Result<Fields, Error> {
    let body: Body = body.take().map_err(|_| Error::Malformed)?;
    let bytes = body
        .into_bytes_limit(limit)
        .await
        .map_err(|error| match error {
            ReadBodyError::PayloadTooLarge => Error::TooLong { limit },
            _ => Error::Malformed,
        })?;
    Fields::parse(&bytes)
}
