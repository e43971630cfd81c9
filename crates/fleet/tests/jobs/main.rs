//! Tests of job planning and execution, driven step by step in virtual time.

mod admit;
mod fairness;
mod faults;
mod lease;
mod overrun;
mod place;
mod property;
mod quarantine;
mod row;
mod site;
mod worker;
