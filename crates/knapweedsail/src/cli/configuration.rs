//! Templates and configuration: shown, compared, applied, waited for.

use std::path::Path;
use std::time::Duration;

use control::act;
use control::configuration::Applied;
use control::configuration::Change;
use control::configuration::Entry;
use control::configuration::Missing;
use control::configuration::Rollout;
use fleet::config::Revision;
use fleet::template::Document;
use fleet::template::Inventory;
use fleet::template::Set;
use serde_json::Value;

use super::client::Client;
use super::command::Applying;
use super::command::Config;
use super::command::Output;
use super::command::Site;
use super::command::Template;
use super::exit::Error;
use super::run::print;

/// How much longer than the entry itself the command line waits.
const WAIT_SLACK: Duration = Duration::from_secs(10);

pub(super) async fn template(template: Template) -> Result<(), Error> {
    match template {
        Template::List { site } => {
            let set: Set = site.client()?.get("/v1/documents").await?;
            print(site.output, &set)
        }
        Template::Show { site, organisation } => {
            let set: Set = site.client()?.get("/v1/documents").await?;
            print(Output::Json, document_of(&set, &organisation)?)
        }
        Template::Render { output, file } => render(output, &read(&file)?),
        Template::Diff { site, file } => {
            let client = site.client()?;
            let set: Set = client.get("/v1/documents").await?;
            preview(&site, &client, &change(&set, None, read(&file)?)).await.map(|_| ())
        }
        Template::Apply { site, applying, file } => apply(&site, &applying, read(&file)?).await,
        Template::Set { site, applying, organisation, name, parameters } => {
            let set: Set = site.client()?.get("/v1/documents").await?;
            let mut document = document_of(&set, &organisation)?.clone();
            edit(&mut document, &name, &parameters)?;
            let seen = applying.seen.or(Some(set.revision.0));
            apply(&site, &Applying { seen, ..applying }, document).await
        }
        Template::Schema => {
            let schema = schemars::schema_for!(Document);
            print(Output::Json, &schema.to_value())
        }
    }
}

pub(super) async fn config(config: Config) -> Result<(), Error> {
    match config {
        Config::Show { site } => {
            let config: fleet::config::Config = site.client()?.get("/v1/config").await?;
            print(Output::Json, &serde_json::to_value(config).unwrap_or_default())
        }
        Config::History { site, limit } => {
            let path = format!("/v1/config/history/{limit}");
            let entries: Vec<Entry> = site.client()?.get(&path).await?;
            print(site.output, &entries)
        }
        Config::Wait { site, wait, revision } => {
            wait_for(&site, &site.client()?, Revision(revision), Duration::from_secs(wait)).await
        }
    }
}

fn render(output: Output, document: &Document) -> Result<(), Error> {
    let set = Set::default().with(document.clone());
    let config = set.render().map_err(act::Error::Invalid)?;
    let problems = fleet::template::check(&config, &Inventory::default());
    if problems.iter().any(fleet::template::Problem::is_error) {
        return Err(act::Error::Invalid(problems).into());
    }
    match output {
        Output::Json => print(output, &serde_json::to_value(config).unwrap_or_default()),
        Output::Text => print(output, &config),
    }
}

async fn preview(site: &Site, client: &Client, change: &Change) -> Result<Applied, Error> {
    let effect: Applied = client.ask("/v1/config/preview", change).await?;
    print(site.output, &effect)?;
    Ok(effect)
}

async fn apply(site: &Site, applying: &Applying, document: Document) -> Result<(), Error> {
    let client = site.client()?;
    let set: Set = client.get("/v1/documents").await?;
    let change = change(&set, applying.seen, document);
    if applying.dry_run {
        return preview(site, &client, &change).await.map(|_| ());
    }
    let applied: Applied = client.act("/v1/config/apply", change).await?;
    print(site.output, &applied)?;
    wait_for(site, &client, applied.revision, Duration::from_secs(applying.wait)).await
}

async fn wait_for(
    site: &Site,
    client: &Client,
    revision: Revision,
    limit: Duration,
) -> Result<(), Error> {
    let path = format!("/v1/config/wait/{revision}/{}", limit.as_millis());
    let reach: Rollout = client.get_within(&path, limit + WAIT_SLACK).await?;
    print(site.output, &reach)?;
    if reach.is_complete() {
        return Ok(());
    }
    let name = |missing: &Missing| format!("{} ({})", missing.entry, missing.cause);
    let missing: Vec<_> = reach.missing.iter().map(name).collect();
    Err(Error::NotEverywhere(missing.join(", ")))
}

fn change(set: &Set, seen: Option<u64>, document: Document) -> Change {
    Change { seen: seen.map_or(set.revision, Revision), document }
}

fn document_of<'set>(set: &'set Set, organisation: &str) -> Result<&'set Document, Error> {
    set.documents.get(organisation).ok_or_else(|| {
        let known: Vec<_> = set.documents.keys().collect();
        Error::Input(format!("there is no organisation {organisation}; give one of {known:?}"))
    })
}

fn edit(document: &mut Document, name: &str, parameters: &[String]) -> Result<(), Error> {
    let known: Vec<_> = document.uses.keys().cloned().collect();
    let filled = document
        .uses
        .get_mut(name)
        .ok_or_else(|| Error::Input(format!("there is no use {name}; give one of {known:?}")))?;
    for parameter in parameters {
        let Some((parameter, value)) = parameter.split_once('=') else {
            return Err(Error::Input(format!("{parameter} is no PARAMETER=VALUE")));
        };
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        filled.with.insert(parameter.to_owned(), value);
    }
    Ok(())
}

fn read(file: &Path) -> Result<Document, Error> {
    let name = file.display();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| Error::Input(format!("{name}: {error}")))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|error| Error::Input(format!("{name}, at {}: {}", error.path(), error.inner())))
}
