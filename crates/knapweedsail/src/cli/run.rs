//! Carries out what was typed.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use control::act;
use control::act::WaveCommand;
use control::status::Status;
use serde::Serialize;

use super::client::Client;
use super::command::Command;
use super::command::Demo;
use super::command::Instance;
use super::command::Job;
use super::command::Output;
use super::command::Settings;
use super::command::Site;
use super::command::Wave;
use super::command::WaveName;
use super::configuration;
use super::exit;
use super::exit::Error;
use super::show;
use super::show::Show;
use crate::api;

/// Time between two looks at a wave that is followed.
const WATCH_PAUSE: Duration = Duration::from_secs(2);

/// Carries out a command.
pub fn run(command: Command) -> ExitCode {
    let executor = Arc::new(Executor::new());
    let result = async_io::block_on(executor.run(carry_out(&executor, command)));
    exit::code(result)
}

async fn carry_out(executor: &Arc<Executor<'static>>, command: Command) -> Result<(), Error> {
    match command {
        Command::Demo { demo } => run_demo(executor, &demo).await,
        Command::Replay { replay } => replay.run(),
        Command::Status { site } => status(&site).await,
        Command::Pool { site } => pools(&site).await,
        Command::Team { site } => teams(&site).await,
        Command::Template(template) => configuration::template(template).await,
        Command::Config(config) => configuration::config(config).await,
        Command::Instance(instance) => act_on_instance(instance).await,
        Command::Wave(wave) => act_on_wave(wave).await,
        Command::Job(job) => act_on_job(job).await,
        Command::Settings(settings) => act_on_settings(&settings),
    }
}

async fn run_demo(executor: &Arc<Executor<'static>>, demo: &Demo) -> Result<(), Error> {
    let run = demo.run()?;
    let report = crate::demo::run(executor, &run).await;
    let report = report.map_err(|error| Error::Input(error.to_string()))?;
    print(if demo.json { Output::Json } else { Output::Text }, &report)?;
    if report.kept() { Ok(()) } else { Err(Error::Broken("a promise was broken".to_owned())) }
}

async fn status(site: &Site) -> Result<(), Error> {
    let status: Status = site.client()?.get("/v1/status").await?;
    print(site.output, &status)
}

async fn pools(site: &Site) -> Result<(), Error> {
    let status: Status = site.client()?.get("/v1/status").await?;
    print(site.output, &status.pools)
}

async fn teams(site: &Site) -> Result<(), Error> {
    let client = site.client()?;
    let config: fleet::config::Config = client.get("/v1/config").await?;
    let jobs: Vec<act::Job> = client.get("/v1/jobs").await?;
    print(site.output, &show::team::Team::list(&config, &jobs))
}

async fn act_on_instance(instance: Instance) -> Result<(), Error> {
    let recorded: act::Recorded = match &instance {
        Instance::List { site } => {
            let instances: Vec<act::Instance> = site.client()?.get("/v1/instances").await?;
            return print(site.output, &instances);
        }
        Instance::Drain { site, name } => {
            site.client()?.act(&format!("/v1/instances/{name}/drain"), ()).await?
        }
        Instance::Return { site, name } => {
            site.client()?.act(&format!("/v1/instances/{name}/return"), ()).await?
        }
        Instance::Move { site, name, pool } => {
            let act = api::Move { pool: pool.clone() };
            site.client()?.act(&format!("/v1/instances/{name}/move"), act).await?
        }
    };
    print(instance.site().output, &recorded)
}

async fn act_on_wave(wave: Wave) -> Result<(), Error> {
    match &wave {
        Wave::List { site } => {
            let waves: Vec<act::Wave> = site.client()?.get("/v1/waves").await?;
            print(site.output, &waves)
        }
        Wave::Start { site, wave } => order(site, wave, WaveCommand::Start).await,
        Wave::Pause { site, wave } => order(site, wave, WaveCommand::Pause).await,
        Wave::Resume { site, wave } => order(site, wave, WaveCommand::Resume).await,
        Wave::Abort { site, wave } => order(site, wave, WaveCommand::Abort).await,
        Wave::Watch { site, wave } => watch(site, wave).await,
    }
}

async fn order(site: &Site, wave: &WaveName, order: WaveCommand) -> Result<(), Error> {
    let path = format!("/v1/waves/{}/{}", wave.organisation, wave.name);
    let recorded: act::Recorded = site.client()?.act(&path, order).await?;
    print(site.output, &recorded)
}

async fn watch(site: &Site, name: &WaveName) -> Result<(), Error> {
    let client = site.client()?;
    let mut last = None;
    loop {
        let waves: Vec<act::Wave> = client.get("/v1/waves").await?;
        let wanted =
            |wave: &act::Wave| wave.organisation == name.organisation && wave.name == name.name;
        let Some(wave) = waves.into_iter().find(wanted) else {
            let what = format!("wave {}/{}", name.organisation, name.name);
            return Err(act::Error::NotFound(what).into());
        };
        let over = wave.total == wave.done || matches!(wave.state.as_str(), "done" | "aborted");
        if last.as_ref() != Some(&wave) {
            print(site.output, &wave)?;
        }
        if over {
            return Ok(());
        }
        last = Some(wave);
        Timer::after(WATCH_PAUSE).await;
    }
}

async fn act_on_job(job: Job) -> Result<(), Error> {
    match job {
        Job::Submit { site, input, organisation, team, kind, name } => {
            let submission = act::Submission { name, organisation, team, kind, input };
            let job: act::Job = site.client()?.act("/v1/jobs", submission).await?;
            print(site.output, &job)
        }
        Job::Cancel { site, names } => {
            let client = site.client()?;
            for name in names {
                let job: act::Job = client.act(&format!("/v1/jobs/{name}/cancel"), ()).await?;
                print(site.output, &job)?;
            }
            Ok(())
        }
        Job::List { site, organisation } => {
            let path = organisation
                .map_or_else(|| "/v1/jobs".to_owned(), |name| format!("/v1/jobs/of/{name}"));
            let jobs: Vec<act::Job> = site.client()?.get(&path).await?;
            print(site.output, &jobs)
        }
        Job::Explain { site, name } => {
            let path = format!("/v1/jobs/{name}");
            let explanation: act::Explanation = site.client()?.get(&path).await?;
            print(site.output, &explanation)
        }
        Job::Resolve { site, name, resolution } => {
            let path = format!("/v1/jobs/{name}/resolve");
            let job: act::Job = site.client()?.act(&path, resolution).await?;
            print(site.output, &job)
        }
    }
}

fn act_on_settings(settings: &Settings) -> Result<(), Error> {
    match settings {
        Settings::Check { file } => {
            let checked = crate::settings::Settings::open(file);
            let settings = checked.map_err(|error| Error::Input(error.to_string()))?;
            println!("{}: sound, for {}", file.display(), settings.name);
            Ok(())
        }
        Settings::Schema => {
            let schema = schemars::schema_for!(crate::settings::Settings);
            print(Output::Json, &schema.to_value())
        }
    }
}

impl Instance {
    fn site(&self) -> &Site {
        match self {
            Self::List { site }
            | Self::Drain { site, .. }
            | Self::Move { site, .. }
            | Self::Return { site, .. } => site,
        }
    }
}

impl Site {
    pub(super) fn client(&self) -> Result<Client, Error> {
        if self.entry.is_empty() {
            let what = "give --entry IP:PORT, or set KNAPWEEDSAIL_ENTRY";
            return Err(Error::Input(what.to_owned()));
        }
        Ok(Client {
            entries: self.entry.clone(),
            author: self.author.clone(),
            operation: self.operation.clone(),
        })
    }
}

pub(super) fn print<T: Serialize + Show>(output: Output, value: &T) -> Result<(), Error> {
    match output {
        Output::Text => {
            println!("{}", value.show());
        }
        Output::Json => {
            let text = serde_json::to_string_pretty(value);
            println!("{}", text.map_err(|error| Error::Input(error.to_string()))?);
        }
    }
    Ok(())
}
