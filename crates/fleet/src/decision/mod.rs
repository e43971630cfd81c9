//! What the systems want done, in one closed type.

use derive_more::From;

use crate::job;
use crate::pool;
use crate::wave;

/// One decision. It takes effect only once its [`Change`](crate::world::Change)s are recorded.
#[derive(Clone, Debug, PartialEq, From)]
pub enum Decision {
    /// About a pool or one of its instances.
    Pool(pool::Decision),
    /// About a maintenance wave.
    Wave(wave::Decision),
    /// About a job.
    Job(job::Decision),
}
