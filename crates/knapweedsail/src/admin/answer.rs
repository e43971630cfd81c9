//! Answers one request to the admin address.

use std::time::Duration;

use control::act::Error;
use control::configuration::Change;
use http::Request;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Admin;
use super::Probe;
use crate::api;
use crate::api::Act;

/// Longest wait for a revision, milliseconds.
const WAIT_MS: u64 = 120_000;

type Answer = Result<Response, Error>;

impl<P: Probe> Admin<P> {
    pub(super) async fn answer(&self, request: Request) -> Response {
        let path = request.target.split('?').next().unwrap_or_default().to_owned();
        let segments: Vec<_> = path.split('/').skip(1).collect();
        let answer = match request.method.as_str() {
            "GET" => self.read(&segments).await,
            "POST" => self.act(&segments, &request).await,
            _ => Err(not_found(&path)),
        };
        answer.unwrap_or_else(|error| refusal(&error))
    }

    async fn read(&self, segments: &[&str]) -> Answer {
        match segments {
            ["healthz"] => Ok(Response::new(200).with_body("ok\n")),
            ["readyz"] => Ok(self.readiness()),
            ["metrics"] => Ok(Response::new(200).with_body(self.probe.metrics())),
            ["v1", "status"] => json(&self.control.status().await?),
            ["v1", "documents"] => json(&self.control.documents().await?),
            ["v1", "config"] => json(&self.control.config().await?),
            ["v1", "config", "history", limit] => {
                json(&self.control.history(number(limit)? as usize).await?)
            }
            ["v1", "config", "wait", revision, millis] => {
                let revision = fleet::config::Revision(number(revision)?);
                let limit = Duration::from_millis(number(millis)?.min(WAIT_MS));
                json(&self.control.wait(revision, limit).await?)
            }
            ["v1", "instances"] => json(&self.control.instances().await?),
            ["v1", "waves"] => json(&self.control.waves().await?),
            ["v1", "jobs"] => json(&self.control.jobs(String::new()).await?),
            ["v1", "jobs", "of", organisation] => {
                json(&self.control.jobs((*organisation).to_owned()).await?)
            }
            ["v1", "jobs", name] => json(&self.control.explain((*name).to_owned()).await?),
            _ => Err(not_found(&segments.join("/"))),
        }
    }

    async fn act(&self, segments: &[&str], request: &Request) -> Answer {
        match segments {
            ["v1", "config", "preview"] => {
                let change: Change = body(request)?;
                json(&self.control.preview(change).await?)
            }
            ["v1", "config", "apply"] => {
                let apply: api::Apply = body(request)?;
                json(&self.control.apply(apply.stamp, apply.act).await?)
            }
            ["v1", "instances", name, verb] => self.act_on_instance(name, verb, request).await,
            ["v1", "waves", organisation, name] => {
                let act: Act<_> = body(request)?;
                let (organisation, name) = ((*organisation).to_owned(), (*name).to_owned());
                json(&self.control.command_wave(act.stamp, organisation, name, act.act).await?)
            }
            ["v1", "jobs"] => {
                let act: Act<_> = body(request)?;
                json(&self.control.submit(act.stamp, act.act).await?)
            }
            ["v1", "jobs", name, verb] => self.act_on_job(name, verb, request).await,
            _ => Err(not_found(&segments.join("/"))),
        }
    }

    async fn act_on_instance(&self, name: &str, verb: &str, request: &Request) -> Answer {
        let name = name.to_owned();
        match verb {
            "drain" => {
                let act: Act<()> = body(request)?;
                json(&self.control.drain(act.stamp, name).await?)
            }
            "return" => {
                let act: Act<()> = body(request)?;
                json(&self.control.put_back(act.stamp, name).await?)
            }
            "move" => {
                let act: Act<api::Move> = body(request)?;
                json(&self.control.move_to(act.stamp, name, act.act.pool).await?)
            }
            _ => Err(not_found(verb)),
        }
    }

    async fn act_on_job(&self, name: &str, verb: &str, request: &Request) -> Answer {
        let name = name.to_owned();
        match verb {
            "cancel" => {
                let act: Act<()> = body(request)?;
                json(&self.control.cancel(act.stamp, name).await?)
            }
            "resolve" => {
                let act: Act<_> = body(request)?;
                json(&self.control.resolve(act.stamp, name, act.act).await?)
            }
            _ => Err(not_found(verb)),
        }
    }

    fn readiness(&self) -> Response {
        if self.probe.is_ready() {
            Response::new(200).with_body("ready\n")
        } else {
            Response::new(503).with_body("not ready\n")
        }
    }
}

fn not_found(path: &str) -> Error {
    Error::NotFound(format!("path {path}"))
}

fn number(text: &str) -> Result<u64, Error> {
    text.parse().map_err(|_| Error::Refused(format!("{text} is no number")))
}

fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(&request.body);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|error| Error::Refused(format!("body, at {}: {}", error.path(), error.inner())))
}

fn json<T: Serialize>(value: &T) -> Answer {
    let text = serde_json::to_string(value).map_err(|error| Error::Refused(error.to_string()))?;
    Ok(Response::new(200).with_header("content-type", "application/json").with_body(text))
}

fn refusal(error: &Error) -> Response {
    let text = serde_json::to_string(error).unwrap_or_default();
    let response = Response::new(api::status(error));
    response.with_header("content-type", "application/json").with_body(text)
}
