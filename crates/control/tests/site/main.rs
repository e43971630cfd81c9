//! Complete entries in virtual time, with fakes of every external dependency.

mod acts;
mod basic;
mod configuration;
mod drains;
mod jobs;
mod leases;
mod outages;
mod support;
