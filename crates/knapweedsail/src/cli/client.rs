//! Asks an entry, and another one where the first can't be reached.

use std::net::SocketAddr;
use std::time::Duration;

use control::act;
use control::act::Stamp;
use http::Limits;
use http::Request;
use http::Response;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::exit::Error;
use crate::api::Act;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer, bytes.
const BODY_BYTES: usize = 64 << 20;

/// A client of some entries' admin addresses.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// Entries, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Who acts.
    pub author: String,
    /// Name of the act; made up where there is none.
    pub operation: Option<String>,
}

impl Client {
    /// Reads from the first entry that answers.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        self.get_within(path, TIMEOUT).await
    }

    /// Reads from the first entry that answers within `timeout`.
    pub async fn get_within<R: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<R, Error> {
        let request = Request::new("GET", path);
        let mut reasons = Vec::new();
        for &entry in &self.entries {
            match call(entry, &request, timeout).await {
                Ok(response) => return decode(&response),
                Err(error) => reasons.push(format!("{entry}: {error}")),
            }
        }
        Err(Error::Unreachable(reasons.join(", ")))
    }

    /// Posts something that changes nothing.
    pub async fn ask<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, Error> {
        let (response, _) = self.post(path, body).await?;
        let response =
            response.ok_or_else(|| Error::Unreachable("the answer was lost".to_owned()))?;
        decode(&response)
    }

    /// Carries out an act. Where an answer is lost the same act, by the same name, is asked for
    /// again: it is done once all the same.
    pub async fn act<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        act: B,
    ) -> Result<R, Error> {
        let operation = self.operation.clone().unwrap_or_else(new_operation);
        let stamp = Stamp { operation: operation.clone(), author: self.author.clone() };
        let (response, lost) = self.post(path, &Act { stamp, act }).await?;
        match response.map(|response| decode(&response)) {
            Some(Err(Error::Act(act::Error::Unavailable(_) | act::Error::Stopping))) if lost => {
                Err(Error::Lost(operation))
            }
            Some(answer) => answer,
            None => Err(Error::Lost(operation)),
        }
    }

    /// The first answer, and whether an earlier entry may have got the request.
    async fn post<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<(Option<Response>, bool), Error> {
        let body = serde_json::to_vec(body).map_err(|error| Error::Input(error.to_string()))?;
        let request = Request::new("POST", path).with_body(body);
        let mut reasons = Vec::new();
        let mut lost = false;
        for &entry in &self.entries {
            match call(entry, &request, TIMEOUT).await {
                Ok(response) => return Ok((Some(response), lost)),
                Err(http::Error::NotSent(reason)) => reasons.push(format!("{entry}: {reason}")),
                Err(_) => lost = true,
            }
        }
        if lost { Ok((None, true)) } else { Err(Error::Unreachable(reasons.join(", "))) }
    }
}

async fn call(
    entry: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, http::Error> {
    let limits = Limits { body: BODY_BYTES, message: timeout, ..Limits::default() };
    let request = request.clone().with_header("host", entry.to_string());
    http::call(entry, &request, limits, timeout).await
}

fn decode<R: DeserializeOwned>(response: &Response) -> Result<R, Error> {
    if response.status != 200 {
        let error: Result<act::Error, _> = serde_json::from_slice(&response.body);
        let status = response.status;
        return Err(error.map_or_else(
            |_| Error::Unreachable(format!("an entry answers with status {status}")),
            Error::Act,
        ));
    }
    serde_json::from_slice(&response.body)
        .map_err(|error| Error::Unreachable(format!("an answer that can't be read: {error}")))
}

fn new_operation() -> String {
    let mut seeded = ChaCha12Rng::from_os_rng();
    format!("{:032x}", seeded.random::<u128>())
}
