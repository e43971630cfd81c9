//! The platform's traits on [`Client`].

use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::instance::List;
use crate::instance::Listed;
use crate::object::Store;
use crate::rest;
use crate::table::Changes;
use crate::table::Commit;
use crate::table::Operation;
use crate::table::Position;
use crate::table::Row;
use crate::table::Table;
use crate::table::Transaction;

use super::Client;
use super::answer::Effect;
use super::answer::check;
use super::answer::is_absent;
use super::answer::parse;

impl Client {
    async fn post<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
        effect: Effect,
    ) -> Result<A, Error> {
        let body =
            serde_json::to_vec(question).map_err(|error| Error::Malformed(error.to_string()))?;
        let request = Request::new("POST", path)
            .with_header("content-type", "application/json")
            .with_body(body);
        let response = check(self.call(request, effect).await?, effect)?;
        parse(&response.body, effect)
    }
}

impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        let get = rest::Get { key: key.to_owned() };
        self.post(rest::TABLE_GET, &get, Effect::None).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let limit = limit.min(rest::PAGE);
        let scan = rest::Scan { prefix: prefix.to_owned(), after: after.to_owned(), limit };
        self.post(rest::TABLE_SCAN, &scan, Effect::None).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let end = self.post(rest::TABLE_COMMIT, transaction, Effect::Write).await?;
        match &end {
            Commit::Done(position) => self.learn(*position),
            Commit::Conflict(row) => self.learn(Position(row.version.0)),
            Commit::Missing(_) => {}
        }
        Ok(end)
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        let limit = limit.min(rest::PAGE);
        let since = rest::Since { prefix: prefix.to_owned(), position, limit };
        self.post(rest::TABLE_CHANGES, &since, Effect::None).await
    }
}

impl Store for Client {
    async fn put(&self, name: &str, body: &[u8]) -> Result<(), Error> {
        if body.len() > rest::OBJECT_BYTES {
            return Err(Error::Malformed(format!("object {name} is too large")));
        }
        let request = Request::new("PUT", object_path(name)?)
            .with_header("content-type", "application/octet-stream")
            .with_body(body);
        let response = self.call(request, Effect::Write).await?;
        check(response, Effect::Write).map(drop)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let request = Request::new("GET", object_path(name)?);
        let response = self.call(request, Effect::None).await?;
        if is_absent(&response) {
            return Ok(None);
        }
        check(response, Effect::None).map(|response| Some(response.body))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let prefix = rest::Prefix { prefix: prefix.to_owned() };
        self.post(rest::OBJECT_LIST, &prefix, Effect::None).await
    }

    async fn remove(&self, name: &str) -> Result<(), Error> {
        let request = Request::new("DELETE", object_path(name)?);
        let response = self.call(request, Effect::Write).await?;
        check(response, Effect::Write).map(drop)
    }
}

impl List for Client {
    async fn list(&self) -> Result<Vec<Listed>, Error> {
        self.post(rest::INSTANCE_LIST, &(), Effect::None).await
    }

    async fn restart(&self, name: &str, operation: &Operation) -> Result<(), Error> {
        let restart = rest::Restart { name: name.to_owned(), operation: operation.clone() };
        self.post(rest::INSTANCE_RESTART, &restart, Effect::Write).await
    }
}

fn object_path(name: &str) -> Result<String, Error> {
    if !rest::is_object_name(name) {
        return Err(Error::Malformed(format!("bad object name {name}")));
    }
    Ok(format!("{}{name}", rest::OBJECT))
}
