//! Whole entries in virtual time, over stand-ins of all that is outside.

mod acts;
mod basic;
mod configuration;
mod drains;
mod jobs;
mod leases;
mod outages;
mod support;
